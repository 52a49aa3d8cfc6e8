#include "WaitingSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr ServiceId Service1{1};
const RouteTerms Urgent{0, Duration(200), {}, {}};
const RouteTerms Normal{5, Duration(500), {}, {}};
const RouteTerms Relaxed{9, Duration(1200), {}, {}};

/// The first packet of a flow whose port identifies it.
struct Waiter {
  std::uint16_t Port;
  std::uint32_t Caller;
  std::uint8_t Urgency;
  int ArrivedMs;
  int ObjectiveMs;
};

void add(WaitingFlows &flows, const Waiter &it) {
  const TimePoint arrived{Duration(1000 + it.ArrivedMs)};
  flows.add({{it.Caller, it.Port}, RouteAddress}, Bytes{std::byte{1}},
            {Service1, it.Urgency, arrived, arrived + Duration(it.ObjectiveMs),
             arrived + Duration(1000)});
}

struct OrderCase {
  const char *Name;
  const char *GuardsAgainst;
  std::vector<Waiter> Waiting;
  /// Ports in the order of the tries, 500 ms after the first arrival.
  std::vector<std::uint16_t> Expected;
};

class WaitingOrderTest : public testing::TestWithParam<OrderCase> {};

TEST_P(WaitingOrderTest, TriesInOrder) {
  WaitingFlows flows;
  for (const Waiter &it : GetParam().Waiting)
    add(flows, it);
  std::vector<std::uint16_t> ports;
  for (const auto &it : flows.take(Service1, 100, TimePoint{Duration(1500)}))
    ports.push_back(it.Flow.Caller.Port);
  EXPECT_EQ(ports, GetParam().Expected) << GetParam().GuardsAgainst;
  EXPECT_FALSE(flows.hasWaiting(Service1));
}

INSTANTIATE_TEST_SUITE_P(
    All, WaitingOrderTest,
    testing::Values(
        OrderCase{"Urgency",
                  "flows of urgency 9 or none before urgent ones",
                  {{1, 1, UrgencyNotStated, 0, 900},
                   {2, 2, 9, 0, 900},
                   {3, 3, 0, 400, 900},
                   {4, 4, 5, 300, 900}},
                  {3, 4, 2, 1}},
        OrderCase{"Late",
                  "upstreams kept busy with flows that are late anyway",
                  {{1, 1, 0, 0, 200}, {2, 2, 9, 100, 900}},
                  {2, 1}},
        OrderCase{"Oldest",
                  "a flow overtaken by later ones of the same kind",
                  {{1, 1, 5, 30, 900}, {2, 2, 5, 10, 900}, {3, 3, 5, 20, 900}},
                  {2, 3, 1}},
        OrderCase{"Callers",
                  "one caller with many flows before all others",
                  {{1, 1, 5, 0, 900},
                   {2, 1, 5, 1, 900},
                   {3, 1, 5, 2, 900},
                   {4, 2, 5, 300, 900},
                   {5, 3, 5, 400, 900}},
                  {1, 4, 5, 2, 3}}),
    [](const auto &info) { return info.param.Name; });

// Guards against flows of low urgency that are never tried while urgent ones
// arrive.
TEST(WaitingFlowsTest, TenthOfTheTriesGoesToTheLeastUrgent) {
  WaitingFlows flows;
  for (std::uint16_t i = 0; i < 300; ++i)
    add(flows, {i, i, static_cast<std::uint8_t>(i < 200 ? 0 : 9), 0, 900});
  const auto taken = flows.take(Service1, 100, TimePoint{Duration(1001)});
  EXPECT_EQ(std::ranges::count(
                taken, 9, [](const auto &it) { return int{it.Terms.Urgency}; }),
            10);
}

// Guards against unbounded growth, and against refusing a repeated packet of a
// flow that waits already.
TEST(WaitingFlowsTest, IsBounded) {
  WaitingFlows flows;
  for (std::uint16_t i = 0; flows.canAdd({{1, i}, RouteAddress}); ++i)
    add(flows, {i, 1, 0, 0, 900});
  EXPECT_EQ(flows.size(), 2000U);
  EXPECT_TRUE(flows.canAdd({{1, 7}, RouteAddress}));
  add(flows, {7, 1, 0, 0, 900});
  EXPECT_EQ(flows.size(), 2000U);
  EXPECT_EQ(flows.takeExpired(TimePoint{Duration(1999)}).size(), 0U);
  EXPECT_EQ(flows.takeExpired(TimePoint{Duration(2000)}).size(), 2000U);
}

struct LoadCase {
  const char *Name;
  const char *GuardsAgainst;
  WaitingLoad Load;
  double MinUtilisation;
  double MaxOffers;
  /// For each route, the smallest share of its flows that open.
  std::vector<double> MinOpened;
  Duration MaxGap;
};

class WaitingLoadTest : public testing::TestWithParam<LoadCase> {};

TEST_P(WaitingLoadTest, ServesTheLoad) {
  const LoadCase &param = GetParam();
  const WaitingResult result = WaitingSimulation(param.Load).run();
  RecordProperty("utilisation", std::to_string(result.Utilisation));
  RecordProperty("worst_offers", std::to_string(result.WorstOffers));
  EXPECT_GE(result.Utilisation, param.MinUtilisation) << param.GuardsAgainst;
  EXPECT_LE(result.WorstOffers, param.MaxOffers) << param.GuardsAgainst;
  EXPECT_EQ(result.FalseResets, 0U) << param.GuardsAgainst;
  for (std::size_t i = 0; i < result.Routes.size(); ++i) {
    const RouteResult &it = result.Routes[i];
    RecordProperty(concat("opened_", std::to_string(i)),
                   std::to_string(1.0 * it.Opened / it.Flows));
    RecordProperty(concat("gap_ms_", std::to_string(i)),
                   std::to_string(it.MaxGap.count()));
    EXPECT_GE(1.0 * it.Opened / it.Flows, param.MinOpened[i])
        << param.GuardsAgainst << ", route " << i;
    EXPECT_LE(it.MaxGap, param.MaxGap) << param.GuardsAgainst;
  }
}

std::vector<RouteLoad> mixedRoutes(double load) {
  return {{Urgent, load * 0.3}, {Normal, load * 0.4}, {Relaxed, load * 0.3}};
}

const LoadCase LoadCases[] = {
    {"Overload",
     "offers that are declined, and inversion of urgency",
     {.ServiceTimeMs = 50, .Routes = mixedRoutes(1.5)},
     0.95,
     1.5,
     {0.99, 0.6, 0.1},
     Duration(1000)},
    {"OverloadOfSlowRequests",
     "offers to upstreams with long requests",
     {.ServiceTimeMs = 150, .Routes = mixedRoutes(1.5)},
     0.9,
     1.5,
     {0.99, 0.6, 0.1},
     Duration(1000)},
    {"OverloadOfSixBalancers",
     "balancers that fill upstreams for each other",
     {.Balancers = 6, .ServiceTimeMs = 50, .Routes = mixedRoutes(1.5)},
     0.95,
     1.5,
     {0.9, 0.5, 0.1},
     Duration(1000)},
    {"SlowRequestsOfSixBalancers",
     "probes that are mostly declined",
     {.Balancers = 6, .ServiceTimeMs = 150, .Routes = mixedRoutes(1.5)},
     0.8,
     1.5,
     {0.8, 0.3, 0.1},
     Duration(1000)},
    {"BelowCapacity",
     "flows that wait although upstreams have room",
     {.Balancers = 6, .ServiceTimeMs = 50, .Routes = mixedRoutes(0.8)},
     0.75,
     1.5,
     {0.99, 0.99, 0.99},
     Duration(500)},
    {"UrgentOverload",
     "starvation of flows of low urgency over 30 s",
     {.ServiceTimeMs = 100,
      .Routes = {{Urgent, 1.3}, {Relaxed, 0.2}},
      .Seconds = 30},
     0.9,
     1.5,
     {0.5, 0.2},
     Duration(3000)},
    {"BusyCaller",
     "one busy caller that displaces ten quiet ones",
     {.ServiceTimeMs = 50, .Routes = {{Normal, 1.0, 1}, {Normal, 0.5, 10}}},
     0.95,
     1.5,
     {0.3, 0.97},
     Duration(1000)},
    {"Drain",
     "flows that wait for a draining upstream",
     {.ServiceTimeMs = 50,
      .Routes = mixedRoutes(1.2),
      .OnSecond =
          [](std::uint32_t second, WaitingSimulation &it) {
            for (std::uint32_t id = 1; second == 2 && id <= 5; ++id)
              it.drain(id);
          }},
     0.8,
     1.5,
     {0.99, 0.6, 0.1},
     Duration(1000)},
    {"Death",
     "flows that are lost with an upstream",
     {.ServiceTimeMs = 50,
      .Routes = mixedRoutes(1.2),
      .OnSecond =
          [](std::uint32_t second, WaitingSimulation &it) {
            for (std::uint32_t id = 1; second == 2 && id <= 5; ++id)
              it.kill(id);
          }},
     0.75,
     1.5,
     {0.9, 0.5, 0.1},
     Duration(1000)},
};

INSTANTIATE_TEST_SUITE_P(All, WaitingLoadTest, testing::ValuesIn(LoadCases),
                         [](const auto &info) { return info.param.Name; });

/// A router whose route has terms, and whose other route to the same service
/// has none.
class WaitingRouterTest : public testing::Test {
protected:
  explicit WaitingRouterTest(std::uint32_t upstreams = 6) : Table(upstreams) {
    TableUpdate update;
    update.Routes = {{RouteAddress, {{{1}, 1}}, {}, Normal},
                     {OtherRoute, {{{1}, 1}}, {}}};
    Table.apply(std::move(update));
  }

  RelayDecision send(const FlowPacket &packet) {
    RelayDecision decision = Router->onCallerPacket(packet, *Table, Now);
    if (decision.Wait)
      Router->waiting().add({packet.Source, packet.Destination},
                            TestPacketFormat::encode(packet), *decision.Wait);
    return decision;
  }
  RelayDecision decline(const FlowPacket &packet, const Endpoint &agent,
                        std::uint16_t retryAfterMs = 20) {
    ReturnedPacket message;
    message.Reason = ReturnReason::Declined;
    message.RetryAfterMs = retryAfterMs;
    message.Load = {8, 8, 2};
    RelayDecision decision =
        Router->onReturnedPacket(packet, message, agent, *Table, Now);
    if (decision.Wait)
      Router->waiting().add({packet.Source, packet.Destination},
                            TestPacketFormat::encode(packet), *decision.Wait);
    return decision;
  }
  /// Flows 1 to n are offered to all agents, and wait.
  void fill(std::uint16_t n) {
    for (std::uint16_t caller = 1; caller <= n; ++caller)
      for (auto it = send(firstPacket(caller));
           it.Action == RelayAction::Forward;)
        it = decline(firstPacket(caller), it.Agent);
    ASSERT_GT(Router->waiting().size(), 0U);
  }

  TestTable Table;
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<FlowRouter> Router = makeFlowRouter({.DataCentre = "x"});
};

// Guards against a change for routes without terms: they neither wait behind
// the flows of other routes nor get their longest wait.
TEST_F(WaitingRouterTest, RoutesWithoutTermsAreServedAsBefore) {
  fill(3);
  Now += Duration(20);
  auto it = send(firstPacket(50, OtherRoute));
  EXPECT_EQ(it.Reason, RelayReason::Placed);
  while (it.Action == RelayAction::Forward)
    it = decline(firstPacket(50, OtherRoute), it.Agent);
  EXPECT_EQ(it.Action, RelayAction::Defer);
  EXPECT_FALSE(it.Wait);
  Now += FlowRouterOptions{}.MaxDeferral - Duration(1);
  for (it = send(firstPacket(50, OtherRoute));
       it.Action == RelayAction::Forward;)
    it = decline(firstPacket(50, OtherRoute), it.Agent);
  EXPECT_EQ(it.Reason, RelayReason::NoUpstream);
}

// Guards against a wait beyond the objective, a second wait of a refused flow,
// and a refusal while the objective leaves time.
TEST_F(WaitingRouterTest, RefusesWhenTheWaitHasEnded) {
  fill(1);
  const TimePoint end = Now + *Normal.Objective;
  for (; Now < end; Now += Duration(5))
    for (const auto &it : Router->takeWaiting(*Table, Now)) {
      const FlowPacket packet = *TestPacketFormat().decode(it.Data);
      for (auto next = send(packet); next.Action != RelayAction::Defer;) {
        ASSERT_EQ(next.Action, RelayAction::Forward);
        next = decline(packet, next.Agent);
      }
    }
  const auto ended = Router->takeWaiting(*Table, Now);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(send(firstPacket(1)).Reason, RelayReason::NoUpstream);
  EXPECT_EQ(Router->waiting().size(), 0U);
  EXPECT_EQ(Router->waiting().counters().RefusedLate, 1U);
}

// Guards against slow tries after a restart of all agents, which accept no
// flows until their upstreams have reported.
TEST_F(WaitingRouterTest, OnlyBusyAgentsUseUpTheBudget) {
  for (const std::uint16_t retryAfterMs : {250, 20}) {
    for (std::uint16_t caller = 1; caller <= 3; ++caller) {
      const auto offer = send(firstPacket(caller));
      if (offer.Action == RelayAction::Forward)
        decline(firstPacket(caller), offer.Agent, retryAfterMs);
      for (const auto &it : Router->takeWaiting(*Table, Now)) {
        const FlowPacket packet = *TestPacketFormat().decode(it.Data);
        const auto next = send(packet);
        if (next.Action == RelayAction::Forward)
          decline(packet, next.Agent, retryAfterMs);
      }
    }
    EXPECT_EQ(Router->waiting().isWithinBudget(Service1), retryAfterMs > 20);
    Now += Duration(300);
  }
}

// Guards against a queue on links where declined offers cost nothing.
TEST_F(WaitingRouterTest, WaitsAsBeforeIfTermsAreNotUsed) {
  Router = makeFlowRouter({.DataCentre = "x", .WaitsByTerms = false});
  auto it = send(firstPacket(1));
  while (it.Action == RelayAction::Forward)
    it = decline(firstPacket(1), it.Agent);
  EXPECT_EQ(it.Action, RelayAction::Defer);
  EXPECT_FALSE(it.Wait);
}

// Guards against flows that wait to the end although no upstream takes flows.
TEST_F(WaitingRouterTest, RefusesAtOnceIfNoUpstreamIsLeft) {
  fill(3);
  for (std::uint32_t id = 1; id <= 6; ++id)
    Table.setState(id, UpstreamState::Draining);
  Now += Duration(5);
  const auto taken = Router->takeWaiting(*Table, Now);
  EXPECT_EQ(taken.size(), 3U);
  for (const auto &it : taken)
    EXPECT_EQ(send(*TestPacketFormat().decode(it.Data)).Reason,
              RelayReason::NoUpstream);
  EXPECT_EQ(Router->waiting().size(), 0U);
}

class WaitingExplainTest : public WaitingRouterTest,
                           public testing::WithParamInterface<std::uint32_t> {
protected:
  WaitingExplainTest() : WaitingRouterTest(GetParam()) {}
};

INSTANTIATE_TEST_SUITE_P(OneChoiceAndTiers, WaitingExplainTest,
                         testing::Values(6, 60));

// Guards against an explanation that differs from what the next first packet
// gets, on a route with terms.
TEST_P(WaitingExplainTest, ExplainsWhatTheNextFirstPacketGets) {
  std::size_t placed = 0;
  std::size_t deferred = 0;
  for (std::uint16_t caller = 1; caller <= 2500; ++caller) {
    const FlowPacket packet = firstPacket(caller);
    const FlowExplanation said =
        Router->explain({packet.Source, RouteAddress}, *Table, Now);
    const RelayDecision got = send(packet);
    ASSERT_EQ(said.Action, got.Action) << caller;
    ASSERT_EQ(said.Reason, got.Reason) << caller;
    ASSERT_EQ(said.Agent.value_or(Endpoint{}), got.Agent) << caller;
    deferred += got.Action == RelayAction::Defer ? 1 : 0;
    if (got.Action == RelayAction::Forward) {
      ++placed;
      const RelayDecision next = decline(packet, got.Agent);
      ASSERT_EQ(said.NextAgent.value_or(Endpoint{}), next.Agent) << caller;
    }
    // In the last part the queue becomes full.
    if (caller % 10 != 0 || caller > 400)
      continue;
    Now += Duration(100);
    for (const auto &it : Router->takeWaiting(*Table, Now))
      send(*TestPacketFormat().decode(it.Data));
  }
  EXPECT_GT(placed, 0U);
  EXPECT_GT(deferred, 0U);
  EXPECT_GT(Router->waiting().counters().RefusedFull, 0U);
}

} // namespace
} // namespace pistachio
