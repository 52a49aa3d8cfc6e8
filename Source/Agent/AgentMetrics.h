#pragma once

#include "Placement/Placement.h"
#include "Telemetry/Telemetry.h"

namespace pistachio {

/// Publishes the counters of the placement and the state of admission.
class AgentMetrics {
public:
  AgentMetrics(MetricsRegistry &registry, const std::string &service);

  struct Admission {
    std::uint32_t Limit = 0;
    std::uint32_t InFlight = 0;
    std::uint64_t BadPayloads = 0;
    std::uint64_t BadDatagrams = 0;
  };
  void update(const FlowPlacement &placement, const Admission &admission);

private:
  Counter &FlowsAccepted;
  Counter &FlowsHandedOn;
  Counter &FlowsRefused;
  Counter &FlowResets;
  Counter &Probes;
  Counter &UnknownFlows;
  Counter &WrongService;
  Counter &HopLimit;
  Counter &DroppedWhileOut;
  Counter &BadMessages;
  Gauge &Flows;
  Gauge &Limit;
  Gauge &InFlight;
  Gauge &Draining;
  PlacementCounters Last;
  std::uint64_t LastBad = 0;
};

} // namespace pistachio
