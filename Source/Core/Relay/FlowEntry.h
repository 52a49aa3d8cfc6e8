#pragma once

#include "Relay/Relay.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pistachio {

/// An agent whose upstream may hold a flow.
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

/// What the balancer knows of a flow.
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

/// Services whose upstreams may hold flows of the route, in the order in which
/// they are searched.
std::vector<ServiceId> servicesOf(const RouteRecord &route);

/// Sets the services of the holders. A holder that belongs to no service of the
/// route is forgotten.
void resolveServices(FlowEntry &entry, const RouteRecord &route,
                     const ServiceTable &table);

/// Returns whether the route sends new flows to the service of the holder.
bool takesNewFlows(const Holder &holder, const RouteRecord &route,
                   const ServiceTable &table);

} // namespace pistachio
