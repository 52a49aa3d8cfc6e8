#include "RelayTestSupport.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class Situation {
public:
  explicit Situation(std::uint32_t upstreams,
                     PlacementKind placement = PlacementKind::LeastLoaded)
      : Table(upstreams),
        Router(makeFlowRouter({.DataCentre = "x", .Placement = placement})) {}

  RelayDecision sendFirst(std::uint16_t caller) {
    return Router->onCallerPacket(firstPacket(caller), *Table, Now);
  }
  RelayDecision decline(std::uint16_t caller, const Endpoint &agent,
                        std::uint16_t retryAfterMs, UpstreamLoad load = {}) {
    ReturnedPacket message;
    message.Reason = ReturnReason::Declined;
    message.RetryAfterMs = retryAfterMs;
    message.Load = load;
    return Router->onReturnedPacket(firstPacket(caller), message, agent, *Table,
                                    Now);
  }
  /// Each of the agents 1 to \p n declines a flow of its own caller.
  void declineAll(std::uint32_t n, std::uint16_t retryAfterMs) {
    for (std::uint32_t id = 1; id <= n; ++id)
      decline(static_cast<std::uint16_t>(5000 + id), agentEndpoint(id),
              retryAfterMs, {4, 10, 4});
  }
  void report(std::uint32_t id, UpstreamLoad load) {
    Router->onFlowHeld({callerEndpoint(static_cast<std::uint16_t>(6000 + id)),
                        RouteAddress, 1, load},
                       agentEndpoint(id), Now);
  }
  FlowExplanation explain(std::uint16_t caller) const {
    return Router->explain({callerEndpoint(caller), RouteAddress}, *Table, Now);
  }

  TestTable Table;
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<FlowRouter> Router;
};

struct ExplainCase {
  std::string_view Name;
  std::string_view GuardsAgainst;
  std::uint32_t Upstreams;
  /// Brings about the situation in which caller 1 sends a first packet.
  void (*SetUp)(Situation &it);
  RelayReason Expected;
  /// A state that an upstream must be listed with, if upstreams are listed.
  OfferState Listed;
};

class ExplainTest
    : public testing::TestWithParam<std::tuple<PlacementKind, ExplainCase>> {};

// Guards against an explanation that is not what the next first packet gets, or
// that changes what it gets.
TEST_P(ExplainTest, ChoosesAsTheNextFirstPacket) {
  const auto &[placement, param] = GetParam();
  Situation it(param.Upstreams, placement);
  param.SetUp(it);
  EXPECT_EQ(it.explain(1).Reason, param.Expected) << param.GuardsAgainst;
  // Further callers, because their tiers differ and each placement changes the
  // loads.
  for (std::uint16_t caller = 1; caller <= 40; ++caller) {
    const std::size_t flows = it.Router->flowCount();
    const FlowExplanation said = it.explain(caller);
    EXPECT_EQ(it.Router->flowCount(), flows);
    if (caller == 1 && !said.Upstreams.empty()) {
      EXPECT_TRUE(std::ranges::count(said.Upstreams, param.Listed,
                                     &ExplainedUpstream::State) > 0)
          << param.GuardsAgainst;
    }
    const RelayDecision first = it.sendFirst(caller);
    EXPECT_EQ(said.Action, first.Action) << param.GuardsAgainst;
    EXPECT_EQ(said.Reason, first.Reason) << param.GuardsAgainst;
    EXPECT_EQ(said.Agent.value_or(Endpoint{}), first.Agent)
        << param.GuardsAgainst;
    if (first.Reason == RelayReason::Placed) {
      const auto chosen = std::ranges::find(said.Upstreams, first.Agent,
                                            &ExplainedUpstream::Agent);
      ASSERT_NE(chosen, said.Upstreams.end());
      EXPECT_EQ(chosen->State, OfferState::Eligible);
      EXPECT_TRUE(chosen->Load);
      const RelayDecision next = it.decline(caller, first.Agent, 300);
      EXPECT_EQ(said.NextAgent.value_or(Endpoint{}), next.Agent)
          << param.GuardsAgainst;
    }
    it.Now += Duration(10);
  }
}

const ExplainCase ExplainCases[] = {
    {"Unreported", "a missing report taken for an absent upstream", 6,
     [](Situation &) {}, RelayReason::Placed, OfferState::Eligible},
    {"UnevenLoads", "a load figure that differs from the compared one", 12,
     [](Situation &it) {
       for (std::uint16_t id = 1; id <= 12; ++id)
         it.report(id, {static_cast<std::uint16_t>(id * 5 % 7), id, 4});
     },
     RelayReason::Placed, OfferState::Eligible},
    {"SeveralTiers", "a choice beyond the first tiers with an upstream", 60,
     [](Situation &it) {
       it.report(1, {1, 1, 4});
     },
     RelayReason::Placed, OfferState::LaterTier},
    {"FirstTiersDeclined", "a search for an upstream that ends too early", 60,
     [](Situation &it) { it.declineAll(50, 1000); }, RelayReason::Placed,
     OfferState::Declined},
    {"AllBusyForAMoment", "a packet said to be refused that waits", 6,
     [](Situation &it) { it.declineAll(6, 50); }, RelayReason::Busy,
     OfferState::Declined},
    {"AllBusyForLong", "a packet said to wait that is refused", 6,
     [](Situation &it) { it.declineAll(6, 5000); }, RelayReason::NoUpstream,
     OfferState::Declined},
    {"KnownHolder", "a second placement of an open flow", 6,
     [](Situation &it) {
       const Endpoint agent = it.sendFirst(1).Agent;
       it.Router->onFlowHeld({callerEndpoint(1), RouteAddress, 9, {}}, agent,
                             it.Now);
       it.Now += Duration(5000);
     },
     RelayReason::Held, OfferState::Eligible},
    {"UnconfirmedHolder", "a repeat that is said to go elsewhere at once", 6,
     [](Situation &it) { it.sendFirst(1); }, RelayReason::Held,
     OfferState::Eligible},
    {"SilentHolder", "a repeat that is said to go to an unresponsive agent", 6,
     [](Situation &it) {
       // The others are busy, so that the load alone would keep the choice.
       const Endpoint holder = it.sendFirst(1).Agent;
       for (std::uint32_t id = 1; id <= 6; ++id)
         if (agentEndpoint(id) != holder)
           it.report(id, {4, 40, 4});
       it.Now += Duration(200);
     },
     RelayReason::Placed, OfferState::Silent},
    {"SilentAgents", "an offer to agents that do not answer", 6,
     [](Situation &it) {
       for (int i = 0; i < 3; ++i) {
         it.sendFirst(900);
         it.Now += Duration(200);
       }
       it.sendFirst(900);
     },
     RelayReason::Placed, OfferState::Silent},
    {"Draining", "an offer to a draining upstream", 6,
     [](Situation &it) { it.Table.setState(1, UpstreamState::Draining); },
     RelayReason::Placed, OfferState::Draining},
    {"Suspect", "an offer to an upstream that may have failed", 6,
     [](Situation &it) { it.Table.setState(1, UpstreamState::Suspect); },
     RelayReason::Placed, OfferState::Suspect},
    {"DataCentreOut", "an offer to a data centre that is out", 6,
     [](Situation &it) { it.Table.setDataCentreWithdrawn(1, true); },
     RelayReason::Placed, OfferState::DataCentreOut},
    {"HolderOfFormerService", "a new flow for a service without a share", 6,
     [](Situation &it) {
       it.sendFirst(1);
       TableUpdate update;
       update.Routes = {{RouteAddress, {{{2}, 1}}, {{1}}}};
       it.Table.apply(std::move(update));
     },
     RelayReason::Placed, OfferState::Eligible},
    {"TwoShares", "a share other than the one that the weights choose", 6,
     [](Situation &it) {
       TableUpdate update;
       update.Routes = {{RouteAddress, {{{1}, 3}, {{2}, 2}}, {}}};
       it.Table.apply(std::move(update));
     },
     RelayReason::Placed, OfferState::Eligible},
    {"NoWeight", "a failure on a route that takes no flows", 6,
     [](Situation &it) {
       TableUpdate update;
       update.Routes = {{RouteAddress, {{{1}, 0}}, {}}};
       it.Table.apply(std::move(update));
     },
     RelayReason::NoUpstream, OfferState::Eligible},
    {"NoRoute", "a placement without a route", 6,
     [](Situation &it) {
       TableUpdate update;
       update.RemovedRoutes = {RouteAddress};
       it.Table.apply(std::move(update));
     },
     RelayReason::NoRoute, OfferState::Eligible},
    {"NoTable", "a missing table taken for a missing route", 6,
     [](Situation &it) {
       TableUpdate update;
       update.RemovedRoutes = {RouteAddress, OtherRoute};
       it.Table.apply(std::move(update));
     },
     RelayReason::NoTable, OfferState::Eligible},
};

INSTANTIATE_TEST_SUITE_P(
    All, ExplainTest,
    testing::Combine(testing::Values(PlacementKind::LeastLoaded,
                                     PlacementKind::ExpectedWait),
                     testing::ValuesIn(ExplainCases)),
    [](const auto &info) {
      const bool isRandom =
          std::get<0>(info.param) == PlacementKind::ExpectedWait;
      return concat(std::get<1>(info.param).Name,
                    isRandom ? "ByExpectedWait" : "ByLeastLoaded");
    });

// Guards against reports, ages or remaining times that are not those on which
// the decision rests.
TEST(ExplainDetailsTest, NamesWhatIsBelieved) {
  Situation it(10);
  it.report(7, {3, 20, 4});
  it.decline(1, agentEndpoint(9), 800, {4, 9, 4});
  it.Now += Duration(100);
  const FlowExplanation said = it.explain(50);
  const auto find = [&](std::uint32_t id) {
    return *std::ranges::find(said.Upstreams, agentEndpoint(id),
                              &ExplainedUpstream::Agent);
  };
  EXPECT_EQ(find(7).Report, (UpstreamLoad{3, 20, 4}));
  EXPECT_EQ(find(7).ReportAge, Duration(100));
  // 3 busy flows and 20 open ones on 4 slots, in the other data centre.
  EXPECT_DOUBLE_EQ(find(7).Load.value_or(0), 0.2 + (3 + 20 * 0.05) / 4);
  EXPECT_EQ(find(7).DataCentre, "y");
  EXPECT_EQ(find(9).State, OfferState::Declined);
  EXPECT_EQ(find(9).StateEndsIn, Duration(700));
  EXPECT_FALSE(find(9).Load);
  EXPECT_FALSE(find(2).Report);
  EXPECT_TRUE(find(2).IsLocal);
}

// Guards against an answer that grows with the service.
TEST(ExplainDetailsTest, ListsALimitedNumberOfUpstreams) {
  const FlowExplanation said = Situation(1200).explain(1);
  // Upstream 100 of the table belongs to the other service.
  EXPECT_EQ(said.UpstreamCount, 1199U);
  EXPECT_EQ(said.Upstreams.size(), FlowExplanation::MaxUpstreams);
}

} // namespace
} // namespace pistachio
