#include "SampleMessages.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

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

// Guards against fields that one side writes and the other does not read.
TEST(RoundTripTest, EveryMessageOfEveryChannel) {
  expectRoundTrip(sampleDataMessages(), encodeData, decodeData);
  expectRoundTrip(sampleSessionMessages(), encodeSession, decodeSession);
  expectRoundTrip(sampleNodeMessages(), encodeNode, decodeNode);
  expectRoundTrip(sampleCommands(), encodeCommand, decodeCommand);
  expectRoundTrip(sampleConsensusMessages(), encodeConsensus, decodeConsensus);
  expectRoundTrip(samplePeerMessages(), encodePeer, decodePeer);
}

// Guards against a full packet that grows past the MTU on its way between
// processes.
TEST(RoundTripTest, LargestForwardedPacketFitsDatagram) {
  Bytes buf;
  EXPECT_TRUE(
      encodeData(ChainExhausted{sampleForwarded(MaxPayloadBytes)}, buf).ok());
  EXPECT_LE(buf.size(), MaxDatagramBytes);
}

// Guards against a sender that silently truncates what does not fit.
TEST(RoundTripTest, OverlongFieldIsRefusedAtTheSender) {
  Bytes buf(3);
  EXPECT_FALSE(encodeData(sampleForwarded(MaxPayloadBytes + 1), buf).ok());
  EXPECT_EQ(buf.size(), 3U);
}

} // namespace
} // namespace pistachio
