#include "AnnouncementTimeline.h"
#include "OperatorSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

Timeline timeline(const std::string &name) {
  for (const Timeline &it : timelines()) {
    if (it.Name == name)
      return it;
  }
  throw std::invalid_argument("no timeline " + name);
}

// Negative controls for the fault tests: each case disables one mechanism, and
// the check of the fault tests must then report violations. This shows that the
// checks detect the failures that they guard against.

TEST(MechanismOffTest, WithoutExpectedRevisionRulesRevert) {
  EXPECT_FALSE((OperatorSimulation{1, false}.run().empty()));
}

TEST(MechanismOffTest, WithoutLeftIncarnationsAnUpstreamRejoins) {
  AnnouncementOptions options;
  options.LeftIncarnationRetention = Duration{0};
  EXPECT_FALSE(runTimeline(timeline("LeavingThenDelayed"), options).empty());
}

TEST(MechanismOffTest, WithoutSuspicionASilentUpstreamKeepsNewFlows) {
  AnnouncementOptions options;
  options.SuspectAfter = Duration{3600000};
  EXPECT_FALSE(runTimeline(timeline("SilentThenBack"), options).empty());
}

TEST(MechanismOffTest, WithoutPendingProposalsTheLogFills) {
  AnnouncementOptions options;
  options.ProposalRetryInterval = Duration{0};
  EXPECT_FALSE(runTimeline(timeline("RepeatedAndSlowCommit"), options).empty());
}

} // namespace
} // namespace pistachio
