#pragma once

#include "Wire/Envelope.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <span>

namespace pistachio {

/// Exchanges frames over one connected TCP socket. All functions must be
/// called, and all callbacks run, on the io_context of the socket.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using FrameHandler = std::function<void(std::span<const std::byte>)>;
  using CloseHandler = std::function<void()>;

  TcpConnection(boost::asio::ip::tcp::socket socket, FrameHandler onFrame,
                CloseHandler onClose);

  void start();
  void send(std::span<const std::byte> frame);
  /// Bytes that the system has not accepted for sending yet.
  std::size_t queuedBytes() const { return QueuedBytes; }
  /// Closes the socket. The close handler is invoked once, asynchronously by
  /// the io_context and never from within this call.
  void close();

private:
  void readHeader();
  void readBody(std::size_t n);
  void writeNext();

  boost::asio::ip::tcp::socket Socket;
  FrameHandler OnFrame;
  CloseHandler OnClose;
  Bytes Input;
  std::deque<Bytes> Output;
  std::size_t QueuedBytes = 0;
  bool Closed = false;
};

} // namespace pistachio
