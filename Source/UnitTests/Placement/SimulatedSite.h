#pragma once

#include "Placement/Placement.h"
#include "Routing/Routing.h"

#include <functional>
#include <map>
#include <ostream>
#include <queue>
#include <random>
#include <set>

namespace pistachio {

/// What the network does to datagrams. Delays differ for each datagram, so a
/// wide range reorders them.
struct NetworkConditions {
  const char *Name = "";
  unsigned LossPermille = 0;
  unsigned RepeatPermille = 0;
  unsigned MinDelayMs = 1;
  unsigned MaxDelayMs = 1;
};

/// Mechanisms that control cases turn off.
struct SiteOptions {
  NetworkConditions Net;
  bool UsesToken = true;
  bool HasRanking = true;
  bool HasProbes = true;
  bool HasLease = true;
  /// Time between two packets of an open flow. A caller without an answer to
  /// its first packet repeats it once a second.
  Duration KeepAliveInterval{1000};
};

/// Counts since the last clearTraffic().
struct SiteTraffic {
  /// Caller packets that a balancer forwarded.
  std::uint64_t ForwardedPackets = 0;
  /// Forwarded packets that reached an agent.
  std::uint64_t AgentArrivals = 0;
  /// Packets that reached a second agent.
  std::uint64_t SecondHops = 0;
  /// Longest time from the removal of a data centre to the arrival of a packet
  /// at one of its agents.
  Duration LastArrivalAfterRemoval{0};
};

/// Flows of one service by what became of them.
struct SiteFlows {
  /// Flows that callers have tried to open.
  int Attempted = 0;
  /// Flows that an agent has accepted.
  int Opened = 0;
  int Reset = 0;
  /// Reset or without an answer.
  int Broken = 0;
  /// Flows of agents whose data centre was taken out while they were open.
  int InRemovedDataCentre = 0;
  /// Broken flows that did not have to break.
  int AvoidablyBroken = 0;
};

/// Counts of what must never happen, kept outside the code under test.
struct InvariantViolations {
  int Broken = 0;
  int Silent = 0;
  int DuplicateSessions = 0;
  int WrongService = 0;
  int ToRemovedDataCentre = 0;
  friend bool operator==(const InvariantViolations &,
                         const InvariantViolations &) = default;
  friend std::ostream &operator<<(std::ostream &out,
                                  const InvariantViolations &it) {
    return out << "broken " << it.Broken << ", silent " << it.Silent
               << ", double sessions " << it.DuplicateSessions
               << ", wrong service " << it.WrongService
               << ", to a removed data centre " << it.ToRemovedDataCentre;
  }
};

/// Agents, balancers, callers and a stand-in for control in one process, with
/// simulated time and datagrams in memory.
class SimulatedSite {
public:
  SimulatedSite(SiteOptions options, std::uint64_t seed);

  std::size_t addBalancer(Duration tableLag);
  std::size_t join(std::uint32_t service, std::uint16_t dataCentre,
                   std::optional<Endpoint> address = {});
  void openFlows(std::uint32_t service, int count);
  /// Ends each open flow of the service with that probability.
  void closeFlows(std::uint32_t service, unsigned permille);
  void run(Duration time);

  void drain(std::size_t agent, bool isDraining);
  /// Ends the process; control notices after 3 s and removes it after 15 s.
  void killAgent(std::size_t agent) { Agents[agent].IsAlive = false; }
  /// The fabric turns away from a dead balancer after one second.
  void killBalancer(std::size_t balancer);
  void removeUpstream(std::size_t agent);
  void setDataCentreOut(std::uint16_t dataCentre, bool isOut);
  /// Cuts a balancer off from control, and from its peers unless \p hasPeers.
  void setBalancerPartitioned(std::size_t balancer, bool isPartitioned,
                              bool hasPeers);
  void stopControl() { IsControlDown = true; }
  /// Loses the announcements of an agent that goes on working.
  void setAnnouncementsLost(std::size_t agent, bool areAnnouncementsLost) {
    Agents[agent].AreAnnouncementsLost = areAnnouncementsLost;
  }
  void setNetwork(const NetworkConditions &net) { Options.Net = net; }

  LeaseMode leaseMode(std::size_t balancer) const;
  std::size_t flowCountAt(std::size_t agent) const {
    return Agents[agent].Placement->flowCount();
  }
  PlacementCounters counters(std::size_t agent) const {
    return Agents[agent].Placement->counters();
  }
  Endpoint addressOf(std::size_t agent) const { return Agents[agent].Address; }
  void send(const Endpoint &to, DataMessage message);
  int opened() const { return Opened; }
  int resets() const { return Resets; }
  std::uint64_t hops() const { return Hops; }
  const SiteTraffic &traffic() const { return Traffic; }
  void clearTraffic() { Traffic = {}; }
  /// \p silence as for breaches().
  SiteFlows flowStatistics(std::uint32_t service, Duration silence) const;
  /// Flows at the busiest upstream of the service to the mean, over upstreams
  /// that accept new flows and whose data centre is not out.
  double maxToMeanFlowRatio(std::uint32_t service) const;

  /// A flow is silent if its caller had no answer for \p silence although the
  /// agent runs, or had no Reset although the agent does not.
  InvariantViolations violations(Duration silence = Duration(8000)) const;

private:
  struct Agent {
    std::unique_ptr<FlowPlacement> Placement;
    Endpoint Address;
    UpstreamRecord Record;
    bool IsAlive = true;
    bool AreAnnouncementsLost = false;
    TimePoint RenewedAt{};
  };
  struct Balancer {
    Endpoint Address;
    std::unique_ptr<TableFollower> Follower = std::make_unique<TableFollower>();
    NodeLease Lease{"", "", {}};
    Duration Lag{0};
    bool IsPartitioned = false;
    bool HasPeers = true;
    std::optional<TimePoint> DiedAt;
  };
  enum class FlowState : std::uint8_t {
    Opening,
    Open,
    Closing,
    Closed,
    Reset,
    Refused
  };
  struct Flow {
    std::uint32_t Service = 0;
    FlowState State = FlowState::Opening;
    UpstreamToken Holder;
    TimePoint OpenedAt{};
    TimePoint LastAnswerAt{};
    bool InRemovedDataCentre = false;
    std::set<std::size_t> Sessions;
  };
  struct Datagram {
    TimePoint DeliverAt;
    std::uint64_t Sequence = 0;
    Endpoint To;
    DataMessage Message;
    bool operator<(const Datagram &other) const {
      return std::tie(DeliverAt, Sequence) >
             std::tie(other.DeliverAt, other.Sequence);
    }
  };

  void publish(TableUpdate update);
  void stepControl();
  void stepCallers();
  void deliver(const Datagram &it);
  void processOutput(std::size_t agent, PlacementOutput output);
  void applyRouteDecision(const Balancer &from, const RouteDecision &decision,
                          CallerPacket packet);
  RouteDecision routeByModulo(const ServiceTable &table,
                              const PacketHead &head) const;
  bool holderHasSession(const Flow &flow) const;
  bool isHolderDataCentreOut(const Flow &flow) const;
  /// Whether the fabric still sends to this balancer.
  bool receivesTraffic(const Balancer &it) const;

  SiteOptions Options;
  std::mt19937_64 Random;
  TimePoint Now{Duration(1000000)};
  std::priority_queue<Datagram> InFlight;
  std::uint64_t DatagramsSent = 0;
  std::uint64_t Hops = 0;
  std::vector<Agent> Agents;
  std::vector<Balancer> Balancers;
  std::map<FlowKey, Flow> Flows;
  std::map<std::uint16_t, std::optional<TimePoint>> DataCentreOutSince;
  std::vector<std::pair<TimePoint, TableUpdate>> PublishedUpdates;
  bool IsControlDown = false;
  std::uint32_t NextUpstream = 1;
  int Opened = 0;
  int Resets = 0;
  InvariantViolations Violations;
  SiteTraffic Traffic;
};

} // namespace pistachio
