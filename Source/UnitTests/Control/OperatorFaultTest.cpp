#include "OperatorSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class OperatorFaultTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against an accepted rule that reverts because another operator had
// read older rules, and against a resent operation with another answer.
TEST_P(OperatorFaultTest, AcceptedRulesNeverRevert) {
  const std::vector<std::string> violations =
      OperatorSimulation{GetParam()}.run();
  for (const std::string &it : violations)
    ADD_FAILURE() << it;
}

INSTANTIATE_TEST_SUITE_P(Seeds, OperatorFaultTest,
                         testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace pistachio
