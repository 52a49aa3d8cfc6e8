#include "AgentMetrics.h"

namespace pistachio {
namespace {

/// Adds the increase of a cumulative count since the last update.
void addIncrease(Counter &counter, std::uint64_t current, std::uint64_t last) {
  if (current > last)
    counter.add(static_cast<double>(current - last));
}

} // namespace

AgentMetrics::AgentMetrics(MetricsRegistry &registry,
                           const std::string &service)
    : FlowsAccepted(registry.counter("pistachio_agent_flows_accepted_total",
                                     "Flows accepted here",
                                     {{"service", service}})),
      FlowsHandedOn(registry.counter("pistachio_agent_flows_handed_on_total",
                                     "New flows handed to a less loaded agent",
                                     {{"service", service}})),
      FlowsRefused(registry.counter("pistachio_agent_flows_refused_total",
                                    "New flows refused",
                                    {{"service", service}})),
      FlowResets(registry.counter("pistachio_agent_flow_resets_total",
                                  "Resets sent for flows that nobody holds",
                                  {{"service", service}})),
      Probes(registry.counter("pistachio_agent_probes_total",
                              "First packets probed at other agents",
                              {{"service", service}})),
      UnknownFlowPackets(registry.counter(
          "pistachio_agent_unknown_flow_packets_total",
          "Packets of flows that are not held here", {{"service", service}})),
      WrongServicePackets(registry.counter(
          "pistachio_agent_wrong_service_packets_total",
          "Packets dropped because they are for another service",
          {{"service", service}})),
      HopLimitDrops(registry.counter("pistachio_agent_hop_limit_packets_total",
                                     "Packets dropped at the hop limit",
                                     {{"service", service}})),
      DroppedWhileDataCentreOut(
          registry.counter("pistachio_agent_out_packets_total",
                           "Packets dropped while the data centre is out",
                           {{"service", service}})),
      InvalidMessages(
          registry.counter("pistachio_agent_bad_messages_total",
                           "Datagrams and payloads that could not be decoded",
                           {{"service", service}})),
      Flows(registry.gauge("pistachio_agent_flows", "Open flows",
                           {{"service", service}})),
      AdmissionLimit(registry.gauge("pistachio_agent_admission_limit",
                                    "Requests that may run at the back end",
                                    {{"service", service}})),
      InFlight(registry.gauge("pistachio_agent_requests_in_flight",
                              "Requests that run at the back end",
                              {{"service", service}})),
      Draining(registry.gauge("pistachio_agent_draining",
                              "1 while the agent takes no new flows",
                              {{"service", service}})) {}

void AgentMetrics::update(const FlowPlacement &placement,
                          const AdmissionStatus &admission) {
  const PlacementCounters counters = placement.counters();
  addIncrease(FlowsAccepted, counters.Accepted, LastCounters.Accepted);
  addIncrease(FlowsHandedOn, counters.HandedOverForLoad,
              LastCounters.HandedOverForLoad);
  addIncrease(FlowsRefused, counters.Refused, LastCounters.Refused);
  addIncrease(FlowResets, counters.Resets, LastCounters.Resets);
  addIncrease(Probes, counters.Probes, LastCounters.Probes);
  addIncrease(UnknownFlowPackets, counters.UnknownFlow,
              LastCounters.UnknownFlow);
  addIncrease(WrongServicePackets, counters.WrongService,
              LastCounters.WrongService);
  addIncrease(HopLimitDrops, counters.HopLimitExceeded,
              LastCounters.HopLimitExceeded);
  addIncrease(DroppedWhileDataCentreOut, counters.DroppedOutOfService,
              LastCounters.DroppedOutOfService);
  LastCounters = counters;
  const std::uint64_t invalidMessages =
      admission.InvalidPayloads + admission.InvalidDatagrams;
  addIncrease(InvalidMessages, invalidMessages, LastInvalidMessages);
  LastInvalidMessages = invalidMessages;
  Flows.set(static_cast<double>(placement.flowCount()));
  AdmissionLimit.set(admission.Limit);
  InFlight.set(admission.InFlight);
  Draining.set(placement.lifecycle() == Lifecycle::Draining ? 1 : 0);
}

} // namespace pistachio
