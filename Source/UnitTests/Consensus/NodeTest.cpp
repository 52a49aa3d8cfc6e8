#include "SimulatedGroup.h"
#include "TemporaryFolder.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Guards against malformed member lists from a peer that the decoder accepts.
TEST(MemberCodecTest, RoundTripAndRefusal) {
  const std::vector<Member> members = {{MemberId{1}, {2, 3}, true},
                                       {MemberId{4}, {5, 6}, false},
                                       {MemberId{7}, {8, 9}, false, true}};
  Bytes buf = encodeMembers(members);
  EXPECT_EQ(*decodeMembers(buf), members);
  buf.back() = std::byte{3};
  EXPECT_FALSE(decodeMembers(buf).ok());
  buf.pop_back();
  EXPECT_FALSE(decodeMembers(buf).ok());
}

// Guards against a single-instance group that waits for other members.
TEST(NodeTest, GroupOfOneCommitsAtOnce) {
  SimulatedGroup group(1, 21);
  group.run(Duration(20));
  ASSERT_EQ(group.leader(), 0U);
  EXPECT_TRUE(group.node(0).hasLeaderLease(group.Now));
  ASSERT_TRUE(group.propose(0).ok());
  EXPECT_EQ(group.AcceptedCommands.size(), 1U);
  group.read(0);
  group.run(Duration(10));
  EXPECT_EQ(group.ReadsServed, 1U);
}

// Guards against a group that has grown from one instance and cannot elect a
// leader after that instance was restarted.
TEST(NodeTest, GroupGrowsFromOne) {
  SimulatedGroup group(1, 22);
  for (std::size_t i = 1; i < 3; ++i) {
    ASSERT_TRUE(group.proposeMany(5));
    group.start(group.addHost(), {});
    ASSERT_TRUE(group.addLearner(0, group.member(i)).ok());
    group.run(Duration(1000));
    ASSERT_TRUE(
        group.changeMembership(0, &ConsensusNode::promote, group.member(i).Id)
            .ok());
    group.crash(0);
    group.run(Duration(100));
    group.start(0);
    ASSERT_TRUE(group.waitForLeader());
    group.run(Duration(1000));
    ASSERT_EQ(group.node(*group.leader()).members().size(), i + 1);
    while (*group.leader() != 0) {
      group.crash(*group.leader());
      group.run(Duration(3000));
      for (std::size_t k = 0; k <= i; ++k) {
        if (!group.Hosts[k].Node)
          group.start(k, {});
      }
      ASSERT_TRUE(group.waitForLeader());
      group.run(Duration(1000));
    }
  }
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

// Guards against membership changes that are accepted in a state in which they
// could split the group, and against status codes that the daemon does not
// expect.
TEST(NodeTest, MembershipRefusals) {
  using absl::StatusCode;
  SimulatedGroup group(3, 23);
  ASSERT_TRUE(group.proposeMany(1));
  group.run(Duration(200));
  const std::size_t leaderIndex = *group.leader();
  const std::size_t other = (leaderIndex + 1) % 3;
  const MemberId known = group.member(other).Id;
  const MemberId unknown{999};
  const auto remove = &ConsensusNode::remove;
  const auto promote = &ConsensusNode::promote;
  EXPECT_EQ(group.changeMembership(other, remove, known).code(),
            StatusCode::kUnavailable);
  EXPECT_EQ(group.changeMembership(leaderIndex, remove, unknown).code(),
            StatusCode::kNotFound);
  EXPECT_EQ(group.changeMembership(leaderIndex, promote, unknown).code(),
            StatusCode::kNotFound);
  EXPECT_EQ(group.changeMembership(leaderIndex, promote, known).code(),
            StatusCode::kAlreadyExists);
  EXPECT_EQ(group.addLearner(leaderIndex, group.member(other)).code(),
            StatusCode::kAlreadyExists);
  EXPECT_EQ(group.addLearner(leaderIndex, {}).code(),
            StatusCode::kInvalidArgument);
  EXPECT_EQ(group.propose(leaderIndex, MaxEntryBytes + 1).code(),
            StatusCode::kInvalidArgument);
  ASSERT_TRUE(group.changeMembership(leaderIndex, remove, known).ok());
  EXPECT_EQ(group.addLearner(leaderIndex, {unknown, {1, 1}}).code(),
            StatusCode::kFailedPrecondition);
}

// Guards against a leader that cannot be removed, or that continues to lead
// after its removal is committed.
TEST(NodeTest, LeaderRemovesItself) {
  SimulatedGroup group(3, 24);
  ASSERT_TRUE(group.proposeMany(3));
  group.run(Duration(200));
  const std::size_t leaderIndex = *group.leader();
  const MemberId id = group.member(leaderIndex).Id;
  ASSERT_TRUE(
      group.changeMembership(leaderIndex, &ConsensusNode::remove, id).ok());
  group.run(Duration(5000));
  ASSERT_TRUE(group.leader());
  EXPECT_NE(*group.leader(), leaderIndex);
  EXPECT_EQ(group.node(*group.leader()).members().size(), 2U);
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
}

// Guards against a restarted relay that needs two membership changes to join
// with its new identity, and against a relay that becomes a voter.
TEST(NodeTest, RelayReplacesItsFormerEntry) {
  SimulatedGroup group(3, 26);
  ASSERT_TRUE(group.proposeMany(1));
  group.run(Duration(200));
  const std::size_t leaderIndex = *group.leader();
  const Endpoint address = group.member(group.addHost()).Address;
  const Member former{MemberId{901}, address, false, true};
  const Member present{MemberId{902}, address, false, true};
  ASSERT_TRUE(group.addLearner(leaderIndex, former).ok());
  group.run(Duration(300));
  EXPECT_EQ(
      group.changeMembership(leaderIndex, &ConsensusNode::promote, former.Id)
          .code(),
      absl::StatusCode::kFailedPrecondition);
  ASSERT_TRUE(group.addLearner(leaderIndex, present).ok());
  group.run(Duration(300));
  const std::vector<Member> members = group.node(leaderIndex).members();
  ASSERT_EQ(members.size(), 4U);
  EXPECT_EQ(members.back(), present);
}

// Guards against a newly added member that is treated as silent.
TEST(NodeTest, ContactOfANewMemberCountsFromItsAddition) {
  SimulatedGroup group(1, 27);
  group.run(Duration(5000));
  const Member learner{MemberId{901}, group.member(group.addHost()).Address,
                       false};
  EXPECT_EQ(group.node(0).lastContact(learner.Id), std::nullopt);
  ASSERT_TRUE(group.addLearner(0, learner).ok());
  const TimePoint added = group.Now;
  group.run(Duration(1000));
  EXPECT_EQ(group.node(0).lastContact(learner.Id), added);
}

// Guards against the creation of a second group.
TEST(NodeTest, OnlyAnEmptyMemberBootstrapsAGroup) {
  const auto storage = makeMemoryLogStorage(MemberId{7});
  const TimePoint now{Duration(1000)};
  const auto node = makeConsensusNode({}, *storage, now);
  const Member self{MemberId{7}, {1, 1}, true};
  const Member other{MemberId{8}, {1, 2}, true};
  EXPECT_EQ(node->bootstrapGroup(std::span(&other, 1), now).code(),
            absl::StatusCode::kInvalidArgument);
  ASSERT_TRUE(node->bootstrapGroup(std::span(&self, 1), now).ok());
  node->tick(now);
  EXPECT_EQ(node->role(), Role::Leader);
  EXPECT_EQ(node->bootstrapGroup(std::span(&self, 1), now).code(),
            absl::StatusCode::kFailedPrecondition);
}

// Guards against nodes that receive no table until an election has finished
// although a restarted member knows which entries are committed.
TEST(NodeTest, RestartedMemberEmitsSavedCommittedEntries) {
  const TemporaryFolder folder;
  const TimePoint now{Duration(1000)};
  std::vector<Member> members;
  {
    auto storage = *openFileLogStorage(folder.path());
    members = {{storage->identity(), {1, 1}, true},
               {MemberId{2}, {1, 2}, true},
               {MemberId{3}, {1, 3}, true}};
    ConsensusOptions options;
    options.InitialMembers = members;
    const auto node = makeConsensusNode(options, *storage, now);
    AppendRequest append{MemberId{2}, 2, 1, 1, 3, 1, {}};
    append.Entries = makeLogEntries(2, 3, 2);
    EXPECT_EQ(node->receive(append, now).Committed.size(), 3U);
    node->tick(now + Duration(200));
  }
  auto storage = *openFileLogStorage(folder.path());
  const auto node = makeConsensusNode({}, *storage, now);
  const ConsensusOutput output = node->tick(now);
  // Entry 4 is in the log, but no leader has reported that it is committed.
  ASSERT_EQ(output.Committed.size(), 3U);
  EXPECT_EQ(output.Committed.back().Index, 3U);
  EXPECT_EQ(node->role(), Role::Follower);
}

// Guards against messages that exceed their size limit when entries have the
// maximum size, and against replication that stops at such an entry.
TEST(NodeTest, LargestEntriesAreReplicated) {
  SimulatedGroup group(3, 25);
  group.BeforeDelivery = [&](ConsensusMessage &it) {
    Bytes buf;
    if (!encodeConsensus(it, buf).ok())
      group.Violations.emplace_back("message exceeds its bound");
  };
  ASSERT_TRUE(group.proposeMany(1));
  for (int k = 0; k < 5; ++k)
    ASSERT_TRUE(group.propose(*group.leader(), MaxEntryBytes).ok());
  group.healAndVerify();
  EXPECT_EQ(group.violations(), "");
  EXPECT_GE(group.AcceptedCommands.size(), 6U);
}

} // namespace
} // namespace pistachio
