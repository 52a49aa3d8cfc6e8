#include "FlowRouterImpl.h"

#include <algorithm>
#include <utility>

namespace pistachio {
namespace {

/// A search that found no holder because agents did not reply is kept this
/// long, so that the next packet of the flow asks only those again.
constexpr Duration SearchRetention{5000};

/// An agent whose slots are busy asks for a pause of at most this long. One
/// that accepts no flows asks for more and is put aside for that time, so that
/// its declined offers need no further limit. After a restart of all agents,
/// such a limit delayed the flows of all callers.
constexpr Duration MaxBusyRetryDelay{100};

/// A sequence number that is further ahead of the first one of a flow than this
/// belongs to another connection with the same endpoints: two upstreams that
/// both accepted the first packet use different initial sequence numbers.
constexpr std::uint32_t SequenceWindowBytes = 16U * 1024 * 1024;

/// A flow is reset without a search if its holder returns a packet that
/// acknowledges at most this much data. Two upstreams may both have accepted
/// copies of the first packet, the other one through another balancer; their
/// initial sequence numbers are rarely this close. A flow of a minute with
/// answers of 2 kB stays within it.
constexpr std::uint32_t LostHolderWindowBytes = 128U * 1024;

/// How long packets of a flow without a holder are reset without a search: its
/// caller may have several packets on their way.
constexpr Duration LostFlowRetention{2000};

/// Returns whether the packet acknowledges data of the connection that this
/// holder's upstream has accepted.
bool acceptedBy(const Holder &holder, const FlowPacket &packet,
                std::uint32_t windowBytes = SequenceWindowBytes) {
  return holder.FirstSequence != 0 && packet.Acknowledges &&
         packet.Acknowledgement - holder.FirstSequence <= windowBytes;
}

} // namespace

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
    const auto service = std::exchange(entry.OfferedBy, std::nullopt);
    if (service && Duration(message.RetryAfterMs) <= MaxBusyRetryDelay)
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
  if (isFromHolder && !isRefused &&
      acceptedBy(entry.Current, packet, LostHolderWindowBytes)) {
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

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options) {
  return std::make_unique<FlowRouterImpl>(std::move(options));
}

} // namespace pistachio
