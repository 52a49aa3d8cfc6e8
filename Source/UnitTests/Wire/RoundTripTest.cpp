#include "SampleMessages.h"

#include <gtest/gtest.h>

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
