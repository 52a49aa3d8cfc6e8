#include "Routing/Routing.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

struct LeaseCase {
  const char *Name;
  /// Committed revision in the grant at 0 ms. The node's own table has revision
  /// 5.
  std::uint64_t CommittedRevision;
  /// When the query to the peer was sent, in ms; -1 if no peer replies.
  int PeerQueriedAtMs;
  std::uint32_t PeerRemainingMs;
  std::uint64_t PeerRevision;
  bool IsOtherDataCentre;
  int NowMs;
  LeaseMode Expected;
};

class NodeLeaseTest : public testing::TestWithParam<LeaseCase> {};

// Guards against a balancer that continues with a table older than the lease
// allows, and against one that stops all service while control is down.
TEST_P(NodeLeaseTest, ModeFollowsLeaseAndPeerReplies) {
  const LeaseCase &it = GetParam();
  const TimePoint start{Duration(1000)};
  NodeLease lease("n", "x", {});
  lease.onGrant({3000, {it.CommittedRevision}}, start, {5});
  if (it.PeerQueriedAtMs >= 0)
    lease.onPeerReply({"p", 0, it.PeerRemainingMs, {it.PeerRevision}},
                      it.IsOtherDataCentre,
                      start + Duration(it.PeerQueriedAtMs), {5});
  EXPECT_EQ(lease.mode(start + Duration(it.NowMs)), it.Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, NodeLeaseTest,
    testing::Values(
        LeaseCase{"Leased", 5, -1, 0, 0, true, 2999, LeaseMode::Leased},
        LeaseCase{"TableBehind", 6, -1, 0, 0, true, 1, LeaseMode::Starting},
        LeaseCase{"NoPeer", 5, -1, 0, 0, true, 3000, LeaseMode::Isolated},
        LeaseCase{"PeerHasLease", 5, 2900, 2000, 5, true, 4899,
                  LeaseMode::Leased},
        LeaseCase{"PeerLeaseExpired", 5, 2900, 2000, 5, true, 4900,
                  LeaseMode::Isolated},
        LeaseCase{"PeerIsAhead", 5, 2900, 2000, 6, true, 3000,
                  LeaseMode::Isolated},
        LeaseCase{"PeerHasNoLease", 5, 2900, 0, 5, true, 3000,
                  LeaseMode::ControlDown},
        LeaseCase{"PeerHasNoLeaseButNewerTable", 5, 2900, 0, 6, true, 3000,
                  LeaseMode::Isolated},
        LeaseCase{"PeerIsStarting", 5, 2900, 0, 0, true, 3000,
                  LeaseMode::Isolated},
        LeaseCase{"PeerOfSameDataCentre", 5, 2900, 0, 5, false, 3000,
                  LeaseMode::Isolated},
        LeaseCase{"ReplyIsOlderThanLease", 5, 100, 0, 5, true, 3000,
                  LeaseMode::Isolated},
        LeaseCase{"ReplyIsTooOld", 5, 2900, 0, 5, true, 5900,
                  LeaseMode::Isolated}),
    [](const auto &it) { return std::string(it.param.Name); });

} // namespace
} // namespace pistachio
