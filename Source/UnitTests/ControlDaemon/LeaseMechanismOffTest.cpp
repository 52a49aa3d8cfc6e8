#include "LeaseSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// The check of LeaseFaultTest must report a member that grants without asking
// the leader.
TEST(LeaseMechanismOffTest, GrantsWithoutTheLeaderAreReported) {
  EXPECT_FALSE((LeaseSimulation{1, false}.run().empty()));
}

} // namespace
} // namespace pistachio
