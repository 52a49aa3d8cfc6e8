#include "Runtime/AsioEndpoint.h"
#include "Runtime/Runtime.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace pistachio {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::uint64_t MaxHttpBodyBytes = 1024 * 1024;
/// Maximum time for receiving one request and producing its response, including
/// the idle time before the request.
constexpr Duration RequestTimeout{15000};
/// More than the number of clients of one instance. Further connections are
/// closed at once, because they would only occupy file descriptors.
constexpr std::size_t MaxConnections = 256;
/// Delay after a failed accept, for example if no file descriptor is free.
constexpr Duration AcceptRetryDelay{100};

class Connection;

/// State that the server and its connections share.
struct ServerState {
  ServerState(boost::asio::io_context &context, HttpHandler handler)
      : Acceptor(context), AcceptTimer(context), Handler(std::move(handler)) {}

  tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  HttpHandler Handler;
  Endpoint LocalEndpoint;
  std::set<std::shared_ptr<Connection>> Connections;
  bool Stopped = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<ServerState> state, tcp::socket socket)
      : State(std::move(state)), Socket(std::move(socket)),
        RequestTimer(Socket.get_executor()) {}

  void readRequest() {
    Parser.emplace();
    Parser->body_limit(MaxHttpBodyBytes);
    Parser->header_limit(MaxHeaderBytes);
    ++Generation;
    RequestTimer.expires_after(RequestTimeout);
    RequestTimer.async_wait(
        [self = shared_from_this(), generation = Generation](error_code ec) {
          if (!ec && generation == self->Generation)
            self->close();
        });
    http::async_read(Socket, Buffer, *Parser,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       self->onRead(ec);
                     });
  }

  void close() {
    ++Generation;
    RequestTimer.cancel();
    error_code ec;
    Socket.shutdown(tcp::socket::shutdown_both, ec);
    Socket.close(ec);
    State->Connections.erase(shared_from_this());
  }

private:
  void onRead(error_code ec) {
    if (State->Stopped || !Socket.is_open())
      return;
    if (ec == http::error::body_limit)
      return write({413, "{\"error\":\"the body is too large\"}"}, false,
                   Generation);
    const bool isMalformed =
        ec != http::error::end_of_stream &&
        ec.category() ==
            http::make_error_code(http::error::bad_version).category();
    if (isMalformed)
      return write({400, "{\"error\":\"the request is malformed\"}"}, false,
                   Generation);
    if (ec)
      return close();
    const auto &request = Parser->get();
    const bool keepAlive = request.keep_alive();
    const HttpServerRequest serverRequest{
        std::string(request.method_string().data(),
                    request.method_string().size()),
        std::string(request.target().data(), request.target().size()),
        request.body(), [connection = weak_from_this()] {
          const auto self = connection.lock();
          return !self || self->hasPeerClosed();
        }};
    State->Handler(serverRequest,
                   [self = shared_from_this(), keepAlive,
                    generation = Generation](HttpServerResponse reply) {
                     self->write(std::move(reply), keepAlive, generation);
                   });
  }

  bool hasPeerClosed() {
    if (!Socket.is_open())
      return true;
    char next = 0;
    const auto n = ::recv(Socket.native_handle(), &next, sizeof(next),
                          MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }

  void write(HttpServerResponse reply, bool keepAlive,
             std::uint64_t generation) {
    // The connection may have timed out, or the handler has replied before.
    if (generation != Generation || State->Stopped || !Socket.is_open())
      return;
    ++Generation;
    Response = {};
    Response.version(11);
    Response.result(static_cast<unsigned>(reply.Status));
    Response.set(http::field::content_type, reply.ContentType);
    Response.keep_alive(keepAlive);
    Response.body() = std::move(reply.Body);
    Response.prepare_payload();
    http::async_write(
        Socket, Response,
        [self = shared_from_this(), keepAlive](error_code ec, std::size_t) {
          if (ec || !keepAlive || self->State->Stopped)
            return self->close();
          self->readRequest();
        });
  }

  std::shared_ptr<ServerState> State;
  tcp::socket Socket;
  boost::asio::steady_timer RequestTimer;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  http::response<http::string_body> Response;
  /// Incremented at each request, reply and close. Timers and replies of an
  /// earlier generation are ignored.
  std::uint64_t Generation = 0;
};

void acceptNext(const std::shared_ptr<ServerState> &state) {
  state->Acceptor.async_accept([state](error_code ec, tcp::socket socket) {
    if (state->Stopped)
      return;
    if (ec) {
      state->AcceptTimer.expires_after(AcceptRetryDelay);
      state->AcceptTimer.async_wait([state](error_code waited) {
        if (!waited && !state->Stopped)
          acceptNext(state);
      });
      return;
    }
    if (state->Connections.size() < MaxConnections) {
      auto connection = std::make_shared<Connection>(state, std::move(socket));
      state->Connections.insert(connection);
      connection->readRequest();
    }
    acceptNext(state);
  });
}

class BeastHttpServer final : public HttpServer {
public:
  explicit BeastHttpServer(std::shared_ptr<ServerState> state)
      : State(std::move(state)) {}
  ~BeastHttpServer() override { BeastHttpServer::stop(); }
  BeastHttpServer(const BeastHttpServer &) = delete;
  BeastHttpServer &operator=(const BeastHttpServer &) = delete;

  Endpoint endpoint() const override { return State->LocalEndpoint; }

  void stop() override {
    if (State->Stopped)
      return;
    State->Stopped = true;
    error_code ec;
    State->Acceptor.close(ec);
    State->AcceptTimer.cancel();
    const auto connections = std::exchange(State->Connections, {});
    for (const auto &it : connections)
      it->close();
  }

private:
  std::shared_ptr<ServerState> State;
};

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>>
listenHttp(boost::asio::io_context &context, const Endpoint &local,
           HttpHandler handler) {
  auto state = std::make_shared<ServerState>(context, std::move(handler));
  try {
    const tcp::endpoint endpoint = toAsio<tcp>(local);
    state->Acceptor.open(endpoint.protocol());
    state->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    state->Acceptor.bind(endpoint);
    state->Acceptor.listen(boost::asio::socket_base::max_listen_connections);
    state->LocalEndpoint = fromAsio(state->Acceptor.local_endpoint());
  } catch (const boost::system::system_error &e) {
    return absl::UnavailableError(
        absl::StrCat("cannot serve HTTP at ", toString(local), ": ", e.what()));
  }
  acceptNext(state);
  return std::make_unique<BeastHttpServer>(std::move(state));
}

absl::StatusOr<std::unique_ptr<HttpServer>>
serveMetrics(boost::asio::io_context &context, const Endpoint &local,
             std::function<std::string()> text, HttpHandler otherPaths) {
  return listenHttp(
      context, local,
      [text = std::move(text), otherPaths = std::move(otherPaths)](
          const HttpServerRequest &serverRequest,
          const std::function<void(HttpServerResponse)> &reply) {
        if (serverRequest.Target != "/metrics" && otherPaths)
          return otherPaths(serverRequest, reply);
        if (serverRequest.Target != "/metrics")
          return reply({404, "{\"error\":\"only /metrics is served\"}"});
        if (serverRequest.Method != "GET")
          return reply({405, "{\"error\":\"only GET is served\"}"});
        reply({200, text(), "text/plain; version=0.0.4"});
      });
}

} // namespace pistachio
