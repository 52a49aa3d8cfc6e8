#include "Rules/Rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace pistachio {
namespace {

constexpr std::string_view Valid =
    "# Valukoda\n"
    "service workshop-api address 10.20.0.1:443 slots 5 # asked by Maarja Tamm"
    ": new tablets\n"
    "service intake-api address 10.20.0.2:443 slots 5 # asked by Maarja Tamm\n"
    "limit workshop-api inflight 35 # asked by Jaan Õun\n"
    "objective workshop-api availability 99.9 window 30d # asked by Jaan\n"
    "team valukoda services workshop-api,intake-api # asked by Jaan\n"
    "\n"
    "datacentre ee-north-a # asked by Jaan\r\n"
    "datacentre ee-north-b # asked by Jaan\n"
    "out ee-north-b # asked by Jaan: power work\n"
    "drain  upstream\t17 # asked by Jaan";

RuleSet parseValid(std::string_view text) {
  Findings findings;
  auto rules = RuleSet::parse(text, "rules.txt", findings);
  EXPECT_TRUE(rules.has_value()) << findings.format();
  return rules.value_or(RuleSet());
}

// Guards against a kind of rule that is not linked into the program, and
// against fields that are not parsed.
TEST(RulesTest, ReadsEveryKind) {
  const RuleSet rules = parseValid(Valid);
  ASSERT_EQ(rules.lines().size(), 9U);
  EXPECT_EQ(rules.lines()[0],
            (RuleLine{2, "service",
                      "service workshop-api address 10.20.0.1:443 slots 5",
                      "Maarja Tamm", "new tablets"}));
  EXPECT_EQ(rules.lines()[8].Text, "drain upstream 17");
  ASSERT_EQ(rules.services().size(), 2U);
  EXPECT_EQ(toString(rules.services()[1].Address), "10.20.0.2:443");
  EXPECT_EQ(rules.services()[1].Slots, 5U);
  ASSERT_EQ(rules.limits().size(), 1U);
  EXPECT_EQ(rules.limits()[0].MaxInFlight, 35U);
  ASSERT_EQ(rules.objectives().size(), 1U);
  EXPECT_DOUBLE_EQ(rules.objectives()[0].TargetPercent, 99.9);
  EXPECT_EQ(rules.objectives()[0].WindowDays, 30U);
  ASSERT_EQ(rules.teams().size(), 1U);
  EXPECT_EQ(rules.teams()[0].Services,
            (std::vector<std::string>{"workshop-api", "intake-api"}));
  EXPECT_EQ(rules.dataCentres().size(), 2U);
  EXPECT_EQ(rules.dataCentresOut()[0], "ee-north-b");
  EXPECT_EQ(rules.drainingUpstreams()[0], UpstreamId{17});
  EXPECT_EQ(rules.text(), Valid);
}

// Guards against a mismatch between formatting and parsing: no field of a
// route, or of a service with or without an address, may be lost.
TEST(RulesTest, FormattedRoutingParsesBack) {
  ServiceRule alpha{"alpha", {}, 5, 2.5};
  ServiceRule beta{"beta", {0x0A000001, 443}, 7, {}};
  const RouteRule route{"r-1",
                        {0x0A000002, 444},
                        {{"alpha", 90}, {"beta", 0}},
                        {2, Duration(100), Duration(1500), true}};
  const std::string text =
      formatRouting(std::vector{alpha, beta}, std::vector{route}, "Tiina");
  const RuleSet rules = parseValid(text);
  ASSERT_EQ(rules.services().size(), 2U);
  EXPECT_EQ(rules.services()[0].Address.Port, 0);
  EXPECT_EQ(rules.services()[0].ColdStartRequestsPerSecond, 2.5);
  EXPECT_EQ(rules.services()[1].Address, beta.Address);
  EXPECT_EQ(rules.services()[1].ColdStartRequestsPerSecond, std::nullopt);
  ASSERT_EQ(rules.routes().size(), 1U);
  EXPECT_EQ(rules.routes()[0].Address, route.Address);
  EXPECT_EQ(rules.routes()[0].Terms, route.Terms);
  ASSERT_EQ(rules.routes()[0].Targets.size(), 2U);
  EXPECT_EQ(rules.routes()[0].Targets[0].Weight, 90U);
  EXPECT_EQ(rules.lines()[2].AskedBy, "Tiina");
}

// Guards against lines of the replaced kinds that stay, and against the loss of
// other lines.
TEST(RulesTest, ReplacesLinesOfGivenKinds) {
  constexpr std::string_view Kinds[] = {"service", "limit", "objective",
                                        "team"};
  const std::string text =
      replaceRules(parseValid(Valid), Kinds, "datacentre new # asked by X\n");
  const RuleSet rules = parseValid(text);
  EXPECT_TRUE(rules.services().empty());
  EXPECT_EQ(rules.dataCentres().size(), 3U);
  EXPECT_EQ(rules.dataCentresOut().size(), 1U);
  EXPECT_TRUE(text.starts_with("# Valukoda\n"));
}

// A new control group starts with an empty rule set.
TEST(RulesTest, AcceptsEmptyText) {
  EXPECT_TRUE(parseValid("").lines().empty());
}

struct FindingCase {
  std::string_view Name;
  /// " # asked by Ada" is appended to every line unless WithoutComment is set.
  std::string_view Text;
  /// The expected findings as "line:column: start of the message", separated by
  /// '|'.
  std::string_view Expected;
  bool WithoutComment = false;
};

class RuleFindingTest : public testing::TestWithParam<FindingCase> {};

// Guards against errors that are accepted, reported at a wrong position, or
// hide other errors.
TEST_P(RuleFindingTest, ReportsPosition) {
  std::string text(GetParam().Text);
  if (!GetParam().WithoutComment) {
    std::string commented;
    for (const char c : text + "\n")
      commented += c == '\n' ? " # asked by Ada\n" : std::string(1, c);
    text = commented;
  }
  Findings findings;
  EXPECT_FALSE(RuleSet::parse(text, "r", findings).has_value());
  std::string_view expected = GetParam().Expected;
  for (const Finding &it : findings.items()) {
    const std::string_view expectedStart =
        expected.substr(0, expected.find('|'));
    EXPECT_EQ(toString(it).substr(0, expectedStart.size() + 2),
              concat("r:", expectedStart));
    expected.remove_prefix(std::min(expected.size(), expectedStart.size() + 1));
  }
  EXPECT_EQ(expected, "") << "not reported";
}

const FindingCase FindingCases[] = {
    {"RouteToUnknownService", "route r address 1.2.3.4:5 to a weight 1",
     "1:30: unknown service 'a'"},
    {"RouteWithoutWeight",
     "service a slots 1\nroute r address 1.2.3.4:5 to a weight 0",
     "2:39: all weights of the route are 0"},
    {"RouteAtTheAddressOfAnother",
     "service a slots 1\nroute r address 1.2.3.4:5 to a weight 1\n"
     "route s address 1.2.3.4:5 to a weight 1",
     "3:17: duplicate address '1.2.3.4:5', first given in line 2"},
    {"RouteTerms",
     "service a slots 1\n"
     "route r0 address 1.2.3.4:1 to a weight 1 urgency 10\n"
     "route r1 address 1.2.3.4:2 to a weight 1 urgency -1\n"
     "route r2 address 1.2.3.4:3 to a weight 1 urgency\n"
     "route r3 address 1.2.3.4:4 to a weight 1 objective 0\n"
     "route r4 address 1.2.3.4:5 to a weight 1 objective 3600001\n"
     "route r5 address 1.2.3.4:6 to a weight 1 timeout 0\n"
     "route r6 address 1.2.3.4:7 to a weight 1 timeout 3600001\n"
     "route r7 address 1.2.3.4:8 to a weight 1 objective 100 timeout 99\n"
     "route r8 address 1.2.3.4:9 to a weight 1 objective 9 urgency 1\n"
     "route r9 address 1.2.3.5:1 to a weight 1 repeatable once",
     "2:50: urgency '10' is not a number from 0 to 9|"
     "3:50: urgency '-1' is not a number from 0 to 9|"
     "4:49: missing urgency; expected: route|"
     "5:52: objective '0' is not a number from 1 to 3600000|"
     "6:52: objective '3600001' is not a number from 1|"
     "7:50: timeout '0' is not a number from 1 to 3600000|"
     "8:50: timeout '3600001' is not a number from 1 to 3600000|"
     "9:64: timeout '99' is below the objective; a number from 100|"
     "10:54: unexpected 'urgency'; expected: route|"
     "11:53: unexpected 'once'; expected: route"},
    {"RouteWithoutTarget", "route r address 1.2.3.4:5 to",
     "1:29: missing service; expected: route"},
    {"ColdRateNegative", "service a slots 1 cold-rate -1",
     "1:29: cold rate '-1' is not a number from 0"},
    {"UnknownKind", "srevice a", "1:1: unknown kind of rule 'srevice'"},
    {"NoComment", "datacentre a", "1:13: the comment '# asked by NAME' is",
     true},
    {"NotAskedBy", "datacentre a # new", "1:14: the comment does not have",
     true},
    {"NobodyAsked", "datacentre a # asked by : x", "1:14: the comment does not",
     true},
    {"ControlCharacter", "datacentre a\x01", "1:13: control character"},
    {"InvalidUtf8", "datacentre a # asked by \xC3(", "1:25: control character",
     true},
    {"OverlongUtf8", "\xE0\x80\xAF", "1:1: control character"},
    {"ColumnCountsCharacters", "datacentre a # asked by \xC3\x95un \x02",
     "1:29: control character", true},
    {"MissingWord", "service a address",
     "1:18: missing address; expected: ser"},
    {"WrongKeyword", "limit a in 3\nservice a address 1.2.3.4:5 slots 1",
     "1:9: 'in' where 'inflight' belongs"},
    {"ExtraWord", "datacentre a b", "1:14: unexpected 'b'"},
    {"BadName", "datacentre A", "1:12: 'A' is not a name of a data centre"},
    {"BadAddress", "service a address 1.2.3.4 slots 1",
     "1:19: '1.2.3.4' is not an IPv4 endpoint"},
    {"SlotsZero", "service a address 1.2.3.4:5 slots 0",
     "1:35: slots '0' is not a number from 1"},
    {"LeadingZero", "drain upstream 017", "1:16: upstream id '017' is not"},
    {"IdTooLarge", "drain upstream 4294967296", "1:16: upstream id"},
    {"TargetTooLarge",
     "service a address 1.2.3.4:5 slots 1\n"
     "objective a availability 100 window 30d",
     "2:26: target '100' is not a percentage"},
    {"TargetNotFinite",
     "service a address 1.2.3.4:5 slots 1\n"
     "objective a availability nan window 30d",
     "2:26: target 'nan' is not a percentage"},
    {"UnknownIndicator",
     "service a address 1.2.3.4:5 slots 1\nobjective a speed 9 window 1d",
     "2:13: unknown indicator 'speed'"},
    {"BadWindow",
     "service a address 1.2.3.4:5 slots 1\n"
     "objective a availability 99 window 30",
     "2:36: window '30' is not a number of days"},
    {"DuplicateService",
     "service a address 1.2.3.4:5 slots 1\n"
     "service a address 1.2.3.4:6 slots 1",
     "2:9: duplicate service 'a', first given in line 1"},
    {"DuplicateAddress",
     "service a address 1.2.3.4:5 slots 1\n"
     "service b address 1.2.3.4:5 slots 1",
     "2:19: duplicate address '1.2.3.4:5', first given in line 1"},
    {"DuplicateDataCentre", "datacentre a\ndatacentre a",
     "2:12: duplicate data centre 'a'"},
    {"DuplicateOut", "datacentre a\ndatacentre b\nout a\nout a",
     "4:5: duplicate 'out' rule of data centre 'a'"},
    {"DuplicateDrain", "drain upstream 3\ndrain upstream 3",
     "2:16: duplicate 'drain' rule of upstream '3'"},
    {"DuplicateLimit",
     "service a address 1.2.3.4:5 slots 1\nlimit a inflight 1\n"
     "limit a inflight 2",
     "3:7: duplicate 'limit' rule of service 'a'"},
    {"DuplicateObjective",
     "service a address 1.2.3.4:5 slots 1\n"
     "objective a availability 99 window 1d\n"
     "objective a availability 98 window 1d",
     "3:11: duplicate objective 'a availability'"},
    {"DuplicateTeam",
     "service a address 1.2.3.4:5 slots 1\nteam t services a\n"
     "team t services a",
     "3:6: duplicate team 't'"},
    {"ServiceTwiceInTeam",
     "service a address 1.2.3.4:5 slots 1\nteam t services a,a",
     "2:19: service 'a' is listed twice"},
    {"EmptyTeamItem", "service a address 1.2.3.4:5 slots 1\nteam t services a,",
     "2:19: '' is not a name of a service"},
    {"OperatorsDeclared",
     "service a address 1.2.3.4:5 slots 1\nteam operators services a",
     "2:6: the team 'operators' may change all lines"},
    {"UnknownService", "limit a inflight 3\nteam t services b,c",
     "1:7: unknown service 'a'|2:17: unknown service 'b'|"
     "2:19: unknown service 'c'"},
    {"UnknownServiceOfObjective", "objective a availability 9 window 1d",
     "1:11: unknown service 'a'"},
    {"OutUndeclared", "datacentre a\nout b", "2:5: unknown data centre 'b'"},
    {"AllOut", "datacentre a\ndatacentre b\nout b\nout a",
     "4:5: all data centres are out"},
    {"InvalidServiceIsStillDeclared",
     "service a address 1.2.3.4:5 slots x\nlimit a inflight 3",
     "1:35: slots 'x'"},
    {"AllFindingsInOrder", "out z\nx\ndatacentre B\ndrain upstream 0",
     "1:5: unknown data centre 'z'|2:1: unknown kind|3:12: 'B' is not|"
     "4:16: upstream id '0'"},
};

INSTANTIATE_TEST_SUITE_P(All, RuleFindingTest, testing::ValuesIn(FindingCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against a response of unlimited size and against unlimited work for a
// long line.
TEST(RulesTest, BoundsFindingsAndLines) {
  std::string text;
  for (int i = 0; i < 5000; ++i)
    text += "x\n";
  Findings findings;
  EXPECT_FALSE(RuleSet::parse(text, "r", findings).has_value());
  // 1000 findings and one that says that the others are not reported.
  EXPECT_EQ(findings.items().size(), 1001U);
  Findings longLine;
  EXPECT_FALSE(
      RuleSet::parse(std::string(70000, 'x'), "r", longLine).has_value());
  ASSERT_EQ(longLine.items().size(), 1U);
  EXPECT_EQ(longLine.items()[0].Message, "line is longer than 65536 bytes");
}

// Guards against missing changes, and against changes reported for lines that
// were only moved.
TEST(RulesTest, DiffIgnoresOrder) {
  const RuleSet before = parseValid("datacentre a # asked by Ada\n"
                                    "datacentre b # asked by Ada: site\n");
  const RuleSet after = parseValid("\n# note\ndatacentre  b # asked by Bo\n"
                                   "datacentre a    # asked by  Ada\n"
                                   "drain upstream 3 # asked by Ada: disk\n");
  EXPECT_EQ(formatChanges(diffRules(before, after)),
            "- datacentre b # asked by Ada: site\n"
            "+ datacentre b # asked by Bo\n"
            "+ drain upstream 3 # asked by Ada: disk\n");
  EXPECT_TRUE(diffRules(after, after).empty());
}

struct EditCase {
  std::string_view Name;
  bool Add = true;
  std::string_view Rule;
  std::string_view AskedBy;
  std::string_view Reason;
  /// The expected changes, or "error: " and a part of the message.
  std::string_view Expected;
};

class RuleEditTest : public testing::TestWithParam<EditCase> {};

// Guards against an edit that changes other lines or injects a second rule.
TEST_P(RuleEditTest, ChangesOneLine) {
  const EditCase &it = GetParam();
  const RuleSet before = parseValid(Valid);
  const auto text = it.Add ? addRule(before, it.Rule, it.AskedBy, it.Reason)
                           : removeRule(before, it.Rule);
  if (it.Expected.starts_with("error: ")) {
    ASSERT_FALSE(text.ok());
    EXPECT_EQ(text.status().code(), absl::StatusCode::kInvalidArgument);
    EXPECT_NE(messageOf(text.status()).find(it.Expected.substr(7)),
              std::string::npos)
        << messageOf(text.status());
    return;
  }
  ASSERT_TRUE(text.ok()) << messageOf(text.status());
  EXPECT_EQ(formatChanges(diffRules(before, parseValid(*text))), it.Expected);
}

const EditCase EditCases[] = {
    {"AddDrain", true, "drain upstream  4", "Ada", "disk",
     "+ drain upstream 4 # asked by Ada: disk\n"},
    {"AddWithoutReason", true, "drain upstream 4", "Ada", "",
     "+ drain upstream 4 # asked by Ada\n"},
    {"AddTwice", true, "out ee-north-b", "Ada", "", "error: is there already"},
    {"AddUnknown", true, "out ee-west", "Ada", "",
     "error: unknown data centre"},
    {"AddLastDataCentre", true, "out ee-north-a", "Ada", "",
     "error: all data centres are out"},
    {"AddWithoutName", true, "drain upstream 4", " ", "", "error: not a name"},
    {"NameWithColon", true, "drain upstream 4", "a:b", "", "error: not a name"},
    {"SecondLineInReason", true, "drain upstream 4", "Ada", "x\nout ee-north-a",
     "error: control character"},
    {"CommentInRule", true, "drain upstream 4 # x", "Ada", "",
     "error: without comment"},
    {"Remove", false, "out  ee-north-b", "", "",
     "- out ee-north-b # asked by Jaan: power work\n"},
    {"RemoveLastLine", false, "drain upstream 17", "", "",
     "- drain upstream 17 # asked by Jaan\n"},
    {"RemoveAbsent", false, "out ee-north-a", "", "",
     "error: there is no rule"},
    {"RemoveUsed", false, "service intake-api address 10.20.0.2:443 slots 5",
     "", "", "error: unknown service"},
};

INSTANTIATE_TEST_SUITE_P(All, RuleEditTest, testing::ValuesIn(EditCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

struct TeamPermissionCase {
  std::string_view Name;
  std::string_view Team;
  std::string_view Rule;
  bool Allowed = false;
};

class TeamPermissionTest : public testing::TestWithParam<TeamPermissionCase> {};

// Guards against a team that changes rules of other teams or of operators.
TEST_P(TeamPermissionTest, ChecksPermission) {
  const std::string base =
      "service a address 1.2.3.4:1 slots 1 # asked by Ada\n"
      "service b address 1.2.3.4:2 slots 1 # asked by Ada\n"
      "datacentre x # asked by Ada\ndatacentre y # asked by Ada\n"
      "team t services a # asked by Ada\n";
  const RuleSet before = parseValid(base);
  const RuleSet after =
      parseValid(concat(base, GetParam().Rule, " # asked by Ada\n"));
  for (const auto &changes :
       {diffRules(before, after), diffRules(after, before)}) {
    const absl::Status status =
        checkTeamMayApply(GetParam().Team, before, changes);
    EXPECT_EQ(status.code(), GetParam().Allowed
                                 ? absl::StatusCode::kOk
                                 : absl::StatusCode::kPermissionDenied);
  }
}

const TeamPermissionCase TeamPermissionCases[] = {
    {"OwnLimit", "t", "limit a inflight 3", true},
    {"OwnObjective", "t", "objective a availability 9 window 1d", true},
    {"OtherLimit", "t", "limit b inflight 3", false},
    {"NewService", "t", "service c address 1.2.3.4:3 slots 1", false},
    {"GrantItself", "t", "team u services b", false},
    {"DataCentre", "t", "datacentre z", false},
    {"DataCentreNamedAsService", "t", "datacentre a", false},
    {"Out", "t", "out x", false},
    {"Drain", "t", "drain upstream 1", false},
    {"UnknownTeam", "u", "limit a inflight 3", false},
    {"Operators", "operators", "out x", true},
};

INSTANTIATE_TEST_SUITE_P(All, TeamPermissionTest,
                         testing::ValuesIn(TeamPermissionCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against crashes on corrupted files, and against accepted text that
// does not parse to the same rules again. Applies random edits to a valid file.
TEST(RulesTest, HandlesMutatedFiles) {
  constexpr int Rounds = 100'000;
  std::mt19937_64 random(20260412);
  const auto randomBelow = [&](std::size_t n) {
    return static_cast<std::size_t>(random() % n);
  };
  int accepted = 0;
  for (int i = 0; i < Rounds; ++i) {
    std::string text(Valid);
    const std::size_t edits = 1 + randomBelow(4);
    for (std::size_t k = 0; k < edits && !text.empty(); ++k) {
      const std::size_t at = randomBelow(text.size());
      switch (randomBelow(5)) {
      case 0:
        text[at] = static_cast<char>(randomBelow(256));
        break;
      case 1:
        text.erase(at, 1 + randomBelow(12));
        break;
      case 2:
        text.insert(at,
                    text.substr(randomBelow(text.size()), 1 + randomBelow(40)));
        break;
      case 3:
        text.insert(at, 1, " \t\n\r#,:-0"[randomBelow(9)]);
        break;
      default:
        text.resize(at);
      }
    }
    Findings findings;
    const auto rules = RuleSet::parse(text, "r", findings);
    ASSERT_EQ(rules.has_value(), findings.empty());
    for (const Finding &it : findings.items())
      ASSERT_TRUE(it.Line > 0 && it.Column > 0 && !it.Message.empty());
    if (!rules)
      continue;
    ++accepted;
    Findings again;
    const auto copy = RuleSet::parse(rules->text(), "r", again);
    ASSERT_TRUE(copy.has_value());
    ASSERT_TRUE(diffRules(*rules, *copy).empty());
  }
  EXPECT_GT(accepted, Rounds / 100);
  EXPECT_LT(accepted, Rounds);
}

} // namespace
} // namespace pistachio
