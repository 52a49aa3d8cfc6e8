#include "ControlScript.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

using Code = ApplyResult::Code;

constexpr Endpoint Address{0x0A1E0001, 500};

std::string routeTo(const std::string &target) {
  return "service alpha slots 5 # asked by Tiina\n"
         "service beta slots 5 # asked by Tiina\n"
         "route r address 10.30.0.1:500 to " +
         target + " # asked by Tiina\n";
}

ApplyRouting makeRouting(std::uint64_t version, const std::string &target,
                         const std::string &id = "") {
  return {id.empty() ? "routing-" + std::to_string(version) : id, version,
          routeTo(target), "document " + std::to_string(version), 0};
}

SetDataCentre makeChange(const std::string &id, const std::string &name,
                         DataCentreChange change) {
  return {id, name, change, "Tiina", 0};
}

class RoutingTest : public testing::Test {
protected:
  RoutingTest() {
    Script.apply("datacentre x # asked by Maarja\n"
                 "datacentre y # asked by Maarja\n");
  }
  Code commit(const LogCommand &command, const std::string &id) {
    Script.commit(command);
    return Script.State->findResult(id).value_or(ApplyResult{}).What;
  }
  bool isOut(const std::string &name) const {
    return Script.State->findDataCentre(name)->IsTakenOut;
  }

  ControlScript Script;
};

// Guards against a routing that goes back when an older one arrives again, and
// against other content under a version that is in force.
TEST_F(RoutingTest, OnlyAHigherVersionTakesEffect) {
  EXPECT_EQ(commit(makeRouting(7, "alpha weight 1"), "routing-7"),
            Code::Applied);
  EXPECT_EQ(commit(makeRouting(5, "beta weight 1"), "routing-5"),
            Code::Unchanged);
  EXPECT_EQ(commit(makeRouting(7, "beta weight 1", "other"), "other"),
            Code::Unchanged);
  EXPECT_EQ(Script.State->routing(), (RoutingDocument{7, "document 7"}));
  const NodeTable node = Script.freshNode();
  ASSERT_EQ(node.Routes.size(), 1U);
  EXPECT_EQ(node.Routes.at(Address).Shares[0].Service,
            Script.State->findService("alpha")->Id);
}

// Guards against a faulty routing that replaces a good one.
TEST_F(RoutingTest, FaultyRoutingChangesNothing) {
  commit(makeRouting(7, "alpha weight 1"), "routing-7");
  EXPECT_EQ(commit(makeRouting(8, "gamma weight 1"), "routing-8"),
            Code::Invalid);
  EXPECT_EQ(Script.State->routing().Version, 7U);
  EXPECT_EQ(commit(makeRouting(9, "beta weight 1"), "routing-9"),
            Code::Applied);
}

// Guards against flows that cannot be found any more when their route names
// another service.
TEST_F(RoutingTest, RouteRemembersFormerServices) {
  commit(makeRouting(1, "alpha weight 1"), "routing-1");
  commit(makeRouting(2, "beta weight 1"), "routing-2");
  const ServiceId alpha = Script.State->findService("alpha")->Id;
  EXPECT_EQ(Script.freshNode().Routes.at(Address).FormerServices,
            std::vector<ServiceId>{alpha});
  commit(makeRouting(3, "beta weight 1 and alpha weight 2"), "routing-3");
  EXPECT_TRUE(Script.freshNode().Routes.at(Address).FormerServices.empty());
}

// Guards against agents that have to wait for control before they know what
// their upstream bears in a cold start.
TEST_F(RoutingTest, RouteCarriesTheColdRate) {
  ApplyRouting command = makeRouting(1, "alpha weight 1 and beta weight 1");
  command.Lines.replace(command.Lines.find("slots 5 "), 8,
                        "slots 5 cold-rate 2.5 ");
  commit(command, "routing-1");
  const auto shares = Script.freshNode().Routes.at(Address).Shares;
  ASSERT_EQ(shares.size(), 2U);
  EXPECT_EQ(shares[0].ColdMilliflowsPerSecond, 2500U);
  EXPECT_EQ(shares[1].ColdMilliflowsPerSecond, UnlimitedColdRate);
}

// Guards against a routing that drops what operators wrote in the rules.
TEST_F(RoutingTest, OtherRulesStay) {
  commit(makeChange("op-1", "y", DataCentreChange::TakeOut), "op-1");
  commit(makeRouting(1, "alpha weight 1"), "routing-1");
  EXPECT_TRUE(isOut("y"));
  EXPECT_EQ(Script.State->rules().dataCentres().size(), 2U);
}

struct ChangeCase {
  const char *Name;
  std::vector<DataCentreChange> Changes;
  bool Out;
};

class DataCentreChangeTest : public testing::TestWithParam<ChangeCase> {};

// Guards against a data centre that comes back into service because it is
// declared again, as a leader does that has just been elected.
TEST_P(DataCentreChangeTest, EndsAsOrdered) {
  ControlScript script;
  script.apply("datacentre other # asked by Maarja\n");
  int n = 0;
  for (const DataCentreChange it : GetParam().Changes)
    script.commit(makeChange("op-" + std::to_string(++n), "x", it));
  ASSERT_TRUE(script.State->findDataCentre("x"));
  EXPECT_EQ(script.State->findDataCentre("x")->IsTakenOut, GetParam().Out);
}

using enum DataCentreChange;

INSTANTIATE_TEST_SUITE_P(
    Table, DataCentreChangeTest,
    testing::Values(
        ChangeCase{"Declared", {Declare}, false},
        ChangeCase{"OutAndDeclared", {TakeOut, Declare}, true},
        ChangeCase{"OutTwice", {TakeOut, TakeOut}, true},
        ChangeCase{"OutAndBack", {TakeOut, BringBack}, false},
        ChangeCase{"BackWithoutOut", {BringBack}, false},
        ChangeCase{"BackAndOutAgain", {TakeOut, BringBack, TakeOut}, true}),
    [](const auto &it) { return std::string(it.param.Name); });

} // namespace
} // namespace pistachio
