#pragma once

#include "Placement/Placement.h"

#include <memory>

namespace pistachio {

enum class LifecycleEvent : std::uint8_t {
  /// Control lists the upstream as active.
  Accepted,
  /// Operators drain the upstream.
  DrainRequested,
  /// The data centre is out.
  DataCentreTakenOut,
  /// Control does not know the service or the data centre.
  Rejected,
  /// This process is to stop.
  StopRequested,
  /// No flow is left.
  NoFlowsLeft
};

/// State of an agent's membership. A planned stop is final; a drain by
/// operators may be taken back.
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
