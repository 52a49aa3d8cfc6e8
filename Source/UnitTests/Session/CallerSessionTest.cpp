#include "Session/Session.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr UpstreamToken Token{{3}, {9}};

struct Peer {
  explicit Peer(CallerSessionOptions options = {})
      : Session(makeCallerSession(options)) {}
  void start(std::uint64_t id, bool idempotent, std::size_t bytes = 0) {
    Session->start(
        {{1, id}, "GET", "/a", idempotent, Duration(10000), Bytes(bytes)}, Now,
        Output);
  }
  void tell(CallerReplyKind kind, const SessionMessage *message = nullptr,
            FlowId flow = {}) {
    CallerReply answer{
        flow ? flow : Output.Packets.back().Flow, kind, Token, 0, {}};
    if (message) {
      EXPECT_TRUE(encodeSession(*message, answer.Payload).ok());
    }
    Session->receive(answer, Now, Output);
  }
  void tell(const SessionMessage &message) {
    tell(CallerReplyKind::Data, &message);
  }
  void pass(Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      Now += Duration(10);
      Session->tick(Now, Output);
    }
  }
  /// Of the last packet.
  RequestSegment sent() {
    return std::get<RequestSegment>(
        *decodeSession(Output.Packets.back().Payload));
  }

  std::unique_ptr<CallerSession> Session;
  TimePoint Now{Duration(1000)};
  CallerOutput Output;
};

// Guards against a flow that is opened anew for each repeat, and against
// packets that lack the token or the incarnation.
TEST(CallerSessionTest, OpensOneFlowAndEchoesToken) {
  for (const bool echo : {true, false}) {
    CallerSessionOptions options;
    options.EchoToken = echo;
    Peer peer(options);
    peer.start(1, true);
    peer.pass(Duration(3000));
    EXPECT_GT(peer.Output.Packets.size(), 3u);
    for (const CallerPacket &it : peer.Output.Packets) {
      EXPECT_EQ(it.Flow, peer.Output.Packets[0].Flow);
      EXPECT_EQ(it.Flags, PacketFlag::First);
    }
    peer.tell(CallerReplyKind::Accept);
    EXPECT_EQ(peer.Output.Packets.back().Flags, PacketFlag::Established);
    EXPECT_EQ(peer.Output.Packets.back().Token == Token, echo);
    EXPECT_EQ(peer.sent().ProcessIncarnation, Token.ProcessIncarnation);
    peer.pass(Duration(100));
    EXPECT_EQ(peer.Session->counters().FlowsOpened, 1u);
  }
}

// Guards against a flood of retries while everything is refused.
TEST(CallerSessionTest, RetriesStayWithinBudget) {
  CallerSessionOptions options;
  options.RetryBurst = 5;
  Peer peer(options);
  peer.start(1, true);
  peer.tell(CallerReplyKind::Accept);
  for (std::uint64_t id = 2; id <= 100; ++id)
    peer.start(id, true);
  for (int n = 0; n < 400; ++n) {
    for (std::uint64_t id = 1; id <= 100; ++id)
      peer.tell(NotRun{{1, id},
                       RefusalReason::Overloaded,
                       10,
                       static_cast<std::uint32_t>(n)});
    peer.pass(Duration(20));
  }
  EXPECT_EQ(peer.Output.Results.size(), 100u);
  // 100 requests at a tenth each, of which the bucket keeps 5 at the most.
  EXPECT_LE(peer.Session->counters().Retries, 15u);
  EXPECT_GE(peer.Session->counters().Retries, 5u);
  for (const CallerResult &it : peer.Output.Results)
    EXPECT_EQ(it.Kind, ResultKind::NotRun);
}

// Guards against a late copy of an earlier refusal that is taken for the
// refusal of the present attempt.
TEST(CallerSessionTest, IgnoresRefusalOfEarlierAttempt) {
  Peer peer;
  peer.start(1, false);
  peer.tell(CallerReplyKind::Accept);
  const NotRun refusal{{1, 1}, RefusalReason::Overloaded, 10, 0};
  peer.tell(refusal);
  peer.pass(Duration(1000));
  ASSERT_EQ(peer.sent().Attempt, 1u);
  peer.tell(refusal);
  peer.Session->close(peer.Now, peer.Output);
  ASSERT_EQ(peer.Output.Results.size(), 1u);
  EXPECT_EQ(peer.Output.Results[0].Kind, ResultKind::OutcomeUnknown);
}

// Guards against a refusal by the agent of the new flow that hides a possible
// run in the lost one.
TEST(CallerSessionTest, RefusalAfterLostFlowIsUnknown) {
  Peer peer;
  peer.start(1, true);
  peer.tell(CallerReplyKind::Accept);
  peer.tell(CallerReplyKind::Reset);
  peer.pass(Duration(300));
  peer.tell(CallerReplyKind::Accept);
  ASSERT_EQ(peer.sent().Attempt, 1u);
  peer.tell(NotRun{{1, 1}, RefusalReason::DeadlineExceeded, 0, 1});
  ASSERT_EQ(peer.Output.Results.size(), 1u);
  EXPECT_EQ(peer.Output.Results[0].Kind, ResultKind::OutcomeUnknown);
}

// Guards against an idle caller that stays without a flow after an unsolicited
// reset, so that its next request is sent into a lost one, and against a late
// reset of the former flow that breaks the present one.
TEST(CallerSessionTest, IdleFlowThatIsResetOpensAnew) {
  Peer peer;
  peer.pass(Duration(10));
  peer.tell(CallerReplyKind::Accept);
  ASSERT_TRUE(peer.Session->isOpen());
  const FlowId former = peer.Output.Packets.back().Flow;
  peer.tell(CallerReplyKind::Reset);
  EXPECT_FALSE(peer.Session->isOpen());
  peer.pass(Duration(300));
  const FlowId present = peer.Output.Packets.back().Flow;
  ASSERT_NE(present, former);
  EXPECT_EQ(peer.Output.Packets.back().Flags, PacketFlag::First);
  // Once while the present flow opens, and once while it is open.
  peer.tell(CallerReplyKind::Reset, nullptr, former);
  peer.tell(CallerReplyKind::Accept, nullptr, present);
  peer.tell(CallerReplyKind::Reset, nullptr, former);
  EXPECT_TRUE(peer.Session->isOpen());
  peer.start(1, false);
  EXPECT_EQ(peer.Output.Packets.back().Flow, present);
  EXPECT_EQ(peer.sent().Request, (RequestId{1, 1}));
  EXPECT_EQ(peer.Session->openRequests(), 1u);
  EXPECT_TRUE(peer.Output.Results.empty());
  EXPECT_EQ(peer.Session->counters().FlowsOpened, 2u);
  EXPECT_EQ(peer.Session->counters().FlowsBroken, 1u);
}

struct LostCase {
  CallerReplyKind Kind;
  bool Idempotent;
  bool Sent;
  std::size_t Results;
};

class LostFlow : public testing::TestWithParam<LostCase> {};

// Guards against a request that is repeated although it may have run, or given
// up although it may be repeated.
TEST_P(LostFlow, RepeatsOnlyWhatMayBeRepeated) {
  Peer peer;
  if (GetParam().Sent)
    peer.start(1, GetParam().Idempotent);
  peer.pass(Duration(10));
  peer.tell(CallerReplyKind::Accept);
  const FlowId flow = peer.Output.Packets.back().Flow;
  peer.tell(GetParam().Kind);
  if (!GetParam().Sent)
    peer.start(1, GetParam().Idempotent);
  // Answers of the lost flow no longer count.
  peer.tell(CallerReplyKind::Accept, nullptr, flow);
  peer.pass(Duration(300));
  EXPECT_NE(peer.Output.Packets.back().Flow, flow);
  peer.tell(CallerReplyKind::Accept);
  EXPECT_EQ(peer.Output.Results.size(), GetParam().Results);
  EXPECT_EQ(peer.Session->openRequests(), 1 - GetParam().Results);
  if (GetParam().Results == 0) {
    EXPECT_EQ(peer.sent().Request, (RequestId{1, 1}));
  }
  EXPECT_EQ(peer.Session->counters().FlowsBroken, 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, LostFlow,
    testing::Values(LostCase{CallerReplyKind::Reset, true, true, 0},
                    LostCase{CallerReplyKind::Reset, false, true, 1},
                    LostCase{CallerReplyKind::Reset, false, false, 0},
                    LostCase{CallerReplyKind::Closed, true, true, 0},
                    LostCase{CallerReplyKind::Closed, false, true, 1}));

} // namespace
} // namespace pistachio
