#include "RelayTestSupport.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Guards against losing packets that arrive just before the first table, which
// callers would have to retransmit. Also guards against forwarding an outdated
// copy of a packet or one whose caller has given up, and against unbounded
// growth of the buffer.
TEST(DeferredPacketsTest, KeepsTheLatestOfEachFlow) {
  DeferredPackets packets;
  const TimePoint start{Duration(1000)};
  const FlowEndpoints first{callerEndpoint(1), RouteAddress};
  packets.add(first, Bytes{std::byte{1}}, start);
  packets.add(first, Bytes{std::byte{2}}, start + Duration(200));
  packets.add({callerEndpoint(2), RouteAddress}, Bytes{std::byte{3}}, start);
  const auto kept = packets.take(start + Duration(1300));
  ASSERT_EQ(kept.size(), 1U);
  EXPECT_EQ(kept[0].Data, Bytes{std::byte{2}});
  EXPECT_EQ(kept[0].Arrived, start + Duration(200));
  EXPECT_EQ(packets.size(), 0U);
  for (std::uint32_t n = 0; n < 10000; ++n)
    packets.add({{n, 1}, RouteAddress}, Bytes{std::byte{1}}, start);
  EXPECT_LE(packets.size(), 2000U);
}

// Guards against a backlog in which a burst is served oldest first, so that
// every request waits behind older ones until all of them are late.
TEST(DeferredPacketsTest, ReturnsTheNewestFirst) {
  DeferredPackets packets;
  const TimePoint start{Duration(1000)};
  for (const int ms : {30, 10, 20})
    packets.add({{static_cast<std::uint32_t>(ms), 1}, RouteAddress},
                Bytes{static_cast<std::byte>(ms)}, start + Duration(ms));
  const auto kept = packets.take(start + Duration(40));
  ASSERT_EQ(kept.size(), 3U);
  EXPECT_EQ(kept[0].Data[0], std::byte{30});
  EXPECT_EQ(kept[2].Data[0], std::byte{10});
}

// Guards against dropping a newer packet of a flow because the search has sent
// an older one, and against sending the same packet again.
TEST(DeferredPacketsTest, OnlyTheSamePacketCountsAsSent) {
  DeferredPackets packets;
  const TimePoint start{Duration(1000)};
  const FlowEndpoints flow{callerEndpoint(1), RouteAddress};
  const Bytes older{std::byte{1}};
  const Bytes newer{std::byte{2}};
  packets.markSent(flow, older);
  packets.add(flow, older, start);
  EXPECT_FALSE(packets.find(flow)->WasSent);
  packets.markSent(flow, older);
  packets.add(flow, older, start);
  EXPECT_TRUE(packets.find(flow)->WasSent);
  packets.add(flow, newer, start);
  EXPECT_FALSE(packets.find(flow)->WasSent);
  packets.markSent(flow, older);
  EXPECT_FALSE(packets.find(flow)->WasSent);
}

} // namespace
} // namespace pistachio
