#include "Session/Session.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr UpstreamToken Token{{3}, {9}};

struct SessionFixture {
  explicit SessionFixture(CallerSessionOptions options = {})
      : Session(makeCallerSession(options)) {}
  void start(std::uint64_t id, bool idempotent, std::size_t bytes = 0) {
    Session->start(
        {{1, id}, "GET", "/a", idempotent, Duration(10000), Bytes(bytes)}, Now,
        Output);
  }
  /// Delivers a reply to the session. The default is the flow of the last
  /// packet.
  void deliver(CallerReplyKind kind, const SessionMessage *message = nullptr,
               FlowId flow = {}) {
    CallerReply reply{
        flow ? flow : Output.Packets.back().Flow, kind, Token, 0, {}};
    if (message) {
      EXPECT_TRUE(encodeSession(*message, reply.Payload).ok());
    }
    Session->receive(reply, Now, Output);
  }
  void deliver(const SessionMessage &message) {
    deliver(CallerReplyKind::Data, &message);
  }
  void advance(Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      Now += Duration(10);
      Session->tick(Now, Output);
    }
  }
  /// Request segment in the last packet.
  RequestSegment lastSegment() {
    return std::get<RequestSegment>(
        *decodeSession(Output.Packets.back().Payload));
  }

  std::unique_ptr<CallerSession> Session;
  TimePoint Now{Duration(1000)};
  CallerOutput Output;
};

// Guards against opening a new flow for each repetition of the first packet,
// and against packets without the token or the incarnation.
TEST(CallerSessionTest, OpensOneFlowAndEchoesToken) {
  for (const bool echo : {true, false}) {
    CallerSessionOptions options;
    options.EchoToken = echo;
    SessionFixture fixture(options);
    fixture.start(1, true);
    fixture.advance(Duration(3000));
    EXPECT_GT(fixture.Output.Packets.size(), 3u);
    for (const CallerPacket &it : fixture.Output.Packets) {
      EXPECT_EQ(it.Flow, fixture.Output.Packets[0].Flow);
      EXPECT_EQ(it.Flags, PacketFlag::First);
    }
    fixture.deliver(CallerReplyKind::Accept);
    EXPECT_EQ(fixture.Output.Packets.back().Flags, PacketFlag::Established);
    EXPECT_EQ(fixture.Output.Packets.back().Token == Token, echo);
    EXPECT_EQ(fixture.lastSegment().ProcessIncarnation,
              Token.ProcessIncarnation);
    fixture.advance(Duration(100));
    EXPECT_EQ(fixture.Session->counters().FlowsOpened, 1u);
  }
}

// Guards against an unlimited number of retries while all requests are refused.
TEST(CallerSessionTest, RetriesStayWithinBudget) {
  CallerSessionOptions options;
  options.RetryBurst = 5;
  SessionFixture fixture(options);
  fixture.start(1, true);
  fixture.deliver(CallerReplyKind::Accept);
  for (std::uint64_t id = 2; id <= 100; ++id)
    fixture.start(id, true);
  for (int n = 0; n < 400; ++n) {
    for (std::uint64_t id = 1; id <= 100; ++id)
      fixture.deliver(NotRun{{1, id},
                             RefusalReason::Overloaded,
                             10,
                             static_cast<std::uint32_t>(n)});
    fixture.advance(Duration(20));
  }
  EXPECT_EQ(fixture.Output.Results.size(), 100u);
  // 100 requests add 0.1 tokens each, and the bucket holds at most 5.
  EXPECT_LE(fixture.Session->counters().Retries, 15u);
  EXPECT_GE(fixture.Session->counters().Retries, 5u);
  for (const CallerResult &it : fixture.Output.Results)
    EXPECT_EQ(it.Kind, ResultKind::NotRun);
}

// Guards against taking a delayed copy of an earlier refusal for a refusal of
// the current attempt.
TEST(CallerSessionTest, IgnoresRefusalOfEarlierAttempt) {
  SessionFixture fixture;
  fixture.start(1, false);
  fixture.deliver(CallerReplyKind::Accept);
  const NotRun refusal{{1, 1}, RefusalReason::Overloaded, 10, 0};
  fixture.deliver(refusal);
  fixture.advance(Duration(1000));
  ASSERT_EQ(fixture.lastSegment().Attempt, 1u);
  fixture.deliver(refusal);
  fixture.Session->close(fixture.Now, fixture.Output);
  ASSERT_EQ(fixture.Output.Results.size(), 1u);
  EXPECT_EQ(fixture.Output.Results[0].Kind, ResultKind::OutcomeUnknown);
}

// Guards against a false NotRun: the agent of the new flow refuses the request,
// but the agent of the lost flow may have run it.
TEST(CallerSessionTest, RefusalAfterLostFlowIsUnknown) {
  SessionFixture fixture;
  fixture.start(1, true);
  fixture.deliver(CallerReplyKind::Accept);
  fixture.deliver(CallerReplyKind::Reset);
  fixture.advance(Duration(300));
  fixture.deliver(CallerReplyKind::Accept);
  ASSERT_EQ(fixture.lastSegment().Attempt, 1u);
  fixture.deliver(NotRun{{1, 1}, RefusalReason::DeadlineExceeded, 0, 1});
  ASSERT_EQ(fixture.Output.Results.size(), 1u);
  EXPECT_EQ(fixture.Output.Results[0].Kind, ResultKind::OutcomeUnknown);
}

// Guards against an idle caller that opens no new flow after an unsolicited
// reset, so that its next request is sent in a lost flow. Guards also against a
// delayed reset of the former flow that closes the current one.
TEST(CallerSessionTest, IdleCallerReopensAfterReset) {
  SessionFixture fixture;
  fixture.advance(Duration(10));
  fixture.deliver(CallerReplyKind::Accept);
  ASSERT_TRUE(fixture.Session->isOpen());
  const FlowId previousFlow = fixture.Output.Packets.back().Flow;
  fixture.deliver(CallerReplyKind::Reset);
  EXPECT_FALSE(fixture.Session->isOpen());
  fixture.advance(Duration(300));
  const FlowId currentFlow = fixture.Output.Packets.back().Flow;
  ASSERT_NE(currentFlow, previousFlow);
  EXPECT_EQ(fixture.Output.Packets.back().Flags, PacketFlag::First);
  // The delayed reset arrives once while the current flow is being opened and
  // once while it is open.
  fixture.deliver(CallerReplyKind::Reset, nullptr, previousFlow);
  fixture.deliver(CallerReplyKind::Accept, nullptr, currentFlow);
  fixture.deliver(CallerReplyKind::Reset, nullptr, previousFlow);
  EXPECT_TRUE(fixture.Session->isOpen());
  fixture.start(1, false);
  EXPECT_EQ(fixture.Output.Packets.back().Flow, currentFlow);
  EXPECT_EQ(fixture.lastSegment().Request, (RequestId{1, 1}));
  EXPECT_EQ(fixture.Session->openRequests(), 1u);
  EXPECT_TRUE(fixture.Output.Results.empty());
  EXPECT_EQ(fixture.Session->counters().FlowsOpened, 2u);
  EXPECT_EQ(fixture.Session->counters().FlowsLost, 1u);
}

struct LostFlowCase {
  CallerReplyKind Kind;
  bool Idempotent;
  bool Sent;
  std::size_t Results;
};

class LostFlow : public testing::TestWithParam<LostFlowCase> {};

// Guards against repeating a request that may have run and is not idempotent,
// and against giving up a request that can be repeated.
TEST_P(LostFlow, RetriesOnlySafeRequests) {
  SessionFixture fixture;
  if (GetParam().Sent)
    fixture.start(1, GetParam().Idempotent);
  fixture.advance(Duration(10));
  fixture.deliver(CallerReplyKind::Accept);
  const FlowId flow = fixture.Output.Packets.back().Flow;
  fixture.deliver(GetParam().Kind);
  if (!GetParam().Sent)
    fixture.start(1, GetParam().Idempotent);
  // Replies in the lost flow are ignored.
  fixture.deliver(CallerReplyKind::Accept, nullptr, flow);
  fixture.advance(Duration(300));
  EXPECT_NE(fixture.Output.Packets.back().Flow, flow);
  fixture.deliver(CallerReplyKind::Accept);
  EXPECT_EQ(fixture.Output.Results.size(), GetParam().Results);
  EXPECT_EQ(fixture.Session->openRequests(), 1 - GetParam().Results);
  if (GetParam().Results == 0) {
    EXPECT_EQ(fixture.lastSegment().Request, (RequestId{1, 1}));
  }
  EXPECT_EQ(fixture.Session->counters().FlowsLost, 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, LostFlow,
    testing::Values(LostFlowCase{CallerReplyKind::Reset, true, true, 0},
                    LostFlowCase{CallerReplyKind::Reset, false, true, 1},
                    LostFlowCase{CallerReplyKind::Reset, false, false, 0},
                    LostFlowCase{CallerReplyKind::Closed, true, true, 0},
                    LostFlowCase{CallerReplyKind::Closed, false, true, 1}));

} // namespace
} // namespace pistachio
