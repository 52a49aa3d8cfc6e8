#include "Relay/Relay.h"

#include "Relay/LinkScheduler.h"

namespace pistachio {

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
  switch (kind) {
  case PlacementKind::LeastLoaded:
    return "least-loaded";
  case PlacementKind::ExpectedWait:
    return "expected-wait";
  case PlacementKind::Adaptive:
    return "adaptive";
  }
  return "other";
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

std::string_view nameOf(LinkClass linkClass) {
  switch (linkClass) {
  case LinkClass::Urgent:
    return "urgent";
  case LinkClass::Small:
    return "small";
  case LinkClass::Medium:
    return "medium";
  case LinkClass::Bulk:
    return "bulk";
  }
  return "other";
}

} // namespace pistachio
