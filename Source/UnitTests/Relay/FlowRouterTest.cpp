#include "RelayTestSupport.h"

#include <gtest/gtest.h>

#include <set>

namespace pistachio {
namespace {

const Duration AnswerTimeout = FlowRouterOptions{}.AnswerTimeout;

class FlowRouterTest : public testing::Test {
protected:
  explicit FlowRouterTest(std::uint32_t upstreams = 6) : Table(upstreams) {
    // Control confirms every table of these tests.
    Router->confirmTable(TimePoint::max(), Revision{});
  }

  RelayDecision routeFromCaller(const FlowPacket &packet) {
    return Router->onCallerPacket(packet, *Table, Now);
  }
  RelayDecision returnPacket(const FlowPacket &packet,
                             const RelayDecision &from, ReturnReason reason,
                             std::uint16_t retryAfterMs = 0,
                             UpstreamLoad load = {}) {
    ReturnedPacket message;
    message.Reason = reason;
    message.Attempt = from.Attempt;
    message.RetryAfterMs = retryAfterMs;
    message.Load = load;
    return Router->onReturnedPacket(packet, message, from.Agent, *Table, Now);
  }
  std::optional<HolderConfirmation> confirmHolder(std::uint16_t caller,
                                                  const Endpoint &agent,
                                                  std::uint32_t sequence = 500,
                                                  UpstreamLoad load = {}) {
    return Router->onFlowHeld(
        {callerEndpoint(caller), RouteAddress, sequence, load}, agent, Now);
  }

  /// Searches for the holder of a flow that no upstream holds. Returns the
  /// agents in the order in which they were queried.
  std::vector<QueryTarget> searchInVain(std::uint16_t caller) {
    std::vector<QueryTarget> all;
    RelayDecision decision = routeFromCaller(dataPacket(caller));
    while (decision.Action == RelayAction::Query && !decision.Queries.empty()) {
      const std::vector<QueryTarget> round = decision.Queries;
      all.insert(all.end(), round.begin(), round.end());
      for (const QueryTarget &it : round)
        decision = Router->onFlowNotHeld(
            {{callerEndpoint(caller), RouteAddress}, true}, {}, it.Agent,
            *Table, Now);
    }
    EXPECT_EQ(decision.Action, RelayAction::Reset);
    return all;
  }

  TestTable Table;
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<FlowRouter> Router = makeFlowRouter({.DataCentre = "x"});
};

// Guards against a packet that is sent to another agent although the holder of
// its flow is known.
TEST_F(FlowRouterTest, PacketsFollowTheHolder) {
  const RelayDecision first = routeFromCaller(firstPacket(1));
  ASSERT_EQ(first.Action, RelayAction::Forward);
  EXPECT_EQ(first.Service, hashServiceName("a"));
  EXPECT_TRUE(routeFromCaller(dataPacket(1, 501)).NeedsConfirmation);
  confirmHolder(1, first.Agent);
  EXPECT_FALSE(routeFromCaller(dataPacket(1, 501)).NeedsConfirmation);
  for (int i = 0; i < 20; ++i) {
    Now += Duration(500);
    EXPECT_EQ(routeFromCaller(dataPacket(1, 501)).Agent, first.Agent);
    EXPECT_EQ(routeFromCaller(firstPacket(1)).Agent, first.Agent);
  }
}

// Guards against placement and search histograms that omit the time before the
// first answer, or count flows whose holder is already known.
TEST_F(FlowRouterTest, ReportsTheTimeToConfirmAHolder) {
  const RelayDecision placed = routeFromCaller(firstPacket(1));
  Now += Duration(7);
  routeFromCaller(firstPacket(1));
  Now += Duration(1);
  const auto placement = confirmHolder(1, placed.Agent);
  ASSERT_TRUE(placement);
  EXPECT_FALSE(placement->BySearch);
  EXPECT_EQ(placement->Elapsed, Duration(8));
  EXPECT_FALSE(confirmHolder(1, placed.Agent));

  const RelayDecision queried = routeFromCaller(dataPacket(2));
  ASSERT_EQ(queried.Action, RelayAction::Query);
  Now += Duration(9);
  const auto search = confirmHolder(2, queried.Queries.at(0).Agent);
  ASSERT_TRUE(search);
  EXPECT_TRUE(search->BySearch);
  EXPECT_EQ(search->Elapsed, Duration(9));
}

// Guards against packets that reach an upstream of another service: declined
// packets must stay within the services of the route.
TEST_F(FlowRouterTest, NeverLeavesTheServicesOfTheRoute) {
  for (std::uint16_t caller = 1; caller <= 50; ++caller) {
    const RelayDecision other =
        routeFromCaller(firstPacket(caller, OtherRoute));
    EXPECT_EQ(other.Agent, agentEndpoint(100));
    EXPECT_EQ(other.Service, hashServiceName("b"));
    RelayDecision decision = routeFromCaller(firstPacket(caller));
    while (decision.Action == RelayAction::Forward) {
      EXPECT_NE(decision.Agent, agentEndpoint(100));
      EXPECT_EQ(decision.Service, hashServiceName("a"));
      decision = returnPacket(firstPacket(caller), decision,
                              ReturnReason::Declined, 1000);
    }
    Now += Duration(2000);
  }
}

// Guards against new flows for draining, suspect or withdrawn upstreams, and
// against searches that skip such upstreams.
TEST_F(FlowRouterTest, DrainingAndWithdrawnUpstreamsKeepTheirFlowsOnly) {
  Table.setState(1, UpstreamState::Draining);
  Table.setState(3, UpstreamState::Suspect);
  Table.setDataCentreWithdrawn(1, true); // Upstreams 2, 4 and 6.
  for (std::uint16_t caller = 1; caller <= 60; ++caller) {
    const RelayDecision decision = routeFromCaller(firstPacket(caller));
    ASSERT_EQ(decision.Agent, agentEndpoint(5));
    confirmHolder(caller, decision.Agent);
  }
  std::set<Endpoint> queried;
  for (const QueryTarget &it : searchInVain(500))
    queried.insert(it.Agent);
  EXPECT_EQ(queried.size(), 6U);
}

// Guards against resetting the open flows of a service when its route is
// changed to another service.
TEST_F(FlowRouterTest, FormerServicesAreAskedAfterThoseOfTheRoute) {
  TableUpdate update;
  update.Routes = {{RouteAddress, {{{2}, 1}}, {{1}}}};
  Table.apply(std::move(update));
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Agent, agentEndpoint(100));
  const std::vector<QueryTarget> queried = searchInVain(2);
  ASSERT_EQ(queried.size(), 7U);
  EXPECT_EQ(queried[0].Agent, agentEndpoint(100));
  for (std::size_t i = 1; i < queried.size(); ++i)
    EXPECT_EQ(queried[i].Service, hashServiceName("a"));
}

/// What the balancer knows of a flow when the route changes to service "b".
enum class KnownFlow : std::uint8_t {
  /// An agent of "a" was sent the first packet and has not answered yet.
  Placed,
  /// An agent of "a" holds the flow, which this balancer placed.
  Held,
  /// An agent of "a" reported a flow that this balancer did not place.
  Reported
};

struct ChangedRouteCase {
  const char *Name;
  KnownFlow Known;
  /// Sequence number of the first packet that arrives after the change. The
  /// one before it had 100.
  std::uint32_t Sequence;
};

class ChangedRouteTest : public FlowRouterTest,
                         public testing::WithParamInterface<ChangedRouteCase> {
};

// Guards against the CONFIG incident of 5 December 2026: a first packet that
// goes to the service of a former routing, because the balancer remembers a
// connection with the same endpoints.
TEST_P(ChangedRouteTest, FirstPacketsGoByTheTableInForce) {
  const ChangedRouteCase &it = GetParam();
  const FlowPacket first = firstPacket(1, RouteAddress, 100);
  if (it.Known != KnownFlow::Reported) {
    ASSERT_EQ(routeFromCaller(first).Service, hashServiceName("a"));
  }
  if (it.Known != KnownFlow::Placed)
    confirmHolder(1, agentEndpoint(1));
  TableUpdate update;
  update.Routes = {{RouteAddress, {{{2}, 1}}, {{1}}}};
  Table.apply(std::move(update));
  Now += Duration(10);
  const RelayDecision decision =
      routeFromCaller(firstPacket(1, RouteAddress, it.Sequence));
  ASSERT_EQ(decision.Action, RelayAction::Forward);
  EXPECT_EQ(decision.Service, hashServiceName("b"));
  EXPECT_EQ(decision.Agent, agentEndpoint(100));
}

INSTANTIATE_TEST_SUITE_P(
    Table, ChangedRouteTest,
    testing::Values(
        ChangedRouteCase{"CopyOfAPlacedOne", KnownFlow::Placed, 100},
        ChangedRouteCase{"AfterAPlacedOne", KnownFlow::Placed, 900},
        ChangedRouteCase{"CopyOfAHeldOne", KnownFlow::Held, 100},
        ChangedRouteCase{"AfterAHeldOne", KnownFlow::Held, 900},
        ChangedRouteCase{"OfAReportedOne", KnownFlow::Reported, 100}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against cutting off an open flow of a former service when a delayed
// copy of its first packet is placed on the service of the changed route.
TEST_F(FlowRouterTest, CopyOfAFirstPacketKeepsTheOpenFlowOfAFormerService) {
  routeFromCaller(firstPacket(1));
  confirmHolder(1, agentEndpoint(1), 5000);
  TableUpdate update;
  update.Routes = {{RouteAddress, {{{2}, 1}}, {{1}}}};
  Table.apply(std::move(update));
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Agent, agentEndpoint(100));
  EXPECT_EQ(routeFromCaller(dataPacket(1, 5001)).Agent, agentEndpoint(1));
  confirmHolder(1, agentEndpoint(100), 900'000'000);
  EXPECT_EQ(routeFromCaller(dataPacket(1, 5002)).Agent, agentEndpoint(1));
}

// Guards against new flows for an upstream that drains, because the balancer
// remembers a connection with the same endpoints.
TEST_F(FlowRouterTest, NewConnectionOfAKnownFlowIsPlacedAnew) {
  const RelayDecision first =
      routeFromCaller(firstPacket(1, RouteAddress, 100));
  confirmHolder(1, first.Agent);
  for (std::uint32_t id = 1; id <= 6; ++id)
    if (agentEndpoint(id) == first.Agent)
      Table.setState(id, UpstreamState::Draining);
  EXPECT_EQ(routeFromCaller(firstPacket(1, RouteAddress, 100)).Agent,
            first.Agent);
  EXPECT_NE(routeFromCaller(firstPacket(1, RouteAddress, 900)).Agent,
            first.Agent);
}

struct NoRouteCase {
  const char *Name;
  bool HasTable;
  bool IsConfirmed;
  FlowPacket Packet;
  RelayAction Expected;
};

class NoRouteTest : public testing::TestWithParam<NoRouteCase> {};

// Guards against a caller that waits for an answer although its address has no
// route, and against resets from a balancer that has no table yet or, for open
// flows, one that may be too old.
TEST_P(NoRouteTest, ResetsOnlyWhenATableIsKnown) {
  const NoRouteCase &it = GetParam();
  const TestTable table(2);
  TableReplica empty;
  const auto router = makeFlowRouter({});
  if (it.IsConfirmed)
    router->confirmTable(TimePoint{}, Revision{});
  const RelayDecision decision = router->onCallerPacket(
      it.Packet, it.HasTable ? *table : *empty.table(), TimePoint{});
  EXPECT_EQ(decision.Action, it.Expected);
}

FlowPacket withoutRoute(FlowPacket packet, bool resets = false) {
  packet.Destination = {1, 1};
  packet.Resets = resets;
  return packet;
}

INSTANTIATE_TEST_SUITE_P(
    Table, NoRouteTest,
    testing::Values(
        NoRouteCase{"First", true, false, withoutRoute(firstPacket(1)),
                    RelayAction::Reset},
        NoRouteCase{"Data", true, true, withoutRoute(dataPacket(1)),
                    RelayAction::Reset},
        NoRouteCase{"DataWithoutConfirmation", true, false,
                    withoutRoute(dataPacket(1)), RelayAction::Query},
        NoRouteCase{"OwnReset", true, true, withoutRoute(dataPacket(1), true),
                    RelayAction::Drop},
        NoRouteCase{"FirstWithoutTable", false, true, firstPacket(1),
                    RelayAction::Drop},
        NoRouteCase{"DataWithoutTable", false, true, dataPacket(1),
                    RelayAction::Drop}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against placing many flows on a few upstreams while others have none,
// and against placements that ignore the reported load.
TEST_F(FlowRouterTest, PlacesByLoad) {
  for (std::uint32_t id = 1; id <= 6; ++id)
    confirmHolder(static_cast<std::uint16_t>(3000 + id), agentEndpoint(id), 1,
                  {static_cast<std::uint16_t>(id == 4 ? 0 : 5), 10, 5});
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Agent, agentEndpoint(4));
  std::map<Endpoint, int> placed;
  for (std::uint32_t id = 1; id <= 6; ++id)
    confirmHolder(static_cast<std::uint16_t>(3000 + id), agentEndpoint(id), 1,
                  {0, 0, 5});
  for (std::uint16_t caller = 10; caller < 250; ++caller)
    ++placed[routeFromCaller(firstPacket(caller)).Agent];
  // Upstreams of the balancer's own data centre get more flows, because
  // RemoteLoadPenalty adds a fifth of the slots to the load of the others.
  for (const auto &[agent, n] : placed) {
    EXPECT_GE(n, 36);
    EXPECT_LE(n, 44);
  }
  EXPECT_EQ(placed.size(), 6U);
}

// Guards against offering a declined first packet to the same upstream again at
// once, and against leaving the caller without an answer when all upstreams
// decline.
TEST_F(FlowRouterTest, DeclinedFlowIsOfferedToEachUpstreamOnce) {
  std::set<Endpoint> queried;
  RelayDecision decision = routeFromCaller(firstPacket(1));
  while (decision.Action == RelayAction::Forward) {
    EXPECT_TRUE(queried.insert(decision.Agent).second);
    EXPECT_EQ(decision.Attempt, queried.size() - 1);
    decision =
        returnPacket(firstPacket(1), decision, ReturnReason::Declined, 1000);
  }
  EXPECT_EQ(queried.size(), 6U);
  EXPECT_EQ(decision.Action, RelayAction::Reset);
  EXPECT_EQ(decision.Reason, RelayReason::NoUpstream);
  Now += Duration(1000);
  EXPECT_EQ(routeFromCaller(firstPacket(2)).Action, RelayAction::Forward);
}

// Guards against two faults in a burst that finds all upstreams busy. Callers
// that are refused at once use up their retries although a slot would be free a
// few milliseconds later, and callers that are deferred for too long get no
// answer in time.
TEST_F(FlowRouterTest, BurstIsDeferredForABoundedTime) {
  const auto declineAll = [&](std::uint16_t retryAfterMs) {
    RelayDecision decision = routeFromCaller(firstPacket(1));
    while (decision.Action == RelayAction::Forward)
      decision = returnPacket(firstPacket(1), decision, ReturnReason::Declined,
                              retryAfterMs);
    return decision;
  };
  EXPECT_EQ(declineAll(20).Action, RelayAction::Defer);
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Action, RelayAction::Defer);
  Now += Duration(20);
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Action, RelayAction::Forward);
  const TimePoint end = Now + FlowRouterOptions{}.MaxDeferral;
  RelayDecision decision = declineAll(20);
  for (; decision.Action == RelayAction::Defer; decision = declineAll(20))
    Now += Duration(20);
  EXPECT_EQ(decision.Action, RelayAction::Reset);
  EXPECT_LE(Now, end + Duration(20));
  EXPECT_GE(Now, end - Duration(40));
}

// Guards against sending retransmissions of a first packet to an agent that has
// failed and left the original unanswered.
TEST_F(FlowRouterTest, RepeatedFirstPacketAvoidsAnUnresponsiveAgent) {
  const RelayDecision first = routeFromCaller(firstPacket(1));
  EXPECT_EQ(routeFromCaller(firstPacket(1)).Agent, first.Agent);
  Now += AnswerTimeout;
  EXPECT_NE(routeFromCaller(firstPacket(1)).Agent, first.Agent);
  // Other flows avoid the unresponsive agent for a while, too.
  for (std::uint16_t caller = 2; caller < 30; ++caller)
    EXPECT_NE(routeFromCaller(firstPacket(caller)).Agent, first.Agent);
}

// Guards against putting agents aside because the link of the balancer itself
// is congested, and against offering a flow only to an agent that has failed.
TEST_F(FlowRouterTest, CongestedLinkPutsNoAgentAside) {
  Router->setLinkCongested(true);
  const Endpoint first = routeFromCaller(firstPacket(1)).Agent;
  Now += AnswerTimeout;
  EXPECT_NE(routeFromCaller(firstPacket(1)).Agent, first);
  Now += Duration(1);
  std::set<Endpoint> agents;
  for (std::uint16_t caller = 2; caller < 100; ++caller)
    agents.insert(routeFromCaller(firstPacket(caller)).Agent);
  EXPECT_TRUE(agents.contains(first));
}

// Guards against refusing a flow that may have opened, for which "not run"
// would be wrong.
TEST_F(FlowRouterTest, KnowsWhichFlowsMayHaveOpened) {
  EXPECT_FALSE(Router->mayHaveOpened(firstPacket(1)));
  const RelayDecision placed = routeFromCaller(firstPacket(1));
  EXPECT_TRUE(Router->mayHaveOpened(firstPacket(1)));
  // Another connection with the same endpoints.
  EXPECT_FALSE(Router->mayHaveOpened(firstPacket(1, RouteAddress, 7)));
  returnPacket(firstPacket(1), placed, ReturnReason::Declined, 20);
  EXPECT_TRUE(Router->mayHaveOpened(firstPacket(1)));
  confirmHolder(2, agentEndpoint(1));
  EXPECT_TRUE(Router->mayHaveOpened(firstPacket(2)));
}

// Guards against forwarding to the wrong one of two upstreams that both
// accepted a copy of the first packet. The caller's acknowledgement number
// identifies the one it uses.
TEST_F(FlowRouterTest, AcknowledgementSelectsTheHolder) {
  confirmHolder(1, agentEndpoint(1), 5000);
  confirmHolder(1, agentEndpoint(2), 900'000'000);
  EXPECT_EQ(routeFromCaller(dataPacket(1, 900'000'001)).Agent,
            agentEndpoint(2));
  EXPECT_EQ(routeFromCaller(dataPacket(1, 900'000'500)).Agent,
            agentEndpoint(2));
  EXPECT_EQ(routeFromCaller(dataPacket(1, 5001)).Agent, agentEndpoint(1));
}

// Guards against unbounded growth of the flow table.
TEST_F(FlowRouterTest, FlowsAreBoundedAndForgotten) {
  Router = makeFlowRouter({.DataCentre = "x", .MaxFlows = 10});
  for (std::uint16_t caller = 1; caller <= 30; ++caller) {
    Now += Duration(1);
    routeFromCaller(firstPacket(caller));
  }
  EXPECT_EQ(Router->flowCount(), 10U);
  Now += FlowRouterOptions{}.FlowIdleTimeout;
  Router->tick(Now);
  EXPECT_EQ(Router->flowCount(), 0U);
}

// Guards against a traffic split that does not follow the weights of the route.
TEST_F(FlowRouterTest, SplitsByWeight) {
  TableUpdate update;
  update.Routes = {{RouteAddress, {{{1}, 90}, {{2}, 10}}, {}}};
  Table.apply(std::move(update));
  int second = 0;
  for (std::uint16_t caller = 1; caller <= 4000; ++caller)
    second +=
        routeFromCaller(firstPacket(caller)).Service == hashServiceName("b")
            ? 1
            : 0;
  // Five standard deviations of 4000 draws with probability 0.1 are 95.
  EXPECT_NEAR(second, 400, 95);
}

} // namespace
} // namespace pistachio
