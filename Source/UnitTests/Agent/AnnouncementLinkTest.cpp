#include "AnnouncementLink.h"

#include "Runtime/RunUntil.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

/// A control instance that replies to every announcement with the same result,
/// or does not reply.
class FakeControl {
public:
  FakeControl(boost::asio::io_context &context,
              std::optional<AnnounceResult> result) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId from) {
      ++Connections;
      Bytes buf;
      if (!AnnouncedInstances.empty() &&
          encodeNode(ControlInstances{AnnouncedInstances}, buf).ok())
        Server->send(from, buf);
    };
    handlers.OnClose = [](ConnectionId) {};
    handlers.OnFrame = [this, result](ConnectionId from,
                                      std::span<const std::byte> frame) {
      const auto message = decodeNode(frame);
      if (!message.ok() || !std::holds_alternative<Announce>(*message))
        return;
      ++Announcements;
      AnnounceReply reply;
      if (!result)
        return;
      reply.Result = *result;
      Bytes buf;
      if (encodeNode(reply, buf).ok())
        Server->send(from, buf);
    };
    auto server = listenTcp(context, {0x7F000001, 0}, std::move(handlers));
    if (!server.ok())
      throw std::runtime_error(server.status().ToString());
    Server = *std::move(server);
  }

  std::unique_ptr<TcpServer> Server;
  /// Addresses of control instances that this fake control instance sends when
  /// a node connects.
  std::vector<Endpoint> AnnouncedInstances;
  int Connections = 0;
  int Announcements = 0;
};

Announce makeAnnouncement() {
  Announce announcement;
  announcement.Service = "echo";
  announcement.DataCentre = "dc-a";
  announcement.Zone = "zone-1";
  announcement.Machine = "machine-1";
  announcement.Address = {0x7F000001, 1};
  return announcement;
}

class AnnouncementLinkTest : public testing::Test {
protected:
  void connect(std::vector<Endpoint> control) {
    Link = std::make_unique<AnnouncementLink>(
        Context, std::move(control),
        AnnouncementLink::Handlers{
            [this] { ++Opened; },
            [this](const AnnounceReply &) { ++Replies; }});
    ASSERT_TRUE(runUntil(Context, [&] { return Opened == 1; }));
  }
  void TearDown() override { Link->stop(); }

  boost::asio::io_context Context{1};
  std::unique_ptr<AnnouncementLink> Link;
  int Opened = 0;
  int Replies = 0;
};

// Guards against an upstream that stays unannounced because its agent keeps the
// connection to a control instance that has stopped or is unreachable.
TEST_F(AnnouncementLinkTest, ReconnectsWhenInstanceDoesNotReply) {
  FakeControl unresponsive(Context, std::nullopt);
  FakeControl working(Context, AnnounceResult::Accepted);
  connect({unresponsive.Server->endpoint(), working.Server->endpoint()});
  const TimePoint start = steadyNow();
  for (const int seconds : {0, 1, 2, 3})
    Link->send(makeAnnouncement(), start + std::chrono::seconds(seconds));
  ASSERT_TRUE(runUntil(Context, [&] { return Opened == 2; }));
  Link->send(makeAnnouncement(), steadyNow());
  EXPECT_TRUE(runUntil(Context, [&] { return Replies == 1; }));
  EXPECT_EQ(working.Announcements, 1);
}

// Guards against announcements over a connection that was lost without notice
// during a long pause of the announcements.
TEST_F(AnnouncementLinkTest, ReconnectsAfterAPauseOfAnnouncements) {
  FakeControl unresponsive(Context, std::nullopt);
  FakeControl working(Context, AnnounceResult::Accepted);
  connect({unresponsive.Server->endpoint(), working.Server->endpoint()});
  Link->send(makeAnnouncement(), steadyNow() + std::chrono::seconds(60));
  ASSERT_TRUE(runUntil(Context, [&] { return Opened == 2; }));
  // The client may report the connection before the server has accepted it.
  EXPECT_TRUE(runUntil(Context, [&] { return working.Connections == 1; }));
}

// Guards against an agent that stays connected to a control instance which
// cannot reach the leader, and against passing its Unavailable reply to the
// agent.
TEST_F(AnnouncementLinkTest, ReconnectsWhenInstanceCannotReachTheLeader) {
  FakeControl partitioned(Context, AnnounceResult::Unavailable);
  FakeControl working(Context, AnnounceResult::Draining);
  connect({partitioned.Server->endpoint(), working.Server->endpoint()});
  Link->send(makeAnnouncement(), steadyNow());
  ASSERT_TRUE(runUntil(Context, [&] { return Opened == 2; }));
  EXPECT_EQ(Replies, 0);
  Link->send(makeAnnouncement(), steadyNow());
  EXPECT_TRUE(runUntil(Context, [&] { return Replies == 1; }));
  EXPECT_EQ(working.Connections, 1);
}

// Guards against an agent that connects only to the seeds in its settings, all
// of which may have lost their data in a power failure.
TEST_F(AnnouncementLinkTest, ConnectsToInstancesNamedByControl) {
  FakeControl working(Context, AnnounceResult::Accepted);
  FakeControl seed(Context, AnnounceResult::Unavailable);
  seed.AnnouncedInstances = {working.Server->endpoint()};
  connect({seed.Server->endpoint()});
  Link->send(makeAnnouncement(), steadyNow());
  ASSERT_TRUE(runUntil(Context, [&] { return Opened == 2; }));
  Link->send(makeAnnouncement(), steadyNow());
  EXPECT_TRUE(runUntil(Context, [&] { return Replies == 1; }));
  EXPECT_EQ(Link->invalidFrames(), 0U);
}

// Guards against frames of an unexpected type that are dropped without being
// counted.
TEST_F(AnnouncementLinkTest, CountsUnexpectedFrames) {
  TcpHandlers handlers;
  std::unique_ptr<TcpServer> server;
  handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
  handlers.OnOpen = [&server](ConnectionId from) {
    Bytes buf;
    if (encodeNode(LeaseRequest{"balancer-1", {}}, buf).ok())
      server->send(from, buf);
  };
  auto listening = listenTcp(Context, {0x7F000001, 0}, std::move(handlers));
  ASSERT_TRUE(listening.ok());
  server = *std::move(listening);
  connect({server->endpoint()});
  EXPECT_TRUE(runUntil(Context, [&] { return Link->invalidFrames() == 1; }));
  EXPECT_EQ(Replies, 0);
}

} // namespace
} // namespace pistachio
