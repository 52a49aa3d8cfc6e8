#include "SimulatedGroup.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Duration LongRun{60000};
constexpr Duration SettleTime{3000};

std::size_t followerOf(const SimulatedGroup &group) {
  return (*group.leader() + 1) % group.Hosts.size();
}

/// Starts host \p i if necessary, adds it to the group as a learner and
/// promotes it to a voter, as the daemon does.
void addVoter(SimulatedGroup &group, std::size_t i) {
  if (!group.Hosts[i].Node)
    group.start(i, {});
  for (int k = 0; k < 100; ++k) {
    const auto leaderIndex = group.waitForLeader();
    ASSERT_TRUE(leaderIndex);
    const auto members = group.node(*leaderIndex).members();
    const auto it = std::ranges::find(members, group.member(i).Id, &Member::Id);
    if (it != members.end() && it->Voter)
      return;
    if (it == members.end())
      (void)group.addLearner(*leaderIndex, group.member(i));
    else
      (void)group.changeMembership(*leaderIndex, &ConsensusNode::promote,
                                   it->Id);
    group.run(Duration(100));
  }
  FAIL() << "host " << i << " was not promoted";
}

// Prints the name of the row. The default output contains addresses that differ
// in every run.
template <typename Row>
requires requires(const Row &row) { row.Name; }
void PrintTo(const Row &row, // NOLINT(readability-identifier-naming)
             std::ostream *out) {
  *out << row.Name;
}

struct CrashCase {
  const char *Name;
  CrashPoint At;
  bool Leader;
};

class CrashTest : public testing::TestWithParam<std::tuple<CrashCase, int>> {};

// Guards against the loss of an accepted command when a member crashes at any
// point while processing it. Writing, syncing and sending in the wrong order
// causes such a loss.
TEST_P(CrashTest, AcceptedChangesSurvive) {
  const auto &[row, seed] = GetParam();
  SimulatedGroup group(3, seed);
  for (int k = 0; k < 12; ++k) {
    ASSERT_TRUE(group.proposeMany(3));
    const std::size_t leaderIndex = *group.waitForLeader();
    const std::size_t victim = row.Leader ? leaderIndex : followerOf(group);
    group.Hosts[victim].Disk->CrashAt = row.At;
    (void)group.propose(leaderIndex);
    group.run(Duration(500));
    EXPECT_EQ(group.Hosts[victim].Node, nullptr) << "the member did not crash";
    group.run(SettleTime);
    if (!group.Hosts[victim].Node)
      group.start(victim);
  }
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.AcceptedCommands.size(), 36U);
}

INSTANTIATE_TEST_SUITE_P(
    Points, CrashTest,
    testing::Combine(
        testing::Values(
            CrashCase{"LeaderBeforeAppend", CrashPoint::BeforeAppend, true},
            CrashCase{"LeaderAfterAppend", CrashPoint::AfterAppend, true},
            CrashCase{"LeaderBeforeSync", CrashPoint::BeforeSync, true},
            CrashCase{"LeaderAfterSync", CrashPoint::AfterSync, true},
            CrashCase{"LeaderBeforeSend", CrashPoint::BeforeSend, true},
            CrashCase{"MemberBeforeAppend", CrashPoint::BeforeAppend, false},
            CrashCase{"MemberAfterAppend", CrashPoint::AfterAppend, false},
            CrashCase{"MemberBeforeSync", CrashPoint::BeforeSync, false},
            CrashCase{"MemberAfterSync", CrashPoint::AfterSync, false},
            CrashCase{"MemberBeforeSend", CrashPoint::BeforeSend, false}),
        testing::Values(1, 2)),
    [](const auto &it) {
      return std::get<0>(it.param).Name + std::to_string(std::get<1>(it.param));
    });

struct IsolationCase {
  const char *Name;
  bool Leader;
  bool Incoming;
  bool Outgoing;
};

class IsolationTest : public testing::TestWithParam<IsolationCase> {};

// Guards against a member that deposes the leader when it reconnects after
// being isolated for a minute, and against outdated reads while it is isolated.
TEST_P(IsolationTest, ReturnDoesNotDeposeTheLeader) {
  const IsolationCase row = GetParam();
  SimulatedGroup group(3, 7);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t isolated = row.Leader ? leaderIndex : followerOf(group);
  const std::size_t servedBefore = group.ReadsServed;
  group.isolate(isolated, row.Incoming, row.Outgoing);
  group.read(isolated);
  group.run(SettleTime);
  const auto currentLeader = group.leader();
  ASSERT_TRUE(currentLeader);
  EXPECT_EQ(*currentLeader == leaderIndex, !row.Leader);
  const std::uint64_t term = group.node(*currentLeader).term();
  ASSERT_TRUE(group.proposeMany(50));
  group.read(isolated);
  group.run(LongRun);
  EXPECT_EQ(group.ReadsServed, servedBefore)
      << "the isolated member served a read";
  group.heal();
  group.run(SettleTime);
  EXPECT_EQ(group.leader(), currentLeader) << "the leader was deposed";
  EXPECT_EQ(group.node(*currentLeader).term(), term);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.AcceptedCommands.size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(
    Isolations, IsolationTest,
    testing::Values(IsolationCase{"Member", false, true, true},
                    IsolationCase{"MemberWithoutIncoming", false, true, false},
                    IsolationCase{"MemberWithoutOutgoing", false, false, true},
                    IsolationCase{"Leader", true, true, true},
                    IsolationCase{"LeaderWithoutIncoming", true, true, false},
                    IsolationCase{"LeaderWithoutOutgoing", true, false, true}),
    [](const auto &it) { return it.param.Name; });

/// Performs the next membership change for host \p i: adds it as a learner,
/// promotes it, or removes it if at least three members remain. The change may
/// be rejected.
void cycleMembership(SimulatedGroup &group, std::size_t i) {
  const auto leaderIndex = group.leader();
  if (!leaderIndex)
    return;
  const auto members = group.node(*leaderIndex).members();
  const MemberId id = group.member(i).Id;
  const auto it = std::ranges::find(members, id, &Member::Id);
  if (it == members.end())
    (void)group.addLearner(*leaderIndex, group.member(i));
  else if (!it->Voter)
    (void)group.changeMembership(*leaderIndex, &ConsensusNode::promote, id);
  else if (members.size() > 3)
    (void)group.changeMembership(*leaderIndex, &ConsensusNode::remove, id);
}

class NetworkTest
    : public testing::TestWithParam<std::tuple<NetworkConditions, int>> {};

// Guards against leaders that commit different entries, reads that miss an
// accepted command, and two leader leases at the same time. Messages are lost,
// duplicated and reordered, while members crash, are isolated, compact their
// logs and join or leave the group.
TEST_P(NetworkTest, AllMembersCommitTheSameEntries) {
  const auto &[row, seed] = GetParam();
  SimulatedGroup group(5, 1000 + seed, row);
  for (int k = 0; k < 800; ++k) {
    const std::size_t i = group.random()() % group.Hosts.size();
    const bool isRunning = group.Hosts[i].Node != nullptr;
    switch (group.random()() % 14) {
    case 0:
      isRunning ? group.crash(i) : group.start(i);
      break;
    case 1:
      group.isolate(i, group.random()() % 2 == 0, group.random()() % 2 == 0);
      break;
    case 2:
      group.heal();
      group.startAll();
      break;
    case 3:
      EXPECT_TRUE(!isRunning || group.compact(i).ok());
      break;
    case 4:
      group.read(i);
      break;
    case 5:
      cycleMembership(group, i);
      break;
    default:
      if (const auto leaderIndex = group.leader()) {
        (void)group.propose(*leaderIndex);
        group.read(*leaderIndex);
      }
    }
    group.run(Duration(10 + group.random()() % 200));
  }
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GT(group.AcceptedCommands.size(), 20U);
  EXPECT_GT(group.ReadsServed, 20U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, NetworkTest,
    testing::Combine(
        testing::Values(NetworkConditions{"Clean", 0, 0, 1},
                        NetworkConditions{"Lossy", 150, 0, 10},
                        NetworkConditions{"Duplicating", 0, 300, 20},
                        NetworkConditions{"Reordering", 20, 100, 150},
                        NetworkConditions{"Slow", 50, 50, 250}),
        testing::Range(0, 12)),
    [](const auto &it) {
      return std::get<0>(it.param).Name + std::to_string(std::get<1>(it.param));
    });

// Guards against the loss of the majority or of accepted commands when a second
// member fails immediately after the first one was replaced.
TEST(RepairFaultTest, SecondLossRightAfterRepair) {
  SimulatedGroup group(3, 11);
  ASSERT_TRUE(group.proposeMany(200));
  const std::size_t lost = followerOf(group);
  const MemberId old = group.member(lost).Id;
  group.wipe(lost);
  ASSERT_TRUE(
      group.changeMembership(*group.leader(), &ConsensusNode::remove, old)
          .ok());
  group.run(Duration(200));
  addVoter(group, lost);
  group.wipe(*group.leader());
  ASSERT_TRUE(group.waitForLeader());
  ASSERT_TRUE(group.proposeMany(10));
  group.run(Duration(500));
  EXPECT_GE(group.AcceptedCommands.size(), 210U);
  const std::size_t leaderIndex = *group.leader();
  for (const Member &it : group.node(leaderIndex).members()) {
    if (it.Id == group.member(it.Address.Port - 9000U).Id)
      continue;
    ASSERT_TRUE(
        group.changeMembership(leaderIndex, &ConsensusNode::remove, it.Id)
            .ok());
  }
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

// Guards against a wiped member that votes under its old identity: while one of
// the other two members is down, it must not complete a majority.
TEST(RepairFaultTest, WipedMemberNeverVotes) {
  SimulatedGroup group(3, 12);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t wiped = followerOf(group);
  group.wipe(wiped);
  group.start(wiped);
  group.crash(leaderIndex);
  group.run(LongRun);
  EXPECT_FALSE(group.leader());
  group.start(leaderIndex);
  group.run(SettleTime);
  ASSERT_TRUE(group.leader());
  EXPECT_EQ(group.violations(), "");
}

// Guards against counting a member with a known identity and an emptied log for
// a majority. Its earlier replies are no longer valid.
TEST(RepairFaultTest, EmptiedVoterIsNotCountedUntilItIsAddedAgain) {
  SimulatedGroup group(3, 13);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t emptied = followerOf(group);
  const std::size_t third = 3 - leaderIndex - emptied;
  group.clearDiskKeepingIdentity(emptied);
  group.start(emptied, {});
  group.crash(third);
  group.run(Duration(100));
  const std::size_t acceptedBefore = group.AcceptedCommands.size();
  group.run(SettleTime);
  (void)group.propose(leaderIndex);
  group.run(LongRun);
  EXPECT_EQ(group.AcceptedCommands.size(), acceptedBefore);
  EXPECT_FALSE(group.leader());
  group.start(third);
  ASSERT_TRUE(group.waitForLeader());
  group.run(Duration(500));
  const MemberId id = group.member(emptied).Id;
  ASSERT_TRUE(
      group.changeMembership(*group.leader(), &ConsensusNode::remove, id).ok());
  group.run(Duration(500));
  addVoter(group, emptied);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

struct RestartCase {
  const char *Name;
  bool Compacts;
};
class RestartTest : public testing::TestWithParam<RestartCase> {};

// Guards against a restart that loses or repeats commands, with and without a
// snapshot.
TEST_P(RestartTest, WholeGroupAfterHundredsOfChanges) {
  SimulatedGroup group(3, 14);
  ASSERT_TRUE(group.proposeMany(300));
  for (std::size_t i = 0; i < 3 && GetParam().Compacts; ++i)
    ASSERT_TRUE(group.compact(i).ok());
  ASSERT_TRUE(group.proposeMany(100));
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.AcceptedCommands.size(), 400U);
}

INSTANTIATE_TEST_SUITE_P(Rows, RestartTest,
                         testing::Values(RestartCase{"Log", false},
                                         RestartCase{"Compacted", true}),
                         [](const auto &it) { return it.param.Name; });

class LearnerTest : public testing::TestWithParam<NetworkConditions> {};

// Guards against a snapshot that is assembled incorrectly from lost, duplicated
// or reordered parts, and against a learner that is promoted before it has
// caught up.
TEST_P(LearnerTest, CatchesUpBySnapshotBeforeItVotes) {
  SimulatedGroup group(3, 15, GetParam());
  ASSERT_TRUE(group.proposeMany(200));
  group.SnapshotPadding = 5 * MaxSnapshotPartBytes;
  group.run(SettleTime);
  for (std::size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(group.compact(i).ok());
  const std::size_t added = group.addHost();
  const std::size_t leaderIndex = *group.waitForLeader();
  ASSERT_TRUE(group.addLearner(leaderIndex, group.member(added)).ok());
  group.run(Duration(2000));
  const absl::Status early = group.changeMembership(
      leaderIndex, &ConsensusNode::promote, group.member(added).Id);
  EXPECT_EQ(early.code(), absl::StatusCode::kFailedPrecondition);
  addVoter(group, added);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.Hosts[added].Applied.size(), 150U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, LearnerTest,
    testing::Values(NetworkConditions{"Clean", 0, 0, 1},
                    NetworkConditions{"Lossy", 100, 100, 10},
                    NetworkConditions{"Reordering", 0, 200, 50}),
    [](const auto &it) { return it.param.Name; });

// Guards against a removed member that keeps starting elections, both when it
// has received the entry that removes it and when it was isolated at the time.
TEST(RemovalFaultTest, RemovedMemberDoesNotDeposeTheLeader) {
  for (const bool isolated : {false, true}) {
    SimulatedGroup group(4, 16);
    ASSERT_TRUE(group.proposeMany(10));
    const std::size_t leaderIndex = *group.leader();
    const std::size_t removed = followerOf(group);
    if (isolated)
      group.isolate(removed, true, true);
    const std::uint64_t term = group.node(leaderIndex).term();
    ASSERT_TRUE(group
                    .changeMembership(leaderIndex, &ConsensusNode::remove,
                                      group.member(removed).Id)
                    .ok());
    group.run(SettleTime);
    group.heal();
    group.run(LongRun);
    EXPECT_EQ(group.leader(), leaderIndex);
    EXPECT_EQ(group.node(leaderIndex).term(), term);
    group.healAndVerify();
    EXPECT_EQ(group.violations(), "");
  }
}

// Guards against a full disk that takes the leader out of service or loses
// commands that were accepted earlier.
TEST(DiskFullFaultTest, ChangeIsRefusedAndServiceResumes) {
  SimulatedGroup group(3, 17);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t leaderIndex = *group.leader();
  group.Hosts[leaderIndex].Disk->DiskFull = true;
  EXPECT_EQ(group.propose(leaderIndex).code(),
            absl::StatusCode::kResourceExhausted);
  group.run(SettleTime);
  group.Hosts[leaderIndex].Disk->DiskFull = false;
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(group.node(i).health().ok());
  EXPECT_TRUE(group.propose(*group.waitForLeader()).ok());
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

class StaggeredRestartTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a group that remains without a leader for a second election
// timeout after a power failure. This happens if the only member with a
// complete log requests votes before a member that has started a little later
// may grant them.
TEST_P(StaggeredRestartTest, ElectsWithinOneElectionTimeout) {
  SimulatedGroup group(3, GetParam());
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t longest = *group.leader();
  ASSERT_TRUE(group.propose(longest).ok());
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.start(longest);
  group.run(Duration(150));
  group.start((longest + 1) % 3);
  EXPECT_EQ(group.waitForLeader(ConsensusOptions{}.ElectionTimeoutMax),
            longest);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, StaggeredRestartTest,
                         testing::Range<std::uint64_t>(100, 130));

// Guards against a member that restores only its last snapshot after a power
// failure and therefore has no current table for balancers until a leader is
// elected.
TEST(SavedCommitIndexTest, SurvivesALossOfPower) {
  SimulatedGroup group(3, 31);
  ASSERT_TRUE(group.proposeMany(20));
  group.run(SettleTime);
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.start(0);
  group.run(Duration(20));
  EXPECT_EQ(group.Hosts[0].Applied.size(), 20U);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

} // namespace
} // namespace pistachio
