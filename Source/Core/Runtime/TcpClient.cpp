#include "Runtime/AsioEndpoint.h"
#include "Runtime/ConnectAttempts.h"
#include "Runtime/Runtime.h"
#include "Runtime/TcpConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <random>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Upper limit of the random delay before a connection moves to an advertised
/// server. It spreads the connections of many nodes over time.
constexpr Duration MaxMoveDelay{2000};
constexpr Duration MoveInterval{10000};

class AsioTcpClient : public TcpClient {
public:
  AsioTcpClient(boost::asio::io_context &context, std::vector<Endpoint> servers,
                TcpHandlers handlers)
      : Shared(std::make_shared<State>(context, std::move(servers),
                                       std::move(handlers))) {
    Shared->poll();
  }
  ~AsioTcpClient() override { AsioTcpClient::stop(); }
  AsioTcpClient(const AsioTcpClient &) = delete;
  AsioTcpClient &operator=(const AsioTcpClient &) = delete;

  bool isOpen() const override { return Shared->Connection != nullptr; }
  Endpoint server() const override { return Shared->CurrentServer; }
  Duration connectTime() const override { return Shared->ConnectTime; }

  void send(std::span<const std::byte> frame) override {
    if (Shared->Connection)
      Shared->Connection->send(frame);
  }

  std::size_t queuedBytes() const override {
    return Shared->Connection ? Shared->Connection->queuedBytes() : 0;
  }

  void reconnect() override {
    if (Shared->Connection)
      Shared->Connection->close();
  }

  void setServers(std::vector<Endpoint> servers) override {
    Shared->Attempts.setConfigured(std::move(servers));
  }

  void setAdvertisedServers(std::vector<Endpoint> servers) override {
    Shared->Attempts.setAdvertised(std::move(servers));
    Shared->moveIfNeeded();
  }

  void stop() override {
    if (Shared->Stopped)
      return;
    Shared->Stopped = true;
    Shared->Timer.cancel();
    Shared->MoveTimer.cancel();
    Shared->closeSockets();
    if (Shared->Connection)
      Shared->Connection->close();
    // The connection and the state refer to each other. The close handler,
    // which breaks this cycle, does not run if the io_context has stopped.
    Shared->Connection.reset();
  }

private:
  struct State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context &context, std::vector<Endpoint> servers,
          TcpHandlers handlers)
        : Context(context), Timer(context), MoveTimer(context),
          Random(std::random_device{}()),
          Attempts(std::move(servers), static_cast<std::uint32_t>(Random())),
          Handlers(std::move(handlers)) {}

    void moveIfNeeded() {
      const auto now = std::chrono::steady_clock::now();
      const std::vector<Endpoint> &advertised = Attempts.advertised();
      if (!Connection || advertised.empty() ||
          std::ranges::count(advertised, CurrentServer) > 0 ||
          (LastMove && now - *LastMove < MoveInterval))
        return;
      LastMove = now;
      std::uniform_int_distribution<Duration::rep> delay(0,
                                                         MaxMoveDelay.count());
      MoveTimer.expires_after(Duration(delay(Random)));
      MoveTimer.async_wait([self = shared_from_this(),
                            moved = std::weak_ptr(Connection)](error_code ec) {
        // The connection may have been replaced meanwhile.
        const auto connection = moved.lock();
        if (!ec && connection && connection == self->Connection)
          connection->close();
      });
    }

    /// Gives up and begins attempts. It is called again when the next of them
    /// is due.
    void poll() {
      if (Stopped)
        return;
      const TimePoint now = steadyNow();
      for (const ConnectAttempt &it : Attempts.takeExpired(now)) {
        if (const auto found = Sockets.find(it.Id); found != Sockets.end()) {
          error_code ec;
          found->second->close(ec);
          Sockets.erase(found);
        }
        reportFailure(it, "no reply", now);
      }
      if (const auto attempt = Attempts.begin(now))
        connect(*attempt);
      const auto next = Attempts.nextEvent();
      if (!next)
        return;
      Timer.expires_after(std::max(*next - now, Duration{0}));
      Timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
          self->poll();
      });
    }

    void connect(const ConnectAttempt &attempt) {
      auto socket = std::make_shared<tcp::socket>(Context);
      Sockets.emplace(attempt.Id, socket);
      socket->async_connect(
          toAsio<tcp>(attempt.Server),
          [self = shared_from_this(), socket, attempt](error_code ec) {
            // The attempt may have been given up, or another one has succeeded.
            if (self->Stopped || self->Sockets.erase(attempt.Id) == 0)
              return;
            const TimePoint now = steadyNow();
            if (ec) {
              self->reportFailure(attempt, ec.message(), now);
              self->Attempts.onFailed(attempt.Id, now);
              return self->poll();
            }
            self->closeSockets();
            self->Timer.cancel();
            self->Attempts.onOpen(now);
            self->CurrentServer = attempt.Server;
            self->ConnectTime = now - attempt.BeganAt;
            self->open(std::move(*socket));
          });
    }

    void closeSockets() {
      error_code ec;
      for (const auto &it : Sockets)
        it.second->close(ec);
      Sockets.clear();
    }

    void reportFailure(const ConnectAttempt &attempt, std::string reason,
                       TimePoint now) {
      if (Handlers.OnConnectFailed)
        Handlers.OnConnectFailed(
            {attempt.Server, std::move(reason), now - attempt.BeganAt});
    }

    void open(tcp::socket socket) {
      const ConnectionId id{++LastId};
      auto onFrame = [self = shared_from_this(),
                      id](std::span<const std::byte> frame) {
        self->Attempts.onFrame();
        if (!self->Stopped)
          self->Handlers.OnFrame(id, frame);
      };
      auto onClose = [self = shared_from_this(), id] {
        self->Connection.reset();
        if (self->Stopped)
          return;
        self->Handlers.OnClose(id);
        self->Attempts.onClose(steadyNow());
        self->poll();
      };
      Connection = std::make_shared<TcpConnection>(
          std::move(socket), std::move(onFrame), std::move(onClose));
      Connection->start();
      Handlers.OnOpen(id);
    }

    boost::asio::io_context &Context;
    boost::asio::steady_timer Timer;
    boost::asio::steady_timer MoveTimer;
    std::minstd_rand Random;
    ConnectAttempts Attempts;
    TcpHandlers Handlers;
    /// The sockets of the attempts that go on.
    std::map<ConnectAttemptId, std::shared_ptr<tcp::socket>> Sockets;
    std::shared_ptr<TcpConnection> Connection;
    /// Server of the latest connection.
    Endpoint CurrentServer;
    Duration ConnectTime{0};
    std::optional<std::chrono::steady_clock::time_point> LastMove;
    std::uint64_t LastId = 0;
    bool Stopped = false;
  };

  std::shared_ptr<State> Shared;
};

} // namespace

std::unique_ptr<TcpClient> connectTcp(boost::asio::io_context &context,
                                      std::vector<Endpoint> servers,
                                      TcpHandlers handlers) {
  return std::make_unique<AsioTcpClient>(context, std::move(servers),
                                         std::move(handlers));
}

} // namespace pistachio
