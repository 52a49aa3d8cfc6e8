#pragma once

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pistachio {

/// Time for a request that is assumed if no agent states it, in milliseconds.
/// It is the order of magnitude of the deployments' requests.
inline constexpr double DefaultServiceTimeMs = 25;

/// Load and availability of an agent, as known to this balancer.
struct AgentStatus {
  UpstreamLoad Load;
  /// When the agent reported Load. Not set before its first answer.
  std::optional<TimePoint> ReportedAt;
  /// Flows placed on the agent since it last reported its load.
  std::uint32_t PlacedSinceReport = 0;
  /// When this balancer last placed a flow on the agent.
  std::optional<TimePoint> PlacedAt;
  /// The agent declined a flow and is offered no new flow before this time.
  TimePoint AvoidUntil{};
  TimePoint SilentUntil{};
  bool AnswersQueries = false;
  /// When the agent last replied that it cannot tell whether it holds a flow.
  std::optional<TimePoint> CannotTellAt;
};

/// Which flows an agent is expected to accept.
enum class RoomKind : std::uint8_t {
  /// Those for which a slot is free.
  FreeSlot,
  /// Also one for each slot that waits at the agent until the slot is free.
  NextInLine
};

/// Returns how many new flows the agent may have room for, by its latest report
/// and the time since. \p status is nullptr if nothing is known of the agent.
std::size_t expectedRoom(const AgentStatus *status, RoomKind kind,
                         TimePoint now);

/// What a balancer knows of the agents to which it forwards packets.
class AgentLoads {
public:
  /// Returns nullptr if the agent has neither answered nor been offered a flow.
  const AgentStatus *find(const Endpoint &agent) const;
  /// Stores the load reported by an agent and marks the agent as responsive.
  void recordAnswer(const Endpoint &agent, const UpstreamLoad &load,
                    TimePoint now);
  void recordAnswersQueries(const Endpoint &agent);
  void recordCannotTell(const Endpoint &agent, TimePoint now);
  void recordDecline(const Endpoint &agent, TimePoint avoidUntil);
  void recordTimeout(const Endpoint &agent, TimePoint silentUntil);
  void recordPlacement(const Endpoint &agent, TimePoint now);

private:
  absl::flat_hash_map<Endpoint, AgentStatus, std::hash<Endpoint>> Agents;
};

} // namespace pistachio
