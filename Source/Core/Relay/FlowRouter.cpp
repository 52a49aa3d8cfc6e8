#include "AgentLoads.h"
#include "HolderSearch.h"
#include "PlacementPolicy.h"
#include "RankedMembers.h"
#include "SearchBudget.h"

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <iterator>

namespace pistachio {
namespace {

/// A first packet is dropped after this many agents. Packets carry the count in
/// 8 bits.
constexpr std::uint8_t MaxAttempts = 250;

/// A search that found no holder because agents did not reply is kept this
/// long, so that the next packet of the flow asks only those again.
constexpr Duration SearchRetention{5000};

/// A sequence number that is further ahead of the first one of a flow than this
/// belongs to another connection with the same endpoints: two upstreams that
/// both accepted the first packet use different initial sequence numbers.
constexpr std::uint32_t SequenceWindowBytes = 16U * 1024 * 1024;

/// An agent that could not tell whether it holds a flow is not queried for
/// others for this long. It gets their packets, and passes them on if it can
/// tell again.
constexpr Duration CannotTellRetention{5000};

/// Headers of a datagram with a packet: those of IP, UDP, the message and the
/// packet.
constexpr std::size_t PacketHeaderBytes = 100;

struct Holder {
  Endpoint Agent;
  std::uint32_t FirstSequence = 0;
  /// Not set if the agent reported itself as the holder of a flow that this
  /// balancer has neither placed nor searched for.
  std::optional<ServiceNameHash> Service;
  /// When the flow was placed on the agent or the agent reported it.
  TimePoint Since{};
};

/// What becomes of a first packet that was taken from the WaitingFlows.
enum class WaitTurn : std::uint8_t {
  /// It was not taken from them, or has been routed since.
  None,
  /// It may be offered although others wait.
  Offer,
  /// It has waited too long.
  Refuse
};

struct FlowEntry {
  /// The agent that gets the packets of the flow. It is unconfirmed until it
  /// answers the first packet or the query.
  Holder Current;
  /// Another agent whose upstream accepted a copy of the first packet.
  Holder Alternate;
  /// Sequence number of the caller's latest first packet, if this balancer has
  /// seen one. Another one opens another connection with the same endpoints.
  std::optional<std::uint32_t> OpeningSequence;
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  bool Confirmed = false;
  /// The flow has an entry in FlowRouterImpl::Searches.
  bool Searching = false;
  /// Set once the flow is known to have no holder. Further packets are reset
  /// without another search for LostFlowRetention.
  std::optional<TimePoint> LostAt;
  std::uint8_t Attempt = 0;
  /// Data of the latest packet.
  std::uint16_t DataBytes = 0;
  TimePoint ForwardedAt{};
  TimePoint LastPacketAt{};
  /// When the first packet arrived whose placement or search is not confirmed
  /// yet.
  std::optional<TimePoint> ResolvingSince;
  /// When the first packet of the flow was first deferred.
  std::optional<TimePoint> DeferredSince;
  /// The service whose agents the flow is offered to by the terms of its route.
  /// Not set once the agent has replied.
  std::optional<ServiceId> OfferedBy;
  /// Copies of the first packet that the agent got after the offer. One of them
  /// may open the flow after the agent has declined an earlier one.
  std::uint8_t OfferedCopies = 0;
  WaitTurn Turn = WaitTurn::None;
};

/// How long packets of a flow without a holder are reset without a search: its
/// caller may have several packets on their way.
constexpr Duration LostFlowRetention{2000};

/// The agents that may hold a flow.
struct SearchCandidates {
  std::vector<HolderCandidate> All;
  /// Number of agents that the first round queries.
  std::size_t FirstRound = 0;
};

/// What is known of the upstream to which a first packet of a known flow goes.
enum class HolderState : std::uint8_t {
  /// There is none, or the route sends no new flows to its service.
  None,
  /// It holds the flow, or may still confirm that it does.
  Answering,
  /// It has not confirmed the flow in time.
  Silent
};

/// Returns whether the packet acknowledges data of the connection that this
/// holder's upstream has accepted.
bool acceptedBy(const Holder &holder, const FlowPacket &packet) {
  return holder.FirstSequence != 0 && packet.Acknowledges &&
         packet.Acknowledgement - holder.FirstSequence <= SequenceWindowBytes;
}

/// Services whose upstreams may hold flows of the route, in the order in which
/// they are searched.
std::vector<ServiceId> servicesOf(const RouteRecord &route) {
  std::vector<ServiceId> services;
  for (const RouteShare &it : route.Shares)
    services.push_back(it.Service);
  services.insert(services.end(), route.FormerServices.begin(),
                  route.FormerServices.end());
  return services;
}

/// Returns how often a step of a search sends the packet over the link.
std::size_t copiesOf(const SearchStep &step) {
  return step.Action == SearchStep::Kind::Chain
             ? (step.Agents.size() + MaxChainedAgents - 1) / MaxChainedAgents
             : step.Agents.size();
}

/// Returns whether the packet of a search can still be sent.
bool isPacketKept(const FlowEntry &entry, TimePoint now) {
  return now - entry.LastPacketAt < DeferredPackets::MaxAge;
}

/// Returns the service of the route to which the agent belongs.
std::optional<ServiceNameHash> serviceOfMember(const Endpoint &agent,
                                               const RouteRecord &route,
                                               const ServiceTable &table) {
  for (const ServiceId id : servicesOf(route)) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    for (const auto members : {service->members(), table.withdrawnMembers(id)})
      if (std::ranges::find(members, agent, &ServiceMember::Address) !=
          members.end())
        return hashServiceName(service->name());
  }
  return std::nullopt;
}

/// Sets the services of the holders. A holder that belongs to no service of the
/// route is forgotten.
void resolveServices(FlowEntry &entry, const RouteRecord &route,
                     const ServiceTable &table) {
  for (Holder *it : {&entry.Current, &entry.Alternate}) {
    if (it->Agent.Port == 0 || it->Service)
      continue;
    it->Service = serviceOfMember(it->Agent, route, table);
    if (!it->Service)
      *it = {};
  }
}

/// Returns whether the route sends new flows to the service of the holder.
bool takesNewFlows(const Holder &holder, const RouteRecord &route,
                   const ServiceTable &table) {
  return std::ranges::any_of(route.Shares, [&](const RouteShare &it) {
    const Service *service = table.find(it.Service);
    return it.Weight > 0 && service != nullptr &&
           holder.Service == hashServiceName(service->name());
  });
}

/// Returns whether the terms of the route decide how its first packets wait.
bool hasWaitTerms(const RouteRecord &route) {
  return route.Terms.Urgency || route.Terms.Objective;
}

class FlowRouterImpl final : public FlowRouter {
public:
  explicit FlowRouterImpl(FlowRouterOptions options)
      : Options(std::move(options)),
        Policy(makePlacementPolicy(Options.Placement, Options.PlacementSeed)),
        SearchPackets(Options.SearchBytesPerSecond) {}

  RelayDecision onCallerPacket(const FlowPacket &packet,
                               const ServiceTable &table,
                               TimePoint now) override;
  RelayDecision onReturnedPacket(const FlowPacket &packet,
                                 const ReturnedPacket &message,
                                 const Endpoint &agent,
                                 const ServiceTable &table,
                                 TimePoint now) override;
  FlowExplanation explain(const FlowEndpoints &flow, const ServiceTable &table,
                          TimePoint now) const override;
  std::optional<HolderConfirmation> onFlowHeld(const FlowHeld &message,
                                               const Endpoint &agent,
                                               TimePoint now) override;
  RelayDecision onFlowNotHeld(const FlowNotHeld &message,
                              const UpstreamLoad &load, const Endpoint &agent,
                              const ServiceTable &table,
                              TimePoint now) override;
  std::vector<FlowDecision> pollSearches(const ServiceTable &table,
                                         TimePoint now) override;
  bool isSearching() const override;
  WaitingFlows &waiting() override { return Waiting; }
  std::vector<WaitingFlows::Packet> takeWaiting(const ServiceTable &table,
                                                TimePoint now) override;
  bool mayHaveOpened(const FlowPacket &firstPacket) const override;
  void setLinkCongested(bool congested) override {
    IsLinkCongested = congested;
  }
  bool needsConfirmedTable() const override;
  void confirmTable(TimePoint askedAt, Revision committed) override;
  void eraseFoundFlows(std::vector<FlowEndpoints> &flows) const override;
  void onQuerySent(const FlowQuery &query, const Endpoint &agent,
                   TimePoint now) override;
  void tick(TimePoint now) override;
  std::size_t flowCount() const override { return Flows.size(); }

private:
  RelayDecision routeFirstPacket(const FlowPacket &packet,
                                 const RouteRecord &route,
                                 const ServiceTable &table, TimePoint now);
  RelayDecision placeFlow(FlowEntry &entry, const FlowEndpoints &flow,
                          const RouteRecord &route, const ServiceTable &table,
                          TimePoint now);
  RelayDecision deferFirstPacket(FlowEntry &entry, const FlowEndpoints &flow,
                                 const RouteRecord &route, ServiceId service,
                                 std::span<const RankedMember> members,
                                 TimePoint now);
  Duration maxDeferralOf(const RouteRecord &route) const;
  /// Returns whether a flow of a route with terms may be offered now. It waits
  /// if others do, or if one of \p attempt agents has just declined it.
  bool isNext(WaitTurn turn, std::uint8_t attempt, ServiceId service) const;
  bool hasRoom(const ServiceMember &member, RoomKind kind, TimePoint now) const;
  /// Returns those of the members that may have a free slot or, if there are
  /// none, those that may have a place next in line.
  std::vector<RankedMember> withRoom(std::span<const RankedMember> members,
                                     TimePoint now) const;
  /// Returns the number of waiting flows of the service that may be tried, or
  /// nullopt if the service accepts no flows.
  std::optional<std::size_t>
  countTries(const Service *service, std::size_t allowed, TimePoint now) const;
  HolderState holderStateOf(const FlowEntry &entry, const RouteRecord &route,
                            const ServiceTable &table, TimePoint now) const;
  /// Returns whether a first packet waits if none of \p members can be chosen.
  bool isDeferrable(std::span<const RankedMember> members,
                    TimePoint deferredSince, Duration maxDeferral,
                    TimePoint now) const;
  void explainPlacement(const Service &service, const RouteRecord &route,
                        const ServiceTable &table, const FlowEntry &entry,
                        bool isHolderSilent, TimePoint now,
                        FlowExplanation &out) const;
  ExplainedUpstream explainUpstream(const ServiceMember &member,
                                    const ServiceTable &table,
                                    TimePoint now) const;
  /// Starts or resumes the search for the holder of a flow.
  RelayDecision search(FlowEntry &entry, const FlowEndpoints &flow,
                       const RouteRecord &route, const ServiceTable &table,
                       TimePoint now);
  RelayDecision advanceSearch(FlowEntry &entry, const FlowEndpoints &flow,
                              const RouteRecord &route,
                              const ServiceTable &table, TimePoint now);
  /// Returns the search for the holder of the flow, a new one if there is none.
  HolderSearch &beginSearch(FlowEntry &entry, const FlowEndpoints &flow,
                            TimePoint now);
  void endSearch(FlowEntry &entry, const FlowEndpoints &flow);
  /// What the link allows searches to do, apart from the budget.
  SearchLimits searchLimits() const;
  SearchCandidates candidates(const FlowEndpoints &flow,
                              const RouteRecord &route,
                              const ServiceTable &table, TimePoint now) const;
  static const RouteShare *chooseShare(const FlowEndpoints &flow,
                                       const RouteRecord &route);
  FlowEntry &findOrInsert(const FlowEndpoints &flow, TimePoint now);
  void recordTimeout(const Endpoint &agent, TimePoint now);
  static RelayDecision forwardDecision(const FlowEntry &entry,
                                       RelayReason reason);
  /// Forwards to the current holder a packet that \p visitedAgents agents have
  /// returned.
  static RelayDecision forwardToHolder(const FlowEntry &entry,
                                       std::uint8_t visitedAgents);
  RelayDecision removeFlow(const FlowEndpoints &flow, RelayAction action,
                           RelayReason reason);
  /// Returns whether control has confirmed that the table held all upstreams
  /// and routes at \p since.
  bool isConfirmed(const ServiceTable &table, TimePoint since) const;
  /// Returns whether the search can only go on with another table or a
  /// confirmation.
  bool awaitsTable(const HolderSearch &search, const ServiceTable &table,
                   TimePoint now) const;
  /// Resets a flow whose holder, or whose route, is not in the table, once it
  /// is certain that the table is not older than the flow.
  RelayDecision resetUnlessTableIsOld(const FlowEndpoints &flow,
                                      RelayReason reason,
                                      const ServiceTable &table, TimePoint now);
  /// Resets a flow that no upstream holds.
  RelayDecision resetLostFlow(FlowEntry &entry, const FlowEndpoints &flow,
                              RelayReason reason, TimePoint now);

  FlowRouterOptions Options;
  std::unique_ptr<PlacementPolicy> Policy;
  absl::flat_hash_map<FlowEndpoints, FlowEntry, std::hash<FlowEndpoints>> Flows;
  absl::flat_hash_map<FlowEndpoints, HolderSearch, std::hash<FlowEndpoints>>
      Searches;
  AgentLoads Agents;
  SearchBudget SearchPackets;
  WaitingFlows Waiting;
  /// Arguments of the latest call of confirmTable().
  std::optional<TimePoint> ConfirmedAt;
  Revision ConfirmedRevision;
  TimePoint LastSweep{};
  bool IsLinkCongested = false;
};

RelayDecision FlowRouterImpl::forwardDecision(const FlowEntry &entry,
                                              RelayReason reason) {
  return {.Action = RelayAction::Forward,
          .Reason = reason,
          .Agent = entry.Current.Agent,
          .Service = entry.Current.Service.value_or(ServiceNameHash{}),
          .Attempt = entry.Attempt,
          .NeedsConfirmation = !entry.Confirmed,
          .HolderSince = entry.Current.Since,
          .ColdMilliflowsPerSecond = entry.ColdMilliflowsPerSecond};
}

RelayDecision FlowRouterImpl::forwardToHolder(const FlowEntry &entry,
                                              std::uint8_t visitedAgents) {
  RelayDecision decision = forwardDecision(entry, RelayReason::Held);
  decision.Attempt = visitedAgents;
  return decision;
}

void FlowRouterImpl::recordTimeout(const Endpoint &agent, TimePoint now) {
  // On a congested link only the flow itself goes to another agent, at this
  // moment: the agent may have failed all the same.
  constexpr Duration PenaltyOfOneChoice{1};
  Agents.recordTimeout(agent,
                       now + (IsLinkCongested ? PenaltyOfOneChoice
                                              : Options.UnresponsivePenalty));
}

RelayDecision FlowRouterImpl::removeFlow(const FlowEndpoints &flow,
                                         RelayAction action,
                                         RelayReason reason) {
  Flows.erase(flow);
  Searches.erase(flow);
  return {.Action = action, .Reason = reason};
}

RelayDecision FlowRouterImpl::resetLostFlow(FlowEntry &entry,
                                            const FlowEndpoints &flow,
                                            RelayReason reason, TimePoint now) {
  endSearch(entry, flow);
  entry = {};
  entry.LostAt = now;
  entry.LastPacketAt = now;
  return {.Action = RelayAction::Reset, .Reason = reason};
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
    Searches.erase(Flows.begin()->first);
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
  if (route == nullptr && packet.Resets)
    return removeFlow(flow, RelayAction::Drop, RelayReason::NoRoute);
  if (route == nullptr && packet.Opens)
    return removeFlow(flow, RelayAction::Reset, RelayReason::NoRoute);
  if (packet.Opens)
    return routeFirstPacket(packet, *route, table, now);
  FlowEntry &entry = findOrInsert(flow, now);
  entry.LastPacketAt = now;
  entry.DataBytes = packet.DataBytes;
  if (entry.LostAt && now - *entry.LostAt < LostFlowRetention)
    return {.Action = packet.Resets ? RelayAction::Drop : RelayAction::Reset,
            .Reason = RelayReason::Unknown};
  entry.LostAt.reset();
  if (route == nullptr) {
    // An earlier table had the route of a flow whose holder is known.
    if (entry.Current.Agent.Port != 0)
      return removeFlow(flow, RelayAction::Reset, RelayReason::NoRoute);
    beginSearch(entry, flow, now);
    return resetUnlessTableIsOld(flow, RelayReason::NoRoute, table, now);
  }
  resolveServices(entry, *route, table);
  if (entry.Current.Agent.Port != 0 && !entry.Searching) {
    // Two upstreams may have accepted copies of the first packet. The
    // acknowledgement shows which one's sequence numbers the caller uses.
    if (acceptedBy(entry.Alternate, packet) &&
        !acceptedBy(entry.Current, packet))
      std::swap(entry.Current, entry.Alternate);
    return forwardDecision(entry, RelayReason::Held);
  }
  return search(entry, flow, *route, table, now);
}

RelayDecision FlowRouterImpl::routeFirstPacket(const FlowPacket &packet,
                                               const RouteRecord &route,
                                               const ServiceTable &table,
                                               TimePoint now) {
  const FlowEndpoints flow{packet.Source, packet.Destination};
  FlowEntry &entry = findOrInsert(flow, now);
  if (entry.OpeningSequence && entry.OpeningSequence != packet.Sequence) {
    endSearch(entry, flow);
    entry = {};
  }
  entry.OpeningSequence = packet.Sequence;
  entry.LastPacketAt = now;
  entry.LostAt.reset();
  if (!entry.Confirmed && !entry.ResolvingSince)
    entry.ResolvingSince = now;
  resolveServices(entry, route, table);
  const HolderState holder = holderStateOf(entry, route, table, now);
  if (holder == HolderState::Answering) {
    if (entry.OfferedBy && entry.OfferedCopies < MaxAttempts)
      ++entry.OfferedCopies;
    return forwardDecision(entry, RelayReason::Held);
  }
  if (holder == HolderState::Silent)
    recordTimeout(entry.Current.Agent, now);
  entry.Attempt = 0;
  RelayDecision decision = placeFlow(entry, flow, route, table, now);
  if (const auto it = Flows.find(flow); it != Flows.end())
    it->second.Turn = WaitTurn::None;
  return decision;
}

HolderState FlowRouterImpl::holderStateOf(const FlowEntry &entry,
                                          const RouteRecord &route,
                                          const ServiceTable &table,
                                          TimePoint now) const {
  if (entry.Current.Agent.Port == 0 ||
      !takesNewFlows(entry.Current, route, table))
    return HolderState::None;
  return entry.Confirmed || now - entry.ForwardedAt < Options.AnswerTimeout
             ? HolderState::Answering
             : HolderState::Silent;
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
  const std::vector<RankedMember> members =
      rankMembers(flow, service->members(), {}, localDataCentre);
  const bool isByTerms = hasWaitTerms(route);
  const ServiceMember *best = nullptr;
  if (!isByTerms)
    best = Policy->choose(flow, members, localDataCentre, Agents, now);
  else if (isNext(entry.Turn, entry.Attempt, service->id()))
    best = Policy->choose(flow, withRoom(members, now), localDataCentre, Agents,
                          now);
  if (best == nullptr)
    return deferFirstPacket(entry, flow, route, service->id(), members, now);
  if (isByTerms) {
    entry.OfferedBy = service->id();
    entry.OfferedCopies = 0;
    // An agent lets a first packet wait for a slot only on a later attempt.
    if (entry.Turn == WaitTurn::Offer ||
        !hasRoom(*best, RoomKind::FreeSlot, now) ||
        !Waiting.isWithinBudget(service->id()))
      entry.Attempt = std::max<std::uint8_t>(entry.Attempt, 1);
  }
  if (entry.Current.Agent != best->Address && entry.Current.FirstSequence != 0)
    entry.Alternate = entry.Current;
  entry.Current = {best->Address, 0, hashServiceName(service->name()), now};
  entry.ColdMilliflowsPerSecond = share->ColdMilliflowsPerSecond;
  entry.Confirmed = false;
  endSearch(entry, flow);
  entry.ForwardedAt = now;
  Agents.recordPlacement(best->Address, now);
  return forwardDecision(entry, RelayReason::Placed);
}

/// Defers the first packet if an upstream should accept it soon, and resets the
/// flow otherwise.
RelayDecision FlowRouterImpl::deferFirstPacket(
    FlowEntry &entry, const FlowEndpoints &flow, const RouteRecord &route,
    ServiceId service, std::span<const RankedMember> members, TimePoint now) {
  entry.Current = {};
  if (!entry.DeferredSince)
    entry.DeferredSince = now;
  RelayDecision decision{.Action = RelayAction::Defer,
                         .Reason = RelayReason::Busy};
  const Duration maxDeferral = maxDeferralOf(route);
  const bool isByTerms = hasWaitTerms(route);
  const bool isFull = isByTerms && !Waiting.canAdd(flow);
  const TimePoint end = *entry.DeferredSince + maxDeferral;
  if (isFull ||
      !isDeferrable(members, *entry.DeferredSince, maxDeferral, now)) {
    if (isFull || (isByTerms && now >= end))
      Waiting.recordRefusal(isFull);
    Waiting.erase(flow);
    return removeFlow(flow, RelayAction::Reset, RelayReason::NoUpstream);
  }
  if (isByTerms) {
    const TimePoint arrived = entry.ResolvingSince.value_or(now);
    decision.Wait = {
        service, route.Terms.Urgency.value_or(UrgencyNotStated), arrived,
        arrived + route.Terms.Objective.value_or(Options.MaxDeferral), end};
  }
  return decision;
}

Duration FlowRouterImpl::maxDeferralOf(const RouteRecord &route) const {
  return route.Terms.Objective
             ? std::min(*route.Terms.Objective, Options.MaxDeferralByObjective)
             : Options.MaxDeferral;
}

bool FlowRouterImpl::isNext(WaitTurn turn, std::uint8_t attempt,
                            ServiceId service) const {
  if (turn != WaitTurn::None)
    return turn == WaitTurn::Offer;
  return attempt == 0 && !Waiting.hasWaiting(service);
}

bool FlowRouterImpl::hasRoom(const ServiceMember &member, RoomKind kind,
                             TimePoint now) const {
  const AgentStatus *status = Agents.find(member.Address);
  return offerStateOf(member, status, now) == OfferState::Eligible &&
         expectedRoom(status, kind, now) > 0;
}

std::vector<RankedMember>
FlowRouterImpl::withRoom(std::span<const RankedMember> members,
                         TimePoint now) const {
  std::vector<RankedMember> found;
  for (const RoomKind kind : {RoomKind::FreeSlot, RoomKind::NextInLine}) {
    std::ranges::copy_if(
        members, std::back_inserter(found),
        [&](const RankedMember &it) { return hasRoom(*it.Member, kind, now); });
    if (!found.empty())
      break;
  }
  return found;
}

std::vector<WaitingFlows::Packet>
FlowRouterImpl::takeWaiting(const ServiceTable &table, TimePoint now) {
  std::vector<WaitingFlows::Packet> all;
  const auto append = [&](std::vector<WaitingFlows::Packet> taken,
                          WaitTurn turn) {
    for (WaitingFlows::Packet &it : taken) {
      if (const auto entry = Flows.find(it.Flow); entry != Flows.end())
        entry->second.Turn = turn;
      all.push_back(std::move(it));
    }
  };
  append(Waiting.takeExpired(now), WaitTurn::Refuse);
  for (const ServiceId id : Waiting.services()) {
    const auto tries =
        countTries(table.find(id), Waiting.allowedTries(id, now), now);
    if (tries)
      append(Waiting.take(id, *tries, now), WaitTurn::Offer);
    else
      append(Waiting.takeAll(id), WaitTurn::None);
  }
  return all;
}

std::optional<std::size_t> FlowRouterImpl::countTries(const Service *service,
                                                      std::size_t allowed,
                                                      TimePoint now) const {
  std::optional<std::size_t> tries;
  if (service == nullptr)
    return tries;
  for (const ServiceMember &it : service->members()) {
    if (it.State != CandidateState::Accepting)
      continue;
    const AgentStatus *status = Agents.find(it.Address);
    const bool isEligible =
        offerStateOf(it, status, now) == OfferState::Eligible;
    tries = tries.value_or(0) +
            (isEligible ? expectedRoom(status, RoomKind::NextInLine, now) : 0);
    if (*tries >= allowed)
      return allowed;
  }
  return tries;
}

bool FlowRouterImpl::isDeferrable(std::span<const RankedMember> members,
                                  TimePoint deferredSince, Duration maxDeferral,
                                  TimePoint now) const {
  const TimePoint end = deferredSince + maxDeferral;
  return now < end && std::ranges::any_of(members, [&](const RankedMember &it) {
           const AgentStatus *status = Agents.find(it.Member->Address);
           return it.Member->State == CandidateState::Accepting &&
                  (status == nullptr ||
                   std::max(status->AvoidUntil, status->SilentUntil) < end);
         });
}

FlowExplanation FlowRouterImpl::explain(const FlowEndpoints &flow,
                                        const ServiceTable &table,
                                        TimePoint now) const {
  FlowExplanation out;
  out.Flow = flow;
  out.TableRevision = table.revision();
  out.Placement = Options.Placement;
  if (table.routeCount() == 0)
    return out;
  const RouteRecord *route = table.findRoute(flow.Service);
  if (route == nullptr) {
    out.Action = RelayAction::Reset;
    out.Reason = RelayReason::NoRoute;
    return out;
  }
  const RouteShare *share = chooseShare(flow, *route);
  const Service *service =
      share == nullptr ? nullptr : table.find(share->Service);
  if (service != nullptr) {
    out.Share = {service->name(), share->Weight, 0};
    for (const RouteShare &it : route->Shares)
      out.Share->TotalWeight += it.Weight;
  }
  FlowEntry entry;
  if (const auto it = Flows.find(flow); it != Flows.end())
    entry = it->second;
  resolveServices(entry, *route, table);
  out.IsSearching = entry.Searching;
  if (entry.Current.Agent.Port != 0)
    out.Holder = {entry.Current.Agent, now - entry.Current.Since,
                  entry.Confirmed};
  const HolderState holder = holderStateOf(entry, *route, table, now);
  if (holder == HolderState::Answering) {
    out.Action = RelayAction::Forward;
    out.Reason = RelayReason::Held;
    out.Agent = entry.Current.Agent;
    return out;
  }
  out.Action = RelayAction::Reset;
  out.Reason = RelayReason::NoUpstream;
  if (service != nullptr)
    explainPlacement(*service, *route, table, entry,
                     holder == HolderState::Silent, now, out);
  return out;
}

void FlowRouterImpl::explainPlacement(const Service &service,
                                      const RouteRecord &route,
                                      const ServiceTable &table,
                                      const FlowEntry &entry,
                                      bool isHolderSilent, TimePoint now,
                                      FlowExplanation &out) const {
  const DataCentreId local = table.findDataCentre(Options.DataCentre);
  std::vector<RankedMember> members =
      rankMembers(out.Flow, service.members(), {}, local);
  // Copies of the members that get no offer: a silent holder, and the choice
  // once it has declined.
  std::deque<ServiceMember> leftOut;
  const auto leaveOut = [&](const Endpoint &agent) {
    for (RankedMember &it : members)
      if (it.Member->Address == agent) {
        leftOut.push_back(*it.Member);
        leftOut.back().State = CandidateState::Suspect;
        it.Member = &leftOut.back();
      }
  };
  if (isHolderSilent)
    leaveOut(entry.Current.Agent);
  const bool isByTerms = hasWaitTerms(route);
  const std::vector<RankedMember> candidates =
      isByTerms ? withRoom(members, now) : members;
  const auto loads = Policy->comparedLoads(candidates, local, Agents, now);
  // The next of the candidates, which are in the order of the members.
  std::size_t next = 0;
  const auto withdrawn = table.withdrawnMembers(service.id());
  out.UpstreamCount = members.size() + withdrawn.size();
  for (std::size_t i = 0;
       i < std::min(members.size(), FlowExplanation::MaxUpstreams); ++i) {
    ExplainedUpstream it = explainUpstream(*members[i].Member, table, now);
    it.Tier = members[i].Tier;
    const bool isCandidate = next < candidates.size() &&
                             candidates[next].Member == members[i].Member;
    if (isCandidate)
      it.Load = loads[next++];
    if (isHolderSilent && it.Agent == entry.Current.Agent) {
      it.State = OfferState::Silent;
      it.StateEndsIn = Options.UnresponsivePenalty;
    } else if (it.State == OfferState::Eligible && !isCandidate) {
      it.State = OfferState::NoRoom;
    } else if (it.State == OfferState::Eligible && !it.Load) {
      it.State = OfferState::LaterTier;
    }
    out.Upstreams.push_back(std::move(it));
  }
  for (const ServiceMember &member : withdrawn) {
    if (out.Upstreams.size() >= FlowExplanation::MaxUpstreams)
      break;
    ExplainedUpstream it = explainUpstream(member, table, now);
    it.State = OfferState::DataCentreOut;
    out.Upstreams.push_back(std::move(it));
  }
  const ServiceMember *best = nullptr;
  if (!isByTerms || isNext(WaitTurn::None, 0, service.id()))
    best = Policy->choose(out.Flow, candidates, local, Agents, now);
  if (best == nullptr) {
    if ((!isByTerms || Waiting.canAdd(out.Flow)) &&
        isDeferrable(members, entry.DeferredSince.value_or(now),
                     maxDeferralOf(route), now)) {
      out.Action = RelayAction::Defer;
      out.Reason = RelayReason::Busy;
    }
    return;
  }
  out.Action = RelayAction::Forward;
  out.Reason = RelayReason::Placed;
  out.Agent = best->Address;
  if (isByTerms)
    return;
  leaveOut(best->Address);
  const ServiceMember *second =
      Policy->choose(out.Flow, members, local, Agents, now);
  if (second != nullptr)
    out.NextAgent = second->Address;
}

ExplainedUpstream FlowRouterImpl::explainUpstream(const ServiceMember &member,
                                                  const ServiceTable &table,
                                                  TimePoint now) const {
  const AgentStatus *status = Agents.find(member.Address);
  ExplainedUpstream out;
  out.Id = member.Id;
  out.Agent = member.Address;
  out.DataCentre = table.dataCentreName(member.DataCentre);
  out.IsLocal = member.DataCentre == table.findDataCentre(Options.DataCentre);
  out.State = offerStateOf(member, status, now);
  if (status == nullptr)
    return out;
  if (out.State == OfferState::Silent)
    out.StateEndsIn = status->SilentUntil - now;
  if (out.State == OfferState::Declined)
    out.StateEndsIn = status->AvoidUntil - now;
  out.PlacedSinceReport = status->PlacedSinceReport;
  if (status->ReportedAt) {
    out.Report = status->Load;
    out.ReportAge = now - *status->ReportedAt;
  }
  return out;
}

SearchCandidates FlowRouterImpl::candidates(const FlowEndpoints &flow,
                                            const RouteRecord &route,
                                            const ServiceTable &table,
                                            TimePoint now) const {
  const DataCentreId localDataCentre = table.findDataCentre(Options.DataCentre);
  SearchCandidates found;
  std::vector<HolderCandidate> silent;
  for (const ServiceId id : servicesOf(route)) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    const ServiceNameHash name = hashServiceName(service->name());
    for (const RankedMember &it :
         rankMembers(flow, service->members(), table.withdrawnMembers(id),
                     localDataCentre)) {
      const ServiceMember &member = *it.Member;
      const AgentStatus *status = Agents.find(member.Address);
      const bool isSilent = member.State == CandidateState::Suspect ||
                            (status != nullptr && now < status->SilentUntil);
      (isSilent ? silent : found.All)
          .push_back({member.Address, name,
                      status != nullptr && status->AnswersQueries,
                      status != nullptr && status->CannotTellAt &&
                          now - *status->CannotTellAt < CannotTellRetention});
      found.FirstRound += it.Tier == 0 ? 1 : 0;
    }
  }
  found.All.insert(found.All.end(), silent.begin(), silent.end());
  return found;
}

HolderSearch &FlowRouterImpl::beginSearch(FlowEntry &entry,
                                          const FlowEndpoints &flow,
                                          TimePoint now) {
  if (!entry.Searching) {
    entry.Searching = true;
    entry.ResolvingSince = now;
    entry.Current = {};
    entry.Confirmed = false;
  }
  return Searches.try_emplace(flow, now, Options.UsesChains).first->second;
}

void FlowRouterImpl::endSearch(FlowEntry &entry, const FlowEndpoints &flow) {
  if (entry.Searching)
    Searches.erase(flow);
  entry.Searching = false;
}

SearchLimits FlowRouterImpl::searchLimits() const {
  return {.SendDelay = IsLinkCongested ? MaxRequestWait : Duration{0}};
}

RelayDecision FlowRouterImpl::search(FlowEntry &entry,
                                     const FlowEndpoints &flow,
                                     const RouteRecord &route,
                                     const ServiceTable &table, TimePoint now) {
  HolderSearch &it = beginSearch(entry, flow, now);
  if (it.isFinished())
    it.resume();
  return advanceSearch(entry, flow, route, table, now);
}

RelayDecision FlowRouterImpl::advanceSearch(FlowEntry &entry,
                                            const FlowEndpoints &flow,
                                            const RouteRecord &route,
                                            const ServiceTable &table,
                                            TimePoint now) {
  HolderSearch &search = Searches.at(flow);
  RelayDecision decision{.Action = RelayAction::Query,
                         .Reason = RelayReason::Search};
  SearchLimits limits = searchLimits();
  if (!search.canAdvance(now, limits))
    return decision;
  limits.MaySendPacket = isPacketKept(entry, now) && SearchPackets.hasRoom(now);
  const SearchCandidates agents = candidates(flow, route, table, now);
  const SearchStep step =
      search.advance(agents.All, agents.FirstRound, now, limits);
  // Searches await replies longer on a congested link, so here the lack of one
  // does say something about the agent.
  for (const Endpoint &it : search.unresponsive())
    Agents.recordTimeout(it, now + Options.UnresponsivePenalty);
  switch (step.Action) {
  case SearchStep::Kind::Wait:
    return decision;
  case SearchStep::Kind::Query:
    for (const HolderCandidate &it : step.Agents)
      decision.Queries.push_back({it.Agent, it.Service});
    return decision;
  case SearchStep::Kind::Probe:
  case SearchStep::Kind::Chain:
    decision.IsChain = step.Action == SearchStep::Kind::Chain;
    decision.Action = RelayAction::Forward;
    decision.Agent = step.Agents[0].Agent;
    decision.Service = step.Agents[0].Service;
    decision.NeedsConfirmation = true;
    for (const HolderCandidate &it : std::span(step.Agents).subspan(1))
      decision.OtherAgents.push_back(it.Agent);
    SearchPackets.spend(copiesOf(step) * (PacketHeaderBytes + entry.DataBytes));
    return decision;
  case SearchStep::Kind::Unanswered:
    // The entry stays, so that the next packet resumes the search.
    entry.LastPacketAt = now;
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unanswered};
  case SearchStep::Kind::NotFound:
    return resetUnlessTableIsOld(flow, RelayReason::Unknown, table, now);
  }
  return decision;
}

RelayDecision FlowRouterImpl::onFlowNotHeld(const FlowNotHeld &message,
                                            const UpstreamLoad &load,
                                            const Endpoint &agent,
                                            const ServiceTable &table,
                                            TimePoint now) {
  Agents.recordAnswer(agent, load, now);
  Agents.recordAnswersQueries(agent);
  if (!message.IsCertain)
    Agents.recordCannotTell(agent, now);
  const FlowEndpoints &flow = message.Flow;
  const auto it = Searches.find(flow);
  if (it == Searches.end())
    return {.Action = RelayAction::Query, .Reason = RelayReason::Search};
  it->second.onNotHeld(agent, message.IsCertain, now);
  const RouteRecord *route = table.findRoute(flow.Service);
  if (route == nullptr)
    return resetUnlessTableIsOld(flow, RelayReason::NoRoute, table, now);
  return advanceSearch(Flows.at(flow), flow, *route, table, now);
}

std::vector<FlowDecision>
FlowRouterImpl::pollSearches(const ServiceTable &table, TimePoint now) {
  std::vector<FlowEndpoints> due;
  for (const auto &[flow, it] : Searches)
    if (it.canAdvance(now, searchLimits()) && !awaitsTable(it, table, now))
      due.push_back(flow);
  // The oldest searches come first if the budget does not suffice for all: a
  // packet that visits other upstreams must reach its holder soon.
  std::ranges::sort(due, {}, [&](const FlowEndpoints &it) {
    return Searches.at(it).startedAt();
  });
  std::vector<FlowDecision> decisions;
  for (const FlowEndpoints &flow : due) {
    const RouteRecord *route = table.findRoute(flow.Service);
    RelayDecision decision =
        route == nullptr
            ? resetUnlessTableIsOld(flow, RelayReason::NoRoute, table, now)
            : advanceSearch(Flows.at(flow), flow, *route, table, now);
    if (decision.Reason != RelayReason::Search ||
        decision.Action != RelayAction::Query || !decision.Queries.empty())
      decisions.push_back({flow, std::move(decision)});
  }
  return decisions;
}

bool FlowRouterImpl::isConfirmed(const ServiceTable &table,
                                 TimePoint since) const {
  return ConfirmedAt && *ConfirmedAt >= since &&
         table.revision() >= ConfirmedRevision;
}

bool FlowRouterImpl::awaitsTable(const HolderSearch &search,
                                 const ServiceTable &table,
                                 TimePoint now) const {
  return search.tableWithoutHolder() == table.revision() &&
         !isConfirmed(table, search.startedAt()) &&
         now - *search.awaitingSince() < Options.ConfirmationTimeout;
}

RelayDecision FlowRouterImpl::resetUnlessTableIsOld(const FlowEndpoints &flow,
                                                    RelayReason reason,
                                                    const ServiceTable &table,
                                                    TimePoint now) {
  HolderSearch &search = Searches.at(flow);
  if (isConfirmed(table, search.startedAt()))
    return resetLostFlow(Flows.at(flow), flow, reason, now);
  const bool isFirst = !search.awaitingSince();
  search.awaitTable(table.revision(), now);
  if (now - *search.awaitingSince() >= Options.ConfirmationTimeout)
    return resetLostFlow(Flows.at(flow), flow, RelayReason::Unconfirmed, now);
  return {.Action = RelayAction::Query,
          .Reason = isFirst ? RelayReason::AwaitsTable : RelayReason::Search};
}

bool FlowRouterImpl::needsConfirmedTable() const {
  return std::ranges::any_of(Searches, [&](const auto &it) {
    return it.second.tableWithoutHolder() &&
           (!ConfirmedAt || *ConfirmedAt < it.second.startedAt());
  });
}

void FlowRouterImpl::confirmTable(TimePoint askedAt, Revision committed) {
  ConfirmedAt = askedAt;
  ConfirmedRevision = committed;
}

void FlowRouterImpl::eraseFoundFlows(std::vector<FlowEndpoints> &flows) const {
  std::erase_if(flows, [&](const FlowEndpoints &it) {
    const auto search = Searches.find(it);
    return search == Searches.end() || search->second.isFinished();
  });
}

void FlowRouterImpl::onQuerySent(const FlowQuery &query, const Endpoint &agent,
                                 TimePoint now) {
  for (const FlowEndpoints &it : query.Flows)
    if (const auto search = Searches.find(it); search != Searches.end())
      search->second.onQuerySent(agent, now);
}

bool FlowRouterImpl::mayHaveOpened(const FlowPacket &firstPacket) const {
  const auto it = Flows.find({firstPacket.Source, firstPacket.Destination});
  if (it == Flows.end())
    return false;
  const FlowEntry &entry = it->second;
  if (!entry.OpeningSequence)
    return entry.Current.Agent.Port != 0;
  return entry.OpeningSequence == firstPacket.Sequence &&
         (entry.ForwardedAt != TimePoint{} || entry.Current.Agent.Port != 0);
}

bool FlowRouterImpl::isSearching() const {
  return std::ranges::any_of(
      Searches, [](const auto &it) { return !it.second.isFinished(); });
}

RelayDecision FlowRouterImpl::onReturnedPacket(const FlowPacket &packet,
                                               const ReturnedPacket &message,
                                               const Endpoint &agent,
                                               const ServiceTable &table,
                                               TimePoint now) {
  const FlowEndpoints flow{packet.Source, packet.Destination};
  Agents.recordAnswer(agent, message.Load, now);
  const RouteRecord *route = table.findRoute(packet.Destination);
  if (route == nullptr)
    return removeFlow(flow, RelayAction::Drop, RelayReason::NoRoute);
  if (message.Attempt >= MaxAttempts)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unknown};
  FlowEntry &entry = findOrInsert(flow, now);
  const auto visitedAgents = static_cast<std::uint8_t>(message.Attempt + 1);
  resolveServices(entry, *route, table);
  const bool isFromHolder = entry.Current.Agent == agent;
  // The flow has been placed or found on another agent in the meantime.
  if (entry.Current.Agent.Port != 0 && !isFromHolder &&
      (!packet.Opens || takesNewFlows(entry.Current, *route, table)))
    return forwardToHolder(entry, visitedAgents);
  if (packet.Opens) {
    Agents.recordDecline(agent, now + Duration(message.RetryAfterMs));
    if (isFromHolder && entry.OfferedBy && entry.OfferedCopies > 0) {
      --entry.OfferedCopies;
      return {.Action = RelayAction::Drop, .Reason = RelayReason::Busy};
    }
    if (const auto service = std::exchange(entry.OfferedBy, std::nullopt))
      Waiting.recordDecline(*service, now);
    entry.Attempt = visitedAgents;
    entry.Current = {};
    return placeFlow(entry, flow, *route, table, now);
  }
  if (entry.LostAt)
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unknown};
  if (entry.Alternate.Agent.Port != 0 && !entry.Searching) {
    entry.Current = std::exchange(entry.Alternate, {});
    return forwardToHolder(entry, visitedAgents);
  }
  RelayDecision decision;
  // An agent of another service gives packets back with a delay.
  const bool isRefused = message.RetryAfterMs > 0;
  if (isFromHolder && !isRefused && acceptedBy(entry.Current, packet)) {
    decision = resetLostFlow(entry, flow, RelayReason::HolderLost, now);
  } else {
    entry.DataBytes = packet.DataBytes;
    const std::optional<ServiceNameHash> refusedService =
        isFromHolder && isRefused ? entry.Current.Service : std::nullopt;
    beginSearch(entry, flow, now).onReturned(agent, refusedService, now);
    decision = search(entry, flow, *route, table, now);
  }
  // A reset is sent only to a caller that waits for an answer, not in reply to
  // its own reset.
  if (decision.Action == RelayAction::Reset && packet.Resets)
    return {.Action = RelayAction::Drop, .Reason = decision.Reason};
  return decision;
}

std::optional<HolderConfirmation>
FlowRouterImpl::onFlowHeld(const FlowHeld &message, const Endpoint &agent,
                           TimePoint now) {
  Agents.recordAnswer(agent, message.Load, now);
  const FlowEndpoints flow{message.Caller, message.Service};
  FlowEntry &entry = findOrInsert(flow, now);
  Holder holder{agent, message.FirstSequence, std::nullopt, now};
  if (entry.Confirmed && entry.Current.Agent != agent) {
    entry.Alternate = holder;
    return std::nullopt;
  }
  std::optional<HolderConfirmation> found;
  entry.LostAt.reset();
  if (entry.ResolvingSince)
    found = {entry.Searching, now - *entry.ResolvingSince,
             entry.Searching && Searches.at(flow).wasSentPacket(agent)};
  entry.ResolvingSince.reset();
  if (entry.Searching) {
    holder.Service = Searches.at(flow).serviceOf(agent);
  } else if (entry.Current.Agent == agent) {
    holder.Service = entry.Current.Service;
    holder.Since = entry.Current.Since;
  } else if (entry.Current.FirstSequence != 0) {
    entry.Alternate = entry.Current;
  }
  entry.Current = holder;
  entry.DeferredSince.reset();
  if (const auto service = std::exchange(entry.OfferedBy, std::nullopt))
    Waiting.recordAccept(*service);
  entry.Confirmed = true;
  endSearch(entry, flow);
  entry.Attempt = 0;
  return found;
}

void FlowRouterImpl::tick(TimePoint now) {
  constexpr Duration SweepInterval{5000};
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  absl::erase_if(Flows, [&](const auto &it) {
    const FlowEntry &entry = it.second;
    const Duration limit =
        entry.Searching ? SearchRetention : Options.FlowIdleTimeout;
    const bool isOver = now - entry.LastPacketAt >= limit;
    if (isOver && entry.Searching)
      Searches.erase(it.first);
    return isOver;
  });
}

} // namespace

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options) {
  return std::make_unique<FlowRouterImpl>(std::move(options));
}

std::vector<std::pair<Endpoint, ChainedPacket>>
makeChains(const RelayDecision &decision, std::span<const std::byte> packet) {
  std::vector<Endpoint> agents{decision.Agent};
  agents.insert(agents.end(), decision.OtherAgents.begin(),
                decision.OtherAgents.end());
  std::vector<std::pair<Endpoint, ChainedPacket>> chains;
  for (std::span<const Endpoint> rest = agents; !rest.empty();) {
    const auto chain = rest.first(std::min(rest.size(), MaxChainedAgents));
    rest = rest.subspan(chain.size());
    chains.push_back({chain[0],
                      {decision.Service,
                       {},
                       {chain.begin() + 1, chain.end()},
                       {packet.begin(), packet.end()}}});
  }
  return chains;
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

std::string_view nameOf(PlacementKind kind) {
  return kind == PlacementKind::ExpectedWait ? "expected-wait" : "least-loaded";
}

std::string_view nameOf(OfferState state) {
  switch (state) {
  case OfferState::Eligible:
    return "eligible";
  case OfferState::Draining:
    return "draining";
  case OfferState::Suspect:
    return "suspect";
  case OfferState::Silent:
    return "silent";
  case OfferState::Declined:
    return "declined";
  case OfferState::DataCentreOut:
    return "data-centre-out";
  case OfferState::LaterTier:
    return "later-tier";
  case OfferState::NoRoom:
    return "no-room";
  }
  return "other";
}

std::string_view nameOf(RelayAction action) {
  switch (action) {
  case RelayAction::Forward:
    return "forward";
  case RelayAction::Reset:
    return "reset";
  case RelayAction::Drop:
    return "drop";
  case RelayAction::Defer:
    return "defer";
  case RelayAction::Query:
    return "query";
  }
  return "other";
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
  case RelayReason::HolderLost:
    return "holder-lost";
  case RelayReason::AwaitsTable:
    return "awaits-table";
  case RelayReason::Unconfirmed:
    return "unconfirmed";
  case RelayReason::LinkFull:
    return "link-full";
  }
  return "other";
}

} // namespace pistachio
