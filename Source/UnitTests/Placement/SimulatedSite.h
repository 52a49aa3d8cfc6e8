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

/// Options of the simulation. The Uses and Has options are mechanisms of the
/// system that the control tests disable.
struct SiteOptions {
  NetworkConditions Net;
  bool UsesToken = true;
  bool HasRanking = true;
  bool HasProbes = true;
  bool HasLease = true;
  /// Time between two packets of an open flow. A caller without a reply to
  /// its first packet repeats it once a second.
  Duration KeepAliveInterval{1000};
};

/// Traffic counters since the last call of clearTraffic().
struct SiteTraffic {
  /// Caller packets that a balancer forwarded.
  std::uint64_t ForwardedPackets = 0;
  /// Forwarded packets that reached an agent.
  std::uint64_t AgentArrivals = 0;
  /// Arrivals of packets that one other agent had forwarded before.
  std::uint64_t SecondHops = 0;
  /// Longest time from the removal of a data centre to the arrival of a packet
  /// at one of its agents.
  Duration LastArrivalAfterRemoval{0};
};

/// Numbers of flows of one service by outcome.
struct SiteFlows {
  /// Flows that callers have tried to open.
  int Attempted = 0;
  /// Flows that an agent has accepted.
  int Opened = 0;
  int Reset = 0;
  /// Flows that were reset or no longer get replies.
  int Broken = 0;
  /// Open flows whose agent's data centre was taken out of service. These flows
  /// cannot survive.
  int InRemovedDataCentre = 0;
  /// Broken flows that are not counted in InRemovedDataCentre.
  int AvoidablyBroken = 0;
};

/// Numbers of violations of the invariants of the system. The simulation counts
/// them independently of the code under test.
struct InvariantViolations {
  int Broken = 0;
  /// Open flows without a reply; see SimulatedSite::violations().
  int Silent = 0;
  /// Flows that more than one running agent holds.
  int DuplicateSessions = 0;
  /// Payloads delivered to an agent of another service.
  int WrongService = 0;
  /// Datagrams that arrived at a data centre later than permitted after its
  /// removal.
  int ToRemovedDataCentre = 0;
  friend bool operator==(const InvariantViolations &,
                         const InvariantViolations &) = default;
  friend std::ostream &operator<<(std::ostream &out,
                                  const InvariantViolations &it) {
    return out << "broken " << it.Broken << ", silent " << it.Silent
               << ", duplicate sessions " << it.DuplicateSessions
               << ", wrong service " << it.WrongService
               << ", to a removed data centre " << it.ToRemovedDataCentre;
  }
};

/// Simulates agents, balancers, callers and a replacement for control in one
/// process. Time is simulated, and datagrams are passed in memory.
class SimulatedSite {
public:
  SimulatedSite(SiteOptions options, std::uint64_t seed);

  /// Adds a balancer that receives each table update \p tableLag after it was
  /// published, and returns its index.
  std::size_t addBalancer(Duration tableLag);
  /// Adds an agent and returns its index. An agent at the same address is
  /// replaced.
  std::size_t join(std::uint32_t service, std::uint16_t dataCentre,
                   std::optional<Endpoint> address = {});
  /// Lets \p count new callers open a flow each, spread over the next second.
  void openFlows(std::uint32_t service, int count);
  /// Lets each open flow of the service be closed with the given probability.
  void closeFlows(std::uint32_t service, unsigned permille);
  void run(Duration time);

  void drain(std::size_t agent, bool isDraining);
  /// Ends the process of an agent. Control marks its upstream as suspect after
  /// 3 s and removes it after 15 s.
  void killAgent(std::size_t agent) { Agents[agent].IsAlive = false; }
  /// Ends the process of a balancer. The fabric stops sending to it after 1 s.
  void killBalancer(std::size_t balancer);
  void removeUpstream(std::size_t agent);
  void setDataCentreOut(std::uint16_t dataCentre, bool isOut);
  /// Separates a balancer from control, and also from its peers unless \p
  /// hasPeers is true.
  void setBalancerPartitioned(std::size_t balancer, bool isPartitioned,
                              bool hasPeers);
  /// Makes control unavailable to all agents and balancers.
  void stopControl() { IsControlDown = true; }
  /// Drops the announcements of an agent that otherwise keeps running.
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
  /// Counts the flows of a service. \p silence has the same meaning as for
  /// violations().
  SiteFlows flowStatistics(std::uint32_t service, Duration silence) const;
  /// Ratio of the flow count of the busiest upstream of the service to the
  /// mean. Only upstreams that accept new flows and whose data centre is in
  /// service are considered.
  double maxToMeanFlowRatio(std::uint32_t service) const;

  /// Returns the violations so far. An open flow counts as silent if its caller
  /// has received neither a reply nor a reset for \p silence.
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
    std::unique_ptr<TableReplica> Follower = std::make_unique<TableReplica>();
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
    TimePoint LastReplyAt{};
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
  /// Lets control process announcements, publish updates and grant leases.
  void stepControl();
  /// Lets callers send the packets that are due.
  void stepCallers();
  void deliver(const Datagram &it);
  void processOutput(std::size_t agent, PlacementOutput output);
  void applyRouteDecision(const Balancer &from, const RouteDecision &decision,
                          CallerPacket packet);
  /// Routes by the flow hash modulo the number of members, in place of the
  /// ranking.
  RouteDecision routeByModulo(const ServiceTable &table,
                              const RoutingHeader &head) const;
  /// Whether the agent that accepted the flow runs and still has its session.
  bool holderHasSession(const Flow &flow) const;
  bool isHolderDataCentreOut(const Flow &flow) const;
  /// Whether the fabric still sends packets to the balancer.
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
