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

// Each case turns one mechanism off. The check of the fault tests must report
// it; otherwise the check could pass for want of looking.

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
