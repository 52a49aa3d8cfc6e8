#include "Common/Common.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

// Guards against findings that are reported without their location, and against
// reports that contain only the first finding.
TEST(FindingTest, ReportsAllFindingsWithLocation) {
  Findings findings;
  EXPECT_TRUE(findings.toStatus().ok());
  findings.add({"rules.txt", 3, 7, "unknown service 'a'"});
  findings.add({"rules.txt", 0, 0, "file is empty"});
  EXPECT_EQ(findings.format(),
            "rules.txt:3:7: unknown service 'a'\nrules.txt: file is empty\n");
  EXPECT_EQ(findings.toStatus().code(), absl::StatusCode::kInvalidArgument);
}

} // namespace
} // namespace pistachio
