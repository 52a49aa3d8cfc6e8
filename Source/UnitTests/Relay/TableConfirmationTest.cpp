#include "RelayTestSupport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

namespace pistachio {
namespace {

/// What the balancer's table lacks although the flow was opened with it.
enum class Missing : std::uint8_t { Nothing, Upstream, Service, Route };

/// What the balancer learns from control after the packet has arrived.
enum class News : std::uint8_t {
  /// A confirmation that was asked for before the packet arrived.
  EarlierConfirmation,
  /// A confirmation that a later revision exists, whose update follows.
  LaterTable,
  /// The update without a confirmation.
  UpdateOnly,
  Confirmation,
  /// Control cannot be reached.
  None
};

enum class Outcome : std::uint8_t { Found, Reset, ResetLate };

struct ProofRow {
  const char *Name;
  Missing Lacks;
  News Learns;
  Outcome Expected;
};

std::ostream &operator<<(std::ostream &out, const ProofRow &row) {
  return out << row.Name;
}

constexpr ProofRow ProofRows[] = {
    {"LostFlowConfirmed", Missing::Nothing, News::Confirmation, Outcome::Reset},
    {"LostFlowConfirmedEarlier", Missing::Nothing, News::EarlierConfirmation,
     Outcome::ResetLate},
    {"LostFlowWithoutControl", Missing::Nothing, News::None,
     Outcome::ResetLate},
    {"UpstreamInLaterTable", Missing::Upstream, News::LaterTable,
     Outcome::Found},
    {"UpstreamInUnconfirmedUpdate", Missing::Upstream, News::UpdateOnly,
     Outcome::Found},
    {"UpstreamAfterEarlierConfirmation", Missing::Upstream,
     News::EarlierConfirmation, Outcome::ResetLate},
    {"ServiceInLaterTable", Missing::Service, News::LaterTable, Outcome::Found},
    {"ServiceInUnconfirmedUpdate", Missing::Service, News::UpdateOnly,
     Outcome::Found},
    {"RouteInLaterTable", Missing::Route, News::LaterTable, Outcome::Found},
    {"RouteInUnconfirmedUpdate", Missing::Route, News::UpdateOnly,
     Outcome::Found},
    {"RouteThatNeverWas", Missing::Route, News::Confirmation, Outcome::Reset},
    {"RouteWithoutControl", Missing::Route, News::None, Outcome::ResetLate},
};

class TableConfirmationTest : public testing::TestWithParam<ProofRow> {
protected:
  static constexpr Endpoint NewRoute{0xC6120003, 443};
  static constexpr std::uint32_t NewUpstream = 200;

  /// The update that names the holder of the flow.
  static TableUpdate missingUpdate(Missing lacks) {
    TableUpdate update;
    update.Upstreams = {TestTable::upstream(NewUpstream, 1)};
    if (lacks == Missing::Route)
      update.Routes = {{NewRoute, {{{1}, 1}}, {}}};
    if (lacks == Missing::Service) {
      update.Upstreams = {TestTable::upstream(NewUpstream, 3)};
      update.Services = {{{3}, "c", {}}};
      update.Routes = {{RouteAddress, {{{3}, 1}}, {{1}}}};
    }
    return update;
  }

  RelayDecision arrive() { return Router->onCallerPacket(Packet, *Table, Now); }

  /// Answers each query with "not held", except at the holder, until the search
  /// needs no further answers.
  RelayDecision answerAll(RelayDecision decision) {
    while (decision.Action == RelayAction::Query && !decision.Queries.empty()) {
      const std::vector<QueryTarget> round = std::move(decision.Queries);
      decision = {.Action = RelayAction::Query, .Reason = RelayReason::Search};
      for (const QueryTarget &it : round) {
        Router->onQuerySent({it.Service, {Flow}}, it.Agent, Now);
        if (it.Agent == agentEndpoint(NewUpstream)) {
          Router->onFlowHeld({Flow.Caller, Flow.Service, 500, {}}, it.Agent,
                             Now);
          return arrive();
        }
        RelayDecision next =
            Router->onFlowNotHeld({Flow, true}, {}, it.Agent, *Table, Now);
        if (next.Reason != RelayReason::Search || !next.Queries.empty())
          decision = std::move(next);
      }
    }
    return decision;
  }

  /// Polls the search and answers its queries until it ends, but for at most
  /// \p time.
  RelayDecision pollFor(Duration time) {
    const TimePoint end = Now + time;
    while (Now < end) {
      Now += Duration(20);
      for (FlowDecision &it : Router->pollSearches(*Table, Now)) {
        RelayDecision decision = answerAll(std::move(it.Decision));
        if (decision.Action != RelayAction::Query)
          return decision;
      }
    }
    return {.Action = RelayAction::Query};
  }

  void learn(News news, Missing lacks) {
    const Revision current = (*Table).revision();
    if (news == News::Confirmation)
      Router->confirmTable(Now, current);
    if (news == News::LaterTable) {
      Router->confirmTable(Now, Revision{current.Value + 1});
      EXPECT_EQ(pollFor(Duration(200)).Action, RelayAction::Query);
    }
    if (news == News::LaterTable || news == News::UpdateOnly)
      Table.apply(missingUpdate(lacks));
  }

  TestTable Table{6};
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<FlowRouter> Router = makeFlowRouter({.DataCentre = "x"});
  FlowPacket Packet = dataPacket(1, 501);
  FlowEndpoints Flow{Packet.Source, Packet.Destination};
};

// Guards against the fault of review/3: a balancer with an old table reset
// flows at upstreams that had been added meanwhile. That none of the upstreams
// which it knows holds a flow proves nothing until control has confirmed the
// table after the packet arrived.
TEST_P(TableConfirmationTest, ResetNeedsATableThatIsNotOlderThanTheFlow) {
  const ProofRow &row = GetParam();
  const Duration Limit = FlowRouterOptions{}.ConfirmationTimeout;
  constexpr Duration PollTolerance{40};
  if (row.Lacks == Missing::Route)
    Packet.Destination = Flow.Service = NewRoute;
  if (row.Learns == News::EarlierConfirmation)
    Router->confirmTable(Now - Duration(1), (*Table).revision());
  const TimePoint arrived = Now;
  const RelayDecision first = answerAll(arrive());
  ASSERT_EQ(first.Action, RelayAction::Query);
  EXPECT_EQ(first.Reason, RelayReason::AwaitsTable);
  EXPECT_TRUE(Router->isSearching());
  EXPECT_TRUE(Router->needsConfirmedTable());
  learn(row.Learns, row.Lacks);
  const RelayDecision last = pollFor(2 * Limit);
  switch (row.Expected) {
  case Outcome::Found:
    EXPECT_EQ(last.Action, RelayAction::Forward);
    EXPECT_EQ(last.Agent, agentEndpoint(NewUpstream));
    EXPECT_FALSE(Router->needsConfirmedTable());
    return;
  case Outcome::Reset:
    EXPECT_EQ(last.Action, RelayAction::Reset);
    EXPECT_LE(Now - arrived, PollTolerance);
    break;
  case Outcome::ResetLate:
    EXPECT_EQ(last.Action, RelayAction::Reset);
    EXPECT_EQ(last.Reason, RelayReason::Unconfirmed);
    EXPECT_GE(Now - arrived, Limit);
    EXPECT_LE(Now - arrived, Limit + PollTolerance);
    break;
  }
  // Further packets of the flow are on their way.
  EXPECT_EQ(arrive().Action, RelayAction::Reset);
  EXPECT_FALSE(Router->needsConfirmedTable());
}

INSTANTIATE_TEST_SUITE_P(Rows, TableConfirmationTest,
                         testing::ValuesIn(ProofRows),
                         [](const auto &it) { return it.param.Name; });

// Guards against a flow that goes on after a configuration has removed its
// route: the balancer that knows the holder has had the route.
TEST_F(TableConfirmationTest, KnownFlowOfARemovedRouteIsResetAtOnce) {
  Router->onFlowHeld({Flow.Caller, Flow.Service, 500, {}}, agentEndpoint(1),
                     Now);
  ASSERT_EQ(arrive().Action, RelayAction::Forward);
  TableUpdate update;
  update.RemovedRoutes = {RouteAddress};
  Table.apply(update);
  const RelayDecision decision = arrive();
  EXPECT_EQ(decision.Action, RelayAction::Reset);
  EXPECT_EQ(decision.Reason, RelayReason::NoRoute);
}

/// The holder's address belonged to an upstream of another service in the
/// balancer's table.
class ChangedServiceTest : public TableConfirmationTest {
protected:
  static constexpr std::uint32_t Holder = 3;

  /// Lets the search go on with a table that has the present service of the
  /// holder.
  void expectQueryForPresentService(RelayDecision decision) {
    ASSERT_EQ(answerAll(std::move(decision)).Reason, RelayReason::AwaitsTable);
    TableUpdate update;
    update.RemovedUpstreams = {{Holder}};
    update.Upstreams = {TestTable::upstream(NewUpstream, 2)};
    update.Upstreams[0].Address = agentEndpoint(Holder);
    update.Routes = {{RouteAddress, {{{2}, 1}}, {{1}}}};
    Table.apply(update);
    Router->confirmTable(Now, (*Table).revision());
    Now += Duration(20);
    RelayDecision next{.Action = RelayAction::Query};
    for (const FlowDecision &it : Router->pollSearches(*Table, Now)) {
      EXPECT_EQ(it.Decision.Action, RelayAction::Query);
      next.Queries.insert(next.Queries.end(), it.Decision.Queries.begin(),
                          it.Decision.Queries.end());
    }
    EXPECT_TRUE(std::ranges::any_of(next.Queries, [](const QueryTarget &it) {
      return it.Agent == agentEndpoint(Holder) &&
             it.Service == hashServiceName("b");
    }));
    // An agent that denies the flow for each of its services is not asked
    // forever.
    EXPECT_EQ(answerAll(std::move(next)).Action, RelayAction::Reset);
  }
};

// Guards against a reset of an open flow: an agent denies a flow for a service
// that is not its own, so with a later table it has to be asked again.
TEST_F(ChangedServiceTest, AgentThatDeniedTheFlowIsAskedAgain) {
  expectQueryForPresentService(arrive());
}

// Guards against a reset of an open flow whose holder has reported itself and
// then refuses a packet for a service that is not its own.
TEST_F(ChangedServiceTest, AgentThatRefusedThePacketIsAskedAgain) {
  Router->onFlowHeld({Flow.Caller, Flow.Service, 500, {}},
                     agentEndpoint(Holder), Now);
  ASSERT_EQ(arrive().Agent, agentEndpoint(Holder));
  ReturnedPacket refusal;
  refusal.RetryAfterMs = 2000;
  expectQueryForPresentService(Router->onReturnedPacket(
      Packet, refusal, agentEndpoint(Holder), *Table, Now));
}

} // namespace
} // namespace pistachio
