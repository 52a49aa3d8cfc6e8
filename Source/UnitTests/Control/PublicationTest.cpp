#include "ControlScript.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pistachio {
namespace {

constexpr int Steps = 400;
constexpr std::size_t MaxPartBytes = 64 * 1024;

class PublicationTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a delta that misses a change: a node at any older revision
// would route by another table than a fresh one. Names that were removed in
// between must be gone.
TEST_P(PublicationTest, NodeAtAnyRevisionEndsWithTheTableOfAFreshOne) {
  ControlScript script;
  CommandSource source(GetParam());
  script.apply(BaseRules);
  std::vector<NodeTable> history{NodeTable{}, script.freshNode()};
  for (int i = 0; i < Steps; ++i) {
    script.commit(source.next(*script.State));
    const NodeTable fresh = script.freshNode();
    NodeTable behind = history[source.pick(history.size())];
    EXPECT_TRUE(behind.receiveAll(script.State->updatesSince(behind.At)));
    ASSERT_TRUE(behind == fresh) << "step " << i;
    history.push_back(fresh);
  }
}

// Guards against members that disagree: after a snapshot and the rest of the
// log a member must publish the same as one that has applied everything, so
// that an accepted rule never reverts when a node changes to another member.
TEST_P(PublicationTest, ReplayAfterSnapshotGivesEqualStateAndPublication) {
  ControlScript script;
  CommandSource source(GetParam());
  script.apply(BaseRules);
  Bytes image;
  std::size_t savedAt = 0;
  for (int i = 0; i < Steps; ++i) {
    script.commit(source.next(*script.State));
    if (i == 0 || source.pick(100) == 0) {
      image = script.State->save();
      savedAt = script.Log.size();
    }
  }
  const auto other = makeControlState();
  ASSERT_TRUE(other->load(image).ok());
  for (std::size_t i = savedAt; i < script.Log.size(); ++i)
    other->apply(i + 1, script.Log[i]);
  EXPECT_EQ(other->save(), script.State->save());
  for (std::uint64_t have = 0; have <= script.Log.size(); have += 7)
    EXPECT_EQ(other->updatesSince(Revision{have}),
              script.State->updatesSince(Revision{have}));
}

INSTANTIATE_TEST_SUITE_P(Seeds, PublicationTest,
                         testing::Range<std::uint64_t>(1, 9));

ControlScript largeScript() {
  ControlScript script;
  script.apply(BaseRules);
  for (std::uint16_t i = 0; i < 10000; ++i)
    script.commit(makeJoin(i, 1));
  return script;
}

enum class PartFault { LoseOne, Repeat, Reverse };
class PartFaultTest : public testing::TestWithParam<PartFault> {};

// Guards against a node that applies part of a table, and against parts that do
// not fit a message.
TEST_P(PartFaultTest, TableIsAppliedWholeOrNotAtAll) {
  const ControlScript script = largeScript();
  std::vector<TableUpdate> parts = script.State->updatesSince(Revision{});
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
  EXPECT_TRUE(node == (isComplete ? script.freshNode() : NodeTable{}));
}

INSTANTIATE_TEST_SUITE_P(Faults, PartFaultTest,
                         testing::Values(PartFault::LoseOne, PartFault::Repeat,
                                         PartFault::Reverse));

// Guards against a node beyond the bounded history that keeps what was removed
// meanwhile.
TEST(LongAbsenceTest, NodeBeyondTheHistoryGetsAWholeTable) {
  ControlScript script;
  script.apply(BaseRules);
  script.commit(makeJoin(1, 1));
  NodeTable node = script.freshNode();
  script.commit(UpstreamLeft{UpstreamId{1}, Incarnation{1}});
  for (std::uint64_t processIncarnation = 1; processIncarnation <= 5000;
       ++processIncarnation)
    script.commit(makeJoin(2, processIncarnation));
  const std::vector<TableUpdate> updates = script.State->updatesSince(node.At);
  ASSERT_FALSE(updates.empty());
  EXPECT_TRUE(updates.front().Reset);
  node.receiveAll(updates);
  EXPECT_TRUE(node == script.freshNode());
  EXPECT_EQ(node.find(addressOf(1)), nullptr);
}

// Guards against a cut or altered image that is loaded in part.
TEST(StateImageTest, DamagedImageIsRefused) {
  ControlScript script;
  script.apply(BaseRules);
  const Bytes image = script.State->save();
  for (std::size_t n = 0; n < image.size(); ++n) {
    const auto other = makeControlState();
    EXPECT_FALSE(other->load(std::span(image).first(n)).ok()) << n;
    EXPECT_EQ(other->published(), Revision{});
  }
}

} // namespace
} // namespace pistachio
