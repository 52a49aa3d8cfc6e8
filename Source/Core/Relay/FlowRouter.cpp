#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <tuple>

namespace pistachio {
namespace {

/// An agent's search ends after this many; a packet carries the count.
constexpr std::uint8_t MaxAttempts = 250;

/// Load that one open flow adds on average, in requests: long flows are idle
/// for most of the time.
constexpr double LoadPerOpenFlow = 0.05;

/// Share of its slots by which an upstream of another data centre must be less
/// loaded to be chosen.
constexpr double RemoteLoadPenalty = 0.2;

/// The first agents of a search are asked one after the other: on small
/// services that finds the holder with few packets. After that as many as
/// ParallelQueries are asked at once; a search through a service of 50
/// upstreams takes 12 round trips instead of 50.
constexpr std::size_t MaxSequentialQueries = 6;
constexpr std::size_t ParallelQueries = 8;

/// Sequence numbers further away belong to another numbering of the flow.
constexpr std::uint32_t SequenceWindow = 16U * 1024 * 1024;

/// Bucket of the ranking, as Service has it.
std::uint16_t bucketOf(const FlowEndpoints &flow) {
  return static_cast<std::uint16_t>(hashFlowEndpoints(flow) >> 52);
}

/// What the balancer has learned of an agent.
struct AgentStatus {
  UpstreamLoad Load;
  /// Flows that were placed there since the last report of its load.
  std::uint32_t PlacedSinceReport = 0;
  /// No new flow is offered until then.
  TimePoint AvoidUntil{};
  TimePoint SilentUntil{};
};

struct Holder {
  Endpoint Agent;
  std::uint32_t FirstSequence = 0;
};

struct FlowEntry {
  /// Where packets go; not confirmed while a first packet or a question is on
  /// its way.
  Holder Current;
  /// Another upstream that accepted a copy of the first packet.
  Holder Alternate;
  ServiceTag Service;
  std::uint32_t ColdMilliPerSecond = NoColdBound;
  bool Confirmed = false;
  bool Searching = false;
  /// Agents that were asked in this search. The order of the candidates changes
  /// while it runs, so a position in it would pass some over.
  std::vector<Endpoint> Queried;
  /// Those of the last round that have not answered.
  std::vector<Endpoint> AwaitingAnswer;
  /// More than one agent was asked in the last round.
  bool IsParallel = false;
  /// One of them was passed over without an answer.
  bool HasUnresponsive = false;
  std::uint8_t Attempt = 0;
  TimePoint ForwardedAt{};
  TimePoint LastPacketAt{};
  /// First packet of the placement or search that is not confirmed yet.
  std::optional<TimePoint> ResolvingSince;
  /// The first packet has waited for an upstream since then.
  std::optional<TimePoint> DeferredSince;
};

struct SearchCandidate {
  const ServiceMember *Member = nullptr;
  ServiceTag Service;
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
  /// The agent has answered, with its load.
  AgentStatus &recordAnswer(const Endpoint &agent, const UpstreamLoad &load);
  void recordTimeout(const Endpoint &agent, TimePoint now);
  static RelayDecision forwardDecision(const FlowEntry &entry,
                                       RelayReason reason);
  /// To all agents of the present round of the search.
  static RelayDecision queryDecision(const FlowEntry &entry);
  /// To the holder, for a packet that has visited \p visits agents.
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
          .ColdMilliPerSecond = entry.ColdMilliPerSecond};
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
  AgentStatus &view = Agents[agent];
  view.SilentUntil = {};
  view.Load = load;
  view.PlacedSinceReport = 0;
  return view;
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
    // Any holder can be found again by a search, so forgetting costs hops only,
    // and looking for the longest idle flow would cost more.
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
    // Two upstreams may have accepted copies of the first packet. The caller
    // acknowledges the numbering of the one it has chosen.
    const auto distance = [&](const Holder &it) {
      return packet.Acknowledgement - it.FirstSequence;
    };
    if (packet.Acknowledges && entry.Alternate.Agent.Port != 0 &&
        entry.Alternate.FirstSequence != 0 &&
        distance(entry.Alternate) <= SequenceWindow &&
        distance(entry.Current) > SequenceWindow)
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
  const AgentStatus &view = it->second;
  const double work = view.Load.Busy +
                      view.PlacedSinceReport * (LoadPerOpenFlow + 0.5) +
                      view.Load.Flows * LoadPerOpenFlow;
  return remote + work / std::max<double>(view.Load.Slots, 1);
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
  // The least loaded of all is chosen; the ranking breaks ties, so that
  // balancers with the same view spread their flows.
  const ServiceMember *best = nullptr;
  std::pair<double, std::uint64_t> bestKey;
  for (const ServiceMember &it : service->members()) {
    if (!isEligible(it, now))
      continue;
    const std::pair<double, std::uint64_t> key{loadOf(it, localDataCentre),
                                               rankWeight(bucket, it.Id)};
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
  entry.Service = makeServiceTag(service->name());
  entry.ColdMilliPerSecond = share->ColdMilliPerSecond;
  entry.Confirmed = false;
  entry.Searching = false;
  entry.Queried.clear();
  entry.AwaitingAnswer.clear();
  entry.ForwardedAt = now;
  ++Agents[best->Address].PlacedSinceReport;
  return forwardDecision(entry, RelayReason::Placed);
}

/// A first packet for which no upstream is free now.
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
        const auto view = Agents.find(it.Address);
        return it.State == CandidateState::Accepting && view != Agents.end() &&
               std::max(view->second.AvoidUntil, view->second.SilentUntil) <
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
  services.insert(services.end(), route.Former.begin(), route.Former.end());
  const auto isSilent = [&](const ServiceMember &it) {
    const auto view = Agents.find(it.Address);
    return it.State == CandidateState::Suspect ||
           (view != Agents.end() && now < view->second.SilentUntil);
  };
  for (const ServiceId id : services) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    const ServiceTag tag = makeServiceTag(service->name());
    const std::size_t begin = all.size();
    for (const ServiceMember &it : service->members())
      all.push_back({&it, tag});
    for (const ServiceMember &it : table.withdrawnMembers(id))
      all.push_back({&it, tag});
    std::sort(all.begin() + static_cast<std::ptrdiff_t>(begin), all.end(),
              [&](const SearchCandidate &a, const SearchCandidate &b) {
                const auto key = [&](const ServiceMember &it) {
                  return std::tuple(it.DataCentre != localDataCentre,
                                    rankWeight(bucket, it.Id));
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
  AgentStatus &view = recordAnswer(agent, message.Load);
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return removeFlow(flow, RelayAction::Drop, RelayReason::NoRoute);
  if (message.Attempt >= MaxAttempts)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unknown};
  FlowEntry &entry = findOrInsert(flow, now);
  const auto visitedAgents = static_cast<std::uint8_t>(message.Attempt + 1);
  const bool wasAsked = std::erase(entry.AwaitingAnswer, agent) > 0;
  if (entry.IsParallel && (entry.Searching || wasAsked)) {
    // The other agents of the round have the packet, too, and the holder may be
    // one of them.
    if (!entry.Searching || !entry.AwaitingAnswer.empty())
      return {.Action = RelayAction::Drop, .Reason = RelayReason::Search};
  } else if (entry.Current.Agent.Port != 0 && entry.Current.Agent != agent) {
    // The flow was placed or found elsewhere meanwhile.
    return forwardToHolder(entry, visitedAgents);
  }
  if (packet.Opens) {
    view.AvoidUntil = now + Duration(message.RetryAfterMs);
    entry.Attempt = visitedAgents;
    entry.Current = {};
    return placeFlow(entry, flow, *route, table, now);
  }
  if (entry.Alternate.Agent.Port != 0 && !entry.Searching) {
    entry.Current = std::exchange(entry.Alternate, {});
    return forwardToHolder(entry, visitedAgents);
  }
  // This agent has answered; the search goes on with the next.
  entry.Current = {};
  RelayDecision decision = search(entry, flow, *route, table, now);
  // A reset answers what a caller still waits for, not its own reset.
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

ServiceTag makeServiceTag(std::string_view name) {
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
