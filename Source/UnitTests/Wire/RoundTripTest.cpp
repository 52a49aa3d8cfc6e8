#include "SampleMessages.h"

#include <gtest/gtest.h>

#include <cstring>

namespace pistachio {
namespace {

/// Expects that each sample is equal to its original after encoding and
/// decoding.
template <typename Message, typename Encode, typename Decode>
void expectRoundTrip(const std::vector<Message> &samples, Encode encode,
                     Decode decode) {
  for (const Message &it : samples) {
    Bytes buf;
    ASSERT_TRUE(encode(it, buf).ok()) << it.index();
    const auto decoded = decode(buf);
    ASSERT_TRUE(decoded.ok()) << it.index() << ": " << decoded.status();
    EXPECT_TRUE(*decoded == it) << it.index();
  }
}

// Guards against message fields that are encoded but not decoded, or the
// reverse.
TEST(RoundTripTest, AllMessagesOfAllChannels) {
  expectRoundTrip(sampleDataMessages(), encodeData, decodeData);
  expectRoundTrip(sampleSessionMessages(), encodeSession, decodeSession);
  expectRoundTrip(sampleNodeMessages(), encodeNode, decodeNode);
  expectRoundTrip(sampleCommands(), encodeCommand, decodeCommand);
  expectRoundTrip(sampleConsensusMessages(), encodeConsensus, decodeConsensus);
  expectRoundTrip(samplePeerMessages(), encodePeer, decodePeer);
}

// Guards against a message with a payload of maximum size that exceeds the MTU
// when it is forwarded between processes.
TEST(RoundTripTest, LargestForwardedPacketFitsDatagram) {
  Bytes buf;
  EXPECT_TRUE(
      encodeData(ChainExhausted{sampleForwarded(MaxPayloadBytes)}, buf).ok());
  EXPECT_LE(buf.size(), MaxDatagramBytes);
  // The largest ChainedPacket is among the samples.
  buf.clear();
  EXPECT_TRUE(encodeData(sampleDataMessages().back(), buf).ok());
  EXPECT_LE(buf.size(), MaxDatagramBytes);
}

// Guards against a name that settings accept and messages do not carry: the
// process would start and then never be known to control.
TEST(RoundTripTest, LongestNameOfSettingsFitsMessages) {
  const std::string name(64, 'b');
  Bytes buf;
  EXPECT_TRUE(encodeNode(Subscribe{name, "x", {}, {}}, buf).ok());
  EXPECT_TRUE(encodeNode(LeaseRequest{name, {}}, buf).ok());
  EXPECT_TRUE(encodeData(PeerLeaseQuery{name, 1, {}}, buf).ok());
}

// Guards against a table update that a balancer of the previous release cannot
// read although no route has terms. Size and checksum are those of 990e40b.
TEST(RoundTripTest, UpdateWithoutTermsHasTheBytesOfThePreviousRelease) {
  Bytes buf;
  ASSERT_TRUE(encodeNode(sampleNodeMessages()[0], buf).ok());
  EXPECT_EQ(buf.size(), 240U);
  EXPECT_EQ(checksum32(buf), 0x9E255E45U);
}

// Guards against a write beyond the routes and against unknown or contradictory
// values in a message with a valid checksum.
TEST(RoundTripTest, CorruptedTermsAreRejected) {
  TableUpdate update;
  update.Routes = {{{1, 443}, {}, {}, {5, {}, {}, {}}}};
  // The message ends with the index of the route, the flags and the urgency.
  for (const auto &[fromEnd, value] : {std::pair(1, 10), std::pair(2, 33),
                                       std::pair(2, 25), std::pair(4, 1)}) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(update, buf).ok());
    *(buf.end() - fromEnd) = std::byte(value);
    const auto checksum = checksum32(std::span(buf).subspan(EnvelopeBytes));
    std::memcpy(&buf[8], &checksum, sizeof(checksum));
    EXPECT_FALSE(decodeNode(buf).ok()) << fromEnd << " " << value;
  }
}

/// The fields of a load as a process of the previous release reads them: the
/// last six bytes of a FlowHeld.
UpstreamLoad readAsPreviousRelease(const UpstreamLoad &load) {
  Bytes buf;
  EXPECT_TRUE(encodeData(FlowHeld{{}, {}, 0, load}, buf).ok());
  const auto read = [&](std::size_t fromEnd) {
    const std::byte *it = buf.data() + buf.size() - fromEnd;
    return static_cast<std::uint16_t>(std::to_integer<unsigned>(it[0]) |
                                      std::to_integer<unsigned>(it[1]) << 8);
  };
  return {read(6), read(4), read(2)};
}

UpstreamLoad roundTrip(const UpstreamLoad &load) {
  Bytes buf;
  EXPECT_TRUE(encodeData(FlowHeld{{}, {}, 0, load}, buf).ok());
  const auto decoded = decodeData(buf);
  EXPECT_TRUE(decoded.ok());
  return std::get<FlowHeld>(*decoded).Load;
}

/// Load per slot as the previous release computes it.
double loadPerSlot(const UpstreamLoad &it) {
  return (it.BusyFlows + it.Flows * 0.05) / it.Slots;
}

// Guards against a service time that changes the order in which balancers of
// the previous release choose upstreams, and against loads that are read
// wrongly.
TEST(RoundTripTest, PreviousReleaseReadsLoadsWithServiceTime) {
  for (const std::uint16_t slots : {1, 2, 4, 5, 16, 100, 256})
    for (const std::uint16_t busy : {0, 1, 2, 3, 7, 40, 255, 700})
      for (const std::uint16_t flows : {0, 1, 19, 20, 21, 333, 4000, 20'000})
        for (const std::uint16_t time : {1, 2, 3, 20, 100, 400, 2000, 55'000}) {
          const UpstreamLoad load{busy, flows, slots, time};
          const UpstreamLoad seen = readAsPreviousRelease(load);
          EXPECT_GE(loadPerSlot(seen), loadPerSlot(load) - 1e-9);
          EXPECT_LT(loadPerSlot(seen), loadPerSlot(load) + 0.004);
          const UpstreamLoad decoded = roundTrip(load);
          EXPECT_EQ(decoded.BusyFlows, busy);
          EXPECT_EQ(decoded.Flows, flows);
          EXPECT_EQ(decoded.Slots, slots);
          if (loadPerSlot(load) < 3.9)
            EXPECT_NEAR(decoded.ServiceTimeMs, time, 0.5 + 0.1 * time);
          else
            EXPECT_LE(decoded.ServiceTimeMs, time * 1.1);
        }
}

// Guards against a load of the previous release that is taken for one with a
// service time: its upstreams have at most 10,000 slots.
TEST(RoundTripTest, PreviousReleaseStatesNoServiceTime) {
  for (const std::uint16_t slots : {0, 1, 256, 257, 4096, 4097, 10'000}) {
    const UpstreamLoad load{40'000, 20'000, slots};
    EXPECT_EQ(readAsPreviousRelease(load), load);
    EXPECT_EQ(roundTrip(load), load);
  }
}

// Guards against an encoder that truncates a field that is too long instead of
// reporting an error.
TEST(RoundTripTest, OversizedFieldIsRejectedByEncoder) {
  Bytes buf(3);
  EXPECT_FALSE(encodeData(sampleForwarded(MaxPayloadBytes + 1), buf).ok());
  ChainedPacket chained;
  chained.NextAgents.resize(MaxChainedAgents);
  EXPECT_FALSE(encodeData(chained, buf).ok());
  chained.NextAgents.clear();
  chained.Packet.resize(MaxOpaquePacketBytes + 1);
  EXPECT_FALSE(encodeData(chained, buf).ok());
  EXPECT_EQ(buf.size(), 3U);
}

} // namespace
} // namespace pistachio
