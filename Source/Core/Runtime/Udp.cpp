#include "Runtime/AsioEndpoint.h"
#include "Runtime/Runtime.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <atomic>
#include <sys/socket.h>

namespace pistachio {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

/// A longer datagram is truncated by the system and then rejected by its
/// decoder.
constexpr std::size_t ReceiveBufferBytes = 2048;

/// Maximum number of datagrams read before other handlers of the io_context
/// run.
constexpr int MaxDatagramsPerWakeup = 64;

/// Size of the send and receive buffers of the socket; holds a burst of several
/// thousand datagrams.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

using ReusePortOption =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

class AsioUdpSocket : public UdpSocket {
public:
  AsioUdpSocket(udp::socket socket, Handler handler)
      : Shared(std::make_shared<State>(std::move(socket), std::move(handler))) {
    Shared->waitReadable();
  }
  ~AsioUdpSocket() override { AsioUdpSocket::stop(); }
  AsioUdpSocket(const AsioUdpSocket &) = delete;
  AsioUdpSocket &operator=(const AsioUdpSocket &) = delete;

  Endpoint endpoint() const override { return Shared->LocalEndpoint; }

  void send(std::span<const std::byte> buf, const Endpoint &to) override {
    const udp::endpoint target = toAsio<udp>(to);
    // The system call is thread-safe, whereas the socket object of Asio is not.
    const auto n = ::sendto(Shared->Descriptor, buf.data(), buf.size(),
                            MSG_DONTWAIT | MSG_NOSIGNAL, target.data(),
                            static_cast<socklen_t>(target.size()));
    if (n < 0)
      Shared->DroppedSends.fetch_add(1, std::memory_order_relaxed);
  }

  std::uint64_t droppedSends() const override {
    return Shared->DroppedSends.load(std::memory_order_relaxed);
  }

  void stop() override {
    Shared->Stopped = true;
    error_code ec;
    Shared->Socket.close(ec);
  }

private:
  struct State : std::enable_shared_from_this<State> {
    State(udp::socket socket, Handler handler)
        : Socket(std::move(socket)), OnDatagram(std::move(handler)),
          Descriptor(Socket.native_handle()),
          LocalEndpoint(fromAsio(Socket.local_endpoint())) {}

    void waitReadable() {
      Socket.async_wait(udp::socket::wait_read,
                        [self = shared_from_this()](error_code ec) {
                          if (ec || self->Stopped)
                            return;
                          self->readAvailable();
                          if (!self->Stopped)
                            self->waitReadable();
                        });
    }

    void readAvailable() {
      for (int i = 0; i < MaxDatagramsPerWakeup && !Stopped; ++i) {
        udp::endpoint from;
        error_code ec;
        const std::size_t n =
            Socket.receive_from(boost::asio::buffer(Buffer), from, 0, ec);
        if (ec == boost::asio::error::would_block)
          return;
        // Other errors are ICMP errors caused by datagrams sent earlier. No
        // datagram was received then.
        if (!ec)
          OnDatagram(std::span<const std::byte>(Buffer).first(n),
                     fromAsio(from));
      }
    }

    udp::socket Socket;
    Handler OnDatagram;
    int Descriptor;
    Endpoint LocalEndpoint;
    std::array<std::byte, ReceiveBufferBytes> Buffer;
    std::atomic<std::uint64_t> DroppedSends = 0;
    std::atomic<bool> Stopped = false;
  };

  std::shared_ptr<State> Shared;
};

} // namespace

absl::StatusOr<std::unique_ptr<UdpSocket>>
openUdp(boost::asio::io_context &context, const Endpoint &local,
        UdpSocket::Handler handler, bool reusePort) {
  try {
    udp::socket socket(context);
    socket.open(udp::v4());
    if (reusePort)
      socket.set_option(ReusePortOption(true));
    socket.set_option(udp::socket::receive_buffer_size(SocketBufferBytes));
    socket.set_option(udp::socket::send_buffer_size(SocketBufferBytes));
    socket.bind(toAsio<udp>(local));
    socket.non_blocking(true);
    return std::make_unique<AsioUdpSocket>(std::move(socket),
                                           std::move(handler));
  } catch (const boost::system::system_error &e) {
    return absl::UnavailableError(absl::StrCat(
        "cannot open UDP endpoint ", toString(local), ": ", e.what()));
  }
}

} // namespace pistachio
