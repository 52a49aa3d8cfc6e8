#pragma once

#include "Placement/Placement.h"

#include <memory>

namespace pistachio {

enum class LifecycleEvent : std::uint8_t {
  /// Control lists the upstream as active.
  Accepted,
  /// Operators drain the upstream.
  DrainOrdered,
  /// The data centre is out.
  OutOrdered,
  /// Control does not know the service or the data centre.
  Rejected,
  /// This process is to stop.
  StopOrdered,
  /// No flow is left.
  Emptied
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
  std::unique_ptr<Machine> Current;
};

} // namespace pistachio
