#include "Runtime/AsioEndpoint.h"
#include "Runtime/Runtime.h"
#include "Runtime/TcpConnection.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/steady_timer.hpp>

#include <unordered_map>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Delay between a failed accept and the next one. An accept fails, for
/// example, while the process has no free file descriptor; the connection then
/// stays in the backlog of the listening socket, and an immediate retry would
/// loop without a pause.
constexpr Duration AcceptRetryDelay{100};

class AsioTcpServer : public TcpServer {
public:
  AsioTcpServer(tcp::acceptor acceptor, TcpHandlers handlers)
      : Shared(
            std::make_shared<State>(std::move(acceptor), std::move(handlers))) {
    Shared->accept();
  }
  ~AsioTcpServer() override { AsioTcpServer::stop(); }
  AsioTcpServer(const AsioTcpServer &) = delete;
  AsioTcpServer &operator=(const AsioTcpServer &) = delete;

  Endpoint endpoint() const override { return Shared->LocalEndpoint; }

  void send(ConnectionId connection,
            std::span<const std::byte> frame) override {
    const auto it = Shared->Connections.find(connection);
    if (it != Shared->Connections.end())
      it->second->send(frame);
  }

  void close(ConnectionId connection) override {
    const auto it = Shared->Connections.find(connection);
    if (it != Shared->Connections.end())
      it->second->close();
  }

  void stop() override {
    if (Shared->Stopped)
      return;
    Shared->Stopped = true;
    error_code ec;
    Shared->Acceptor.close(ec);
    Shared->AcceptRetryTimer.cancel();
    for (const auto &it : Shared->Connections)
      it.second->close();
    // The connections and the state refer to each other. The close handlers,
    // which break these cycles, do not run if the io_context has stopped.
    Shared->Connections.clear();
  }

private:
  struct State : std::enable_shared_from_this<State> {
    State(tcp::acceptor acceptor, TcpHandlers handlers)
        : Acceptor(std::move(acceptor)),
          AcceptRetryTimer(Acceptor.get_executor()),
          Handlers(std::move(handlers)),
          LocalEndpoint(fromAsio(Acceptor.local_endpoint())) {}

    void accept() {
      Acceptor.async_accept(
          [self = shared_from_this()](error_code ec, tcp::socket socket) {
            if (self->Stopped)
              return;
            if (ec)
              return self->scheduleAccept();
            self->open(std::move(socket));
            self->accept();
          });
    }

    void scheduleAccept() {
      AcceptRetryTimer.expires_after(AcceptRetryDelay);
      AcceptRetryTimer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && !self->Stopped)
          self->accept();
      });
    }

    void open(tcp::socket socket) {
      const ConnectionId id{++LastId};
      auto onFrame = [self = shared_from_this(),
                      id](std::span<const std::byte> frame) {
        if (!self->Stopped)
          self->Handlers.OnFrame(id, frame);
      };
      auto onClose = [self = shared_from_this(), id] {
        self->Connections.erase(id);
        if (!self->Stopped)
          self->Handlers.OnClose(id);
      };
      auto connection = std::make_shared<TcpConnection>(
          std::move(socket), std::move(onFrame), std::move(onClose));
      Connections.emplace(id, connection);
      Handlers.OnOpen(id);
      connection->start();
    }

    tcp::acceptor Acceptor;
    boost::asio::steady_timer AcceptRetryTimer;
    TcpHandlers Handlers;
    Endpoint LocalEndpoint;
    std::unordered_map<ConnectionId, std::shared_ptr<TcpConnection>>
        Connections;
    std::uint64_t LastId = 0;
    bool Stopped = false;
  };

  std::shared_ptr<State> Shared;
};

} // namespace

absl::StatusOr<std::unique_ptr<TcpServer>>
listenTcp(boost::asio::io_context &context, const Endpoint &local,
          TcpHandlers handlers) {
  try {
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(toAsio<tcp>(local));
    acceptor.listen();
    return std::make_unique<AsioTcpServer>(std::move(acceptor),
                                           std::move(handlers));
  } catch (const boost::system::system_error &e) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", toString(local), ": ", e.what()));
  }
}

} // namespace pistachio
