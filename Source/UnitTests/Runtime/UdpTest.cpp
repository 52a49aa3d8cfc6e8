#include "Runtime/Runtime.h"

#include "RunUntil.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

const Endpoint Loopback{0x7F000001, 0};

// Guards against datagrams that are corrupted or reported with a wrong sender.
TEST(UdpTest, DeliversDatagramsInBothDirections) {
  boost::asio::io_context context;
  std::unique_ptr<UdpSocket> echo;
  auto opened = openUdp(context, Loopback,
                        [&](std::span<const std::byte> buf,
                            const Endpoint &from) { echo->send(buf, from); });
  ASSERT_TRUE(opened.ok()) << opened.status();
  echo = *std::move(opened);
  Bytes received;
  Endpoint sender;
  auto client =
      openUdp(context, Loopback,
              [&](std::span<const std::byte> buf, const Endpoint &from) {
                received.assign(buf.begin(), buf.end());
                sender = from;
              });
  ASSERT_TRUE(client.ok()) << client.status();
  const Bytes sent(1400, std::byte{42});
  (*client)->send(sent, echo->endpoint());
  ASSERT_TRUE(runUntil(context, [&] { return !received.empty(); }));
  EXPECT_EQ(received, sent);
  EXPECT_EQ(sender, echo->endpoint());
}

// Guards against a second process that shares the port of the first one without
// an error, so that each would receive only a part of the datagrams.
TEST(UdpTest, PortInUseIsAnError) {
  boost::asio::io_context context;
  const auto ignore = [](std::span<const std::byte>, const Endpoint &) {};
  const auto first = openUdp(context, Loopback, ignore);
  ASSERT_TRUE(first.ok());
  const auto second = openUdp(context, (*first)->endpoint(), ignore);
  EXPECT_EQ(second.status().code(), absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace pistachio
