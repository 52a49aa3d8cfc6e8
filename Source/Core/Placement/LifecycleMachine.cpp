#include "Placement/LifecycleMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pistachio {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct Accepted {};
struct DrainOrdered {};
struct OutOrdered {};
struct Rejected {};
struct StopOrdered {};
struct Emptied {};

template <Lifecycle Value> struct LifecycleState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event & /*event*/, Machine &machine) {
    machine.Current = Value;
  }
};

struct MachineDef : msm::front::state_machine_def<MachineDef> {
  struct Announcing : LifecycleState<Lifecycle::Announcing> {};
  struct Active : LifecycleState<Lifecycle::Active> {};
  /// Ordered by operators, who may take it back.
  struct Draining : LifecycleState<Lifecycle::Draining> {};
  struct Out : LifecycleState<Lifecycle::Out> {};
  /// Draining for a planned stop.
  struct Stopping : LifecycleState<Lifecycle::Draining> {};
  struct StoppingOut : LifecycleState<Lifecycle::Out> {};
  struct Stopped : LifecycleState<Lifecycle::Stopped> {};
  using initial_state = Announcing;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): name given by MSM
      Row<Announcing, Accepted,     Active>,
      Row<Announcing, DrainOrdered, Draining>,
      Row<Announcing, OutOrdered,   Out>,
      Row<Announcing, StopOrdered,  Stopping>,
      Row<Active,     DrainOrdered, Draining>,
      Row<Active,     OutOrdered,   Out>,
      Row<Active,     Rejected,     Announcing>,
      Row<Active,     StopOrdered,  Stopping>,
      Row<Draining,   Accepted,     Active>,
      Row<Draining,   OutOrdered,   Out>,
      Row<Draining,   Rejected,     Announcing>,
      Row<Draining,   StopOrdered,  Stopping>,
      Row<Out,        Accepted,     Active>,
      Row<Out,        DrainOrdered, Draining>,
      Row<Out,        Rejected,     Announcing>,
      Row<Out,        StopOrdered,  StoppingOut>,
      Row<Stopping,   OutOrdered,   StoppingOut>,
      Row<Stopping,   Emptied,      Stopped>,
      Row<StoppingOut, Emptied,     Stopped>> {};
  // clang-format on

  template <typename Event, typename Machine>
  void no_transition(const Event & /*event*/, Machine & /*machine*/,
                     int /*state*/) {}

  Lifecycle Current = Lifecycle::Announcing;
};

} // namespace

class LifecycleMachine::Machine : public msm::back::state_machine<MachineDef> {
};

LifecycleMachine::LifecycleMachine() : Current(std::make_unique<Machine>()) {
  Current->start();
}
LifecycleMachine::~LifecycleMachine() = default;

void LifecycleMachine::process(LifecycleEvent event) {
  switch (event) {
  case LifecycleEvent::Accepted:
    Current->process_event(Accepted{});
    break;
  case LifecycleEvent::DrainOrdered:
    Current->process_event(DrainOrdered{});
    break;
  case LifecycleEvent::OutOrdered:
    Current->process_event(OutOrdered{});
    break;
  case LifecycleEvent::Rejected:
    Current->process_event(Rejected{});
    break;
  case LifecycleEvent::StopOrdered:
    Current->process_event(StopOrdered{});
    break;
  case LifecycleEvent::Emptied:
    Current->process_event(Emptied{});
    break;
  }
}

Lifecycle LifecycleMachine::state() const { return Current->Current; }

} // namespace pistachio
