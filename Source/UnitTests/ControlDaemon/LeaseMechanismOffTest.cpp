#include "LeaseWorld.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// The check of LeaseFaultTest must report a member that grants without asking
// the leader.
TEST(LeaseMechanismOffTest, GrantsWithoutTheLeaderAreReported) {
  EXPECT_FALSE((LeaseWorld{1, false}.run().empty()));
}

} // namespace
} // namespace pistachio
