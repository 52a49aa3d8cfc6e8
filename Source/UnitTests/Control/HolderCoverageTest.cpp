#include "ControlStateHarness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace pistachio {
namespace {

constexpr Duration AnnounceInterval{1000};
constexpr std::size_t AgentCount = 6;
constexpr const char *ServiceNames[] = {"alpha", "beta", "gamma"};
const Endpoint RouteAddress{(10 << 24) | (30 << 16) | 1, 500};

/// Agents that announce their upstreams to a control state, while
/// configurations move a route between services and leave services out.
class Installation {
public:
  explicit Installation(std::uint64_t seed) : Random(seed) {
    for (std::size_t i = 0; i < AgentCount; ++i)
      Agents.push_back({upstreamAddress(static_cast<std::uint16_t>(i)),
                        ServiceNames[i % std::size(ServiceNames)]});
    applyRouting();
  }

  void advance() {
    Now += AnnounceInterval;
    std::vector<LogCommand> proposals;
    for (Agent &it : Agents)
      if (Now >= it.SilentUntil)
        announce(it, proposals);
    Tracker->tick(*Harness.State, Now, proposals);
    for (const LogCommand &it : proposals)
      Harness.commit(it);
    openFlow();
    switch (pick(12)) {
    case 0:
    case 1:
      return applyRouting();
    case 2:
      // Shorter and longer than the time after which control removes an
      // upstream.
      Agents[pick(AgentCount)].SilentUntil =
          Now + Duration(static_cast<int>(1000 + pick(40'000)));
      return;
    case 3:
      ++Agents[pick(AgentCount)].ProcessIncarnation;
      return;
    case 4:
      Tracker = makeAnnouncementTracker({});
      return Tracker->onLeadershipGained(*Harness.State, Now);
    case 5: {
      const Bytes snapshot = Harness.State->save();
      Harness.State = makeControlState();
      ASSERT_TRUE(Harness.State->load(snapshot).ok());
      return;
    }
    default:
      return;
    }
  }

  /// Returns the addresses of agents that have announced themselves twice in a
  /// row and hold a flow, but are not among those that a search would ask.
  std::vector<std::string> missingHolders() const {
    const NodeTable table = Harness.makeUpToDateNode();
    const auto route = table.Routes.find(RouteAddress);
    std::vector<std::string> missing;
    for (const Agent &it : Agents) {
      if (!it.HoldsFlow || Now - it.SilentUntil < 2 * AnnounceInterval)
        continue;
      const UpstreamRecord *upstream = table.find(it.Address);
      const bool isSearched =
          upstream != nullptr && route != table.Routes.end() &&
          (std::ranges::count(route->second.Shares, upstream->Service,
                              &RouteShare::Service) > 0 ||
           std::ranges::count(route->second.FormerServices, upstream->Service) >
               0);
      if (!isSearched)
        missing.push_back(it.Service + " at " + toString(it.Address));
    }
    return missing;
  }

private:
  struct Agent {
    Endpoint Address;
    std::string Service;
    std::uint64_t ProcessIncarnation = 1;
    TimePoint SilentUntil{};
    bool HoldsFlow = false;
  };

  std::size_t pick(std::size_t n) { return Random() % n; }

  void announce(Agent &agent, std::vector<LogCommand> &proposals) {
    Announce message;
    message.Service = agent.Service;
    message.DataCentre = "ee-north-a";
    message.Address = agent.Address;
    message.ProcessIncarnation = Incarnation{agent.ProcessIncarnation};
    message.Slots = 2;
    Tracker->onAnnounce(message, *Harness.State, Now, proposals);
  }

  /// Opens a flow at an upstream of the service that gets new ones.
  void openFlow() {
    for (Agent &it : Agents)
      if (it.Service == Target && Now >= it.SilentUntil &&
          Harness.State->findUpstream(it.Address))
        it.HoldsFlow = true;
  }

  void applyRouting() {
    Target = ServiceNames[pick(std::size(ServiceNames))];
    ++Version;
    ApplyRouting command{"routing-" + std::to_string(Version), Version, "",
                         "document", 0};
    for (const char *it : ServiceNames)
      if (it == Target || pick(2) == 0)
        command.Lines +=
            std::string("service ") + it + " slots 2 # asked by Tiina\n";
    command.Lines += "route r address 10.30.0.1:500 to " + Target +
                     " weight 1 # asked by Tiina\n";
    if (Version == 1)
      Harness.apply("datacentre ee-north-a # asked by Tiina\n");
    Harness.commit(command);
  }

  std::mt19937_64 Random;
  ControlStateHarness Harness;
  std::unique_ptr<AnnouncementTracker> Tracker = makeAnnouncementTracker({});
  std::vector<Agent> Agents;
  std::string Target;
  std::uint64_t Version = 0;
  TimePoint Now{};
};

class HolderCoverageTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against resets of open flows after a configuration has dropped the
// service that holds them: the table must name each agent that reports and
// whose upstream may hold a flow of the route. The service was forgotten for
// good once its agents had been silent for 15 s, for example behind a cut.
TEST_P(HolderCoverageTest, TableNamesEachAgentThatMayHoldAFlow) {
  Installation site(GetParam());
  for (int second = 0; second < 400; ++second) {
    site.advance();
    ASSERT_EQ(site.missingHolders(), std::vector<std::string>{})
        << "after " << second + 1 << " s";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, HolderCoverageTest,
                         testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace pistachio
