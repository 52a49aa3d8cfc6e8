#pragma once

/// Public header of the Runtime library: the Asio carriers that the daemons put
/// round the decision libraries.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

/// The present time of the steady clock.
TimePoint steadyNow();

/// Milliseconds since the Unix epoch.
std::uint64_t wallClockMs();

/// Start time and random bits.
Incarnation makeIncarnation();

/// A UDP socket. The handler runs on the context's threads, one datagram at a
/// time for each socket.
class UdpSocket {
public:
  using Handler =
      std::function<void(std::span<const std::byte> buf, const Endpoint &from)>;
  virtual ~UdpSocket() = default;
  virtual Endpoint endpoint() const = 0;
  /// Thread-safe. A datagram that cannot be sent is dropped and counted, as on
  /// any network.
  virtual void send(std::span<const std::byte> buf, const Endpoint &to) = 0;
  virtual std::uint64_t droppedSends() const = 0;
  virtual void stop() = 0;
};

/// \p reusePort lets several sockets share the port; the kernel spreads
/// datagrams over them.
absl::StatusOr<std::unique_ptr<UdpSocket>>
openUdp(boost::asio::io_context &context, const Endpoint &local,
        UdpSocket::Handler handler, bool reusePort = false);

/// Identifies a connection within its TcpServer or TcpClient. Never reused.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

/// Callbacks of a framed TCP channel. Each frame is one whole envelope, body
/// included. A peer that sends bytes that are no envelope is disconnected.
struct TcpHandlers {
  std::function<void(ConnectionId)> OnOpen;
  std::function<void(ConnectionId, std::span<const std::byte> frame)> OnFrame;
  std::function<void(ConnectionId)> OnClose;
};

class TcpServer {
public:
  virtual ~TcpServer() = default;
  virtual Endpoint endpoint() const = 0;
  /// Queues a frame. A connection whose queue exceeds its bound (8 MiB) is
  /// closed.
  virtual void send(ConnectionId connection,
                    std::span<const std::byte> frame) = 0;
  virtual void close(ConnectionId connection) = 0;
  virtual void stop() = 0;
};

absl::StatusOr<std::unique_ptr<TcpServer>>
listenTcp(boost::asio::io_context &context, const Endpoint &local,
          TcpHandlers handlers);

/// Keeps one connection to the first of several servers that answers, and
/// reconnects with jittered back-off, going on to the next server each time.
class TcpClient {
public:
  virtual ~TcpClient() = default;
  virtual bool isOpen() const = 0;
  /// Dropped if there is no connection.
  virtual void send(std::span<const std::byte> frame) = 0;
  /// Closes the present connection and goes on to the next server.
  virtual void reconnect() = 0;
  /// Used from the next connection on.
  virtual void setServers(std::vector<Endpoint> servers) = 0;
  /// Servers that the present one has named. Tried first at the next
  /// connection, in random order, and then the others.
  virtual void setAdvertisedServers(std::vector<Endpoint> servers) = 0;
  virtual void stop() = 0;
};

std::unique_ptr<TcpClient> connectTcp(boost::asio::io_context &context,
                                      std::vector<Endpoint> servers,
                                      TcpHandlers handlers);

struct BackEndRequest {
  std::string Method;
  std::string Path;
  Bytes Body;
  /// Sent as Idempotency-Key.
  std::string IdempotencyKey;
  /// Sent as X-Request-Deadline-Ms; the connection is closed once it has
  /// passed.
  Duration Deadline{0};
};

struct BackEndResponse {
  int Status = 0;
  Bytes Body;
  /// From Retry-After; 0 if there is none.
  Duration RetryAfter{0};
};

using BackEndCallId = StrongId<struct HttpCallIdTag, std::uint64_t>;

/// HTTP/1.1 client towards the back end beside the agent. Errors: Unavailable
/// if no byte of the request was sent (the connection was refused), Unknown if
/// the request may have been received.
class BackEndClient {
public:
  using Handler = std::function<void(absl::StatusOr<BackEndResponse>)>;
  virtual ~BackEndClient() = default;
  virtual BackEndCallId call(BackEndRequest request, Handler done) = 0;
  /// Closes the connection of a call; its handler is not run.
  virtual void cancel(BackEndCallId call) = 0;
};

std::unique_ptr<BackEndClient>
makeBackEndClient(boost::asio::io_context &context, const Endpoint &backEnd);

struct HttpServerRequest {
  std::string Method;
  std::string Target;
  std::string Body;
};

struct HttpServerResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

/// \p reply may be called once, also later; without it the connection ends
/// after its timeout.
using HttpHandler = std::function<void(
    const HttpServerRequest &, std::function<void(HttpServerResponse)> reply)>;

/// HTTP/1.1 server for small bodies. A request that is malformed is answered
/// with 400, one that is too large with 413; one that is too slow ends its
/// connection.
class HttpServer {
public:
  virtual ~HttpServer() = default;
  virtual Endpoint endpoint() const = 0;
  virtual void stop() = 0;
};

absl::StatusOr<std::unique_ptr<HttpServer>>
listenHttp(boost::asio::io_context &context, const Endpoint &local,
           HttpHandler handler);

/// Serves \p text at GET /metrics, on the thread of the context.
absl::StatusOr<std::unique_ptr<HttpServer>>
serveMetrics(boost::asio::io_context &context, const Endpoint &local,
             std::function<std::string()> text);

/// Runs \p changed when the file was replaced or written, or the process got
/// SIGHUP. The file is looked at every few seconds.
class FileWatch {
public:
  virtual ~FileWatch() = default;
  virtual void stop() = 0;
};

std::unique_ptr<FileWatch> watchFile(boost::asio::io_context &context,
                                     std::string path,
                                     std::function<void()> changed);

/// Runs \p step every \p interval until stopped.
class PeriodicTimer {
public:
  virtual ~PeriodicTimer() = default;
  virtual void stop() = 0;
};

std::unique_ptr<PeriodicTimer> startTimer(boost::asio::io_context &context,
                                          Duration interval,
                                          std::function<void()> step);

/// Runs \p stop once on SIGTERM or SIGINT.
void onStopSignal(boost::asio::io_context &context, std::function<void()> stop);

/// Exit codes of the daemons.
namespace ExitCode {
inline constexpr int Ok = 0;
/// The settings file has findings, which were printed to standard error.
inline constexpr int BadSettings = 1;
inline constexpr int Usage = 2;
/// A socket, folder or file could not be opened, or was lost while running.
inline constexpr int Failed = 3;
} // namespace ExitCode

struct DaemonArguments {
  std::string SettingsPath;
  bool CheckOnly = false;
};

/// A switch that only one of the daemons has, without its dashes.
struct DaemonSwitch {
  std::string Name;
  std::string Description;
  bool IsSet = false;
};

/// Parses --settings FILE, --check and \p extra, and handles --help and
/// --version, which end the process. Wrong usage ends it with ExitCode::Usage.
DaemonArguments parseDaemonArguments(int argc, char **argv,
                                     const std::string &description,
                                     const std::string &version,
                                     std::span<DaemonSwitch> extra = {});

} // namespace pistachio
