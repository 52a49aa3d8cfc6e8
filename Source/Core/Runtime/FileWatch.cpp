#include "Runtime/Runtime.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <sys/stat.h>
#include <utility>

namespace pistachio {
namespace {

/// A settings file is read again at most this long after it changed.
constexpr Duration CheckInterval{2000};

struct FileState {
  std::uint64_t Node = 0;
  std::int64_t Seconds = 0;
  std::int64_t Nanoseconds = 0;
  std::int64_t Size = 0;
  friend bool operator==(const FileState &, const FileState &) = default;
};

FileState stateOf(const std::string &path) {
  struct stat it = {};
  if (::stat(path.c_str(), &it) != 0)
    return {};
  return {it.st_ino, it.st_mtim.tv_sec, it.st_mtim.tv_nsec, it.st_size};
}

class PollingWatch final : public FileWatch {
public:
  PollingWatch(boost::asio::io_context &context, std::string path,
               std::function<void()> changed)
      : Path(std::move(path)), Changed(std::move(changed)),
        Known(stateOf(Path)), Signals(context, SIGHUP),
        Timer(startTimer(context, CheckInterval, [this] { check(); })) {
    waitForSignal();
  }
  ~PollingWatch() override { PollingWatch::stop(); }
  PollingWatch(const PollingWatch &) = delete;
  PollingWatch &operator=(const PollingWatch &) = delete;

  void stop() override {
    Timer->stop();
    boost::system::error_code ec;
    Signals.cancel(ec);
  }

private:
  void waitForSignal() {
    Signals.async_wait([this](boost::system::error_code ec, int /*signal*/) {
      if (ec)
        return;
      Known = stateOf(Path);
      Changed();
      waitForSignal();
    });
  }

  void check() {
    const FileState now = stateOf(Path);
    if (now == Known || now == FileState{})
      return;
    Known = now;
    Changed();
  }

  std::string Path;
  std::function<void()> Changed;
  FileState Known;
  boost::asio::signal_set Signals;
  std::unique_ptr<PeriodicTimer> Timer;
};

} // namespace

std::unique_ptr<FileWatch> watchFile(boost::asio::io_context &context,
                                     std::string path,
                                     std::function<void()> changed) {
  return std::make_unique<PollingWatch>(context, std::move(path),
                                        std::move(changed));
}

} // namespace pistachio
