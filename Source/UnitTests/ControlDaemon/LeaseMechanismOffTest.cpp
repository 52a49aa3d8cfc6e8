#include "LeaseSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Negative control test: the checks of LeaseFaultTest must report a member that
// grants leases without querying the leader.
TEST(LeaseMechanismOffTest, GrantsWithoutTheLeaderAreReported) {
  EXPECT_FALSE((LeaseSimulation{1, false}.run().empty()));
}

} // namespace
} // namespace pistachio
