#include "FlowRouterImpl.h"

#include <algorithm>
#include <iterator>

namespace pistachio {

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
  const bool isByTerms = waitsByTerms(route);
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
  const bool isByTerms = waitsByTerms(route);
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

bool FlowRouterImpl::waitsByTerms(const RouteRecord &route) const {
  return Options.WaitsByTerms && (route.Terms.Urgency || route.Terms.Objective);
}

Duration FlowRouterImpl::maxDeferralOf(const RouteRecord &route) const {
  return waitsByTerms(route) && route.Terms.Objective
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

} // namespace pistachio
