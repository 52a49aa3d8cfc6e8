#include "SampleMessages.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace pistachio {
namespace {

constexpr int MessagesPerDecoder = 100000;
// Offsets in the message header.
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;

/// Sample messages and the decoder of one channel.
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

void storeLittleEndian32(Bytes &buf, std::size_t offset, std::uint32_t value) {
  for (std::size_t i = 0; i < 4 && offset + i < buf.size(); ++i)
    buf[offset + i] = static_cast<std::byte>(value >> (8 * i));
}

/// Sets the length and checksum in the envelope, which is the header of the
/// message, to match the corrupted body, so that the decoders of the fields
/// receive the body.
void repairEnvelope(Bytes &buf) {
  if (buf.size() < EnvelopeBytes)
    return;
  storeLittleEndian32(buf, LengthOffset,
                      static_cast<std::uint32_t>(buf.size() - EnvelopeBytes));
  storeLittleEndian32(
      buf, ChecksumOffset,
      checksum32(std::span<const std::byte>(buf).subspan(EnvelopeBytes)));
}

/// Returns a copy of \p buf with a random kind of corruption.
Bytes corrupt(Bytes buf, std::mt19937_64 &random) {
  const auto randomBelow = [&](std::size_t n) {
    return static_cast<std::size_t>(random() % n);
  };
  switch (randomBelow(6)) {
  case 0: // truncated
    buf.resize(randomBelow(buf.size()));
    break;
  case 1: // trailing bytes
    buf.resize(buf.size() + 1 + randomBelow(64), std::byte{0xFF});
    break;
  case 2: // bit flips
    for (std::size_t n = 1 + randomBelow(8); n > 0; --n)
      buf[randomBelow(buf.size())] ^=
          static_cast<std::byte>(1U << randomBelow(8));
    break;
  case 3: // wrong length fields in the body
    storeLittleEndian32(buf, randomBelow(buf.size()),
                        0xFFFFFFFFU >> randomBelow(32));
    break;
  case 4: // another version or type
    buf[2 + randomBelow(2)] = static_cast<std::byte>(random());
    break;
  default: // random bytes
    for (std::byte &it : buf)
      it = static_cast<std::byte>(random());
  }
  return buf;
}

class MalformedInputTest : public testing::TestWithParam<std::size_t> {};

// Guards against decoders that crash, read out of bounds or allocate as much
// memory as a length field of a peer claims. Half of the messages get a valid
// checksum, since decoders reject the others before they read any field.
TEST_P(MalformedInputTest, IsRejectedOrDecodedSafely) {
  const Channel channel = channels()[GetParam()];
  std::mt19937_64 random(20261204 + GetParam());
  int rejected = 0;
  for (int i = 0; i < MessagesPerDecoder; ++i) {
    Bytes buf =
        corrupt(channel.Samples[random() % channel.Samples.size()], random);
    if (random() % 2 == 0)
      repairEnvelope(buf);
    rejected += channel.Decodes(buf) ? 0 : 1;
  }
  // A message whose envelope was not repaired has a valid checksum only by
  // chance. These are about half of the messages; 45 % leaves room for random
  // variation.
  EXPECT_GE(rejected, MessagesPerDecoder * 45 / 100) << channel.Name;
}

INSTANTIATE_TEST_SUITE_P(Channels, MalformedInputTest,
                         testing::Range<std::size_t>(0, 6));

// Guards against a decoder that accepts a message of another channel, which
// happens if the ranges of the message types overlap.
TEST(MalformedInputTest, MessageOfAnotherChannelIsRejected) {
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
