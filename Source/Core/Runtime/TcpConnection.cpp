#include "Runtime/TcpConnection.h"

#include "Runtime/FrameHeader.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// The connection is closed if more data is queued, so that a peer that does
/// not read cannot exhaust the memory of the process.
constexpr std::size_t MaxQueuedBytes = 8 * 1024 * 1024;

} // namespace

TcpConnection::TcpConnection(tcp::socket socket, FrameHandler onFrame,
                             CloseHandler onClose)
    : Socket(std::move(socket)), OnFrame(std::move(onFrame)),
      OnClose(std::move(onClose)) {}

void TcpConnection::start() {
  error_code ec;
  Socket.set_option(tcp::no_delay(true), ec);
  readHeader();
}

void TcpConnection::readHeader() {
  Input.resize(EnvelopeBytes);
  boost::asio::async_read(
      Socket, boost::asio::buffer(Input),
      [self = shared_from_this()](error_code ec, std::size_t /*n*/) {
        if (ec)
          return self->close();
        const auto length = readBodyLength(self->Input);
        if (!length.ok())
          return self->close();
        self->readBody(*length);
      });
}

void TcpConnection::readBody(std::size_t n) {
  Input.resize(EnvelopeBytes + n);
  boost::asio::async_read(
      Socket, boost::asio::buffer(Input.data() + EnvelopeBytes, n),
      [self = shared_from_this()](error_code ec, std::size_t /*n*/) {
        if (ec)
          return self->close();
        if (self->Closed)
          return;
        self->OnFrame(self->Input);
        if (!self->Closed)
          self->readHeader();
      });
}

void TcpConnection::send(std::span<const std::byte> frame) {
  if (Closed)
    return;
  QueuedBytes += frame.size();
  if (QueuedBytes > MaxQueuedBytes)
    return close();
  Output.emplace_back(frame.begin(), frame.end());
  if (Output.size() == 1)
    writeNext();
}

void TcpConnection::writeNext() {
  boost::asio::async_write(
      Socket, boost::asio::buffer(Output.front()),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        if (ec)
          return self->close();
        self->QueuedBytes -= n;
        self->Output.pop_front();
        if (!self->Output.empty())
          self->writeNext();
      });
}

void TcpConnection::close() {
  if (Closed)
    return;
  Closed = true;
  error_code ec;
  Socket.shutdown(tcp::socket::shutdown_both, ec);
  Socket.close(ec);
  boost::asio::post(Socket.get_executor(),
                    [self = shared_from_this()] { self->OnClose(); });
}

} // namespace pistachio
