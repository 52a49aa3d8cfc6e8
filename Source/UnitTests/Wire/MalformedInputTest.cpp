#include "SampleMessages.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace pistachio {
namespace {

constexpr int MessagesPerDecoder = 100000;
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;

struct Channel {
  const char *Name;
  std::vector<Bytes> Samples;
  std::function<bool(std::span<const std::byte>)> Decodes;
};

template <typename Message, typename Encode>
std::vector<Bytes> encodeAll(const std::vector<Message> &in, Encode encode) {
  std::vector<Bytes> out;
  for (const Message &it : in) {
    out.emplace_back();
    EXPECT_TRUE(encode(it, out.back()).ok());
  }
  return out;
}

std::vector<Channel> channels() {
  using Input = std::span<const std::byte>;
  return {{"Data", encodeAll(sampleDataMessages(), encodeData),
           [](Input in) { return decodeData(in).ok(); }},
          {"Session", encodeAll(sampleSessionMessages(), encodeSession),
           [](Input in) { return decodeSession(in).ok(); }},
          {"Node", encodeAll(sampleNodeMessages(), encodeNode),
           [](Input in) { return decodeNode(in).ok(); }},
          {"Command", encodeAll(sampleCommands(), encodeCommand),
           [](Input in) { return decodeCommand(in).ok(); }},
          {"Consensus", encodeAll(sampleConsensusMessages(), encodeConsensus),
           [](Input in) { return decodeConsensus(in).ok(); }},
          {"Peer", encodeAll(samplePeerMessages(), encodePeer),
           [](Input in) { return decodePeer(in).ok(); }}};
}

void storeLittle32(Bytes &buf, std::size_t offset, std::uint32_t value) {
  for (std::size_t i = 0; i < 4 && offset + i < buf.size(); ++i)
    buf[offset + i] = static_cast<std::byte>(value >> (8 * i));
}

/// Repairs length and checksum so that the altered body reaches the field
/// decoders.
void repairEnvelope(Bytes &buf) {
  if (buf.size() < EnvelopeBytes)
    return;
  storeLittle32(buf, LengthOffset,
                static_cast<std::uint32_t>(buf.size() - EnvelopeBytes));
  storeLittle32(
      buf, ChecksumOffset,
      checksum32(std::span<const std::byte>(buf).subspan(EnvelopeBytes)));
}

Bytes mutate(Bytes buf, std::mt19937_64 &random) {
  const auto pick = [&](std::size_t n) {
    return static_cast<std::size_t>(random() % n);
  };
  switch (pick(6)) {
  case 0: // cut off
    buf.resize(pick(buf.size()));
    break;
  case 1: // over-long
    buf.resize(buf.size() + 1 + pick(64), std::byte{0xFF});
    break;
  case 2: // bit flips
    for (std::size_t n = 1 + pick(8); n > 0; --n)
      buf[pick(buf.size())] ^= static_cast<std::byte>(1U << pick(8));
    break;
  case 3: // lying length fields inside the body
    storeLittle32(buf, pick(buf.size()), 0xFFFFFFFFU >> pick(32));
    break;
  case 4: // another version or type
    buf[2 + pick(2)] = static_cast<std::byte>(random());
    break;
  default: // noise
    for (std::byte &it : buf)
      it = static_cast<std::byte>(random());
  }
  return buf;
}

class MalformedInputTest : public testing::TestWithParam<std::size_t> {};

// Guards against crashes, reads out of bounds and allocations by a length field
// of a peer. Half of the messages have a valid checksum, so that the fields
// themselves are reached.
TEST_P(MalformedInputTest, IsRefusedOrDecodedSafely) {
  const Channel channel = channels()[GetParam()];
  std::mt19937_64 random(20261204 + GetParam());
  int refused = 0;
  for (int i = 0; i < MessagesPerDecoder; ++i) {
    Bytes buf =
        mutate(channel.Samples[random() % channel.Samples.size()], random);
    if (random() % 2 == 0)
      repairEnvelope(buf);
    refused += channel.Decodes(buf) ? 0 : 1;
  }
  // The other half never has a valid checksum but by chance.
  EXPECT_GE(refused, MessagesPerDecoder * 45 / 100) << channel.Name;
}

INSTANTIATE_TEST_SUITE_P(Channels, MalformedInputTest,
                         testing::Range<std::size_t>(0, 6));

// Guards against a reader that takes a message of another channel for one of
// its own.
TEST(MalformedInputTest, MessageOfAnotherChannelIsRefused) {
  const std::vector<Channel> all = channels();
  for (const Channel &from : all) {
    for (const Channel &to : all) {
      for (const Bytes &it : from.Samples)
        EXPECT_EQ(to.Decodes(it), from.Name == to.Name)
            << from.Name << " read as " << to.Name;
    }
  }
}

} // namespace
} // namespace pistachio
