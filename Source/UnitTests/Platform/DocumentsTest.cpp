#include "Samples.h"

#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <array>

namespace pistachio::platform {
namespace {

// Guards against fields that are not decoded or are mistaken for other fields.
TEST(DocumentsTest, ReadsRouting) {
  const auto plan = decodeRouting(RoutingBody);
  ASSERT_TRUE(plan.ok()) << plan.status();
  EXPECT_EQ(plan->Version, 12U);
  EXPECT_EQ(plan->Document, RoutingBody);
  ASSERT_EQ(plan->Routes.size(), 2U);
  EXPECT_EQ(toString(plan->Routes[0].Address), "10.9.0.1:8443");
  ASSERT_EQ(plan->Routes[0].Targets.size(), 2U);
  EXPECT_EQ(plan->Routes[0].Targets[1].Service, "beta");
  EXPECT_EQ(plan->Routes[0].Targets[1].Weight, 30U);
  EXPECT_EQ(plan->Routes[1].Targets[0].Service, "beta");
  ASSERT_EQ(plan->Services.size(), 2U);
  EXPECT_EQ(plan->Services[0].ColdStartRequestsPerSecond, 2.5);
  EXPECT_EQ(plan->Services[0].Slots, 2000U);
  EXPECT_EQ(plan->Services[1].ColdStartRequestsPerSecond, std::nullopt);
  EXPECT_EQ(plan->Services[1].Slots, 10000U);
  // The decoded services and routes must form valid rules.
  Findings findings;
  EXPECT_TRUE(RuleSet::parse(formatRouting(plan->Services, plan->Routes, "x"),
                             "rules", findings))
      << findings.format();
}

/// Text of the document, its replacement and the expected terms.
using TermsCase = std::array<std::string_view, 3>;
class DocumentTermsTest : public testing::TestWithParam<TermsCase> {};

// Guards against terms that are read wrongly or without the option, and against
// a document that becomes invalid through a value that the rules do not accept.
TEST_P(DocumentTermsTest, ReadsWhatTheRulesAccept) {
  std::string body = RoutingBody;
  const auto &[from, to, expected] = GetParam();
  body.replace(body.find(from), from.size(), to);
  const auto linesWith = [&](const RoutingOptions &options) {
    const RoutingPlan plan = decodeRouting(body, options).value();
    return formatRouting(plan.Services, {plan.Routes.data(), 1}, "x");
  };
  const std::string lines = linesWith({true});
  EXPECT_TRUE(lines.ends_with(concat("30 ", expected, " # asked by x\n")));
  Findings findings;
  EXPECT_TRUE(RuleSet::parse(lines, "r", findings)) << findings.format();
  EXPECT_TRUE(linesWith({}).ends_with("30 # asked by x\n"));
}

const TermsCase TermsCases[] = {
    {"safe", "download", "urgency 2 objective 100 timeout 1500 repeatable"},
    {"safe", "unsafe", "urgency 2 objective 100 timeout 1500 once"},
    {"safe", "upload", "urgency 2 objective 100 timeout 1500 once"},
    {"safe", "other", "urgency 2 objective 100 timeout 1500"},
    {":2,", ":0,", "urgency 0 objective 100 timeout 1500 repeatable"},
    {":2,", ":10,", "objective 100 timeout 1500 repeatable"},
    {":2,", ":2.5,", "objective 100 timeout 1500 repeatable"},
    {"slo_ms", "s", "urgency 2 timeout 1500 repeatable"},
    {":100,", ":0,", "urgency 2 timeout 1500 repeatable"},
    {":1500,", ":99,", "urgency 2 timeout 99 repeatable"},
    {":1500,", ":3600001,", "urgency 2 objective 100 repeatable"},
};

INSTANTIATE_TEST_SUITE_P(Table, DocumentTermsTest,
                         testing::ValuesIn(TermsCases));

TEST(DocumentsTest, ReadsReport) {
  const auto report = decodeReport("i-1", ReportBody);
  ASSERT_TRUE(report.ok()) << report.status();
  EXPECT_EQ(report->Id, "i-1");
  EXPECT_EQ(report->Service, "alpha");
  EXPECT_EQ(toString(report->Address), "10.1.0.9:8080");
  EXPECT_EQ(report->Slots, 2U);
  EXPECT_FALSE(report->Draining);
  EXPECT_EQ(report->ColdStartRemaining, Duration(40));
  EXPECT_EQ(report->Sequence, 4U);
  EXPECT_EQ(report->StartedAtMs, 1700000000000U);
}

struct FaultCase {
  const char *Name;
  bool IsRouting;
  std::string_view From;
  std::string_view To;
  /// Start of the expected error message.
  std::string_view Expected;
};

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against invalid documents that are accepted, and against error
// messages that do not name the field.
TEST_P(DocumentFaultTest, ErrorNamesTheField) {
  const FaultCase &it = GetParam();
  std::string body = it.IsRouting ? RoutingBody : ReportBody;
  const std::size_t at = body.find(it.From);
  ASSERT_NE(at, std::string::npos);
  body.replace(at, it.From.size(), it.To);
  const absl::Status status = it.IsRouting ? decodeRouting(body).status()
                                           : decodeReport("i", body).status();
  EXPECT_EQ(status.code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(messageOf(status).substr(0, it.Expected.size()), it.Expected);
}

const FaultCase FaultCases[] = {
    {"Cut", true, "\"limits\"", "", "the body is not JSON"},
    {"NoVersion", true, "\"version\"", "\"v\"", "version: the field is"},
    {"VersionZero", true, ":12,", ":0,", "version: a number from 1"},
    {"VersionText", true, ":12,", ":\"12\",", "version: a whole number"},
    {"VersionNegative", true, ":12,", ":-12,", "version: a whole number"},
    {"VersionFraction", true, ":12,", ":12.5,", "version: a whole number"},
    {"NoRoutes", true, "\"routes\"", "\"ways\"", "routes: the field is"},
    {"ServicesNull", true, "\"services\":[", "\"services\":null,\"s\":[",
     "services: an array"},
    {"TimeoutZero", true, ":1500", ":0", "timeout_ms: a number from 1"},
    {"NoWeight", true, "\"weight\":30", "\"w\":30", "weight: the field is"},
    {"WeightNegative", true, "\"weight\":30", "\"weight\":-1",
     "weight: a whole number"},
    {"HostName", true, "10.9.0.1", "host.example", "host: "},
    {"PortWithoutSlashes", true, "/8443/", "8443", "path_prefix: a port"},
    {"PortTooLarge", true, "/8443/", "/99999/", "host: "},
    {"NoService", true, "\"service\":\"beta\"}],\"services\"",
     "\"weight\":3}],\"services\"", "service: the field is"},
    {"RouteIsText", true, "\"routes\":[", "\"routes\":[\"x\",", "routes: an"},
    {"ServiceName", true, "\"name\":\"beta\"", "\"name\":\"b b\"",
     "name: 'b b' is not"},
    {"ColdRateNegative", true, "2.5", "-2.5", "cold_per_s: a number"},
    {"State", false, "ready", "asleep", "state: 'asleep' is neither"},
    {"NoSlots", false, "\"slots\":2,", "", "slots: the field is"},
    {"SlotsText", false, "\"slots\":2", "\"slots\":\"2\"",
     "slots: a whole number"},
    {"Address", false, "10.1.0.9:8080", "10.1.0.9", "address: "},
    {"BornFraction", false, "1700000000000", "17.5", "born: a whole number"},
    {"ColdLeft", false, ":40", ":-1", "cold_left_ms: a whole number"},
    {"UnclosedArray", false, "{\"service\"", "[{\"service\"",
     "the body is not JSON"},
};

INSTANTIATE_TEST_SUITE_P(Table, DocumentFaultTest,
                         testing::ValuesIn(FaultCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace
} // namespace pistachio::platform
