#pragma once

#include "Wire/Envelope.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <span>

namespace pistachio {

/// Frames over one open TCP socket. All calls and callbacks on the socket's
/// context.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using FrameHandler = std::function<void(std::span<const std::byte>)>;
  using CloseHandler = std::function<void()>;

  TcpConnection(boost::asio::ip::tcp::socket socket, FrameHandler onFrame,
                CloseHandler onClose);

  void start();
  void send(std::span<const std::byte> frame);
  /// The close handler is run once, from the context and not from within this
  /// call.
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
