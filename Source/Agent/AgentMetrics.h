#pragma once

#include "Placement/Placement.h"
#include "Telemetry/Telemetry.h"

namespace pistachio {

/// Publishes the counters of the placement and the state of admission.
class AgentMetrics {
public:
  AgentMetrics(MetricsRegistry &registry, const std::string &service);

  struct AdmissionStatus {
    std::uint32_t Limit = 0;
    std::uint32_t InFlight = 0;
    std::uint64_t InvalidPayloads = 0;
    std::uint64_t InvalidDatagrams = 0;
  };
  void update(const FlowPlacement &placement, const AdmissionStatus &admission);

private:
  Counter &FlowsAccepted;
  Counter &FlowsHandedOn;
  Counter &FlowsRefused;
  Counter &FlowResets;
  Counter &Probes;
  Counter &UnknownFlowPackets;
  Counter &WrongServicePackets;
  Counter &HopLimitDrops;
  Counter &DroppedWhileDataCentreOut;
  Counter &InvalidMessages;
  Gauge &Flows;
  Gauge &AdmissionLimit;
  Gauge &InFlight;
  Gauge &Draining;
  PlacementCounters LastCounters;
  std::uint64_t LastInvalidMessages = 0;
};

} // namespace pistachio
