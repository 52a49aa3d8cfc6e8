#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <tuple>

namespace pistachio {
namespace {

/// A search ends after this many agents. Packets carry the count in 8 bits.
constexpr std::uint8_t MaxAttempts = 250;

/// Average load of one open flow, in requests. Long-lived flows are idle most
/// of the time.
constexpr double LoadPerOpenFlow = 0.05;

/// Added to the load per slot of upstreams in other data centres: such an
/// upstream is chosen only if its load is lower by more than this share of its
/// slots.
constexpr double RemoteLoadPenalty = 0.2;

/// A search queries this many agents one at a time, which finds the holder with
/// few packets in small services. It then queries ParallelQueries agents at a
/// time, so that a search through a service of 50 upstreams takes 12 round
/// trips instead of 50.
constexpr std::size_t MaxSequentialQueries = 6;
constexpr std::size_t ParallelQueries = 8;

/// A sequence number that is further ahead of the first one of a flow than this
/// belongs to another connection with the same endpoints: two upstreams that
/// both accepted the first packet use different initial sequence numbers.
constexpr std::uint32_t SequenceWindowBytes = 16U * 1024 * 1024;

/// Bucket of the flow for rendezvousWeight(), computed as in the rankings of
/// Service.
std::uint16_t bucketOf(const FlowEndpoints &flow) {
  return static_cast<std::uint16_t>(hashFlowEndpoints(flow) >> 52);
}

/// Load and availability of an agent, as known to this balancer.
struct AgentStatus {
  UpstreamLoad Load;
  /// Flows placed on the agent since it last reported its load.
  std::uint32_t PlacedSinceReport = 0;
  /// The agent declined a flow and is offered no new flow before this time.
  TimePoint AvoidUntil{};
  TimePoint SilentUntil{};
};

struct Holder {
  Endpoint Agent;
  std::uint32_t FirstSequence = 0;
};

struct FlowEntry {
  /// The agent that gets the packets of the flow. It is unconfirmed until it
  /// answers the first packet or the query.
  Holder Current;
  /// Another agent whose upstream accepted a copy of the first packet.
  Holder Alternate;
  ServiceNameHash Service;
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  bool Confirmed = false;
  bool Searching = false;
  /// Agents already queried by this search. The candidates are reordered while
  /// the search runs, so an index into them would skip some.
  std::vector<Endpoint> Queried;
  /// Agents of the current round that have not answered yet.
  std::vector<Endpoint> AwaitingAnswer;
  /// The current round queries more than one agent.
  bool IsParallel = false;
  /// At least one agent of this search did not answer in time.
  bool HasUnresponsive = false;
  std::uint8_t Attempt = 0;
  TimePoint ForwardedAt{};
  TimePoint LastPacketAt{};
  /// When the first packet arrived whose placement or search is not confirmed
  /// yet.
  std::optional<TimePoint> ResolvingSince;
  /// When the first packet of the flow was first deferred.
  std::optional<TimePoint> DeferredSince;
};

struct SearchCandidate {
  const ServiceMember *Member = nullptr;
  ServiceNameHash Service;
};

class FlowRouterImpl final : public FlowRouter {
public:
  explicit FlowRouterImpl(FlowRouterOptions options)
      : Options(std::move(options)) {}

  RelayDecision onCallerPacket(const FlowPacket &packet,
                               const ServiceTable &table,
                               TimePoint now) override;
  RelayDecision onReturnedPacket(const FlowPacket &packet,
                                 const ReturnedPacket &message,
                                 const Endpoint &agent,
                                 const ServiceTable &table,
                                 TimePoint now) override;
  std::optional<HolderConfirmation> onFlowHeld(const FlowHeld &message,
                                               const Endpoint &agent,
                                               TimePoint now) override;
  void tick(TimePoint now) override;
  std::size_t flowCount() const override { return Flows.size(); }

private:
  RelayDecision routeFirstPacket(const FlowEndpoints &flow,
                                 const RouteRecord &route,
                                 const ServiceTable &table, TimePoint now);
  RelayDecision placeFlow(FlowEntry &entry, const FlowEndpoints &flow,
                          const RouteRecord &route, const ServiceTable &table,
                          TimePoint now);
  RelayDecision deferFirstPacket(FlowEntry &entry, const FlowEndpoints &flow,
                                 const Service &service, TimePoint now);
  RelayDecision search(FlowEntry &entry, const FlowEndpoints &flow,
                       const RouteRecord &route, const ServiceTable &table,
                       TimePoint now);
  std::vector<SearchCandidate> candidates(const FlowEndpoints &flow,
                                          const RouteRecord &route,
                                          const ServiceTable &table,
                                          TimePoint now) const;
  static const RouteShare *chooseShare(const FlowEndpoints &flow,
                                       const RouteRecord &route);
  double loadOf(const ServiceMember &member,
                DataCentreId localDataCentre) const;
  bool isEligible(const ServiceMember &member, TimePoint now) const;
  FlowEntry &findOrInsert(const FlowEndpoints &flow, TimePoint now);
  /// Stores the load reported by an agent and marks the agent as responsive.
  AgentStatus &recordAnswer(const Endpoint &agent, const UpstreamLoad &load);
  void recordTimeout(const Endpoint &agent, TimePoint now);
  static RelayDecision forwardDecision(const FlowEntry &entry,
                                       RelayReason reason);
  /// Sends the packet to all agents of the current round that have not
  /// answered.
  static RelayDecision queryDecision(const FlowEntry &entry);
  /// Forwards to the current holder a packet that \p visitedAgents agents have
  /// returned.
  static RelayDecision forwardToHolder(const FlowEntry &entry,
                                       std::uint8_t visitedAgents);
  RelayDecision removeFlow(const FlowEndpoints &flow, RelayAction action,
                           RelayReason reason);

  FlowRouterOptions Options;
  absl::flat_hash_map<FlowEndpoints, FlowEntry, std::hash<FlowEndpoints>> Flows;
  absl::flat_hash_map<Endpoint, AgentStatus, std::hash<Endpoint>> Agents;
  TimePoint LastSweep{};
};

RelayDecision FlowRouterImpl::forwardDecision(const FlowEntry &entry,
                                              RelayReason reason) {
  return {.Action = RelayAction::Forward,
          .Reason = reason,
          .Agent = entry.Current.Agent,
          .Service = entry.Service,
          .Attempt = entry.Attempt,
          .NeedsConfirmation = !entry.Confirmed,
          .ColdMilliflowsPerSecond = entry.ColdMilliflowsPerSecond};
}

RelayDecision FlowRouterImpl::queryDecision(const FlowEntry &entry) {
  RelayDecision decision = forwardDecision(entry, RelayReason::Search);
  decision.Agent = entry.AwaitingAnswer.front();
  decision.OtherAgents.assign(entry.AwaitingAnswer.begin() + 1,
                              entry.AwaitingAnswer.end());
  return decision;
}

RelayDecision FlowRouterImpl::forwardToHolder(const FlowEntry &entry,
                                              std::uint8_t visitedAgents) {
  RelayDecision decision = forwardDecision(entry, RelayReason::Held);
  decision.Attempt = visitedAgents;
  return decision;
}

AgentStatus &FlowRouterImpl::recordAnswer(const Endpoint &agent,
                                          const UpstreamLoad &load) {
  AgentStatus &status = Agents[agent];
  status.SilentUntil = {};
  status.Load = load;
  status.PlacedSinceReport = 0;
  return status;
}

void FlowRouterImpl::recordTimeout(const Endpoint &agent, TimePoint now) {
  Agents[agent].SilentUntil = now + Options.UnresponsivePenalty;
}

RelayDecision FlowRouterImpl::removeFlow(const FlowEndpoints &flow,
                                         RelayAction action,
                                         RelayReason reason) {
  Flows.erase(flow);
  return {.Action = action, .Reason = reason};
}

FlowEntry &FlowRouterImpl::findOrInsert(const FlowEndpoints &flow,
                                        TimePoint now) {
  const auto it = Flows.find(flow);
  if (it != Flows.end())
    return it->second;
  if (Flows.size() >= Options.MaxFlows) {
    // A search can find any holder again, so evicting an arbitrary flow costs
    // extra hops only. Finding the flow that has been idle for longest would
    // cost more.
    Flows.erase(Flows.begin());
  }
  FlowEntry &entry = Flows[flow];
  entry.LastPacketAt = now;
  return entry;
}

RelayDecision FlowRouterImpl::onCallerPacket(const FlowPacket &packet,
                                             const ServiceTable &table,
                                             TimePoint now) {
  const FlowEndpoints flow{packet.Source, packet.Destination};
  if (table.routeCount() == 0)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::NoTable};
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return removeFlow(flow,
                      packet.Resets ? RelayAction::Drop : RelayAction::Reset,
                      RelayReason::NoRoute);
  if (packet.Opens)
    return routeFirstPacket(flow, *route, table, now);
  FlowEntry &entry = findOrInsert(flow, now);
  entry.LastPacketAt = now;
  if (entry.Current.Agent.Port != 0 && !entry.Searching) {
    // Two upstreams may have accepted copies of the first packet. The
    // acknowledgement shows which one's sequence numbers the caller uses.
    const auto distance = [&](const Holder &it) {
      return packet.Acknowledgement - it.FirstSequence;
    };
    if (packet.Acknowledges && entry.Alternate.Agent.Port != 0 &&
        entry.Alternate.FirstSequence != 0 &&
        distance(entry.Alternate) <= SequenceWindowBytes &&
        distance(entry.Current) > SequenceWindowBytes)
      std::swap(entry.Current, entry.Alternate);
    return forwardDecision(entry, RelayReason::Held);
  }
  return search(entry, flow, *route, table, now);
}

RelayDecision FlowRouterImpl::routeFirstPacket(const FlowEndpoints &flow,
                                               const RouteRecord &route,
                                               const ServiceTable &table,
                                               TimePoint now) {
  FlowEntry &entry = findOrInsert(flow, now);
  entry.LastPacketAt = now;
  if (!entry.Confirmed && !entry.ResolvingSince)
    entry.ResolvingSince = now;
  if (entry.Current.Agent.Port != 0) {
    if (entry.Confirmed || now - entry.ForwardedAt < Options.AnswerTimeout)
      return forwardDecision(entry, RelayReason::Held);
    recordTimeout(entry.Current.Agent, now);
  }
  entry.Attempt = 0;
  return placeFlow(entry, flow, route, table, now);
}

const RouteShare *FlowRouterImpl::chooseShare(const FlowEndpoints &flow,
                                              const RouteRecord &route) {
  std::uint64_t total = 0;
  for (const RouteShare &it : route.Shares)
    total += it.Weight;
  if (total == 0)
    return nullptr;
  std::uint64_t at = mix64(hashFlowEndpoints(flow) + 1) % total;
  for (const RouteShare &it : route.Shares) {
    if (at < it.Weight)
      return &it;
    at -= it.Weight;
  }
  return nullptr;
}

bool FlowRouterImpl::isEligible(const ServiceMember &member,
                                TimePoint now) const {
  if (member.State != CandidateState::Accepting)
    return false;
  const auto it = Agents.find(member.Address);
  return it == Agents.end() ||
         (now >= it->second.AvoidUntil && now >= it->second.SilentUntil);
}

double FlowRouterImpl::loadOf(const ServiceMember &member,
                              DataCentreId localDataCentre) const {
  const double remote =
      member.DataCentre == localDataCentre ? 0 : RemoteLoadPenalty;
  const auto it = Agents.find(member.Address);
  if (it == Agents.end())
    return remote;
  const AgentStatus &status = it->second;
  const double work = status.Load.BusyFlows +
                      status.PlacedSinceReport * (LoadPerOpenFlow + 0.5) +
                      status.Load.Flows * LoadPerOpenFlow;
  return remote + work / std::max<double>(status.Load.Slots, 1);
}

RelayDecision FlowRouterImpl::placeFlow(FlowEntry &entry,
                                        const FlowEndpoints &flow,
                                        const RouteRecord &route,
                                        const ServiceTable &table,
                                        TimePoint now) {
  const RouteShare *share = chooseShare(flow, route);
  const Service *service =
      share == nullptr ? nullptr : table.find(share->Service);
  if (service == nullptr)
    return removeFlow(flow, RelayAction::Reset, RelayReason::NoUpstream);
  const DataCentreId localDataCentre = table.findDataCentre(Options.DataCentre);
  const auto bucket = bucketOf(flow);
  // Choose the least loaded upstream. Ties are broken by rank in the flow's
  // bucket, so that balancers with the same load data spread their flows.
  const ServiceMember *best = nullptr;
  std::pair<double, std::uint64_t> bestKey;
  for (const ServiceMember &it : service->members()) {
    if (!isEligible(it, now))
      continue;
    const std::pair<double, std::uint64_t> key{loadOf(it, localDataCentre),
                                               rendezvousWeight(bucket, it.Id)};
    if (best == nullptr || key < bestKey) {
      best = &it;
      bestKey = key;
    }
  }
  if (best == nullptr)
    return deferFirstPacket(entry, flow, *service, now);
  if (entry.Current.Agent != best->Address && entry.Current.FirstSequence != 0)
    entry.Alternate = entry.Current;
  entry.Current = {best->Address, 0};
  entry.Service = hashServiceName(service->name());
  entry.ColdMilliflowsPerSecond = share->ColdMilliflowsPerSecond;
  entry.Confirmed = false;
  entry.Searching = false;
  entry.Queried.clear();
  entry.AwaitingAnswer.clear();
  entry.ForwardedAt = now;
  ++Agents[best->Address].PlacedSinceReport;
  return forwardDecision(entry, RelayReason::Placed);
}

/// Defers the first packet if an upstream should accept it soon, and resets the
/// flow otherwise.
RelayDecision FlowRouterImpl::deferFirstPacket(FlowEntry &entry,
                                               const FlowEndpoints &flow,
                                               const Service &service,
                                               TimePoint now) {
  entry.Current = {};
  if (!entry.DeferredSince)
    entry.DeferredSince = now;
  const TimePoint end = *entry.DeferredSince + Options.MaxDeferral;
  const bool isFreeInTime =
      std::ranges::any_of(service.members(), [&](const ServiceMember &it) {
        const auto status = Agents.find(it.Address);
        return it.State == CandidateState::Accepting &&
               status != Agents.end() &&
               std::max(status->second.AvoidUntil, status->second.SilentUntil) <
                   end;
      });
  if (!isFreeInTime || now >= end)
    return removeFlow(flow, RelayAction::Reset, RelayReason::NoUpstream);
  return {.Action = RelayAction::Defer, .Reason = RelayReason::Busy};
}

std::vector<SearchCandidate>
FlowRouterImpl::candidates(const FlowEndpoints &flow, const RouteRecord &route,
                           const ServiceTable &table, TimePoint now) const {
  const DataCentreId localDataCentre = table.findDataCentre(Options.DataCentre);
  const auto bucket = bucketOf(flow);
  std::vector<SearchCandidate> all;
  std::vector<ServiceId> services;
  for (const RouteShare &it : route.Shares)
    services.push_back(it.Service);
  services.insert(services.end(), route.FormerServices.begin(),
                  route.FormerServices.end());
  const auto isSilent = [&](const ServiceMember &it) {
    const auto status = Agents.find(it.Address);
    return it.State == CandidateState::Suspect ||
           (status != Agents.end() && now < status->second.SilentUntil);
  };
  for (const ServiceId id : services) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    const ServiceNameHash nameHash = hashServiceName(service->name());
    const std::size_t begin = all.size();
    for (const ServiceMember &it : service->members())
      all.push_back({&it, nameHash});
    for (const ServiceMember &it : table.withdrawnMembers(id))
      all.push_back({&it, nameHash});
    std::sort(all.begin() + static_cast<std::ptrdiff_t>(begin), all.end(),
              [&](const SearchCandidate &a, const SearchCandidate &b) {
                const auto key = [&](const ServiceMember &it) {
                  return std::tuple(it.DataCentre != localDataCentre,
                                    rendezvousWeight(bucket, it.Id));
                };
                return key(*a.Member) < key(*b.Member);
              });
  }
  std::stable_partition(all.begin(), all.end(), [&](const SearchCandidate &it) {
    return !isSilent(*it.Member);
  });
  return all;
}

RelayDecision FlowRouterImpl::search(FlowEntry &entry,
                                     const FlowEndpoints &flow,
                                     const RouteRecord &route,
                                     const ServiceTable &table, TimePoint now) {
  if (!entry.Searching) {
    entry.Searching = true;
    entry.ResolvingSince = now;
    entry.HasUnresponsive = false;
    entry.Queried.clear();
    entry.AwaitingAnswer.clear();
    entry.Current = {};
  } else if (!entry.AwaitingAnswer.empty()) {
    if (now - entry.ForwardedAt < Options.AnswerTimeout)
      return queryDecision(entry);
    for (const Endpoint &it : entry.AwaitingAnswer)
      recordTimeout(it, now);
    entry.HasUnresponsive = true;
    entry.AwaitingAnswer.clear();
  }
  const std::vector<SearchCandidate> all = candidates(flow, route, table, now);
  const auto isNotQueried = [&](const SearchCandidate &it) {
    return std::ranges::count(entry.Queried, it.Member->Address) == 0;
  };
  const auto next = std::ranges::find_if(all, isNotQueried);
  if (next == all.end() || entry.Queried.size() >= MaxAttempts) {
    return entry.HasUnresponsive
               ? removeFlow(flow, RelayAction::Drop, RelayReason::Unanswered)
               : removeFlow(flow, RelayAction::Reset, RelayReason::Unknown);
  }
  entry.Attempt = static_cast<std::uint8_t>(entry.Queried.size());
  entry.Current = {next->Member->Address, 0};
  entry.Service = next->Service;
  entry.Confirmed = false;
  entry.ForwardedAt = now;
  const std::size_t breadth =
      entry.Queried.size() < MaxSequentialQueries ? 1 : ParallelQueries;
  for (auto it = next; it != all.end() && entry.AwaitingAnswer.size() < breadth;
       ++it) {
    if (it->Service == entry.Service && isNotQueried(*it)) {
      entry.AwaitingAnswer.push_back(it->Member->Address);
      entry.Queried.push_back(it->Member->Address);
    }
  }
  entry.IsParallel = entry.AwaitingAnswer.size() > 1;
  return queryDecision(entry);
}

RelayDecision FlowRouterImpl::onReturnedPacket(const FlowPacket &packet,
                                               const ReturnedPacket &message,
                                               const Endpoint &agent,
                                               const ServiceTable &table,
                                               TimePoint now) {
  const FlowEndpoints flow{packet.Source, packet.Destination};
  AgentStatus &status = recordAnswer(agent, message.Load);
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return removeFlow(flow, RelayAction::Drop, RelayReason::NoRoute);
  if (message.Attempt >= MaxAttempts)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unknown};
  FlowEntry &entry = findOrInsert(flow, now);
  const auto visitedAgents = static_cast<std::uint8_t>(message.Attempt + 1);
  const bool wasAsked = std::erase(entry.AwaitingAnswer, agent) > 0;
  if (entry.IsParallel && (entry.Searching || wasAsked)) {
    // The other agents of the round were sent the same packet, and one of them
    // may hold the flow.
    if (!entry.Searching || !entry.AwaitingAnswer.empty())
      return {.Action = RelayAction::Drop, .Reason = RelayReason::Search};
  } else if (entry.Current.Agent.Port != 0 && entry.Current.Agent != agent) {
    // The flow has been placed or found on another agent in the meantime.
    return forwardToHolder(entry, visitedAgents);
  }
  if (packet.Opens) {
    status.AvoidUntil = now + Duration(message.RetryAfterMs);
    entry.Attempt = visitedAgents;
    entry.Current = {};
    return placeFlow(entry, flow, *route, table, now);
  }
  if (entry.Alternate.Agent.Port != 0 && !entry.Searching) {
    entry.Current = std::exchange(entry.Alternate, {});
    return forwardToHolder(entry, visitedAgents);
  }
  // This agent does not hold the flow; query the next one.
  entry.Current = {};
  RelayDecision decision = search(entry, flow, *route, table, now);
  // A reset is sent only to a caller that waits for an answer, not in reply to
  // its own reset.
  if (decision.Action == RelayAction::Reset && packet.Resets)
    return {.Action = RelayAction::Drop, .Reason = decision.Reason};
  return decision;
}

std::optional<HolderConfirmation>
FlowRouterImpl::onFlowHeld(const FlowHeld &message, const Endpoint &agent,
                           TimePoint now) {
  recordAnswer(agent, message.Load);
  FlowEntry &entry = findOrInsert({message.Caller, message.Service}, now);
  std::erase(entry.AwaitingAnswer, agent);
  const Holder holder{agent, message.FirstSequence};
  if (entry.Confirmed && entry.Current.Agent != agent) {
    entry.Alternate = holder;
    return std::nullopt;
  }
  std::optional<HolderConfirmation> found;
  if (entry.ResolvingSince)
    found = {entry.Searching, now - *entry.ResolvingSince};
  entry.ResolvingSince.reset();
  entry.Current = holder;
  entry.DeferredSince.reset();
  entry.Confirmed = true;
  entry.Searching = false;
  entry.Queried.clear();
  entry.Attempt = 0;
  return found;
}

void FlowRouterImpl::tick(TimePoint now) {
  constexpr Duration SweepInterval{5000};
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  absl::erase_if(Flows, [&](const auto &it) {
    return now - it.second.LastPacketAt >= Options.FlowIdleTimeout;
  });
}

} // namespace

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options) {
  return std::make_unique<FlowRouterImpl>(std::move(options));
}

std::uint64_t hashFlowEndpoints(const FlowEndpoints &flow) {
  const auto pack = [](const Endpoint &it) {
    return (std::uint64_t{it.Address} << 16) | it.Port;
  };
  return mix64(mix64(pack(flow.Caller) + 0x9E3779B97F4A7C15ULL) ^
               pack(flow.Service));
}

ServiceNameHash hashServiceName(std::string_view name) {
  return {checksum32(std::as_bytes(std::span(name)))};
}

std::string toString(const FlowEndpoints &flow) {
  return concat(toString(flow.Caller), ">", toString(flow.Service));
}

std::string_view nameOf(RelayReason reason) {
  switch (reason) {
  case RelayReason::Held:
    return "held";
  case RelayReason::Placed:
    return "placed";
  case RelayReason::Search:
    return "search";
  case RelayReason::NoRoute:
    return "no-route";
  case RelayReason::NoTable:
    return "no-table";
  case RelayReason::NoUpstream:
    return "no-upstream";
  case RelayReason::Busy:
    return "busy";
  case RelayReason::Unknown:
    return "unknown-flow";
  case RelayReason::Unanswered:
    return "unanswered";
  }
  return "other";
}

} // namespace pistachio
