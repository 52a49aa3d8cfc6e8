#pragma once

#include "Placement/Placement.h"

#include <memory>

namespace pistachio {

enum class LifecycleEvent : std::uint8_t {
  /// Control has accepted the announcement of the agent and lists its upstream
  /// as active. Leads to Active, also from Draining and OutOfService.
  AnnouncementAccepted,
  /// Operators have drained the upstream. Leads to Draining.
  DrainRequested,
  /// The data centre of this agent was taken out of service. Leads to
  /// OutOfService.
  DataCentreTakenOut,
  /// Control does not know the service or the data centre that the agent
  /// announced. Leads back to Announcing.
  AnnouncementRejected,
  /// The process was asked to stop. From then on the state is Draining, or
  /// OutOfService once the data centre is out of service, until no flow is
  /// left.
  StopRequested,
  /// The agent holds no flow. Completes a planned stop, which leads to Stopped,
  /// and has no effect in other states.
  NoFlowsLeft
};

/// State machine of the membership of an agent's upstream in its service. A
/// drain by operators can be reverted, a planned stop of the process cannot.
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
