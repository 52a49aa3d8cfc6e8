#include "GroupDriver.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Duration Long{60000};
constexpr Duration Settled{3000};

std::size_t followerOf(const Group &group) {
  return (*group.leader() + 1) % group.Hosts.size();
}

/// Adds a started host to the group and promotes it, as the daemon does.
void join(Group &group, std::size_t i) {
  if (!group.Hosts[i].Node)
    group.start(i, {});
  for (int k = 0; k < 100; ++k) {
    const auto lead = group.waitForLeader();
    ASSERT_TRUE(lead);
    const auto members = group.node(*lead).members();
    const auto it = std::ranges::find(members, group.member(i).Id, &Member::Id);
    if (it != members.end() && it->Voter)
      return;
    if (it == members.end())
      (void)group.addLearner(*lead, group.member(i));
    else
      (void)group.change(*lead, &ConsensusNode::promote, it->Id);
    group.run(Duration(100));
  }
  FAIL() << "host " << i << " is not promoted";
}

// Names the rows in the output, where addresses would differ at each run.
template <typename Row>
requires requires(const Row &row) { row.Name; }
void PrintTo(const Row &row, // NOLINT(readability-identifier-naming)
             std::ostream *out) {
  *out << row.Name;
}

struct CrashRow {
  const char *Name;
  Step At;
  bool Leader;
};

class CrashTest : public testing::TestWithParam<std::tuple<CrashRow, int>> {};

// Guards against an accepted change that is lost, or a refused order of write,
// sync and send, when a member stops at any point of a change.
TEST_P(CrashTest, AcceptedChangesSurvive) {
  const auto &[row, seed] = GetParam();
  Group group(3, seed);
  for (int k = 0; k < 12; ++k) {
    ASSERT_TRUE(group.proposeMany(3));
    const std::size_t lead = *group.waitForLeader();
    const std::size_t victim = row.Leader ? lead : followerOf(group);
    group.Hosts[victim].Disk->CrashAt = row.At;
    (void)group.propose(lead);
    group.run(Duration(500));
    EXPECT_EQ(group.Hosts[victim].Node, nullptr) << "no crash";
    group.run(Settled);
    if (!group.Hosts[victim].Node)
      group.start(victim);
  }
  group.settle();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.Told.size(), 36U);
}

INSTANTIATE_TEST_SUITE_P(
    Points, CrashTest,
    testing::Combine(
        testing::Values(
            CrashRow{"LeaderBeforeAppend", Step::BeforeAppend, true},
            CrashRow{"LeaderAfterAppend", Step::AfterAppend, true},
            CrashRow{"LeaderBeforeSync", Step::BeforeSync, true},
            CrashRow{"LeaderAfterSync", Step::AfterSync, true},
            CrashRow{"LeaderBeforeSend", Step::BeforeSend, true},
            CrashRow{"MemberBeforeAppend", Step::BeforeAppend, false},
            CrashRow{"MemberAfterAppend", Step::AfterAppend, false},
            CrashRow{"MemberBeforeSync", Step::BeforeSync, false},
            CrashRow{"MemberAfterSync", Step::AfterSync, false},
            CrashRow{"MemberBeforeSend", Step::BeforeSend, false}),
        testing::Values(1, 2)),
    [](const auto &it) {
      return std::get<0>(it.param).Name + std::to_string(std::get<1>(it.param));
    });

struct CutRow {
  const char *Name;
  bool Leader;
  bool Incoming;
  bool Outgoing;
};

class CutTest : public testing::TestWithParam<CutRow> {};

// Guards against a member that was cut off for a minute and then deposes the
// leader, or that answers reads from its old state meanwhile.
TEST_P(CutTest, ReturnDisturbsNobody) {
  const CutRow row = GetParam();
  Group group(3, 7);
  ASSERT_TRUE(group.proposeMany(5));
  const std::size_t lead = *group.leader();
  const std::size_t cut = row.Leader ? lead : followerOf(group);
  const std::size_t served = group.ReadsServed;
  group.isolate(cut, row.Incoming, row.Outgoing);
  group.read(cut);
  group.run(Settled);
  const auto working = group.leader();
  ASSERT_TRUE(working);
  EXPECT_EQ(*working == lead, !row.Leader);
  const std::uint64_t term = group.node(*working).term();
  ASSERT_TRUE(group.proposeMany(50));
  group.read(cut);
  group.run(Long);
  EXPECT_EQ(group.ReadsServed, served) << "the cut member served a read";
  group.heal();
  group.run(Settled);
  EXPECT_EQ(group.leader(), working) << "the leader was deposed";
  EXPECT_EQ(group.node(*working).term(), term);
  group.settle();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.Told.size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutTest,
    testing::Values(CutRow{"Member", false, true, true},
                    CutRow{"MemberDeaf", false, true, false},
                    CutRow{"MemberMute", false, false, true},
                    CutRow{"Leader", true, true, true},
                    CutRow{"LeaderDeaf", true, true, false},
                    CutRow{"LeaderMute", true, false, true}),
    [](const auto &it) { return it.param.Name; });

/// The next change for host \p i: learner, voter, removed; at least three
/// members stay. Refusals are expected here.
void toggleMembership(Group &group, std::size_t i) {
  const auto lead = group.leader();
  if (!lead)
    return;
  const auto members = group.node(*lead).members();
  const MemberId id = group.member(i).Id;
  const auto it = std::ranges::find(members, id, &Member::Id);
  if (it == members.end())
    (void)group.addLearner(*lead, group.member(i));
  else if (!it->Voter)
    (void)group.change(*lead, &ConsensusNode::promote, id);
  else if (members.size() > 3)
    (void)group.change(*lead, &ConsensusNode::remove, id);
}

class NetworkTest : public testing::TestWithParam<std::tuple<NetworkRow, int>> {
};

// Guards against two leaders that commit different entries, reads that miss an
// accepted change and double leases, under repeated, crossed and lost messages
// together with crashes, cuts,
// compaction and membership changes.
TEST_P(NetworkTest, HistoryIsTheSameEverywhere) {
  const auto &[row, seed] = GetParam();
  Group group(5, 1000 + seed, row);
  for (int k = 0; k < 800; ++k) {
    const std::size_t i = group.random()() % group.Hosts.size();
    const bool up = group.Hosts[i].Node != nullptr;
    switch (group.random()() % 14) {
    case 0:
      up ? group.crash(i) : group.start(i);
      break;
    case 1:
      group.isolate(i, group.random()() % 2 == 0, group.random()() % 2 == 0);
      break;
    case 2:
      group.heal();
      group.startAll();
      break;
    case 3:
      EXPECT_TRUE(!up || group.compact(i).ok());
      break;
    case 4:
      group.read(i);
      break;
    case 5:
      toggleMembership(group, i);
      break;
    default:
      if (const auto lead = group.leader()) {
        (void)group.propose(*lead);
        group.read(*lead);
      }
    }
    group.run(Duration(10 + group.random()() % 200));
  }
  group.settle();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GT(group.Told.size(), 20U);
  EXPECT_GT(group.ReadsServed, 20U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, NetworkTest,
    testing::Combine(testing::Values(NetworkRow{"Clean", 0, 0, 1},
                                     NetworkRow{"Lossy", 150, 0, 10},
                                     NetworkRow{"Repeating", 0, 300, 20},
                                     NetworkRow{"Crossed", 20, 100, 150},
                                     NetworkRow{"Slow", 50, 50, 250}),
                     testing::Range(0, 12)),
    [](const auto &it) {
      return std::get<0>(it.param).Name + std::to_string(std::get<1>(it.param));
    });

// Guards against a group that loses its majority or accepted changes when a
// second member is lost right after the first was replaced.
TEST(RepairFaultTest, SecondLossRightAfterRepair) {
  Group group(3, 11);
  ASSERT_TRUE(group.proposeMany(200));
  const std::size_t lost = followerOf(group);
  const MemberId old = group.member(lost).Id;
  group.wipe(lost);
  ASSERT_TRUE(group.change(*group.leader(), &ConsensusNode::remove, old).ok());
  group.run(Duration(200));
  join(group, lost);
  group.wipe(*group.leader());
  ASSERT_TRUE(group.waitForLeader());
  ASSERT_TRUE(group.proposeMany(10));
  group.run(Duration(500));
  EXPECT_GE(group.Told.size(), 210U);
  const std::size_t lead = *group.leader();
  for (const Member &it : group.node(lead).members()) {
    if (it.Id == group.member(it.Address.Port - 9000U).Id)
      continue;
    ASSERT_TRUE(group.change(lead, &ConsensusNode::remove, it.Id).ok());
  }
  group.settle();
  EXPECT_EQ(group.violations(), "");
}

// Guards against a wiped member that votes under its former identity: with one
// of the two others gone, it must not make up a majority.
TEST(RepairFaultTest, WipedMemberNeverVotes) {
  Group group(3, 12);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t lead = *group.leader();
  const std::size_t wiped = followerOf(group);
  group.wipe(wiped);
  group.start(wiped);
  group.crash(lead);
  group.run(Long);
  EXPECT_FALSE(group.leader());
  group.start(lead);
  group.run(Settled);
  ASSERT_TRUE(group.leader());
  EXPECT_EQ(group.violations(), "");
}

// Guards against an emptied log under a known identity that is counted for a
// majority: its former answers no longer hold.
TEST(RepairFaultTest, EmptiedVoterIsNotCountedUntilItIsAddedAgain) {
  Group group(3, 13);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t lead = *group.leader();
  const std::size_t emptied = followerOf(group);
  const std::size_t third = 3 - lead - emptied;
  group.emptyUnderSameIdentity(emptied);
  group.start(emptied, {});
  group.crash(third);
  group.run(Duration(100));
  const std::size_t told = group.Told.size();
  group.run(Settled);
  (void)group.propose(lead);
  group.run(Long);
  EXPECT_EQ(group.Told.size(), told);
  EXPECT_FALSE(group.leader());
  group.start(third);
  ASSERT_TRUE(group.waitForLeader());
  group.run(Duration(500));
  const MemberId id = group.member(emptied).Id;
  ASSERT_TRUE(group.change(*group.leader(), &ConsensusNode::remove, id).ok());
  group.run(Duration(500));
  join(group, emptied);
  group.settle();
  EXPECT_EQ(group.violations(), "");
}

struct RestartRow {
  const char *Name;
  bool Compacts;
};
class RestartTest : public testing::TestWithParam<RestartRow> {};

// Guards against a restart that forgets or repeats changes, with and without a
// snapshot below them.
TEST_P(RestartTest, WholeGroupAfterHundredsOfChanges) {
  Group group(3, 14);
  ASSERT_TRUE(group.proposeMany(300));
  for (std::size_t i = 0; i < 3 && GetParam().Compacts; ++i)
    ASSERT_TRUE(group.compact(i).ok());
  ASSERT_TRUE(group.proposeMany(100));
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.settle();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.Told.size(), 400U);
}

INSTANTIATE_TEST_SUITE_P(Rows, RestartTest,
                         testing::Values(RestartRow{"Log", false},
                                         RestartRow{"Compacted", true}),
                         [](const auto &it) { return it.param.Name; });

class LearnerTest : public testing::TestWithParam<NetworkRow> {};

// Guards against a snapshot that is assembled wrongly from lost, repeated or
// crossed parts, and against a learner that gets a vote before it has caught
// up.
TEST_P(LearnerTest, CatchesUpBySnapshotBeforeItVotes) {
  Group group(3, 15, GetParam());
  ASSERT_TRUE(group.proposeMany(200));
  group.SnapshotPadding = 5 * MaxSnapshotPartBytes;
  group.run(Settled);
  for (std::size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(group.compact(i).ok());
  const std::size_t added = group.addHost();
  const std::size_t lead = *group.waitForLeader();
  ASSERT_TRUE(group.addLearner(lead, group.member(added)).ok());
  group.run(Duration(2000));
  const absl::Status early =
      group.change(lead, &ConsensusNode::promote, group.member(added).Id);
  EXPECT_EQ(early.code(), absl::StatusCode::kFailedPrecondition);
  join(group, added);
  group.settle();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.Hosts[added].Applied.size(), 150U);
}

INSTANTIATE_TEST_SUITE_P(Rows, LearnerTest,
                         testing::Values(NetworkRow{"Clean", 0, 0, 1},
                                         NetworkRow{"Lossy", 100, 100, 10},
                                         NetworkRow{"Crossed", 0, 200, 50}),
                         [](const auto &it) { return it.param.Name; });

// Guards against a removed member that keeps calling elections, both when it
// has seen its removal and when it was cut off.
TEST(RemovalFaultTest, RemovedMemberDisturbsNobody) {
  for (const bool cut : {false, true}) {
    Group group(4, 16);
    ASSERT_TRUE(group.proposeMany(10));
    const std::size_t lead = *group.leader();
    const std::size_t removed = followerOf(group);
    if (cut)
      group.isolate(removed, true, true);
    const std::uint64_t term = group.node(lead).term();
    ASSERT_TRUE(
        group.change(lead, &ConsensusNode::remove, group.member(removed).Id)
            .ok());
    group.run(Settled);
    group.heal();
    group.run(Long);
    EXPECT_EQ(group.leader(), lead);
    EXPECT_EQ(group.node(lead).term(), term);
    group.settle();
    EXPECT_EQ(group.violations(), "");
  }
}

// Guards against a full disk that takes the leader down or loses what was
// accepted before.
TEST(DiskFullFaultTest, ChangeIsRefusedAndServiceResumes) {
  Group group(3, 17);
  ASSERT_TRUE(group.proposeMany(20));
  const std::size_t lead = *group.leader();
  group.Hosts[lead].Disk->DiskFull = true;
  EXPECT_EQ(group.propose(lead).code(), absl::StatusCode::kResourceExhausted);
  group.run(Settled);
  group.Hosts[lead].Disk->DiskFull = false;
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(group.node(i).health().ok());
  EXPECT_TRUE(group.propose(*group.waitForLeader()).ok());
  group.settle();
  EXPECT_EQ(group.violations(), "");
}

class StaggeredRestartTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a group that stays without a leader for a second election
// timeout after a loss of power: the only member whose log is long enough asks
// for votes before the other one, which starts a little later, may grant them.
TEST_P(StaggeredRestartTest, ElectsWithinOneElectionTimeout) {
  Group group(3, GetParam());
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
  group.settle();
  EXPECT_EQ(group.violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, StaggeredRestartTest,
                         testing::Range<std::uint64_t>(100, 130));

// Guards against a member that knows after a loss of power only what its last
// snapshot holds, and has no table for balancers until there is a leader.
TEST(CommitNoteTest, SurvivesALossOfPower) {
  Group group(3, 31);
  ASSERT_TRUE(group.proposeMany(20));
  group.run(Settled);
  for (std::size_t i = 0; i < 3; ++i)
    group.crash(i);
  group.start(0);
  group.run(Duration(20));
  EXPECT_EQ(group.Hosts[0].Applied.size(), 20U);
  group.settle();
  EXPECT_EQ(group.violations(), "");
}

} // namespace
} // namespace pistachio
