#include "AgentLoads.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Flows for each slot that an agent has with RoomKind::NextInLine: one at work
/// and one that follows it without a pause. More would wait at the agent
/// regardless of their urgency.
constexpr double MaxFlowsPerSlot = 2;

/// Agents accept no flow that would wait for a slot for longer than this, in
/// milliseconds (MaxSlotWait of UpstreamRelay).
constexpr double MaxSlotWaitMs = 100;

} // namespace

std::size_t expectedRoom(const AgentStatus *status, RoomKind kind,
                         TimePoint now) {
  if (status == nullptr)
    return 1;
  const double slots = std::max<double>(status->Load.Slots, 1);
  const double serviceTime = status->Load.ServiceTimeMs > 0
                                 ? status->Load.ServiceTimeMs
                                 : DefaultServiceTimeMs;
  const auto remaining = [&](double flows, TimePoint since) {
    const auto elapsed = static_cast<double>((now - since).count());
    return std::max(0.0, flows - elapsed * slots / serviceTime);
  };
  double flows = 0;
  if (status->ReportedAt)
    flows += remaining(status->Load.BusyFlows, *status->ReportedAt);
  if (status->PlacedAt)
    flows += remaining(status->PlacedSinceReport, *status->PlacedAt);
  const double flowsPerSlot =
      kind == RoomKind::FreeSlot
          ? 1
          : std::min(MaxFlowsPerSlot, 1 + MaxSlotWaitMs / serviceTime);
  return static_cast<std::size_t>(std::max(0.0, flowsPerSlot * slots - flows));
}

const AgentStatus *AgentLoads::find(const Endpoint &agent) const {
  const auto it = Agents.find(agent);
  return it == Agents.end() ? nullptr : &it->second;
}

void AgentLoads::recordAnswer(const Endpoint &agent, const UpstreamLoad &load,
                              TimePoint now) {
  AgentStatus &status = Agents[agent];
  status.SilentUntil = {};
  status.Load = load;
  status.ReportedAt = now;
  status.PlacedSinceReport = 0;
}

void AgentLoads::recordAnswersQueries(const Endpoint &agent) {
  Agents[agent].AnswersQueries = true;
}

void AgentLoads::recordCannotTell(const Endpoint &agent, TimePoint now) {
  Agents[agent].CannotTellAt = now;
}

void AgentLoads::recordDecline(const Endpoint &agent, TimePoint avoidUntil) {
  Agents[agent].AvoidUntil = avoidUntil;
}

void AgentLoads::recordTimeout(const Endpoint &agent, TimePoint silentUntil) {
  TimePoint &until = Agents[agent].SilentUntil;
  until = std::max(until, silentUntil);
}

void AgentLoads::recordPlacement(const Endpoint &agent, TimePoint now) {
  AgentStatus &status = Agents[agent];
  ++status.PlacedSinceReport;
  status.PlacedAt = now;
}

} // namespace pistachio
