#include "SimulatedMembership.h"

#include <gtest/gtest.h>

#include <ostream>

namespace pistachio {
namespace {

/// What becomes of the first instance that joins.
enum class Joiner : std::uint8_t {
  Stays,
  LostAsLearner,
  /// Lost after the leader has proposed its promotion and before it replies.
  LostAsNewVoter,
  /// Runs, but never catches up with the log.
  Slow
};

struct RepairRow {
  const char *Name;
  std::size_t Voters;
  Joiner First;
  /// Whether the second loss is that of the leader.
  bool LosesLeader;
  /// Whether the instance that is replaced has its successor before it stops.
  bool IsPlanned;
};

std::ostream &operator<<(std::ostream &out, const RepairRow &row) {
  return out << row.Name;
}

constexpr RepairRow RepairRows[] = {
    {"PlannedAfterJoinerStays", 3, Joiner::Stays, false, true},
    {"PlannedAfterLearnerLost", 3, Joiner::LostAsLearner, false, true},
    {"PlannedAfterLearnerLostThenLeader", 3, Joiner::LostAsLearner, true, true},
    {"PlannedAfterNewVoterLost", 3, Joiner::LostAsNewVoter, false, true},
    {"PlannedAfterNewVoterLostThenLeader", 3, Joiner::LostAsNewVoter, true,
     true},
    {"PlannedBesideSlowLearner", 3, Joiner::Slow, false, true},
    {"PlannedBesideSlowLearnerThenLeader", 3, Joiner::Slow, true, true},
    {"LossAfterLearnerLost", 3, Joiner::LostAsLearner, false, false},
    {"LossAfterLearnerLostThenLeader", 3, Joiner::LostAsLearner, true, false},
    {"LossBesideSlowLearner", 3, Joiner::Slow, false, false},
    {"FivePlannedAfterLearnerLost", 5, Joiner::LostAsLearner, false, true},
    {"FiveLossAfterNewVoterLost", 5, Joiner::LostAsNewVoter, true, false},
    {"FiveLossBesideSlowLearner", 5, Joiner::Slow, true, false},
};

/// Bounds of the deployments: a lost instance gets a successor after 2 s, which
/// counts as running 4 s after its start. Three of these spans until the next
/// loss.
constexpr int SuccessorDelayMs = 2000;
constexpr int RepairMs = 12000;

class GroupRepairTest
    : public testing::TestWithParam<std::tuple<RepairRow, std::uint64_t>> {
protected:
  void loseFirstJoiner(Joiner state) {
    const std::size_t joiner = Group.add();
    if (state == Joiner::Slow)
      Group.slowDown(joiner);
    const auto isListed = [&] { return Group.memberOf(joiner).has_value(); };
    ASSERT_TRUE(Group.runUntil(RepairMs, isListed));
    if (state == Joiner::LostAsNewVoter) {
      ASSERT_TRUE(Group.runUntil(
          RepairMs, [&] { return Group.memberOf(joiner)->Voter; }));
    }
    if (state == Joiner::LostAsLearner || state == Joiner::LostAsNewVoter)
      Group.lose(joiner);
    Group.run(SuccessorDelayMs);
  }

  const RepairRow &Row = std::get<0>(GetParam());
  SimulatedMembership Group{std::get<1>(GetParam()), Row.Voters};
};

// Guards against a group that loses its majority for ever because a joining
// instance that was lost, or never catches up, keeps the leader from promoting
// its successors and from removing voters that are gone.
TEST_P(GroupRepairTest, HasAMajorityOfLiveVotersAgain) {
  ASSERT_TRUE(
      Group.runUntil(RepairMs, [&] { return Group.leader().has_value(); }));
  Group.run(1000);
  loseFirstJoiner(Row.First);
  if (HasFatalFailure())
    return;
  if (Row.IsPlanned) {
    Group.add();
    Group.run(RepairMs);
    Group.stopForGood(Group.pickInitial(false));
  } else {
    Group.lose(Group.pickInitial(false));
    Group.run(SuccessorDelayMs);
    Group.add();
  }
  Group.run(RepairMs);
  EXPECT_TRUE(Group.isRepaired(Row.Voters));
  Group.lose(Group.pickInitial(Row.LosesLeader));
  Group.run(SuccessorDelayMs);
  Group.add();
  EXPECT_TRUE(
      Group.runUntil(RepairMs, [&] { return Group.isRepaired(Row.Voters); }));
}

INSTANTIATE_TEST_SUITE_P(Rows, GroupRepairTest,
                         testing::Combine(testing::ValuesIn(RepairRows),
                                          testing::Range<std::uint64_t>(1, 5)),
                         [](const auto &info) {
                           return std::string(std::get<0>(info.param).Name) +
                                  "Seed" +
                                  std::to_string(std::get<1>(info.param));
                         });

// Guards against a former member that stays beside its successor: an instance
// whose disk was lost while it was a learner returns at its address with a new
// identity.
TEST(GroupMembershipTest, LearnerThatLostItsDiskIsListedOnce) {
  SimulatedMembership group(1, 3);
  ASSERT_TRUE(
      group.runUntil(RepairMs, [&] { return group.leader().has_value(); }));
  const std::size_t learner = group.add();
  group.slowDown(learner);
  ASSERT_TRUE(group.runUntil(
      RepairMs, [&] { return group.memberOf(learner).has_value(); }));
  const std::size_t successor = group.replaceDisk(learner);
  ASSERT_TRUE(group.runUntil(RepairMs, [&] {
    const auto member = group.memberOf(successor);
    return member && member->Voter;
  }));
  EXPECT_FALSE(group.memberOf(learner));
  EXPECT_EQ(group.members().size(), 4U);
}

} // namespace
} // namespace pistachio
