#include "AgentMetrics.h"

namespace pistachio {
namespace {

void raise(Counter &counter, std::uint64_t present, std::uint64_t last) {
  if (present > last)
    counter.add(static_cast<double>(present - last));
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
      UnknownFlows(registry.counter(
          "pistachio_agent_unknown_flow_packets_total",
          "Packets of flows that are not held here", {{"service", service}})),
      WrongService(registry.counter(
          "pistachio_agent_wrong_service_packets_total",
          "Packets dropped because they are for another service",
          {{"service", service}})),
      HopLimit(registry.counter("pistachio_agent_hop_limit_packets_total",
                                "Packets dropped at the hop limit",
                                {{"service", service}})),
      DroppedWhileOut(
          registry.counter("pistachio_agent_out_packets_total",
                           "Packets dropped while the data centre is out",
                           {{"service", service}})),
      BadMessages(
          registry.counter("pistachio_agent_bad_messages_total",
                           "Datagrams and payloads that could not be decoded",
                           {{"service", service}})),
      Flows(registry.gauge("pistachio_agent_flows", "Open flows",
                           {{"service", service}})),
      Limit(registry.gauge("pistachio_agent_admission_limit",
                           "Requests that may run at the back end",
                           {{"service", service}})),
      InFlight(registry.gauge("pistachio_agent_requests_in_flight",
                              "Requests that run at the back end",
                              {{"service", service}})),
      Draining(registry.gauge("pistachio_agent_draining",
                              "1 while the agent takes no new flows",
                              {{"service", service}})) {}

void AgentMetrics::update(const FlowPlacement &placement,
                          const Admission &admission) {
  const PlacementCounters now = placement.counters();
  raise(FlowsAccepted, now.Accepted, Last.Accepted);
  raise(FlowsHandedOn, now.HandedOverForLoad, Last.HandedOverForLoad);
  raise(FlowsRefused, now.Refused, Last.Refused);
  raise(FlowResets, now.Resets, Last.Resets);
  raise(Probes, now.Probes, Last.Probes);
  raise(UnknownFlows, now.UnknownFlow, Last.UnknownFlow);
  raise(WrongService, now.WrongService, Last.WrongService);
  raise(HopLimit, now.HopLimitExceeded, Last.HopLimitExceeded);
  raise(DroppedWhileOut, now.DroppedOutOfService, Last.DroppedOutOfService);
  Last = now;
  const std::uint64_t bad = admission.BadPayloads + admission.BadDatagrams;
  raise(BadMessages, bad, LastBad);
  LastBad = bad;
  Flows.set(static_cast<double>(placement.flowCount()));
  Limit.set(admission.Limit);
  InFlight.set(admission.InFlight);
  Draining.set(placement.lifecycle() == Lifecycle::Draining ? 1 : 0);
}

} // namespace pistachio
