#include "ControlScript.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

using Code = ApplyResult::Code;

struct Attempt {
  const char *OperationId;
  /// Added to the present revision of the rules; 0 is the present one.
  int RevisionOffset;
  const char *Team;
  std::string Rules;
  Code Expected;
};

struct ApplyCase {
  const char *Name;
  /// A failure that the row guards against.
  const char *Guards;
  std::vector<Attempt> Attempts;
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
      {"FaultyRules",
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

TEST_P(ApplyRulesTest, AnswersAndRules) {
  ControlScript script;
  ASSERT_EQ(script.apply(BaseRules).What, Code::Applied);
  std::map<std::string, ApplyResult> first;
  for (const Attempt &it : GetParam().Attempts) {
    const Revision before = script.State->rulesRevision();
    const std::string text = script.State->rules().text();
    const Revision expected{before.Value +
                            static_cast<std::uint64_t>(it.RevisionOffset)};
    const bool isRepeat = first.contains(it.OperationId);
    // The state is replaced by its saved image, as after a restart.
    const Bytes image = script.State->save();
    script.State = makeControlState();
    ASSERT_TRUE(script.State->load(image).ok());
    const ApplyResult result =
        script.apply(makeApply(it.OperationId, expected, it.Rules, it.Team));
    EXPECT_EQ(result.What, it.Expected) << result.Text;
    if (isRepeat) {
      EXPECT_EQ(result.RulesRevision, first[it.OperationId].RulesRevision);
      EXPECT_EQ(result.Text, first[it.OperationId].Text);
    }
    const bool changes = it.Expected == Code::Applied && !isRepeat;
    EXPECT_EQ(script.State->rulesRevision() != before, changes);
    EXPECT_EQ(script.State->rules().text(), changes ? it.Rules : text);
    first.emplace(it.OperationId, result);
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, ApplyRulesTest, testing::ValuesIn(applyCases()),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against results that are kept without bound, and against a result that
// is dropped while its operator may still resend.
TEST(ResultRetentionTest, ResultsAreKeptForOneDayOfLogTime) {
  constexpr std::uint64_t DayMs = 24 * 60 * 60 * 1000;
  ControlScript script;
  script.apply(makeApply("op-a", {}, BaseRules, "operators", 1000));
  script.apply(makeApply("op-b", Revision{9}, "", "operators", 1000 + DayMs));
  EXPECT_TRUE(script.State->findResult("op-a"));
  script.apply(makeApply("op-c", Revision{9}, "", "operators", 1001 + DayMs));
  EXPECT_FALSE(script.State->findResult("op-a"));
  EXPECT_TRUE(script.State->findResult("op-b"));
}

// Guards against a service id that comes to mean another service: packets of
// old flows would reach the wrong upstreams.
TEST(ServiceIdTest, IdIsKeptWhileNamedAndNeverReused) {
  ControlScript script;
  script.apply(BaseRules);
  const ServiceId first = script.State->findService("intake-api")->Id;
  script.apply(BaseRules + "out ee-north-b # asked by Tiina\n");
  EXPECT_EQ(script.State->findService("intake-api")->Id, first);
  script.commit(makeJoin(1, 1, "intake-api"));
  std::string without = BaseRules;
  without.erase(without.find("service intake-api"),
                without.find("team") - without.find("service intake-api"));
  ASSERT_EQ(script.apply(without).What, Code::Applied);
  EXPECT_TRUE(script.State->upstreams().empty());
  ASSERT_EQ(script.apply(BaseRules).What, Code::Applied);
  EXPECT_GT(script.State->findService("intake-api")->Id, first);
}

} // namespace
} // namespace pistachio
