#include "OperatorSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class OperatorFaultTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against the loss of an accepted rule when another operator applies a
// change based on older rules, and against a resent operation that returns
// another result than the first time.
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
