#pragma once

#include "Placement/Placement.h"
#include "Telemetry/Telemetry.h"

namespace pistachio {

/// Exports the counters of the flow placement and the state of the admission
/// control as metrics.
class AgentMetrics {
public:
  AgentMetrics(MetricsRegistry &registry, const std::string &service);

  /// The values of an update that do not come from the flow placement.
  struct AdmissionStatus {
    std::uint32_t Limit = 0;
    std::uint32_t InFlight = 0;
    std::uint64_t InvalidPayloads = 0;
    std::uint64_t InvalidDatagrams = 0;
  };
  /// Adds the changes since the last call to the counters and sets the gauges.
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
  /// Values at the last update.
  PlacementCounters LastCounters;
  std::uint64_t LastInvalidMessages = 0;
};

} // namespace pistachio
