#pragma once

#include "Routing/Routing.h"
#include "Telemetry/Telemetry.h"

#include <array>

namespace pistachio {

/// Counters and gauges shared by all workers. Updates are lock-free.
struct BalancerMetrics {
  explicit BalancerMetrics(MetricsRegistry &registry);

  Counter &Forwarded;
  Counter &Resets;
  Counter &Refused;
  Counter &ChainsExtended;
  Counter &BadMessages;
  std::array<Counter *, static_cast<std::size_t>(DropReason::Max) + 1>
      Dropped{};
  Gauge &TableRevision;
  Gauge &Upstreams;
  Gauge &Mode;
};

} // namespace pistachio
