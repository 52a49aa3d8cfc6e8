#pragma once

#include "Placement/Placement.h"

#include <memory>

namespace pistachio {

enum class LifecycleEvent : std::uint8_t {
  /// Control lists the upstream as active.
  Accepted,
  /// Operators have drained the upstream.
  DrainRequested,
  /// The data centre of this agent was taken out of service.
  DataCentreTakenOut,
  /// Control does not know the service or the data centre that the agent
  /// announced.
  Rejected,
  /// The process was asked to stop.
  StopRequested,
  /// The agent holds no flow. Ends a planned stop and has no effect in other
  /// states.
  NoFlowsLeft
};

/// State machine of an agent's membership in its service. A drain by operators
/// can be reverted, a planned stop of the process cannot.
class LifecycleMachine {
public:
  LifecycleMachine();
  ~LifecycleMachine();
  LifecycleMachine(const LifecycleMachine &) = delete;
  LifecycleMachine &operator=(const LifecycleMachine &) = delete;

  void process(LifecycleEvent event);
  Lifecycle state() const;

private:
  class Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace pistachio
