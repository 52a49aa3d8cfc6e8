#include "AgentLoads.h"

#include <algorithm>

namespace pistachio {

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
