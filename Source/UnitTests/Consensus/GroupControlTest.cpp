#include "GroupDriver.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Each case turns one mechanism off and expects the checks of the fault matrix
// to report it. Without them, a check that sees nothing would look like a pass.

bool reports(const Group &group, std::string_view what) {
  return group.violations().find(what) != std::string::npos;
}

// Pre-vote is off: the cut member believes that all others would vote for it.
TEST(GroupControlTest, WithoutPreVoteTheReturningMemberDeposesTheLeader) {
  Group group(3, 31);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t lead = *group.leader();
  const std::size_t cut = (lead + 1) % 3;
  const std::uint64_t term = group.node(lead).term();
  group.isolate(cut, true, true);
  for (int k = 0; k < 50; ++k) {
    group.run(Duration(100));
    group.inject(cut, VoteReply{group.member(lead).Id,
                                group.node(cut).term() + 1, true, true});
  }
  EXPECT_EQ(group.node(lead).term(), term);
  group.heal();
  group.run(Duration(3000));
  EXPECT_GT(group.node(lead).term(), term);
}

// Sync is off: what was accepted is gone after a crash of all members.
TEST(GroupControlTest, WithoutSyncAcceptedChangesAreLost) {
  Group group(3, 32);
  for (auto &it : group.Hosts)
    it.Disk->IgnoresSync = true;
  ASSERT_TRUE(group.proposeMany(20));
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.settle();
  EXPECT_TRUE(reports(group, "lacks the accepted change"));
}

// The emptied disk keeps its identity and votes: together with a member that
// was cut off it makes up a majority that knows nothing of the changes.
TEST(GroupControlTest, EmptiedDiskThatVotesLosesAcceptedChanges) {
  Group group(3, 33);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t lead = *group.leader();
  const std::size_t emptied = (lead + 1) % 3;
  const std::size_t behind = (lead + 2) % 3;
  group.isolate(behind, true, true);
  ASSERT_TRUE(group.proposeMany(20));
  group.run(Duration(200));
  group.crash(lead);
  group.emptyUnderSameIdentity(emptied);
  group.start(emptied);
  group.heal();
  group.run(Duration(5000));
  ASSERT_TRUE(group.proposeMany(5));
  group.run(Duration(500));
  EXPECT_TRUE(reports(group, "commits another entry"));
}

// The confirmation of the leader is off: a leader that is cut off believes that
// the others answer, and serves a read from its old state.
TEST(GroupControlTest, WithoutConfirmationACutLeaderServesOldState) {
  Group group(3, 34);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t old = *group.leader();
  const MemberId other = group.member((old + 1) % 3).Id;
  const std::uint64_t term = group.node(old).term();
  group.isolate(old, true, true);
  for (int k = 0; k < 40; ++k) {
    for (std::uint64_t round = 1; round < 300; ++round)
      group.inject(old, AppendReply{other, term, round, true, 1});
    group.run(Duration(100));
    const auto lead = group.leader();
    if (lead && *lead != old)
      (void)group.propose(*lead);
    group.read(old);
  }
  EXPECT_TRUE(reports(group, "a read misses an accepted change"));
  EXPECT_TRUE(reports(group, "two leaders hold a lease"));
}

} // namespace
} // namespace pistachio
