#include "BalancerMetrics.h"

namespace pistachio {
namespace {

std::string reasonName(DropReason reason) {
  switch (reason) {
  // No packet is dropped without a reason, so this counter stays 0. Its label
  // keeps the published name.
  case DropReason::None:
    return "suspect";
  case DropReason::UnknownService:
    return "unknown_service";
  case DropReason::NotServing:
    return "not_serving";
  case DropReason::Isolated:
    return "isolated";
  case DropReason::NoMember:
    return "no_member";
  case DropReason::HopLimit:
    return "hop_limit";
  }
  return "other";
}

} // namespace

BalancerMetrics::BalancerMetrics(MetricsRegistry &registry)
    : Forwarded(registry.counter("pistachio_balancer_packets_forwarded_total",
                                 "Packets sent to an agent")),
      Resets(registry.counter("pistachio_balancer_resets_total",
                              "Resets sent to callers")),
      Refused(registry.counter("pistachio_balancer_refusals_total",
                               "First packets refused")),
      ChainsExtended(registry.counter(
          "pistachio_balancer_chains_extended_total",
          "Packets whose first candidates did not know the flow")),
      BadMessages(registry.counter("pistachio_balancer_bad_messages_total",
                                   "Datagrams that could not be decoded")),
      TableRevision(registry.gauge("pistachio_balancer_table_revision",
                                   "Revision of the table in force")),
      Upstreams(registry.gauge("pistachio_balancer_upstreams",
                               "Upstreams in the table")),
      Mode(registry.gauge("pistachio_balancer_lease_mode",
                          "0 starting, 1 leased, 2 control down, 3 isolated")) {
  for (std::size_t i = 0; i < Dropped.size(); ++i)
    Dropped[i] = &registry.counter(
        "pistachio_balancer_packets_dropped_total", "Packets dropped",
        {{"reason", reasonName(static_cast<DropReason>(i))}});
}

} // namespace pistachio
