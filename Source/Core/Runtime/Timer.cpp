#include "Runtime/Runtime.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace pistachio {
namespace {

class AsioTimer : public PeriodicTimer {
public:
  AsioTimer(boost::asio::io_context &context, Duration interval,
            std::function<void()> callback)
      : Shared(
            std::make_shared<State>(context, interval, std::move(callback))) {
    Shared->schedule();
  }
  ~AsioTimer() override { AsioTimer::stop(); }
  AsioTimer(const AsioTimer &) = delete;
  AsioTimer &operator=(const AsioTimer &) = delete;

  void stop() override {
    Shared->Stopped = true;
    Shared->Timer.cancel();
  }

private:
  struct State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context &context, Duration interval,
          std::function<void()> callback)
        : Timer(context), Interval(interval), Callback(std::move(callback)) {}

    void schedule() {
      Timer.expires_after(Interval);
      Timer.async_wait(
          [self = shared_from_this()](boost::system::error_code ec) {
            if (ec || self->Stopped)
              return;
            self->Callback();
            if (!self->Stopped)
              self->schedule();
          });
    }

    boost::asio::steady_timer Timer;
    Duration Interval;
    std::function<void()> Callback;
    bool Stopped = false;
  };

  std::shared_ptr<State> Shared;
};

} // namespace

std::unique_ptr<PeriodicTimer> startTimer(boost::asio::io_context &context,
                                          Duration interval,
                                          std::function<void()> callback) {
  return std::make_unique<AsioTimer>(context, interval, std::move(callback));
}

void onStopSignal(boost::asio::io_context &context,
                  std::function<void()> stop) {
  auto signals =
      std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
  signals->async_wait([signals, stop = std::move(stop)](
                          boost::system::error_code ec, int /*signal*/) {
    if (!ec)
      stop();
  });
}

} // namespace pistachio
