#include "ControlStateHarness.h"

#include "Routing/Routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace pistachio {
namespace {

constexpr Duration AnnounceInterval{1000};
constexpr std::size_t AgentCount = 10;
constexpr std::size_t MemberCount = 2;
constexpr std::size_t NodeCount = 4;
constexpr std::size_t RouteCount = 3;
constexpr const char *ServiceNames[] = {"alpha", "beta", "gamma", "delta"};
constexpr const char *DataCentreNames[] = {"ee-north-a", "ee-north-b"};

Endpoint routeAddress(std::size_t n) {
  return {(10U << 24) | (30U << 16) | 1, static_cast<std::uint16_t>(500 + n)};
}

/// Agents, control members and nodes without a network. Commands are committed
/// at once; announcements, updates and processes may be lost.
class Installation {
public:
  explicit Installation(std::uint64_t seed) : Random(seed) {
    for (std::size_t i = 0; i < AgentCount; ++i) {
      Agent &agent = Agents.emplace_back();
      agent.Address = upstreamAddress(static_cast<std::uint16_t>(i));
      agent.Service = ServiceNames[i % std::size(ServiceNames)];
      agent.DataCentre = DataCentreNames[i / 2 % std::size(DataCentreNames)];
    }
    for (auto &it : Members)
      it = makeControlState();
    std::string rules;
    for (const char *it : DataCentreNames)
      rules += std::string("datacentre ") + it + " # asked by Tiina\n";
    commit(makeApplyRules("base", Revision{}, rules));
    applyRouting();
  }

  /// Lets a second pass with at most one fault or change.
  void advance() {
    Now += AnnounceInterval;
    Event = "none";
    std::vector<LogCommand> proposals;
    for (Agent &it : Agents)
      announce(it, proposals);
    Tracker->tick(leader(), Now, proposals);
    commitAll(proposals);
    disturb();
    updateNodes();
    openFlows();
  }

  /// Returns the holders that a node with a current table would not search.
  std::vector<std::string> missingHolders() {
    std::vector<std::string> missing;
    for (std::size_t i = 0; i < NodeCount; ++i) {
      const ServiceTablePtr table = Nodes[i].Replica->table();
      if (table->revision() != leader().publishedRevision())
        continue;
      for (const auto &[address, holders] : Holders)
        for (const std::size_t n : holders) {
          if (Agents[n].AnnouncedInARow < 2)
            continue;
          ++CheckedHolders;
          if (!isCandidate(Agents[n], address, *table))
            missing.push_back("node " + std::to_string(i) + ", route " +
                              toString(address) + ": " + Agents[n].Service +
                              " at " + toString(Agents[n].Address));
        }
    }
    return missing;
  }

  /// Returns the nodes whose table differs from the one of a new node.
  std::vector<std::string> differingNodes() const {
    TableReplica fresh;
    for (const TableUpdate &it : leader().updatesSince(Revision{}))
      EXPECT_TRUE(fresh.apply(it).ok());
    std::vector<std::string> differing;
    for (std::size_t i = 0; i < NodeCount; ++i) {
      const ServiceTablePtr table = Nodes[i].Replica->table();
      if (table->revision() == leader().publishedRevision() &&
          describe(*table) != describe(*fresh.table()))
        differing.push_back("node " + std::to_string(i));
    }
    return differing;
  }

  /// The change or fault of the last second.
  const std::string &event() const { return Event; }
  std::size_t checkedHolders() const { return CheckedHolders; }

private:
  struct Agent {
    Endpoint Address;
    std::string Service;
    std::string DataCentre;
    std::uint64_t ProcessIncarnation = 1;
    /// The incarnation of the agent when its upstream started.
    std::uint64_t FirstIncarnation = 1;
    /// Control does not hear the agent before this time.
    TimePoint SilentUntil{};
    /// The upstream has ended and no other has started at the address.
    bool IsGone = false;
    /// The agent announces that the upstream has ended.
    bool IsLeaving = false;
    std::size_t AnnouncedInARow = 0;
  };
  struct Node {
    std::unique_ptr<TableReplica> Replica = std::make_unique<TableReplica>();
    std::size_t Member = 0;
    TimePoint LagsUntil{};
  };

  std::size_t pick(std::size_t n) { return Random() % n; }
  const ControlState &leader() const { return *Members[Leader]; }

  void commit(const LogCommand &command) {
    Log.push_back(command);
    for (const auto &it : Members)
      it->apply(Log.size(), command);
  }
  void commitAll(const std::vector<LogCommand> &commands) {
    for (const LogCommand &it : commands)
      commit(it);
  }

  static bool isCandidate(const Agent &agent, const Endpoint &address,
                          const ServiceTable &table) {
    const RouteRecord *route = table.findRoute(address);
    if (route == nullptr)
      return false;
    std::vector<ServiceId> services = route->FormerServices;
    for (const RouteShare &it : route->Shares)
      services.push_back(it.Service);
    return std::ranges::any_of(services, [&](ServiceId id) {
      const Service *service = table.find(id);
      // An agent of another service replies that it certainly holds no flow.
      if (service == nullptr || service->name() != agent.Service)
        return false;
      return std::ranges::count(service->members(), agent.Address,
                                &ServiceMember::Address) > 0 ||
             std::ranges::count(table.withdrawnMembers(id), agent.Address,
                                &ServiceMember::Address) > 0;
    });
  }

  /// Everything in the table that a search uses.
  static std::string describe(const ServiceTable &table) {
    std::string text;
    const auto addMembers = [&](std::span<const ServiceMember> members) {
      for (const ServiceMember &it : members)
        text += " " + std::to_string(it.Id.Value) + "@" + toString(it.Address) +
                "/" + std::to_string(it.ProcessIncarnation.Value) + "/" +
                std::to_string(static_cast<int>(it.State));
    };
    for (std::size_t i = 0; i < RouteCount; ++i) {
      const RouteRecord *route = table.findRoute(routeAddress(i));
      if (route == nullptr)
        continue;
      text += "route " + std::to_string(i);
      std::vector<ServiceId> services = route->FormerServices;
      for (const RouteShare &it : route->Shares) {
        text += " weight " + std::to_string(it.Weight);
        services.push_back(it.Service);
      }
      for (const ServiceId id : services) {
        const Service *service = table.find(id);
        text += ", service " + std::to_string(id.Value);
        if (service == nullptr)
          continue;
        text += " " + service->name() + ":";
        addMembers(service->members());
        text += " withdrawn";
        addMembers(table.withdrawnMembers(id));
      }
      text += "\n";
    }
    return text;
  }

  void announce(Agent &agent, std::vector<LogCommand> &proposals) {
    if (agent.IsGone || Now < agent.SilentUntil) {
      agent.AnnouncedInARow = 0;
      return;
    }
    Announce message;
    message.Service = agent.Service;
    message.DataCentre = agent.DataCentre;
    message.Address = agent.Address;
    message.ProcessIncarnation = Incarnation{agent.ProcessIncarnation};
    message.Slots = 2;
    message.Leaving = agent.IsLeaving;
    Tracker->onAnnounce(message, leader(), Now, proposals);
    ++agent.AnnouncedInARow;
  }

  /// Nodes receive updates in several parts and in any order.
  std::vector<TableUpdate> split(const TableUpdate &update) {
    const std::size_t n = 1 + pick(4);
    std::vector<TableUpdate> parts(n);
    for (std::size_t i = 0; i < n; ++i) {
      parts[i].From = update.From;
      parts[i].To = update.To;
      parts[i].Reset = update.Reset;
      parts[i].Part = static_cast<std::uint32_t>(i);
      parts[i].Parts = static_cast<std::uint32_t>(n);
    }
    const auto distribute = [&](auto list) {
      for (const auto &it : update.*list)
        (parts[pick(n)].*list).push_back(it);
    };
    distribute(&TableUpdate::Services);
    distribute(&TableUpdate::DataCentres);
    distribute(&TableUpdate::Upstreams);
    distribute(&TableUpdate::Balancers);
    distribute(&TableUpdate::Routes);
    distribute(&TableUpdate::RemovedServices);
    distribute(&TableUpdate::RemovedDataCentres);
    distribute(&TableUpdate::RemovedUpstreams);
    distribute(&TableUpdate::RemovedBalancers);
    distribute(&TableUpdate::RemovedRoutes);
    std::ranges::shuffle(parts, Random);
    return parts;
  }

  void updateNodes() {
    for (Node &node : Nodes) {
      if (Now < node.LagsUntil)
        continue;
      const std::vector<TableUpdate> updates =
          Members[node.Member]->updatesSince(node.Replica->table()->revision());
      if (updates.empty())
        continue;
      ASSERT_EQ(updates.size(), 1U);
      const std::vector<TableUpdate> parts = split(updates[0]);
      // The connection is lost before the last part; the node subscribes again
      // at another member.
      if (pick(8) == 0) {
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
          ASSERT_TRUE(node.Replica->apply(parts[i]).ok());
        node.Replica->discardParts();
        node.Member = pick(MemberCount);
        continue;
      }
      for (const TableUpdate &it : parts)
        ASSERT_TRUE(node.Replica->apply(it).ok());
    }
  }

  /// Each node opens a flow at each upstream that its table offers, unless a
  /// configuration has dropped the route since.
  void openFlows() {
    for (const Node &node : Nodes) {
      const ServiceTablePtr table = node.Replica->table();
      for (std::size_t i = 0; i < RouteCount; ++i) {
        const RouteRecord *route = table->findRoute(routeAddress(i));
        if (route == nullptr || table->revision() < AbsentAt[i])
          continue;
        for (const RouteShare &share : route->Shares) {
          const Service *service = table->find(share.Service);
          if (share.Weight > 0 && service != nullptr)
            openFlowsAt(*service, routeAddress(i));
        }
      }
    }
  }

  /// A flow at an upstream that the node does not have is left out: the node
  /// has an earlier one at the same address, which has ended, and control has
  /// never offered the present one for the route. Seeds 2094 and 4793 of 6,000
  /// showed such a flow, with nodes that lagged by 20 s.
  void openFlowsAt(const Service &service, const Endpoint &route) {
    for (const ServiceMember &member : service.members()) {
      const auto it =
          std::ranges::find(Agents, member.Address, &Agent::Address);
      if (member.State == CandidateState::Accepting && !it->IsGone &&
          !it->IsLeaving && it->Service == service.name() &&
          member.ProcessIncarnation.Value >= it->FirstIncarnation)
        Holders[route].insert(static_cast<std::size_t>(it - Agents.begin()));
    }
  }

  void endFlowsAt(std::size_t agent) {
    for (auto &[address, holders] : Holders)
      holders.erase(agent);
  }

  void disturb() {
    switch (pick(24)) {
    case 0:
    case 1:
    case 2:
    case 3:
      return applyRouting();
    case 4:
      // Shorter and longer than the time after which control removes an
      // upstream.
      Event = "agent is silent";
      Agents[pick(AgentCount)].SilentUntil = Now + randomTime(40'000);
      return;
    case 5:
      Event = "agents of a data centre are silent";
      return silenceDataCentre();
    case 6:
      return restartAgent(Agents[pick(AgentCount)]);
    case 7:
    case 8:
      return endOrStartUpstream(pick(AgentCount));
    case 9:
      Event = "leader changes";
      Leader = pick(MemberCount);
      Tracker = makeAnnouncementTracker({});
      return Tracker->onLeadershipGained(leader(), Now);
    case 10:
      return restartMember(pick(MemberCount));
    case 11:
    case 12:
      return disturbNode(Nodes[pick(NodeCount)]);
    case 13:
      Event = "data centre is taken out or brought back";
      ++Version;
      return commit(SetDataCentre{
          "dc-" + std::to_string(Version), DataCentreNames[pick(2)],
          static_cast<DataCentreChange>(pick(3)), "Tiina", 0});
    case 14:
      return drainUpstream();
    case 15:
      return pauseControl();
    case 16:
      return pick(20) == 0 ? exceedHistory() : void();
    default:
      return;
    }
  }

  Duration randomTime(std::size_t maxMs) {
    return Duration(static_cast<int>(1000 + pick(maxMs)));
  }

  void silenceDataCentre() {
    const std::string name = DataCentreNames[pick(std::size(DataCentreNames))];
    const TimePoint end = Now + randomTime(40'000);
    for (Agent &it : Agents)
      if (it.DataCentre == name)
        it.SilentUntil = std::max(it.SilentUntil, end);
  }

  void restartAgent(Agent &agent) {
    Event = "agent restarts";
    ++agent.ProcessIncarnation;
    agent.AnnouncedInARow = 0;
  }

  void endOrStartUpstream(std::size_t n) {
    Agent &agent = Agents[n];
    if (!agent.IsGone && !agent.IsLeaving) {
      Event = "upstream ends";
      endFlowsAt(n);
      (pick(2) ? agent.IsLeaving : agent.IsGone) = true;
      return;
    }
    Event = "upstream starts";
    agent.IsGone = agent.IsLeaving = false;
    agent.FirstIncarnation = ++agent.ProcessIncarnation;
    agent.AnnouncedInARow = 0;
    agent.Service = ServiceNames[pick(std::size(ServiceNames))];
  }

  void restartMember(std::size_t n) {
    std::unique_ptr<ControlState> restarted = makeControlState();
    if (pick(2)) {
      Event = "member restarts from a snapshot";
      ASSERT_TRUE(restarted->load(Members[n]->save()).ok());
    } else {
      Event = "member replays the log";
      for (std::size_t i = 0; i < Log.size(); ++i)
        restarted->apply(i + 1, Log[i]);
      ASSERT_EQ(restarted->save(), Members[n]->save());
    }
    Members[n] = std::move(restarted);
  }

  void disturbNode(Node &node) {
    if (pick(3) == 0) {
      Event = "node restarts";
      node.Replica = std::make_unique<TableReplica>();
      node.Member = pick(MemberCount);
      return;
    }
    Event = "node lags";
    node.LagsUntil = Now + randomTime(60'000);
  }

  void drainUpstream() {
    Event = "upstream is drained";
    std::string text = leader().rules().text();
    if (const std::size_t n = text.find("drain "); n != std::string::npos)
      text.erase(n, text.find('\n', n) + 1 - n);
    const std::vector<UpstreamInfo> upstreams = leader().upstreams();
    if (!upstreams.empty())
      text +=
          "drain upstream " +
          std::to_string(upstreams[pick(upstreams.size())].Record.Id.Value) +
          " # asked by Tiina\n";
    ++Version;
    commit(makeApplyRules("drain-" + std::to_string(Version),
                          leader().rulesRevision(), text));
  }

  /// All members stop for a while, so that the leader's timer runs before it
  /// reads announcements.
  void pauseControl() {
    Event = "control pauses";
    Now += randomTime(40'000);
    for (Agent &it : Agents)
      it.AnnouncedInARow = 0;
    std::vector<LogCommand> proposals;
    Tracker->tick(leader(), Now, proposals);
    commitAll(proposals);
  }

  /// Commits more changes than the history covers.
  void exceedHistory() {
    Event = "many changes";
    for (std::size_t i = 0; i < 4200; ++i)
      commit(BalancerJoined{
          "balancer", DataCentreNames[0],
          upstreamAddress(static_cast<std::uint16_t>(100 + (i % 2)))});
  }

  void applyRouting() {
    Event = "configuration";
    ++Version;
    std::set<std::string> listed;
    std::string routes;
    for (std::size_t i = 0; i < RouteCount; ++i) {
      if (pick(8) == 0) {
        Holders.erase(routeAddress(i));
        AbsentAt[i] = Revision{Log.size() + 1};
        continue;
      }
      const std::string target = ServiceNames[pick(std::size(ServiceNames))];
      const std::string other = ServiceNames[pick(std::size(ServiceNames))];
      listed.insert(target);
      // Another name at the same address replaces the route.
      routes += "route r-" + std::to_string(i) + "-" + std::to_string(pick(2)) +
                " address " + toString(routeAddress(i)) + " to " + target +
                " weight " + std::to_string(1 + pick(3));
      if (other != target && pick(2)) {
        listed.insert(other);
        routes += " and " + other + " weight " + std::to_string(pick(3));
      }
      routes += " # asked by Tiina\n";
    }
    ApplyRouting command{"routing-" + std::to_string(Version), Version, "",
                         "document", 0};
    for (const char *it : ServiceNames)
      if (listed.contains(it) || pick(4) == 0)
        command.Lines +=
            std::string("service ") + it + " slots 2 # asked by Tiina\n";
    command.Lines += routes;
    commit(command);
    const auto result = leader().findResult(command.OperationId);
    ASSERT_NE(result.value().Outcome, ApplyResult::Code::Invalid)
        << result->Text;
  }

  std::mt19937_64 Random;
  std::vector<LogCommand> Log;
  std::unique_ptr<ControlState> Members[MemberCount];
  std::size_t Leader = 0;
  std::unique_ptr<AnnouncementTracker> Tracker = makeAnnouncementTracker({});
  std::vector<Agent> Agents;
  Node Nodes[NodeCount];
  /// Indices of the agents whose upstreams may hold a flow of a route.
  std::map<Endpoint, std::set<std::size_t>> Holders;
  /// The last revision at which a configuration dropped the route.
  Revision AbsentAt[RouteCount];
  std::uint64_t Version = 0;
  TimePoint Now{};
  std::string Event;
  std::size_t CheckedHolders = 0;
};

// Guards against resets of all open flows of a service that a configuration has
// dropped, after all control members have stopped for a while: the leader's
// timer ran before it read announcements and removed the upstreams, and the
// service went with them.
TEST(PausedControlTest, KeepsServiceWhoseAgentsReportAfterwards) {
  ControlStateHarness harness;
  harness.apply("datacentre ee-north-a # asked by Tiina\n");
  const std::string beta = "service beta slots 2 # asked by Tiina\n";
  const std::string route = "route r address 10.30.0.1:500 to ";
  const std::string end = " weight 1 # asked by Tiina\n";
  harness.commit(ApplyRouting{
      "routing-1", 1,
      beta + "service alpha slots 2 # asked by Tiina\n" + route + "alpha" + end,
      "document", 0});
  const AnnouncementOptions options;
  const auto tracker = makeAnnouncementTracker(options);
  TimePoint now{};
  std::vector<LogCommand> proposals;
  const auto commitProposals = [&] {
    for (const LogCommand &it : std::exchange(proposals, {}))
      harness.commit(it);
  };
  Announce announce;
  announce.Service = "alpha";
  announce.DataCentre = "ee-north-a";
  announce.Address = upstreamAddress(1);
  announce.ProcessIncarnation = Incarnation{1};
  announce.Slots = 2;
  const auto report = [&] {
    const AnnounceReply reply =
        tracker->onAnnounce(announce, *harness.State, now, proposals);
    commitProposals();
    return reply.Result;
  };
  report();
  ASSERT_EQ(report(), AnnounceResult::Accepted);
  tracker->tick(*harness.State, now, proposals);
  harness.commit(
      ApplyRouting{"routing-2", 2, beta + route + "beta" + end, "document", 0});

  now += options.RemoveAfter;
  tracker->tick(*harness.State, now, proposals);
  commitProposals();
  EXPECT_EQ(report(), AnnounceResult::Accepted);
  const auto upstream = harness.State->findUpstream(announce.Address);
  ASSERT_TRUE(upstream);
  EXPECT_EQ(upstream->Record.State, UpstreamState::Active);
}

class SearchCandidatesTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against resets of open flows whose holder a search does not ask: a
// node with a current table must have each agent that reports, and whose
// upstream may hold a flow of an existing route, among the members of the
// route's present or former services.
TEST_P(SearchCandidatesTest, IncludeEachAgentThatMayHoldAFlow) {
  Installation site(GetParam());
  for (int second = 0; second < 400; ++second) {
    site.advance();
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_EQ(site.missingHolders(), std::vector<std::string>{})
        << "in step " << second + 1 << " after: " << site.event();
    ASSERT_EQ(site.differingNodes(), std::vector<std::string>{})
        << "in step " << second + 1 << " after: " << site.event();
  }
  EXPECT_GT(site.checkedHolders(), 1000U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SearchCandidatesTest,
                         testing::Range<std::uint64_t>(1, 61));

} // namespace
} // namespace pistachio
