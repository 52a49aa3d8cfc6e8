#include "Control/ControlStateHarness.h"
#include "LeaseSimulation.h"
#include "SimulatedControlGroup.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class ControlGroupFaultTest : public testing::TestWithParam<std::uint64_t> {
protected:
  SimulatedControlGroup Group{GetParam()};
  std::vector<absl::Status> Answers;
};

// Guards against a change that is applied twice, or lost after it was accepted,
// when the reply is lost together with the leader.
TEST_P(ControlGroupFaultTest, ResentOperationAfterLossOfTheLeader) {
  const std::size_t first = Group.waitForLeader();
  const ApplyRules command = makeApplyRules("op-1", Revision{}, BaseRules);
  Group.submit(first, command, Answers);
  // The parameter determines whether the messages of the change are sent before
  // the leader is isolated.
  Group.run(20 * static_cast<int>(GetParam() % 4));
  Group.isolate(first);
  const std::size_t second = Group.waitForLeader();
  ASSERT_NE(first, second);
  std::vector<absl::Status> resent;
  Group.submit(second, command, resent);
  Group.run(4000);
  ASSERT_EQ(resent.size(), 1U);
  EXPECT_TRUE(resent[0].ok()) << resent[0];
  ASSERT_EQ(Answers.size(), 1U);
  const Revision accepted = Group.member(second).state().rulesRevision();
  EXPECT_TRUE(accepted);
  Group.heal();
  Group.run(4000);
  for (std::size_t i = 0; i < SimulatedControlGroup::Size; ++i) {
    const ControlState &state = Group.member(i).state();
    EXPECT_EQ(state.rulesRevision(), accepted) << i;
    EXPECT_EQ(state.findResult("op-1")->RulesRevision, accepted) << i;
    EXPECT_EQ(state.save(), Group.member(second).state().save()) << i;
  }
}

// Guards against members whose states diverge after snapshots, restarts and
// lost messages, and against accepted rules that are lost in a restart.
TEST_P(ControlGroupFaultTest, MembersAgreeAfterCompactionAndRestarts) {
  SimulatedControlGroup group(GetParam(), 10);
  group.LostPerThousand = 50;
  std::string rules = BaseRules;
  std::size_t accepted = 0;
  for (int i = 0; i < 40; ++i) {
    const std::size_t leader = group.waitForLeader();
    const std::string next = rules + "drain upstream " + std::to_string(i + 1) +
                             " # asked by Tiina\n";
    std::vector<absl::Status> answers;
    group.submit(leader,
                 makeApplyRules("op-" + std::to_string(i),
                                group.member(leader).state().rulesRevision(),
                                next),
                 answers);
    group.run(400);
    const auto result =
        group.member(leader).state().findResult("op-" + std::to_string(i));
    if (!answers.empty() && answers[0].ok() && result &&
        result->Outcome == ApplyResult::Code::Applied) {
      rules = next;
      ++accepted;
    }
    if (i % 5 == 4)
      group.restart(static_cast<std::size_t>(i / 5) %
                    SimulatedControlGroup::Size);
    // A change without a result may still be accepted.
    rules = answers.empty()
                ? group.member(group.waitForLeader()).state().rules().text()
                : rules;
  }
  group.LostPerThousand = 0;
  group.run(5000);
  EXPECT_GT(accepted, 20U);
  for (std::size_t i = 0; i < SimulatedControlGroup::Size; ++i) {
    EXPECT_EQ(group.member(i).state().rules().text(), rules) << i;
    EXPECT_EQ(group.member(i).state().save(), group.member(0).state().save())
        << i;
  }
}

// Guards against a leader that still serves reads, or reports a change as
// accepted that is not, after it has been isolated for a long time.
TEST_P(ControlGroupFaultTest, IsolatedLeaderAnswersNothing) {
  const std::size_t leader = Group.waitForLeader();
  Group.isolate(leader);
  Group.submit(leader, makeApplyRules("op-1", Revision{}, BaseRules), Answers);
  std::vector<absl::Status> reads;
  Group.member(leader).read(
      Group.Now, Group.Now + Duration(2000),
      [&](const absl::Status &it) { reads.push_back(it); });
  Group.run(6000);
  EXPECT_FALSE(Group.member(leader).holdsLeaderLease(Group.Now));
  ASSERT_EQ(Answers.size(), 1U);
  EXPECT_EQ(Answers[0].code(), absl::StatusCode::kDeadlineExceeded);
  ASSERT_EQ(reads.size(), 1U);
  EXPECT_FALSE(reads[0].ok());
}

// Guards against a new leader that removes upstreams although they renewed at
// the former leader until it was lost.
TEST_P(ControlGroupFaultTest, UpstreamsSurviveAChangeOfLeader) {
  const std::size_t first = Group.waitForLeader();
  Group.submit(first, makeApplyRules("op-1", Revision{}, BaseRules), Answers);
  Group.run(1000);
  const Announce announce{
      "workshop-api",     "ee-north-a",   "zone-1", "machine-1",
      upstreamAddress(1), Incarnation{7}, 5};
  Group.member(first).onAnnounce(announce, Group.Now);
  Group.run(2500);
  Group.isolate(first);
  const std::size_t second = Group.waitForLeader();
  Group.run(2500);
  const auto known =
      Group.member(second).state().findUpstream(upstreamAddress(1));
  ASSERT_TRUE(known);
  EXPECT_NE(known->Record.State, UpstreamState::Suspect);
  const AnnounceReply reply =
      Group.member(second).onAnnounce(announce, Group.Now);
  EXPECT_EQ(reply.Result, AnnounceResult::Accepted);
  EXPECT_EQ(reply.Upstream, known->Record.Id);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControlGroupFaultTest,
                         testing::Range<std::uint64_t>(1, 13));

class LeaseFaultTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a node that continues to send to a removed data centre because
// an isolated control member still grants it leases.
TEST_P(LeaseFaultTest, NoLeaseOutlivesTheContactToTheLeader) {
  const std::vector<std::string> violations = LeaseSimulation{GetParam()}.run();
  for (const std::string &it : violations)
    ADD_FAILURE() << it;
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaseFaultTest,
                         testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace pistachio
