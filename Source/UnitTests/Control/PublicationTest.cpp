#include "ControlStateHarness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pistachio {
namespace {

constexpr int Steps = 400;
constexpr std::size_t MaxPartBytes = 64 * 1024;

class PublicationTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a delta that omits a change, so that a node updated from an
// older revision would route by another table than a newly started node. This
// includes records that were removed in between.
TEST_P(PublicationTest, NodeAtAnyRevisionEndsWithTheTableOfAFreshOne) {
  ControlStateHarness harness;
  RandomCommandSource source(GetParam());
  harness.apply(BaseRules);
  std::vector<NodeTable> history{NodeTable{}, harness.makeUpToDateNode()};
  for (int i = 0; i < Steps; ++i) {
    harness.commit(source.next(*harness.State));
    const NodeTable fresh = harness.makeUpToDateNode();
    NodeTable behind = history[source.pick(history.size())];
    EXPECT_TRUE(
        behind.receiveAll(harness.State->updatesSince(behind.AppliedRevision)));
    ASSERT_TRUE(behind == fresh) << "step " << i;
    history.push_back(fresh);
  }
}

// Guards against members with different states: a member that loads a snapshot
// and replays the rest of the log must publish the same as one that has applied
// the whole log. Otherwise an accepted rule could disappear when a node
// connects to another member.
TEST_P(PublicationTest, ReplayAfterSnapshotGivesEqualStateAndPublication) {
  ControlStateHarness harness;
  RandomCommandSource source(GetParam());
  harness.apply(BaseRules);
  Bytes snapshot;
  std::size_t savedAt = 0;
  for (int i = 0; i < Steps; ++i) {
    harness.commit(source.next(*harness.State));
    if (i == 0 || source.pick(100) == 0) {
      snapshot = harness.State->save();
      savedAt = harness.Log.size();
    }
  }
  const auto other = makeControlState();
  ASSERT_TRUE(other->load(snapshot).ok());
  for (std::size_t i = savedAt; i < harness.Log.size(); ++i)
    other->apply(i + 1, harness.Log[i]);
  EXPECT_EQ(other->save(), harness.State->save());
  for (std::uint64_t have = 0; have <= harness.Log.size(); have += 7)
    EXPECT_EQ(other->updatesSince(Revision{have}),
              harness.State->updatesSince(Revision{have}));
}

INSTANTIATE_TEST_SUITE_P(Seeds, PublicationTest,
                         testing::Range<std::uint64_t>(1, 9));

ControlStateHarness makeLargeState() {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  for (std::uint16_t i = 0; i < 10000; ++i)
    harness.commit(makeUpstreamJoined(i, 1));
  return harness;
}

enum class PartFault { LoseOne, Repeat, Reverse };
class PartFaultTest : public testing::TestWithParam<PartFault> {};

// Guards against a node that applies only some parts of a table, and against
// parts that exceed the size of a message.
TEST_P(PartFaultTest, TableIsAppliedWholeOrNotAtAll) {
  const ControlStateHarness harness = makeLargeState();
  std::vector<TableUpdate> parts = harness.State->updatesSince(Revision{});
  ASSERT_EQ(parts.size(), 5U);
  for (const TableUpdate &it : parts) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(it, buf).ok());
    EXPECT_LE(buf.size(), MaxPartBytes);
  }
  const bool isComplete = GetParam() != PartFault::LoseOne;
  if (GetParam() == PartFault::LoseOne)
    parts.erase(parts.begin() + 1);
  else if (GetParam() == PartFault::Repeat)
    parts = {parts[0], parts[0], parts[1], parts[0], parts[2],
             parts[1], parts[3], parts[3], parts[4]};
  else
    std::reverse(parts.begin(), parts.end());
  NodeTable node;
  node.receiveAll(parts);
  EXPECT_TRUE(node == (isComplete ? harness.makeUpToDateNode() : NodeTable{}));
}

INSTANTIATE_TEST_SUITE_P(Faults, PartFaultTest,
                         testing::Values(PartFault::LoseOne, PartFault::Repeat,
                                         PartFault::Reverse));

// Guards against a node that keeps removed records because its revision is
// older than the bounded change history.
TEST(HistoryOverflowTest, NodeBeyondTheHistoryGetsAFullTable) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  harness.commit(makeUpstreamJoined(1, 1));
  NodeTable node = harness.makeUpToDateNode();
  harness.commit(UpstreamLeft{UpstreamId{1}, Incarnation{1}});
  for (std::uint64_t processIncarnation = 1; processIncarnation <= 5000;
       ++processIncarnation)
    harness.commit(makeUpstreamJoined(2, processIncarnation));
  const std::vector<TableUpdate> updates =
      harness.State->updatesSince(node.AppliedRevision);
  ASSERT_FALSE(updates.empty());
  EXPECT_TRUE(updates.front().Reset);
  node.receiveAll(updates);
  EXPECT_TRUE(node == harness.makeUpToDateNode());
  EXPECT_EQ(node.find(upstreamAddress(1)), nullptr);
}

// Guards against a truncated snapshot that is loaded in part.
TEST(SnapshotDecodeTest, TruncatedSnapshotIsRejected) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  const Bytes snapshot = harness.State->save();
  for (std::size_t n = 0; n < snapshot.size(); ++n) {
    const auto other = makeControlState();
    EXPECT_FALSE(other->load(std::span(snapshot).first(n)).ok()) << n;
    EXPECT_EQ(other->publishedRevision(), Revision{});
  }
}

} // namespace
} // namespace pistachio
