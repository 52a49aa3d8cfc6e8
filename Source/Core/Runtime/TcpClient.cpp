#include "Runtime/AsioEndpoint.h"
#include "Runtime/Runtime.h"
#include "Runtime/TcpConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Duration InitialBackOff{50};
/// Upper limit of the back-off for the first InitialAttempts attempts. It is
/// low so that nodes that start at the same time as the control instances
/// connect soon after those are ready. Later attempts are limited by
/// MaxBackOff.
constexpr Duration InitialMaxBackOff{200};
constexpr int InitialAttempts = 15;
constexpr Duration MaxBackOff{1000};
/// Several round trips between regions. A server that is powered off does not
/// reply at all, so the client has to give up on it and try another one.
constexpr Duration ConnectTimeout{200};

/// Upper limit of the random delay before a connection moves to an advertised
/// server. It spreads the connections of many nodes over time.
constexpr Duration MaxMoveDelay{2000};
constexpr Duration MoveInterval{10000};

/// Number of servers whose latest attempt is remembered. It exceeds the number
/// of control instances of the largest deployments.
constexpr std::size_t MaxTriedServers = 64;

class AsioTcpClient : public TcpClient {
public:
  AsioTcpClient(boost::asio::io_context &context, std::vector<Endpoint> servers,
                TcpHandlers handlers)
      : Shared(std::make_shared<State>(context, std::move(servers),
                                       std::move(handlers))) {
    Shared->connect();
  }
  ~AsioTcpClient() override { AsioTcpClient::stop(); }
  AsioTcpClient(const AsioTcpClient &) = delete;
  AsioTcpClient &operator=(const AsioTcpClient &) = delete;

  bool isOpen() const override { return Shared->Connection != nullptr; }
  Endpoint server() const override { return Shared->CurrentServer; }

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
    Shared->Configured = std::move(servers);
    Shared->rebuildServers();
  }

  void setAdvertisedServers(std::vector<Endpoint> servers) override {
    Shared->Advertised = std::move(servers);
    std::ranges::shuffle(Shared->Advertised, Shared->Random);
    Shared->rebuildServers();
    Shared->moveIfNeeded();
  }

  void stop() override {
    if (Shared->Stopped)
      return;
    Shared->Stopped = true;
    Shared->Timer.cancel();
    Shared->MoveTimer.cancel();
    // The socket is closed already if the attempt has just timed out.
    error_code ec;
    if (Shared->ConnectingSocket)
      Shared->ConnectingSocket->cancel(ec);
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
          Configured(std::move(servers)), Servers(Configured),
          Handlers(std::move(handlers)), Random(std::random_device{}()) {}

    void rebuildServers() {
      Servers = Advertised;
      std::ranges::copy_if(
          Configured, std::back_inserter(Servers), [&](const Endpoint &it) {
            return std::ranges::find(Advertised, it) == Advertised.end();
          });
    }

    /// Returns the server that was tried least recently. Servers advertise
    /// their list on every connection, and those that are cut off may advertise
    /// different ones, so a position in the list would not tell which servers
    /// have been tried.
    Endpoint takeNextServer() {
      const auto lastTried = [&](const Endpoint &it) {
        const auto found = std::ranges::find(Tried, it);
        return found == Tried.end() ? 0 : found - Tried.begin() + 1;
      };
      const Endpoint next = *std::ranges::min_element(Servers, {}, lastTried);
      std::erase(Tried, next);
      Tried.push_back(next);
      if (Tried.size() > MaxTriedServers)
        Tried.erase(Tried.begin());
      return next;
    }

    void moveIfNeeded() {
      const auto now = std::chrono::steady_clock::now();
      if (!Connection || Advertised.empty() ||
          std::ranges::count(Advertised, CurrentServer) > 0 ||
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

    void connect() {
      if (Stopped || Servers.empty())
        return;
      const Endpoint server = takeNextServer();
      auto socket = std::make_shared<tcp::socket>(Context);
      ConnectingSocket = socket;
      Timer.expires_after(ConnectTimeout);
      Timer.async_wait([socket](error_code ec) {
        // Closing the socket makes the connect fail, so that the next server is
        // tried.
        if (!ec)
          socket->close(ec);
      });
      socket->async_connect(
          toAsio<tcp>(server),
          [self = shared_from_this(), socket, server](error_code ec) {
            self->Timer.cancel();
            self->ConnectingSocket.reset();
            if (self->Stopped)
              return;
            if (ec || !socket->is_open())
              return self->scheduleConnect();
            self->CurrentServer = server;
            self->open(std::move(*socket));
          });
    }

    void open(tcp::socket socket) {
      const ConnectionId id{++LastId};
      auto onFrame = [self = shared_from_this(),
                      id](std::span<const std::byte> frame) {
        // Only a received frame resets the back-off. A server that accepts
        // connections and closes them at once does not.
        self->BackOff = InitialBackOff;
        self->FailedAttempts = 0;
        if (!self->Stopped)
          self->Handlers.OnFrame(id, frame);
      };
      auto onClose = [self = shared_from_this(), id] {
        self->Connection.reset();
        if (self->Stopped)
          return;
        self->Handlers.OnClose(id);
        self->scheduleConnect();
      };
      Connection = std::make_shared<TcpConnection>(
          std::move(socket), std::move(onFrame), std::move(onClose));
      Connection->start();
      Handlers.OnOpen(id);
    }

    void scheduleConnect() {
      if (Stopped)
        return;
      // Jitter prevents thousands of nodes from reconnecting to a control
      // instance at the same time.
      std::uniform_int_distribution<Duration::rep> jitter(BackOff.count() / 2,
                                                          BackOff.count());
      Timer.expires_after(Duration(jitter(Random)));
      BackOff = std::min(BackOff * 2, ++FailedAttempts < InitialAttempts
                                          ? InitialMaxBackOff
                                          : MaxBackOff);
      Timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
          self->connect();
      });
    }

    boost::asio::io_context &Context;
    boost::asio::steady_timer Timer;
    boost::asio::steady_timer MoveTimer;
    std::vector<Endpoint> Configured;
    std::vector<Endpoint> Advertised;
    /// Advertised and then configured servers. Those that have not been tried
    /// are tried in this order.
    std::vector<Endpoint> Servers;
    /// Servers in the order of their latest attempts.
    std::vector<Endpoint> Tried;
    TcpHandlers Handlers;
    std::minstd_rand Random;
    std::shared_ptr<tcp::socket> ConnectingSocket;
    std::shared_ptr<TcpConnection> Connection;
    /// Server of the latest connection.
    Endpoint CurrentServer;
    std::optional<std::chrono::steady_clock::time_point> LastMove;
    std::uint64_t LastId = 0;
    Duration BackOff = InitialBackOff;
    /// Connection attempts since the last received frame.
    int FailedAttempts = 0;
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
