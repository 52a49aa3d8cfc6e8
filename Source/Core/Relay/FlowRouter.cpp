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
constexpr double FlowLoad = 0.05;

/// Share of its slots by which an upstream of another data centre must be less
/// loaded to be chosen.
constexpr double RemotePenalty = 0.2;

/// The first agents of a search are asked one after the other: on small
/// services that finds the holder with few packets. After that as many as
/// SearchBreadth are asked at once; a search through a service of 50 upstreams
/// takes 12 round trips instead of 50.
constexpr std::size_t AskedInTurn = 6;
constexpr std::size_t SearchBreadth = 8;

/// Sequence numbers further away belong to another numbering of the flow.
constexpr std::uint32_t SequenceWindow = 16U * 1024 * 1024;

/// Bucket of the ranking, as Service has it.
std::uint16_t bucketOf(const FlowEnds &flow) {
  return static_cast<std::uint16_t>(hashOf(flow) >> 52);
}

/// What the balancer has learned of an agent.
struct AgentView {
  UpstreamLoad Load;
  /// Flows that were placed there since the last report of its load.
  std::uint32_t PlacedSince = 0;
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
  Holder Other;
  ServiceNameHash Service;
  std::uint32_t ColdMilliPerSecond = UnlimitedColdRate;
  bool Confirmed = false;
  bool Searching = false;
  /// Agents that were asked in this search. The order of the candidates changes
  /// while it runs, so a position in it would pass some over.
  std::vector<Endpoint> Asked;
  /// Those of the last round that have not answered.
  std::vector<Endpoint> Outstanding;
  /// More than one agent was asked in the last round.
  bool IsBroad = false;
  /// One of them was passed over without an answer.
  bool Skipped = false;
  std::uint8_t Attempt = 0;
  TimePoint AskedAt{};
  TimePoint SeenAt{};
  /// First packet of the placement or search that is not confirmed yet.
  std::optional<TimePoint> BeganAt;
  /// The first packet has waited for an upstream since then.
  std::optional<TimePoint> HeldSince;
};

struct Candidate {
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
  RelayDecision onReturned(const FlowPacket &packet,
                           const ReturnedPacket &message, const Endpoint &agent,
                           const ServiceTable &table, TimePoint now) override;
  std::optional<HolderFound> onHeld(const FlowHeld &message,
                                    const Endpoint &agent,
                                    TimePoint now) override;
  void tick(TimePoint now) override;
  std::size_t flowCount() const override { return Flows.size(); }

private:
  RelayDecision open(const FlowEnds &flow, const RouteRecord &route,
                     const ServiceTable &table, TimePoint now);
  RelayDecision place(FlowEntry &entry, const FlowEnds &flow,
                      const RouteRecord &route, const ServiceTable &table,
                      TimePoint now);
  RelayDecision hold(FlowEntry &entry, const FlowEnds &flow,
                     const Service &service, TimePoint now);
  RelayDecision search(FlowEntry &entry, const FlowEnds &flow,
                       const RouteRecord &route, const ServiceTable &table,
                       TimePoint now);
  std::vector<Candidate> candidates(const FlowEnds &flow,
                                    const RouteRecord &route,
                                    const ServiceTable &table,
                                    TimePoint now) const;
  static const RouteShare *chooseShare(const FlowEnds &flow,
                                       const RouteRecord &route);
  double loadOf(const ServiceMember &member, DataCentreId home) const;
  bool isOffered(const ServiceMember &member, TimePoint now) const;
  FlowEntry &entryOf(const FlowEnds &flow, TimePoint now);
  /// The agent has answered, with its load.
  AgentView &noteAnswer(const Endpoint &agent, const UpstreamLoad &load);
  void noteSilence(const Endpoint &agent, TimePoint now);
  static RelayDecision forward(const FlowEntry &entry, RelayReason reason);
  /// To all agents of the present round of the search.
  static RelayDecision ask(const FlowEntry &entry);
  /// To the holder, for a packet that has visited \p visits agents.
  static RelayDecision passOn(const FlowEntry &entry, std::uint8_t visits);
  RelayDecision forget(const FlowEnds &flow, RelayAction action,
                       RelayReason reason);

  FlowRouterOptions Options;
  absl::flat_hash_map<FlowEnds, FlowEntry, std::hash<FlowEnds>> Flows;
  absl::flat_hash_map<Endpoint, AgentView, std::hash<Endpoint>> Agents;
  TimePoint LastSweep{};
};

RelayDecision FlowRouterImpl::forward(const FlowEntry &entry,
                                      RelayReason reason) {
  return {.Action = RelayAction::Forward,
          .Reason = reason,
          .Agent = entry.Current.Agent,
          .Service = entry.Service,
          .Attempt = entry.Attempt,
          .Asks = !entry.Confirmed,
          .ColdMilliPerSecond = entry.ColdMilliPerSecond};
}

RelayDecision FlowRouterImpl::ask(const FlowEntry &entry) {
  RelayDecision decision = forward(entry, RelayReason::Search);
  decision.Agent = entry.Outstanding.front();
  decision.Others.assign(entry.Outstanding.begin() + 1,
                         entry.Outstanding.end());
  return decision;
}

RelayDecision FlowRouterImpl::passOn(const FlowEntry &entry,
                                     std::uint8_t visits) {
  RelayDecision decision = forward(entry, RelayReason::Held);
  decision.Attempt = visits;
  return decision;
}

AgentView &FlowRouterImpl::noteAnswer(const Endpoint &agent,
                                      const UpstreamLoad &load) {
  AgentView &view = Agents[agent];
  view.SilentUntil = {};
  view.Load = load;
  view.PlacedSince = 0;
  return view;
}

void FlowRouterImpl::noteSilence(const Endpoint &agent, TimePoint now) {
  Agents[agent].SilentUntil = now + Options.SilentPenalty;
}

RelayDecision FlowRouterImpl::forget(const FlowEnds &flow, RelayAction action,
                                     RelayReason reason) {
  Flows.erase(flow);
  return {.Action = action, .Reason = reason};
}

FlowEntry &FlowRouterImpl::entryOf(const FlowEnds &flow, TimePoint now) {
  const auto it = Flows.find(flow);
  if (it != Flows.end())
    return it->second;
  if (Flows.size() >= Options.MaxFlows) {
    // Any holder can be found again by a search, so forgetting costs hops only,
    // and looking for the longest idle flow would cost more.
    Flows.erase(Flows.begin());
  }
  FlowEntry &entry = Flows[flow];
  entry.SeenAt = now;
  return entry;
}

RelayDecision FlowRouterImpl::onCallerPacket(const FlowPacket &packet,
                                             const ServiceTable &table,
                                             TimePoint now) {
  const FlowEnds flow{packet.Source, packet.Destination};
  if (table.routeCount() == 0)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::NoTable};
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return forget(flow, packet.Resets ? RelayAction::Drop : RelayAction::Reset,
                  RelayReason::NoRoute);
  if (packet.Opens)
    return open(flow, *route, table, now);
  FlowEntry &entry = entryOf(flow, now);
  entry.SeenAt = now;
  if (entry.Current.Agent.Port != 0 && !entry.Searching) {
    // Two upstreams may have accepted copies of the first packet. The caller
    // acknowledges the numbering of the one it has chosen.
    const auto distance = [&](const Holder &it) {
      return packet.Acknowledgement - it.FirstSequence;
    };
    if (packet.Acknowledges && entry.Other.Agent.Port != 0 &&
        entry.Other.FirstSequence != 0 &&
        distance(entry.Other) <= SequenceWindow &&
        distance(entry.Current) > SequenceWindow)
      std::swap(entry.Current, entry.Other);
    return forward(entry, RelayReason::Held);
  }
  return search(entry, flow, *route, table, now);
}

RelayDecision FlowRouterImpl::open(const FlowEnds &flow,
                                   const RouteRecord &route,
                                   const ServiceTable &table, TimePoint now) {
  FlowEntry &entry = entryOf(flow, now);
  entry.SeenAt = now;
  if (!entry.Confirmed && !entry.BeganAt)
    entry.BeganAt = now;
  if (entry.Current.Agent.Port != 0) {
    if (entry.Confirmed || now - entry.AskedAt < Options.AnswerTimeout)
      return forward(entry, RelayReason::Held);
    noteSilence(entry.Current.Agent, now);
  }
  entry.Attempt = 0;
  return place(entry, flow, route, table, now);
}

const RouteShare *FlowRouterImpl::chooseShare(const FlowEnds &flow,
                                              const RouteRecord &route) {
  std::uint64_t total = 0;
  for (const RouteShare &it : route.Shares)
    total += it.Weight;
  if (total == 0)
    return nullptr;
  std::uint64_t at = mix64(hashOf(flow) + 1) % total;
  for (const RouteShare &it : route.Shares) {
    if (at < it.Weight)
      return &it;
    at -= it.Weight;
  }
  return nullptr;
}

bool FlowRouterImpl::isOffered(const ServiceMember &member,
                               TimePoint now) const {
  if (member.State != CandidateState::Accepting)
    return false;
  const auto it = Agents.find(member.Address);
  return it == Agents.end() ||
         (now >= it->second.AvoidUntil && now >= it->second.SilentUntil);
}

double FlowRouterImpl::loadOf(const ServiceMember &member,
                              DataCentreId home) const {
  const double remote = member.DataCentre == home ? 0 : RemotePenalty;
  const auto it = Agents.find(member.Address);
  if (it == Agents.end())
    return remote;
  const AgentView &view = it->second;
  const double work = view.Load.BusyFlows +
                      view.PlacedSince * (FlowLoad + 0.5) +
                      view.Load.Flows * FlowLoad;
  return remote + work / std::max<double>(view.Load.Slots, 1);
}

RelayDecision FlowRouterImpl::place(FlowEntry &entry, const FlowEnds &flow,
                                    const RouteRecord &route,
                                    const ServiceTable &table, TimePoint now) {
  const RouteShare *share = chooseShare(flow, route);
  const Service *service =
      share == nullptr ? nullptr : table.find(share->Service);
  if (service == nullptr)
    return forget(flow, RelayAction::Reset, RelayReason::NoUpstream);
  const DataCentreId home = table.findDataCentre(Options.DataCentre);
  const auto bucket = bucketOf(flow);
  // The least loaded of all is chosen; the ranking breaks ties, so that
  // balancers with the same view spread their flows.
  const ServiceMember *best = nullptr;
  std::pair<double, std::uint64_t> bestKey;
  for (const ServiceMember &it : service->members()) {
    if (!isOffered(it, now))
      continue;
    const std::pair<double, std::uint64_t> key{loadOf(it, home),
                                               rendezvousWeight(bucket, it.Id)};
    if (best == nullptr || key < bestKey) {
      best = &it;
      bestKey = key;
    }
  }
  if (best == nullptr)
    return hold(entry, flow, *service, now);
  if (entry.Current.Agent != best->Address && entry.Current.FirstSequence != 0)
    entry.Other = entry.Current;
  entry.Current = {best->Address, 0};
  entry.Service = tagOfService(service->name());
  entry.ColdMilliPerSecond = share->ColdMilliflowsPerSecond;
  entry.Confirmed = false;
  entry.Searching = false;
  entry.Asked.clear();
  entry.Outstanding.clear();
  entry.AskedAt = now;
  ++Agents[best->Address].PlacedSince;
  return forward(entry, RelayReason::Placed);
}

/// A first packet for which no upstream is free now.
RelayDecision FlowRouterImpl::hold(FlowEntry &entry, const FlowEnds &flow,
                                   const Service &service, TimePoint now) {
  entry.Current = {};
  if (!entry.HeldSince)
    entry.HeldSince = now;
  const TimePoint end = *entry.HeldSince + Options.MaxHold;
  const bool isSoonFree =
      std::ranges::any_of(service.members(), [&](const ServiceMember &it) {
        const auto view = Agents.find(it.Address);
        return it.State == CandidateState::Accepting && view != Agents.end() &&
               std::max(view->second.AvoidUntil, view->second.SilentUntil) <
                   end;
      });
  if (!isSoonFree || now >= end)
    return forget(flow, RelayAction::Reset, RelayReason::NoUpstream);
  return {.Action = RelayAction::Hold, .Reason = RelayReason::Busy};
}

std::vector<Candidate> FlowRouterImpl::candidates(const FlowEnds &flow,
                                                  const RouteRecord &route,
                                                  const ServiceTable &table,
                                                  TimePoint now) const {
  const DataCentreId home = table.findDataCentre(Options.DataCentre);
  const auto bucket = bucketOf(flow);
  std::vector<Candidate> all;
  std::vector<ServiceId> services;
  for (const RouteShare &it : route.Shares)
    services.push_back(it.Service);
  services.insert(services.end(), route.FormerServices.begin(),
                  route.FormerServices.end());
  const auto isSilent = [&](const ServiceMember &it) {
    const auto view = Agents.find(it.Address);
    return it.State == CandidateState::Suspect ||
           (view != Agents.end() && now < view->second.SilentUntil);
  };
  for (const ServiceId id : services) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    const ServiceNameHash tag = tagOfService(service->name());
    const std::size_t begin = all.size();
    for (const ServiceMember &it : service->members())
      all.push_back({&it, tag});
    for (const ServiceMember &it : table.withdrawn(id))
      all.push_back({&it, tag});
    std::sort(all.begin() + static_cast<std::ptrdiff_t>(begin), all.end(),
              [&](const Candidate &a, const Candidate &b) {
                const auto key = [&](const ServiceMember &it) {
                  return std::tuple(it.DataCentre != home,
                                    rendezvousWeight(bucket, it.Id));
                };
                return key(*a.Member) < key(*b.Member);
              });
  }
  std::stable_partition(all.begin(), all.end(), [&](const Candidate &it) {
    return !isSilent(*it.Member);
  });
  return all;
}

RelayDecision FlowRouterImpl::search(FlowEntry &entry, const FlowEnds &flow,
                                     const RouteRecord &route,
                                     const ServiceTable &table, TimePoint now) {
  if (!entry.Searching) {
    entry.Searching = true;
    entry.BeganAt = now;
    entry.Skipped = false;
    entry.Asked.clear();
    entry.Outstanding.clear();
    entry.Current = {};
  } else if (!entry.Outstanding.empty()) {
    if (now - entry.AskedAt < Options.AnswerTimeout)
      return ask(entry);
    for (const Endpoint &it : entry.Outstanding)
      noteSilence(it, now);
    entry.Skipped = true;
    entry.Outstanding.clear();
  }
  const std::vector<Candidate> all = candidates(flow, route, table, now);
  const auto isNew = [&](const Candidate &it) {
    return std::ranges::count(entry.Asked, it.Member->Address) == 0;
  };
  const auto next = std::ranges::find_if(all, isNew);
  if (next == all.end() || entry.Asked.size() >= MaxAttempts) {
    return entry.Skipped
               ? forget(flow, RelayAction::Drop, RelayReason::Unanswered)
               : forget(flow, RelayAction::Reset, RelayReason::Unknown);
  }
  entry.Attempt = static_cast<std::uint8_t>(entry.Asked.size());
  entry.Current = {next->Member->Address, 0};
  entry.Service = next->Service;
  entry.Confirmed = false;
  entry.AskedAt = now;
  const std::size_t breadth =
      entry.Asked.size() < AskedInTurn ? 1 : SearchBreadth;
  for (auto it = next; it != all.end() && entry.Outstanding.size() < breadth;
       ++it) {
    if (it->Service == entry.Service && isNew(*it)) {
      entry.Outstanding.push_back(it->Member->Address);
      entry.Asked.push_back(it->Member->Address);
    }
  }
  entry.IsBroad = entry.Outstanding.size() > 1;
  return ask(entry);
}

RelayDecision FlowRouterImpl::onReturned(const FlowPacket &packet,
                                         const ReturnedPacket &message,
                                         const Endpoint &agent,
                                         const ServiceTable &table,
                                         TimePoint now) {
  const FlowEnds flow{packet.Source, packet.Destination};
  AgentView &view = noteAnswer(agent, message.Load);
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return forget(flow, RelayAction::Drop, RelayReason::NoRoute);
  if (message.Attempt >= MaxAttempts)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unknown};
  FlowEntry &entry = entryOf(flow, now);
  const auto visits = static_cast<std::uint8_t>(message.Attempt + 1);
  const bool wasAsked = std::erase(entry.Outstanding, agent) > 0;
  if (entry.IsBroad && (entry.Searching || wasAsked)) {
    // The other agents of the round have the packet, too, and the holder may be
    // one of them.
    if (!entry.Searching || !entry.Outstanding.empty())
      return {.Action = RelayAction::Drop, .Reason = RelayReason::Search};
  } else if (entry.Current.Agent.Port != 0 && entry.Current.Agent != agent) {
    // The flow was placed or found elsewhere meanwhile.
    return passOn(entry, visits);
  }
  if (packet.Opens) {
    view.AvoidUntil = now + Duration(message.RetryAfterMs);
    entry.Attempt = visits;
    entry.Current = {};
    return place(entry, flow, *route, table, now);
  }
  if (entry.Other.Agent.Port != 0 && !entry.Searching) {
    entry.Current = std::exchange(entry.Other, {});
    return passOn(entry, visits);
  }
  // This agent has answered; the search goes on with the next.
  entry.Current = {};
  RelayDecision decision = search(entry, flow, *route, table, now);
  // A reset answers what a caller still waits for, not its own reset.
  if (decision.Action == RelayAction::Reset && packet.Resets)
    return {.Action = RelayAction::Drop, .Reason = decision.Reason};
  return decision;
}

std::optional<HolderFound> FlowRouterImpl::onHeld(const FlowHeld &message,
                                                  const Endpoint &agent,
                                                  TimePoint now) {
  noteAnswer(agent, message.Load);
  FlowEntry &entry = entryOf({message.Caller, message.Service}, now);
  std::erase(entry.Outstanding, agent);
  const Holder holder{agent, message.FirstSequence};
  if (entry.Confirmed && entry.Current.Agent != agent) {
    entry.Other = holder;
    return std::nullopt;
  }
  std::optional<HolderFound> found;
  if (entry.BeganAt)
    found = {entry.Searching, now - *entry.BeganAt};
  entry.BeganAt.reset();
  entry.Current = holder;
  entry.HeldSince.reset();
  entry.Confirmed = true;
  entry.Searching = false;
  entry.Asked.clear();
  entry.Attempt = 0;
  return found;
}

void FlowRouterImpl::tick(TimePoint now) {
  constexpr Duration SweepInterval{5000};
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  absl::erase_if(Flows, [&](const auto &it) {
    return now - it.second.SeenAt >= Options.FlowIdle;
  });
}

} // namespace

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options) {
  return std::make_unique<FlowRouterImpl>(std::move(options));
}

std::uint64_t hashOf(const FlowEnds &flow) {
  const auto word = [](const Endpoint &it) {
    return (std::uint64_t{it.Address} << 16) | it.Port;
  };
  return mix64(mix64(word(flow.Caller) + 0x9E3779B97F4A7C15ULL) ^
               word(flow.Service));
}

ServiceNameHash tagOfService(std::string_view name) {
  return {checksum32(std::as_bytes(std::span(name)))};
}

std::string toString(const FlowEnds &flow) {
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
