#include "Placement/SimulatedSite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace pistachio {
namespace {

constexpr Duration Second{1000};
/// Time after which all members accept flows without probing.
constexpr Duration SettlingTime{45 * Second};
constexpr int FlowsPerBatch = 120;
constexpr std::uint32_t FirstService = 1;
constexpr std::uint32_t OtherService = 2;

const NetworkConditions Clean{"Clean", 0, 0, 1, 1};
const NetworkConditions Lossy{"Lossy", 200, 100, 1, 5};
const NetworkConditions Reordering{"Reordering", 0, 300, 1, 90};

struct Scenario {
  const char *Name;
  void (*Run)(SimulatedSite &);
  /// Minimum number of flows that have to open, so that the test is not
  /// trivially passed.
  int MinOpened;
};

/// Opens \p count batches of flows, 2 s apart.
void openFlowBatches(SimulatedSite &site, int count) {
  for (int n = 0; n < count; ++n) {
    site.openFlows(FirstService, FlowsPerBatch);
    site.run(2 * Second);
  }
}

const Scenario Scenarios[] = {
    {"Joins",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       for (int n = 0; n < 5; ++n) {
         it.join(FirstService, 1);
         it.openFlows(FirstService, FlowsPerBatch);
         it.run(Duration(1300));
       }
       it.run(SettlingTime);
     },
     6 * FlowsPerBatch},
    {"JoinsBeforeFirstFlows",
     [](SimulatedSite &it) {
       for (int n = 0; n < 8; ++n)
         it.join(OtherService, 2);
       it.openFlows(OtherService, FlowsPerBatch);
       it.run(Second);
     },
     FlowsPerBatch},
    {"DrainOfHalfTheAgents",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       for (std::size_t n = 0; n < 4; ++n) {
         it.drain(n, true);
         openFlowBatches(it, 1);
       }
     },
     5 * FlowsPerBatch},
    {"DrainAndReturnWithinFirstPacketWindow",
     [](SimulatedSite &it) {
       for (std::size_t n = 0; n < 7; ++n) {
         it.drain(n, true);
         openFlowBatches(it, 1);
         it.drain(n, false);
         it.run(Duration(500));
       }
     },
     7 * FlowsPerBatch},
    {"RollingReplacement",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       for (std::size_t n = 0; n < 7; ++n) {
         it.join(FirstService, 3);
         it.drain(n, true);
         openFlowBatches(it, 1);
       }
     },
     8 * FlowsPerBatch},
    {"SuspectAndRecovered",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.setAnnouncementsLost(0, true);
       it.setAnnouncementsLost(1, true);
       it.run(10 * Second);
       it.setAnnouncementsLost(0, false);
       it.setAnnouncementsLost(1, false);
       openFlowBatches(it, 3);
     },
     4 * FlowsPerBatch},
    {"DataCentreOutAndReturned",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.setDataCentreOut(1, true);
       it.run(4 * Second);
       openFlowBatches(it, 2);
       it.setDataCentreOut(1, false);
       openFlowBatches(it, 2);
     },
     5 * FlowsPerBatch},
    {"AgentsFail",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.killAgent(0);
       it.killAgent(1);
       it.run(5 * Second);
       openFlowBatches(it, 1);
       it.run(20 * Second);
     },
     2 * FlowsPerBatch},
    {"HolderFailsDuringHandOver",
     [](SimulatedSite &it) {
       it.drain(0, true);
       it.drain(1, true);
       it.openFlows(FirstService, FlowsPerBatch);
       it.run(Duration(300));
       it.killAgent(2);
       it.run(30 * Second);
     },
     // The flows of the agent that ended are opened only if the balancer
     // stopped sending to it in time.
     FlowsPerBatch * 9 / 10},
    {"ProberFails",
     [](SimulatedSite &it) {
       const std::size_t fresh = it.join(FirstService, 1);
       it.run(3 * Second);
       it.openFlows(FirstService, FlowsPerBatch);
       it.run(Duration(500));
       it.killAgent(fresh);
       it.run(30 * Second);
     },
     FlowsPerBatch},
    {"RestartAtSameAddress",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       for (std::size_t n = 0; n < 3; ++n) {
         it.join(FirstService, 1, it.addressOf(n));
         openFlowBatches(it, 1);
       }
     },
     4 * FlowsPerBatch},
    {"AddressReusedByOtherService",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       for (std::size_t n = 0; n < 3; ++n) {
         it.join(OtherService, 1, it.addressOf(n));
         it.openFlows(OtherService, FlowsPerBatch);
         openFlowBatches(it, 1);
       }
     },
     7 * FlowsPerBatch},
    {"BalancerPartitionedDuringDataCentreRemoval",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.setBalancerPartitioned(1, true, false);
       it.setDataCentreOut(1, true);
       it.run(5 * Second);
       EXPECT_EQ(it.leaseMode(1), LeaseMode::Isolated);
       openFlowBatches(it, 1);
     },
     2 * FlowsPerBatch},
    {"BalancerAsksPeersDuringDataCentreRemoval",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.setBalancerPartitioned(1, true, true);
       it.setDataCentreOut(1, true);
       it.run(5 * Second);
       EXPECT_EQ(it.leaseMode(1), LeaseMode::Isolated);
       openFlowBatches(it, 1);
     },
     2 * FlowsPerBatch},
    {"ControlDownAfterDataCentreRemoval",
     [](SimulatedSite &it) {
       openFlowBatches(it, 1);
       it.setDataCentreOut(1, true);
       it.run(4 * Second);
       it.stopControl();
       it.run(5 * Second);
       EXPECT_EQ(it.leaseMode(0), LeaseMode::ControlDown);
       openFlowBatches(it, 2);
     },
     3 * FlowsPerBatch},
    {"RankingLongerThanHopLimit",
     [](SimulatedSite &it) {
       for (int n = 0; n < 60; ++n)
         it.join(FirstService, 3);
       it.run(SettlingTime);
       openFlowBatches(it, 1);
       it.killAgent(0);
       it.killAgent(1);
       it.killAgent(20);
       it.run(20 * Second);
     },
     FlowsPerBatch},
};

struct FaultRow {
  Scenario TestedScenario;
  NetworkConditions Net;
  bool UsesToken;
  std::uint64_t Seed;
  /// Distinguishes rows of the same scenario.
  std::string Suffix;
};

std::vector<FaultRow> faultRows() {
  std::vector<FaultRow> out;
  std::uint64_t seed = 100;
  for (const Scenario &scenario : Scenarios) {
    for (const NetworkConditions &net : {Clean, Lossy, Reordering}) {
      for (const bool usesToken : {true, false})
        out.push_back({scenario, net, usesToken, ++seed, ""});
    }
  }
  // Seeds of former failures. With this seed, an agent accepts a flow just
  // before it becomes suspect, the accept is lost, and another agent accepts
  // the flow as well.
  const auto scenario = std::ranges::find(
      Scenarios, std::string_view("SuspectAndRecovered"), &Scenario::Name);
  for (const bool usesToken : {true, false})
    out.push_back({*scenario, Lossy, usesToken, 1017, "Seed1017"});
  return out;
}

class SiteFaultTest : public testing::TestWithParam<FaultRow> {};

// Guards against broken flows, second sessions of a flow, packets to an agent
// of another service and packets to a data centre that is out of service, while
// the tables of the balancers differ in age by up to 2.5 s.
TEST_P(SiteFaultTest, KeepsInvariants) {
  const FaultRow &row = GetParam();
  SiteOptions options;
  options.Net = row.Net;
  options.UsesToken = row.UsesToken;
  SimulatedSite site(options, row.Seed);
  for (const int lag : {0, 700, 2500})
    site.addBalancer(Duration(lag));
  for (int n = 0; n < 7; ++n)
    site.join(FirstService, static_cast<std::uint16_t>(1 + (n % 3)));
  for (int n = 0; n < 3; ++n)
    site.join(OtherService, static_cast<std::uint16_t>(1 + n));
  site.run(SettlingTime);

  row.TestedScenario.Run(site);
  site.setNetwork(Clean);
  // A caller waits for at most three keep-alives of 5 s.
  site.run(15 * Second);
  EXPECT_EQ(site.violations(), InvariantViolations{}) << "seed " << row.Seed;
  // With 20% of the datagrams lost, some first packets are not answered within
  // their lifetime. The bound only makes sure that most flows were opened.
  const int percent = row.Net.LossPermille > 0 ? 95 : 100;
  EXPECT_GE(site.opened(), row.TestedScenario.MinOpened * percent / 100)
      << "seed " << row.Seed;
}

INSTANTIATE_TEST_SUITE_P(Rows, SiteFaultTest, testing::ValuesIn(faultRows()),
                         [](const testing::TestParamInfo<FaultRow> &it) {
                           return std::string(it.param.TestedScenario.Name) +
                                  it.param.Net.Name +
                                  (it.param.UsesToken ? "Token" : "NoToken") +
                                  it.param.Suffix;
                         });

} // namespace
} // namespace pistachio
