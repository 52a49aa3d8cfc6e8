#pragma once

/// Public header of the Runtime library: sockets, timers, HTTP and other system
/// services, implemented with Boost.Asio. The daemons connect them to the
/// libraries without I/O.

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

/// Current time of a clock that is never set and that goes on while the machine
/// is suspended, so that leases and permits end during a suspension.
TimePoint steadyNow();

/// Current time of the system clock in milliseconds since the Unix epoch.
std::uint64_t wallClockMs();

/// Creates the incarnation of this process from the current time and random
/// bits.
Incarnation makeIncarnation();

/// A UDP socket. The handler runs on the threads of the io_context, for one
/// datagram of a socket at a time.
class UdpSocket {
public:
  using Handler =
      std::function<void(std::span<const std::byte> buf, const Endpoint &from)>;
  virtual ~UdpSocket() = default;
  virtual Endpoint endpoint() const = 0;
  /// Sends a datagram without blocking. Thread-safe. A datagram that the system
  /// does not accept is dropped and counted in droppedSends().
  virtual void send(std::span<const std::byte> buf, const Endpoint &to) = 0;
  virtual std::uint64_t droppedSends() const = 0;
  virtual void stop() = 0;
};

/// Opens a UDP socket at \p local. With \p reusePort several sockets can share
/// the port, and the kernel distributes the datagrams over them.
absl::StatusOr<std::unique_ptr<UdpSocket>>
openUdp(boost::asio::io_context &context, const Endpoint &local,
        UdpSocket::Handler handler, bool reusePort = false);

/// Identifies a connection of one TcpServer or TcpClient. Values are not
/// reused.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

struct FailedConnect {
  Endpoint Server;
  std::string Reason;
  Duration Elapsed{0};
};

/// Callbacks of a TCP channel that carries messages as frames. A frame is one
/// complete message of the Wire library, header and body. A connection is
/// closed if its peer sends data without a valid message header.
struct TcpHandlers {
  std::function<void(ConnectionId)> OnOpen;
  std::function<void(ConnectionId, std::span<const std::byte> frame)> OnFrame;
  std::function<void(ConnectionId)> OnClose;
  /// Clients only: an attempt to connect has failed or was given up.
  std::function<void(const FailedConnect &)> OnConnectFailed{};
};

/// Accepts TCP connections and exchanges frames over them.
class TcpServer {
public:
  virtual ~TcpServer() = default;
  virtual Endpoint endpoint() const = 0;
  /// Queues a frame. A connection with more than 8 MiB of queued data is
  /// closed. Does nothing if the connection is not open any more.
  virtual void send(ConnectionId connection,
                    std::span<const std::byte> frame) = 0;
  virtual void close(ConnectionId connection) = 0;
  virtual void stop() = 0;
};

absl::StatusOr<std::unique_ptr<TcpServer>>
listenTcp(boost::asio::io_context &context, const Endpoint &local,
          TcpHandlers handlers);

/// Maintains one connection to any of several servers. If a connection fails or
/// is closed, the client connects to the server that it tried least recently.
/// It waits for a reply for 0.2 s before it tries the next one, and uses the
/// first of the attempts that succeeds within 3 s. Between two rounds through
/// all servers there is an exponential back-off with jitter.
class TcpClient {
public:
  virtual ~TcpClient() = default;
  virtual bool isOpen() const = 0;
  /// The server of the current connection, or of the latest one.
  virtual Endpoint server() const = 0;
  /// How long the handshake of that connection took.
  virtual Duration connectTime() const = 0;
  /// Sends a frame. The frame is dropped if there is no connection.
  virtual void send(std::span<const std::byte> frame) = 0;
  /// Bytes of frames that wait to be sent; 0 if there is no connection.
  virtual std::size_t queuedBytes() const = 0;
  /// Closes the current connection and connects to the next server.
  virtual void reconnect() = 0;
  /// Replaces the configured servers. Takes effect at the next connection.
  virtual void setServers(std::vector<Endpoint> servers) = 0;
  /// Sets the servers that the current server has advertised. Those that have
  /// not been tried are tried first, in random order, and then the configured
  /// ones. If the current server is not among them, the connection moves to one
  /// of them after a random delay of at most 2 s. It does so again only 10 s
  /// later, in case none of them can be reached. Servers of earlier lists are
  /// tried between two rounds through the current ones.
  virtual void setAdvertisedServers(std::vector<Endpoint> servers) = 0;
  virtual void stop() = 0;
};

std::unique_ptr<TcpClient> connectTcp(boost::asio::io_context &context,
                                      std::vector<Endpoint> servers,
                                      TcpHandlers handlers);

/// A request to a back end.
struct BackEndRequest {
  std::string Method;
  std::string Path;
  Bytes Body;
  /// Value of the Idempotency-Key header field, which is omitted if it is
  /// empty.
  std::string IdempotencyKey;
  /// Value of the X-Request-Deadline-Ms header field. The connection is closed
  /// when this time has passed. 0 means no deadline.
  Duration Deadline{0};
};

struct BackEndResponse {
  int Status = 0;
  Bytes Body;
  /// From the Retry-After header field; 0 if it is absent or not in seconds.
  Duration RetryAfter{0};
};

using BackEndCallId = StrongId<struct HttpCallIdTag, std::uint64_t>;

/// HTTP/1.1 client for the back end of an agent. A failed call returns
/// Unavailable if the connection could not be established, so that no part of
/// the request was sent, and Unknown if the back end may have received the
/// request.
class BackEndClient {
public:
  using Handler = std::function<void(absl::StatusOr<BackEndResponse>)>;
  virtual ~BackEndClient() = default;
  virtual BackEndCallId call(BackEndRequest request, Handler done) = 0;
  /// Closes the connection of a call. The handler of the call is not invoked.
  virtual void cancel(BackEndCallId call) = 0;
};

std::unique_ptr<BackEndClient>
makeBackEndClient(boost::asio::io_context &context, const Endpoint &backEnd);

/// A request that an HttpServer has received.
struct HttpServerRequest {
  std::string Method;
  std::string Target;
  std::string Body;
  /// Returns whether the caller has closed its side of the connection. It then
  /// does not wait for the reply any more.
  std::function<bool()> IsAbandoned = [] { return false; };
};

struct HttpServerResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

/// Handles one request. The handler, or code that runs after it has returned,
/// calls \p reply once. A connection without a reply is closed after its
/// timeout.
using HttpHandler = std::function<void(
    const HttpServerRequest &, std::function<void(HttpServerResponse)> reply)>;

/// HTTP/1.1 server for small requests. It replies to malformed requests with
/// 400 and to bodies that are too large with 413. It closes connections that do
/// not complete a request in time.
class HttpServer {
public:
  virtual ~HttpServer() = default;
  virtual Endpoint endpoint() const = 0;
  virtual void stop() = 0;
};

absl::StatusOr<std::unique_ptr<HttpServer>>
listenHttp(boost::asio::io_context &context, const Endpoint &local,
           HttpHandler handler);

/// Serves GET /metrics. \p text produces the response body; it is called on the
/// thread of the io_context. \p otherPaths handles the requests for all other
/// paths; without it they are answered with 404.
absl::StatusOr<std::unique_ptr<HttpServer>>
serveMetrics(boost::asio::io_context &context, const Endpoint &local,
             std::function<std::string()> text, HttpHandler otherPaths = {});

/// Watches a file. It invokes a callback when the file has been written or
/// replaced, which it checks every 2 seconds, and when the process receives
/// SIGHUP.
class FileWatch {
public:
  virtual ~FileWatch() = default;
  virtual void stop() = 0;
};

/// Starts to watch the file at \p path; \p changed is the callback.
std::unique_ptr<FileWatch> watchFile(boost::asio::io_context &context,
                                     std::string path,
                                     std::function<void()> changed);

/// Invokes a callback periodically until it is stopped.
class PeriodicTimer {
public:
  virtual ~PeriodicTimer() = default;
  virtual void stop() = 0;
};

/// Invokes \p callback every \p interval, the first time after one interval.
std::unique_ptr<PeriodicTimer> startTimer(boost::asio::io_context &context,
                                          Duration interval,
                                          std::function<void()> callback);

/// Invokes \p stop at the first SIGTERM or SIGINT.
void onStopSignal(boost::asio::io_context &context, std::function<void()> stop);

/// Exit codes of the daemons.
namespace ExitCode {
inline constexpr int Ok = 0;
/// The settings file has errors; they have been printed to standard error.
inline constexpr int BadSettings = 1;
inline constexpr int Usage = 2;
/// A socket, folder or file could not be opened, or failed at run time.
inline constexpr int Failed = 3;
} // namespace ExitCode

struct DaemonArguments {
  std::string SettingsPath;
  bool CheckOnly = false;
};

/// A command-line switch that is specific to one of the daemons.
struct DaemonSwitch {
  /// Name without the leading dashes.
  std::string Name;
  std::string Description;
  bool IsSet = false;
};

/// Parses --settings FILE, --check and the switches in \p daemonSwitches. Exits
/// the process after --help and --version, and with ExitCode::Usage after a
/// usage error.
DaemonArguments
parseDaemonArguments(int argc, char **argv, const std::string &description,
                     const std::string &version,
                     std::span<DaemonSwitch> daemonSwitches = {});

} // namespace pistachio
