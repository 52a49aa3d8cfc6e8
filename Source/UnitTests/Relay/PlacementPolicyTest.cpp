#include "PlacementSimulation.h"
#include "RelayTestSupport.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <memory>

namespace pistachio {
namespace {

/// Alternatives that docs/design/placement.md weighs.
class TwoRandomChoices final : public PlacementPolicy {
public:
  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId /*localDataCentre*/,
                              const AgentLoads &agents,
                              TimePoint now) const override {
    std::vector<const ServiceMember *> eligible;
    for (const RankedMember &it : candidates) {
      const AgentStatus *status = agents.find(it.Member->Address);
      if (status == nullptr ||
          (now >= status->AvoidUntil && now >= status->SilentUntil))
        eligible.push_back(it.Member);
    }
    if (eligible.empty())
      return nullptr;
    const std::uint64_t hash = mix64(hashFlowEndpoints(flow));
    const ServiceMember *a = eligible[hash % eligible.size()];
    const ServiceMember *b = eligible[(hash >> 32) % eligible.size()];
    const auto load = [&](const ServiceMember *it) {
      const AgentStatus *status = agents.find(it->Address);
      return status == nullptr
                 ? 0
                 : status->Load.BusyFlows + 0.55 * status->PlacedSinceReport;
    };
    return load(b) < load(a) ? b : a;
  }
};

class FreeCapacity final : public PlacementPolicy {
public:
  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId /*localDataCentre*/,
                              const AgentLoads &agents,
                              TimePoint now) const override {
    std::vector<std::pair<const ServiceMember *, double>> eligible;
    double total = 0;
    for (const RankedMember &it : candidates) {
      if (candidates.size() > 16 && it.Tier > 0 && !eligible.empty())
        break;
      const AgentStatus *status = agents.find(it.Member->Address);
      if (status != nullptr &&
          (now < status->AvoidUntil || now < status->SilentUntil))
        continue;
      double free = 1;
      if (status != nullptr && status->ReportedAt)
        free = std::max(
            0.05, 1 - (status->Load.BusyFlows + status->PlacedSinceReport) /
                          std::max(1.0, double(status->Load.Slots)));
      eligible.push_back({it.Member, free});
      total += free;
    }
    if (eligible.empty())
      return nullptr;
    double at = total *
                static_cast<double>(mix64(hashFlowEndpoints(flow)) >> 11) *
                0x1p-53;
    for (const auto &[member, free] : eligible) {
      if (at < free)
        return member;
      at -= free;
    }
    return eligible.back().first;
  }
};

std::unique_ptr<PlacementPolicy> leastLoaded() {
  return makePlacementPolicy(PlacementKind::LeastLoaded, 1);
}

std::unique_ptr<PlacementPolicy> expectedWait(std::uint64_t seed = 1) {
  return makePlacementPolicy(PlacementKind::ExpectedWait, seed);
}

PlacementResult simulate(const PlacementLoad &load,
                         const PlacementPolicy &policy, const char *name) {
  PlacementResult it = PlacementSimulation(load, policy).run();
  std::printf("%-14s busiest/mean: worst %.2f, mean %.2f; declined %.3f, "
              "refused %.4f of the flows; wait %.2f ms\n",
              name, it.WorstRatio, it.MeanRatio, it.Declined, it.Refused,
              it.MeanWait);
  return it;
}

struct LoadCase {
  const char *Name;
  PlacementLoad Load;
  /// Bounds of expected-wait: the declined offers as a share of those of
  /// least-loaded, and the mean ratio of the busiest upstream to the mean, also
  /// as a multiple of that of least-loaded.
  double MaxDeclinedShare;
  double MaxMeanRatio;
  double MaxRatioToLeast = 1.02;
};

class PlacementLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against a policy that is worse than least-loaded for some age of the
// reports or some number of upstreams, and against upstreams that are
// overloaded in turns. A balancer's report of an upstream is about as old as
// the interval between its flows there, so each load has the number of
// balancers that gives the age in its name. Reports that are many service times
// old say nothing, so that no policy can avoid declined offers then.
TEST_P(PlacementLoadTest, SpreadsFlowsEvenly) {
  const LoadCase &it = GetParam();
  const auto least = simulate(it.Load, *leastLoaded(), "least-loaded");
  const auto wait = simulate(it.Load, *expectedWait(), "expected-wait");
  simulate(it.Load, TwoRandomChoices(), "two choices");
  simulate(it.Load, FreeCapacity(), "free capacity");
  EXPECT_LE(wait.Declined, it.MaxDeclinedShare * least.Declined);
  EXPECT_LE(wait.MeanRatio, it.MaxMeanRatio);
  EXPECT_LE(wait.MeanRatio, it.MaxRatioToLeast * least.MeanRatio);
  EXPECT_LE(wait.OffersPerFlow, std::max(1.5, least.OffersPerFlow));
  EXPECT_LE(wait.Refused, least.Refused);
}

const std::vector<double> UnevenSpeeds{0.7, 0.7, 1.7};

const LoadCase LoadCases[] = {
    {"Age8msOfRequests20ms", {.Balancers = 1}, 0.5, 1.25},
    {"Age50msOfRequests100ms",
     {.Balancers = 1, .ServiceTime = 100, .Seconds = 11},
     0.5,
     1.25},
    {"Age50ms", {.Balancers = 6}, 0.6, 1.25},
    {"Age500ms", {.Balancers = 60}, 1.02, 1.25},
    {"Age5000ms", {.Balancers = 600}, 1.05, 1.25},
    {"OneUpstream", {.Upstreams = 1, .Balancers = 1}, 1.02, 1.25},
    {"ThreeUpstreams", {.Upstreams = 3, .Seconds = 120}, 0.8, 1.25},
    {"TenThousandUpstreams",
     {.Upstreams = 10'000,
      .Balancers = 300,
      .Slots = 1,
      .ServiceTime = 200,
      .Seconds = 2},
     1.02,
     4},
    {"HighLoad", {.Balancers = 6, .Utilisation = 0.8}, 0.9, 1.25},
    {"UnevenSpeeds",
     {.Upstreams = 3, .Seconds = 120, .Speeds = UnevenSpeeds},
     0.8,
     1.25},
    {"UnevenSpeedsUnstated",
     {.Upstreams = 3,
      .Seconds = 120,
      .Speeds = UnevenSpeeds,
      .StatesServiceTime = false},
     1,
     1.3,
     // The mean time stands for that of each upstream, so the slow ones get too
     // many flows when reports are old.
     1.15},
};

INSTANTIATE_TEST_SUITE_P(All, PlacementLoadTest, testing::ValuesIn(LoadCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against fast upstreams that get less than their share of the work.
TEST(PlacementPolicyTest, UnevenUpstreamsGetWorkInProportion) {
  const PlacementLoad load{
      .Upstreams = 3, .Seconds = 120, .Speeds = UnevenSpeeds};
  const auto flows = simulate(load, *expectedWait(), "expected-wait").Flows;
  const double total = flows[0] + flows[1] + flows[2];
  EXPECT_NEAR(flows[0] / total, 0.7 / 3.1, 0.03);
  EXPECT_NEAR(flows[1] / total, 0.7 / 3.1, 0.03);
  EXPECT_NEAR(flows[2] / total, 1.7 / 3.1, 0.05);
}

// Guards against a router that ignores the policy or the seed of its options.
TEST(PlacementPolicyTest, RouterUsesItsOptions) {
  const TestTable table(6);
  const auto agents = [&](PlacementKind kind, std::uint64_t seed) {
    FlowRouterOptions options;
    options.Placement = kind;
    options.PlacementSeed = seed;
    const auto router = makeFlowRouter(options);
    std::vector<Endpoint> chosen;
    for (std::uint16_t i = 0; i < 20; ++i)
      chosen.push_back(
          router->onCallerPacket(firstPacket(i), *table, TimePoint{}).Agent);
    return chosen;
  };
  EXPECT_EQ(agents(PlacementKind::LeastLoaded, 1),
            agents(PlacementKind::LeastLoaded, 2));
  EXPECT_EQ(agents(PlacementKind::ExpectedWait, 1),
            agents(PlacementKind::ExpectedWait, 1));
  EXPECT_NE(agents(PlacementKind::ExpectedWait, 1),
            agents(PlacementKind::ExpectedWait, 2));
}

struct FaultCase {
  const char *Name;
  void (*OnSecond)(std::uint32_t second, PlacementSimulation &site);
  /// Flows of the first upstream in proportion to the mean.
  double MinShare;
  double MaxShare;
};

class PlacementFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against one faulty upstream that attracts flows which it cannot serve
// or that is left out after it has recovered, and against refused flows while
// others are free.
TEST_P(PlacementFaultTest, KeepsServing) {
  PlacementLoad load{.Upstreams = 12, .Seconds = 12};
  load.OnSecond = GetParam().OnSecond;
  const auto least = simulate(load, *leastLoaded(), "least-loaded");
  const auto wait = simulate(load, *expectedWait(), "expected-wait");
  double mean = 0;
  for (const std::uint32_t it : wait.Flows)
    mean += it / 12.0;
  EXPECT_GE(wait.Flows[0], GetParam().MinShare * mean);
  EXPECT_LE(wait.Flows[0], GetParam().MaxShare * mean);
  EXPECT_LE(wait.Declined, least.Declined);
  EXPECT_EQ(wait.Refused, 0);
}

const FaultCase FaultCases[] = {
    {"SlowerByFour",
     [](std::uint32_t second, PlacementSimulation &site) {
       site.upstreams()[0].Speed = second >= 3 && second < 7 ? 0.25 : 1;
     },
     0.65, 0.9},
    {"ReportsNoLoad",
     [](std::uint32_t, PlacementSimulation &site) {
       site.upstreams()[0].ReportedShare = 0;
     },
     0.9, 1.5},
    {"ReportsDoubleLoad",
     [](std::uint32_t, PlacementSimulation &site) {
       site.upstreams()[0].ReportedShare = 2;
     },
     0.5, 1.1},
    {"FallsSilent",
     [](std::uint32_t second, PlacementSimulation &site) {
       site.upstreams()[0].Silent = second >= 3 && second < 7;
     },
     0.45, 0.75},
    {"ComesBackCold",
     [](std::uint32_t second, PlacementSimulation &site) {
       site.upstreams()[0].Cold = second >= 3 && second < 7;
     },
     0.5, 0.75},
};

INSTANTIATE_TEST_SUITE_P(All, PlacementFaultTest, testing::ValuesIn(FaultCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

constexpr TimePoint Now{Duration(1'000'000)};

/// Four members, of which the last is in another data centre.
class ChoiceTest : public testing::Test {
protected:
  ChoiceTest() {
    for (std::uint32_t i = 1; i <= 4; ++i) {
      ServiceMember &it = Members.emplace_back();
      it.Id = {i};
      it.Address = {0x0A000000 + i, 7000};
      it.DataCentre = {static_cast<std::uint16_t>(i == 4 ? 2 : 1)};
    }
    for (const ServiceMember &it : Members)
      Ranked.push_back({&it, 0});
  }
  /// Returns how often each member is chosen for 1,000 flows.
  std::vector<int> choices(const PlacementPolicy &policy) {
    std::vector<int> counts(Members.size());
    for (std::uint16_t i = 0; i < 1000; ++i)
      if (const ServiceMember *it = policy.choose(
              {{0x64400001, i}, {0xC6120001, 443}}, Ranked, {1}, Agents, Now))
        ++counts[it->Id.Value - 1];
    return counts;
  }
  void report(std::uint32_t id, std::uint16_t busy, Duration age) {
    Agents.recordAnswer(Members[id - 1].Address, {busy, busy, 4, 20},
                        Now - age);
  }

  std::vector<ServiceMember> Members;
  std::vector<RankedMember> Ranked;
  AgentLoads Agents;
};

// Guards against choices that cannot be repeated, and against balancers that
// all choose the same upstream because they know the same.
TEST_F(ChoiceTest, DependsOnTheSeed) {
  EXPECT_EQ(choices(*expectedWait(1)), choices(*expectedWait(1)));
  EXPECT_NE(choices(*expectedWait(1)), choices(*expectedWait(2)));
  const std::vector<int> even = choices(*expectedWait());
  for (int i = 0; i < 3; ++i)
    EXPECT_NEAR(even[i], 333, 60);
}

// Guards against flows that leave the data centre while it has free upstreams,
// and against flows that wait there while others are free.
TEST_F(ChoiceTest, UsesOtherDataCentresOnlyIfTheLocalOneIsBusy) {
  for (std::uint32_t id = 1; id <= 4; ++id)
    report(id, 0, Duration(5000));
  EXPECT_EQ(choices(*expectedWait())[3], 0);
  for (std::uint32_t id = 1; id <= 3; ++id)
    report(id, 2, Duration(0));
  report(4, 2, Duration(0));
  EXPECT_EQ(choices(*expectedWait())[3], 0);
  for (std::uint32_t id = 1; id <= 3; ++id)
    report(id, 4, Duration(0));
  EXPECT_EQ(choices(*expectedWait())[3], 1000);
}

// Guards against an old report that keeps attracting or repelling flows.
TEST_F(ChoiceTest, TrustsAReportLessAsItAges) {
  Ranked.pop_back();
  report(1, 0, Duration(0));
  report(2, 4, Duration(0));
  report(3, 4, Duration(0));
  EXPECT_EQ(choices(*expectedWait())[0], 1000);
  for (std::uint32_t id = 1; id <= 3; ++id)
    report(id, id == 1 ? 0 : 4, Duration(5000));
  EXPECT_NEAR(choices(*expectedWait())[0], 333, 60);
}

// Guards against an uneven number of long flows, each of which brings further
// requests: how many an upstream has is known for longer than what it is at
// work on.
TEST_F(ChoiceTest, CountsIdleFlowsAlsoInOldReports) {
  Ranked.pop_back();
  for (std::uint32_t id = 1; id <= 3; ++id)
    Agents.recordAnswer(
        Members[id - 1].Address,
        {0, static_cast<std::uint16_t>(id == 1 ? 20 : 60), 4, 20},
        Now - Duration(1000));
  EXPECT_GE(choices(*expectedWait())[0], 600);
  // After a minute most of them have ended.
  for (std::uint32_t id = 1; id <= 3; ++id)
    Agents.recordAnswer(
        Members[id - 1].Address,
        {0, static_cast<std::uint16_t>(id == 1 ? 20 : 60), 4, 20},
        Now - Duration(60'000));
  EXPECT_NEAR(choices(*expectedWait())[0], 333, 60);
}

// Guards against the wider scatter of expected-wait where all upstreams are
// equally fast, and against least-loaded where they are not.
TEST_F(ChoiceTest, AdaptsToTheTimesThatUpstreamsState) {
  Ranked.pop_back();
  const auto report = [&](std::initializer_list<std::uint16_t> times) {
    std::uint16_t id = 0;
    for (const std::uint16_t time : times) {
      Agents.recordAnswer(Members[id].Address, {id, id, 4, time},
                          Now - Duration(10));
      ++id;
    }
  };
  const auto adaptive = makePlacementPolicy(PlacementKind::Adaptive, 1);
  report({70, 62, 78});
  EXPECT_EQ(choices(*adaptive), choices(*leastLoaded()));
  report({27, 27, 11});
  EXPECT_EQ(choices(*adaptive), choices(*expectedWait()));
  EXPECT_NE(choices(*adaptive), choices(*leastLoaded()));
  report({27, 27, 0});
  EXPECT_EQ(choices(*adaptive), choices(*leastLoaded()));
}

// Guards against flows for agents that declined, fell silent or drain.
TEST_F(ChoiceTest, LeavesOutAgentsThatAcceptNothing) {
  Agents.recordDecline(Members[0].Address, Now + Duration(1));
  Agents.recordTimeout(Members[1].Address, Now + Duration(1));
  Members[2].State = CandidateState::Draining;
  for (const auto &policy : {leastLoaded(), expectedWait()})
    EXPECT_EQ(choices(*policy), (std::vector<int>{0, 0, 0, 1000}));
  Ranked.pop_back();
  EXPECT_EQ(choices(*expectedWait()), (std::vector<int>{0, 0, 0, 0}));
}

} // namespace
} // namespace pistachio
