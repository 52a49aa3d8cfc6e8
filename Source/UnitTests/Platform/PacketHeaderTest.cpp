#include "platform/Platform.h"

#include <gtest/gtest.h>

namespace pistachio::platform {
namespace {

Bytes toBytes(std::initializer_list<int> values) {
  Bytes buf;
  for (const int it : values)
    buf.push_back(static_cast<std::byte>(it));
  return buf;
}

/// A data packet from 10.20.30.40:4660 to 10.0.0.1:443 with the flags ACK, FIN
/// and "returned", and 2 bytes of data.
Bytes samplePacket() {
  return toBytes({0xDE, 0xAD, 0xBE, 0xEF, 0x86, 10,   20,   30,   40,
                  0x12, 0x34, 0x01, 0xBB, 10,   0,    0,    1,    0x01,
                  0x02, 0x03, 0x04, 0x0A, 0x0B, 0x0C, 0x0D, 0x00, 0x02,
                  0x11, 0x22, 0x33, 0x44, 'h',  'i'});
}

// Guards against fields that are read from a wrong offset.
TEST(PacketHeaderTest, ReadsEveryField) {
  const auto packet = makePacketFormat()->decode(samplePacket());
  ASSERT_TRUE(packet);
  EXPECT_EQ(packet->Source, (Endpoint{0x0A141E28, 0x1234}));
  EXPECT_EQ(packet->Destination, (Endpoint{0x0A000001, 443}));
  EXPECT_FALSE(packet->Opens);
  EXPECT_TRUE(packet->Acknowledges);
  EXPECT_TRUE(packet->Ends);
  EXPECT_FALSE(packet->Resets);
  EXPECT_TRUE(packet->Returned);
  EXPECT_EQ(packet->Sequence, 0x01020304U);
  EXPECT_EQ(packet->Acknowledgement, 0x0A0B0C0DU);
  EXPECT_EQ(packet->DataBytes, 2);
  EXPECT_EQ(packet->Tag, 0x11223344U);
}

// Guards against changes to other bytes of a packet than the tag and the return
// flag before it is forwarded to another upstream.
TEST(PacketHeaderTest, ChangesOnlyTagAndReturnFlag) {
  const auto format = makePacketFormat();
  Bytes buf = samplePacket();
  format->setTag(buf, 0x55667788);
  EXPECT_EQ(format->decode(buf)->Tag, 0x55667788U);
  format->clearTagAndReturned(buf);
  Bytes expected = samplePacket();
  expected[4] = std::byte{0x82};
  for (std::size_t i = 27; i < 31; ++i)
    expected[i] = std::byte{0};
  EXPECT_EQ(buf, expected);
}

struct ResetCase {
  const char *Name;
  bool Opens;
  std::uint32_t Sequence;
};

class ResetTest : public testing::TestWithParam<ResetCase> {};

// Guards against resets that callers do not accept.
TEST_P(ResetTest, ResetMatchesThePacket) {
  const auto format = makePacketFormat();
  FlowPacket packet = *format->decode(samplePacket());
  packet.Opens = GetParam().Opens;
  const Bytes buf = format->makeReset(packet);
  EXPECT_EQ(buf.size(), 31U);
  const auto reset = format->decode(buf);
  ASSERT_TRUE(reset);
  EXPECT_TRUE(reset->Resets);
  EXPECT_FALSE(reset->Acknowledges || reset->Opens || reset->Ends);
  EXPECT_EQ(reset->Source, packet.Destination);
  EXPECT_EQ(reset->Destination, packet.Source);
  EXPECT_EQ(reset->Sequence, GetParam().Sequence);
  EXPECT_EQ(reset->DataBytes, 0);
  EXPECT_EQ(Bytes(buf.begin(), buf.begin() + 4), Bytes(4));
}

INSTANTIATE_TEST_SUITE_P(
    Table, ResetTest,
    testing::Values(ResetCase{"OpenFlow", false, 0x0A0B0C0D},
                    ResetCase{"NewFlow", true, 0}),
    [](const auto &it) { return std::string(it.param.Name); });

struct BadLengthCase {
  const char *Name;
  std::size_t Bytes;
  int StatedData;
};

class BadLengthTest : public testing::TestWithParam<BadLengthCase> {};

// Guards against reads beyond the end of a datagram.
TEST_P(BadLengthTest, IsRejected) {
  Bytes buf = samplePacket();
  buf.resize(GetParam().Bytes);
  if (buf.size() > 26) {
    buf[25] = static_cast<std::byte>(GetParam().StatedData >> 8);
    buf[26] = static_cast<std::byte>(GetParam().StatedData);
  }
  EXPECT_FALSE(makePacketFormat()->decode(buf));
}

INSTANTIATE_TEST_SUITE_P(Table, BadLengthTest,
                         testing::Values(BadLengthCase{"Empty", 0, 0},
                                         BadLengthCase{"Cut", 30, 0},
                                         BadLengthCase{"LessThanStated", 32, 2},
                                         BadLengthCase{"MoreThanStated", 33, 1},
                                         BadLengthCase{"TooLong", 1232, 1201}),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace
} // namespace pistachio::platform
