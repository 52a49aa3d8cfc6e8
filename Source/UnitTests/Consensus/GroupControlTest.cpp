#include "SimulatedGroup.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Negative control tests: each one disables one mechanism and expects the
// checks of SimulatedGroup to report a violation. They show that these checks
// can fail.

bool hasViolation(const SimulatedGroup &group, std::string_view what) {
  return group.violations().find(what) != std::string::npos;
}

// Pre-vote is disabled: the isolated member receives forged pre-vote replies in
// which the leader grants its vote.
TEST(GroupControlTest, WithoutPreVoteAReturningMemberDeposesTheLeader) {
  SimulatedGroup group(3, 31);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t isolated = (leaderIndex + 1) % 3;
  const std::uint64_t term = group.node(leaderIndex).term();
  group.isolate(isolated, true, true);
  for (int k = 0; k < 50; ++k) {
    group.run(Duration(100));
    group.inject(isolated,
                 VoteReply{group.member(leaderIndex).Id,
                           group.node(isolated).term() + 1, true, true});
  }
  EXPECT_EQ(group.node(leaderIndex).term(), term);
  group.heal();
  group.run(Duration(3000));
  EXPECT_GT(group.node(leaderIndex).term(), term);
}

// Sync is disabled: accepted commands are lost when all members crash.
TEST(GroupControlTest, WithoutSyncAcceptedChangesAreLost) {
  SimulatedGroup group(3, 32);
  for (auto &it : group.Hosts)
    it.Disk->IgnoresSync = true;
  ASSERT_TRUE(group.proposeMany(20));
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.healAndVerify();
  EXPECT_TRUE(hasViolation(group, "lacks the accepted change"));
}

// A member with an emptied disk keeps its identity and its vote. Together with
// a member that was isolated it forms a majority that lacks the accepted
// commands.
TEST(GroupControlTest, EmptiedDiskThatVotesLosesAcceptedChanges) {
  SimulatedGroup group(3, 33);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t emptied = (leaderIndex + 1) % 3;
  const std::size_t behind = (leaderIndex + 2) % 3;
  group.isolate(behind, true, true);
  ASSERT_TRUE(group.proposeMany(20));
  group.run(Duration(200));
  group.crash(leaderIndex);
  group.clearDiskKeepingIdentity(emptied);
  group.start(emptied);
  group.heal();
  group.run(Duration(5000));
  ASSERT_TRUE(group.proposeMany(5));
  group.run(Duration(500));
  EXPECT_TRUE(hasViolation(group, "commits another entry"));
}

// The confirmation of the leader is disabled: an isolated leader receives
// forged replies from another member and serves a read from outdated state.
TEST(GroupControlTest, WithoutConfirmationAnIsolatedLeaderServesStaleReads) {
  SimulatedGroup group(3, 34);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t old = *group.leader();
  const MemberId other = group.member((old + 1) % 3).Id;
  const std::uint64_t term = group.node(old).term();
  group.isolate(old, true, true);
  for (int k = 0; k < 40; ++k) {
    for (std::uint64_t round = 1; round < 300; ++round)
      group.inject(old, AppendReply{other, term, round, true, 1});
    group.run(Duration(100));
    const auto leaderIndex = group.leader();
    if (leaderIndex && *leaderIndex != old)
      (void)group.propose(*leaderIndex);
    group.read(old);
  }
  EXPECT_TRUE(hasViolation(group, "a read misses an accepted change"));
  EXPECT_TRUE(hasViolation(group, "two leaders hold a lease"));
}

} // namespace
} // namespace pistachio
