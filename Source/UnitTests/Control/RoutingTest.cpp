#include "ControlStateHarness.h"

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
    Harness.apply("datacentre x # asked by Maarja\n"
                  "datacentre y # asked by Maarja\n");
  }
  /// Commits the command and returns the stored outcome of operation \p id. The
  /// test fails with an exception if there is none.
  Code commitOperation(const LogCommand &command, const std::string &id) {
    Harness.commit(command);
    return Harness.State->findResult(id).value().Outcome;
  }
  bool isOutOfService(const std::string &name) const {
    return Harness.State->findDataCentre(name)->IsTakenOut;
  }

  ControlStateHarness Harness;
};

// Guards against a delayed older routing that replaces a newer one, and against
// different content under the version that is already in force.
TEST_F(RoutingTest, OnlyAHigherVersionTakesEffect) {
  EXPECT_EQ(commitOperation(makeRouting(7, "alpha weight 1"), "routing-7"),
            Code::Applied);
  EXPECT_EQ(commitOperation(makeRouting(5, "beta weight 1"), "routing-5"),
            Code::Unchanged);
  EXPECT_EQ(commitOperation(makeRouting(7, "beta weight 1", "other"), "other"),
            Code::Unchanged);
  EXPECT_EQ(Harness.State->routing(), (RoutingDocument{7, "document 7"}));
  const NodeTable node = Harness.makeUpToDateNode();
  ASSERT_EQ(node.Routes.size(), 1U);
  EXPECT_EQ(node.Routes.at(Address).Shares[0].Service,
            Harness.State->findService("alpha")->Id);
}

// Guards against an invalid routing that replaces a valid one.
TEST_F(RoutingTest, InvalidRoutingChangesNothing) {
  commitOperation(makeRouting(7, "alpha weight 1"), "routing-7");
  EXPECT_EQ(commitOperation(makeRouting(8, "gamma weight 1"), "routing-8"),
            Code::Invalid);
  EXPECT_EQ(Harness.State->routing().Version, 7U);
  EXPECT_EQ(commitOperation(makeRouting(9, "beta weight 1"), "routing-9"),
            Code::Applied);
}

// Guards against existing flows that balancers can no longer find after their
// route has changed to another service.
TEST_F(RoutingTest, RouteKeepsFormerServices) {
  commitOperation(makeRouting(1, "alpha weight 1"), "routing-1");
  commitOperation(makeRouting(2, "beta weight 1"), "routing-2");
  const ServiceId alpha = Harness.State->findService("alpha")->Id;
  EXPECT_EQ(Harness.makeUpToDateNode().Routes.at(Address).FormerServices,
            std::vector<ServiceId>{alpha});
  commitOperation(makeRouting(3, "beta weight 1 and alpha weight 2"),
                  "routing-3");
  EXPECT_TRUE(
      Harness.makeUpToDateNode().Routes.at(Address).FormerServices.empty());
}

// Guards against agents that must wait for control before they know the request
// rate of their upstream in a cold start.
TEST_F(RoutingTest, RouteCarriesTheColdRate) {
  ApplyRouting command = makeRouting(1, "alpha weight 1 and beta weight 1");
  command.Lines.replace(command.Lines.find("slots 5 "), 8,
                        "slots 5 cold-rate 2.5 ");
  commitOperation(command, "routing-1");
  const auto shares = Harness.makeUpToDateNode().Routes.at(Address).Shares;
  ASSERT_EQ(shares.size(), 2U);
  EXPECT_EQ(shares[0].ColdMilliflowsPerSecond, 2500U);
  EXPECT_EQ(shares[1].ColdMilliflowsPerSecond, UnlimitedColdRate);
}

// Guards against a routing that deletes rules which operators have written.
TEST_F(RoutingTest, OtherRulesStay) {
  commitOperation(makeChange("op-1", "y", DataCentreChange::TakeOut), "op-1");
  commitOperation(makeRouting(1, "alpha weight 1"), "routing-1");
  EXPECT_TRUE(isOutOfService("y"));
  EXPECT_EQ(Harness.State->rules().dataCentres().size(), 2U);
}

struct ChangeCase {
  const char *Name;
  std::vector<DataCentreChange> Changes;
  bool Out;
};

class DataCentreChangeTest : public testing::TestWithParam<ChangeCase> {};

// Guards against a data centre that returns to service because it is declared
// again, which a newly elected leader does.
TEST_P(DataCentreChangeTest, LastChangeTakesEffect) {
  ControlStateHarness harness;
  harness.apply("datacentre other # asked by Maarja\n");
  int n = 0;
  for (const DataCentreChange it : GetParam().Changes)
    harness.commit(makeChange("op-" + std::to_string(++n), "x", it));
  ASSERT_TRUE(harness.State->findDataCentre("x"));
  EXPECT_EQ(harness.State->findDataCentre("x")->IsTakenOut, GetParam().Out);
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

// Load pattern: a configuration grows by 1,400 routes while 500 upstreams are
// replaced. Guards against an update to a node that exceeds what is sent at
// once (256 KiB) and is then paced at 10 KiB/s, so that it is in force too
// late.
TEST_F(RoutingTest, LargeRoutingReachesANodeAtOnce) {
  constexpr std::uint64_t BurstBytes = 256 * 1024;
  constexpr int Routes = 1400;
  constexpr std::uint32_t Upstreams = 500;
  ASSERT_EQ(commitOperation(makeRouting(6, "alpha weight 1"), "routing-6"),
            Code::Applied);
  for (std::uint32_t machine = 1; machine <= Upstreams; ++machine)
    Harness.commit(UpstreamJoined{"alpha", "x", "x", "machine",
                                  Endpoint{machine, 1}, Incarnation{1}, 5});
  const NodeTable before = Harness.makeUpToDateNode();
  ApplyRouting routing = makeRouting(7, "alpha weight 1");
  for (int n = 0; n < Routes; ++n)
    routing.Lines +=
        "route r-" + std::to_string(n) + " address 10.31." +
        std::to_string(n / 250) + "." + std::to_string(n % 250) +
        ":8443 to alpha weight 90 and beta weight 10 # asked by Tiina\n";
  ASSERT_EQ(commitOperation(routing, "routing-7"), Code::Applied)
      << Harness.State->findResult("routing-7")->Text;
  for (std::uint32_t machine = 1; machine <= Upstreams; ++machine)
    Harness.commit(UpstreamJoined{"alpha", "x", "x", "machine",
                                  Endpoint{machine, 1}, Incarnation{2}, 5});
  std::uint64_t bytes = 0;
  for (const TableUpdate &it :
       Harness.State->updatesSince(before.AppliedRevision)) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(it, buf).ok());
    bytes += buf.size();
  }
  EXPECT_GE(bytes, Routes * 10U + Upstreams * 10U);
  EXPECT_LE(bytes, BurstBytes / 2);
}

} // namespace
} // namespace pistachio
