#include "LinkSender.h"

#include "Runtime/RunUntil.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Guards against packets that wait and are never sent, and against a full link
// that shows in no metric.
TEST(LinkSenderTest, SendsWaitingPacketsByItself) {
  boost::asio::io_context context(1);
  const auto registry = makeMetricsRegistry();
  std::vector<std::uint32_t> sent;
  // The fourth packet waits for 87 ms.
  LinkSender sender(context, 0.1, *registry,
                    [&](const DatagramInfo &info, std::span<const std::byte>) {
                      sent.push_back(info.Sequence);
                    });
  DatagramInfo info{.To = {1, 1}, .Flow = {{2, 2}, {3, 3}}, .DataBytes = 1200};
  for (; info.Sequence < 4 * 1200; info.Sequence += 1200)
    sender.send(info, Bytes(1250));
  info.Sequence -= 1200;
  sender.send(info, Bytes(1250));
  EXPECT_EQ(sent.size(), 3U);
  EXPECT_TRUE(runUntil(context, [&] { return sent.size() == 4; }));
  sender.tick(steadyNow());
  const std::string text = registry->text();
  EXPECT_NE(text.find("link_dropped_total{cause=\"copy\"} 1"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("link_wait_seconds_count 1"), std::string::npos);
}

} // namespace
} // namespace pistachio
