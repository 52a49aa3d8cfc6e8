#include "ControlStateHarness.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

using Code = ApplyResult::Code;

struct ApplyAttempt {
  const char *OperationId;
  /// Expected revision of the command, relative to the current revision of the
  /// rules.
  int RevisionOffset;
  const char *Team;
  std::string Rules;
  Code Expected;
};

struct ApplyCase {
  const char *Name;
  /// The failure that the row guards against.
  const char *GuardedFailure;
  std::vector<ApplyAttempt> Attempts;
};

const std::string OutRules = BaseRules + "out ee-north-b # asked by Tiina\n";
const std::string LimitRules =
    BaseRules + "limit workshop-api inflight 35 # asked by Tiina\n";

std::vector<ApplyCase> applyCases() {
  return {
      {"SameRevisionTwice",
       "the second of two operators overwrites the first one",
       {{"op-a", 0, "operators", OutRules, Code::Applied},
        {"op-b", -1, "operators", LimitRules, Code::Conflict}}},
      {"ResentIdGetsFirstResult",
       "a resent change is run again or reported as a conflict",
       {{"op-a", 0, "operators", OutRules, Code::Applied},
        {"op-a", -1, "operators", OutRules, Code::Applied}}},
      {"ResentIdOfConflict",
       "a conflict turns into a change when it is resent",
       {{"op-a", 7, "operators", OutRules, Code::Conflict},
        {"op-a", 0, "operators", OutRules, Code::Conflict}}},
      {"InvalidRules",
       "rules with findings are accepted in part",
       {{"op-a", 0, "operators", BaseRules + "out nowhere # asked by Tiina\n",
         Code::Invalid}}},
      {"LineWithoutName",
       "a rule is accepted that nobody asked for",
       {{"op-a", 0, "operators", BaseRules + "out ee-north-b\n",
         Code::Invalid}}},
      {"SameText",
       "a change without effect counts as a new revision",
       {{"op-a", 0, "operators", BaseRules, Code::Unchanged}}},
      {"TeamOwnService",
       "a team cannot change its own service",
       {{"op-a", 0, "valukoda", LimitRules, Code::Applied}}},
      {"TeamTakesDataCentreOut",
       "a team changes lines that are not its own",
       {{"op-a", 0, "valukoda", OutRules, Code::NotPermitted}}},
      {"DrainOfUnknownUpstream",
       "a drain line that is resent after the upstream left is refused",
       {{"op-a", 0, "operators",
         BaseRules + "drain upstream 17 # asked by Tiina\n", Code::Applied}}}};
}

class ApplyRulesTest : public testing::TestWithParam<ApplyCase> {};

TEST_P(ApplyRulesTest, ReturnsExpectedResult) {
  ControlStateHarness harness;
  ASSERT_EQ(harness.apply(BaseRules).Outcome, Code::Applied);
  std::map<std::string, ApplyResult> first;
  for (const ApplyAttempt &it : GetParam().Attempts) {
    const Revision before = harness.State->rulesRevision();
    const std::string text = harness.State->rules().text();
    const Revision expected{before.Value +
                            static_cast<std::uint64_t>(it.RevisionOffset)};
    const bool isRepeat = first.contains(it.OperationId);
    // Restart the member: replace the state by one loaded from its snapshot.
    const Bytes snapshot = harness.State->save();
    harness.State = makeControlState();
    ASSERT_TRUE(harness.State->load(snapshot).ok());
    const ApplyResult result = harness.apply(
        makeApplyRules(it.OperationId, expected, it.Rules, it.Team));
    EXPECT_EQ(result.Outcome, it.Expected) << result.Text;
    if (isRepeat) {
      EXPECT_EQ(result.RulesRevision, first[it.OperationId].RulesRevision);
      EXPECT_EQ(result.Text, first[it.OperationId].Text);
    }
    const bool changes = it.Expected == Code::Applied && !isRepeat;
    EXPECT_EQ(harness.State->rulesRevision() != before, changes);
    EXPECT_EQ(harness.State->rules().text(), changes ? it.Rules : text);
    first.emplace(it.OperationId, result);
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, ApplyRulesTest, testing::ValuesIn(applyCases()),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against results that accumulate without limit, and against results
// that are dropped while an operator may still resend the operation.
TEST(ResultRetentionTest, ResultsAreKeptForOneDayOfLogTime) {
  constexpr std::uint64_t DayMs = 24 * 60 * 60 * 1000;
  ControlStateHarness harness;
  harness.apply(makeApplyRules("op-a", {}, BaseRules, "operators", 1000));
  harness.apply(
      makeApplyRules("op-b", Revision{9}, "", "operators", 1000 + DayMs));
  EXPECT_TRUE(harness.State->findResult("op-a"));
  harness.apply(
      makeApplyRules("op-c", Revision{9}, "", "operators", 1001 + DayMs));
  EXPECT_FALSE(harness.State->findResult("op-a"));
  EXPECT_TRUE(harness.State->findResult("op-b"));
}

// Guards against the reuse of a service id for another service: packets of
// existing flows would be forwarded to upstreams of the wrong service.
TEST(ServiceIdTest, IdIsKeptWhileNamedAndNeverReused) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  const ServiceId first = harness.State->findService("intake-api")->Id;
  harness.apply(BaseRules + "out ee-north-b # asked by Tiina\n");
  EXPECT_EQ(harness.State->findService("intake-api")->Id, first);
  harness.commit(makeUpstreamJoined(1, 1, "intake-api"));
  std::string without = BaseRules;
  without.erase(without.find("service intake-api"),
                without.find("team") - without.find("service intake-api"));
  ASSERT_EQ(harness.apply(without).Outcome, Code::Applied);
  EXPECT_TRUE(harness.State->upstreams().empty());
  ASSERT_EQ(harness.apply(BaseRules).Outcome, Code::Applied);
  EXPECT_GT(harness.State->findService("intake-api")->Id, first);
}

} // namespace
} // namespace pistachio
