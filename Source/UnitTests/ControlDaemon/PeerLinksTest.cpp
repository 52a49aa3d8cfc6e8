#include "ControlDaemon/PeerLinks.h"

#include "../Runtime/RunUntil.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace pistachio {
namespace {

AppendRequest appendOf(std::size_t payloadBytes) {
  AppendRequest request;
  request.Term = 1;
  if (payloadBytes > 0)
    request.Entries = {{1, 1, {}, Bytes(payloadBytes)}};
  return request;
}

// Load pattern: a storm of large configurations, replicated to an instance
// behind a link of 2 Mbit/s. Guards against a leader that queues every copy it
// sends again: the queue grew to 8 MB for each such member, and the heartbeats
// behind it came half a minute late.
TEST(PeerLinksTest, CongestedLinkCarriesHeartbeatsOnly) {
  boost::asio::io_context context;
  // A member whose link is so slow that it reads nothing.
  boost::asio::ip::tcp::acceptor member(
      context, {boost::asio::ip::address_v4::loopback(), 0}, true);
  member.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  const Endpoint address{0x7F000001, member.local_endpoint().port()};
  boost::asio::ip::tcp::socket accepted(context);
  bool isAccepted = false;
  member.async_accept(
      accepted, [&](const boost::system::error_code &) { isAccepted = true; });
  PeerLinks links(context, {});
  links.send(address, appendOf(0));
  ASSERT_TRUE(runUntil(context, [&] { return isAccepted; }));
  constexpr std::size_t EntryBytes = 100 * 1024;
  // More than the buffers of the system take.
  for (int i = 0; i < 300; ++i) {
    links.send(address, appendOf(EntryBytes));
    context.run_for(std::chrono::milliseconds(1));
  }
  EXPECT_GT(links.skippedMessages(), 100U);
  const std::size_t queued = links.queuedBytes(address);
  EXPECT_GT(queued, 0U);
  EXPECT_LT(queued, 3 * EntryBytes);
  links.send(address, appendOf(0));
  EXPECT_GT(links.queuedBytes(address), queued);
}

} // namespace
} // namespace pistachio
