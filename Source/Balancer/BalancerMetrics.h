#pragma once

#include "Routing/Routing.h"
#include "Telemetry/Telemetry.h"

#include <array>

namespace pistachio {

/// Counters and gauges shared by all workers. Updates are lock-free.
struct BalancerMetrics {
  explicit BalancerMetrics(MetricsRegistry &registry);

  /// Packets sent to an agent.
  Counter &Forwarded;
  /// Resets sent to callers whose flow does not exist.
  Counter &Resets;
  /// First packets whose caller was told to try again later.
  Counter &Refused;
  /// Packets that an agent sent back because no member of their chain holds the
  /// flow. They are routed again with the next ranks.
  Counter &ChainsExtended;
  /// Datagrams that could not be decoded or encoded, or are not for a balancer.
  Counter &BadMessages;
  /// Dropped packets for each DropReason.
  std::array<Counter *, static_cast<std::size_t>(DropReason::Max) + 1>
      Dropped{};
  Gauge &TableRevision;
  /// Upstreams in the table.
  Gauge &Upstreams;
  /// The LeaseMode as a number.
  Gauge &Mode;
};

} // namespace pistachio
