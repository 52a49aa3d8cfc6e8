#include "Placement/LifecycleMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pistachio {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct AnnouncementAccepted {};
struct DrainRequested {};
struct DataCentreTakenOut {};
struct AnnouncementRejected {};
struct StopRequested {};
struct NoFlowsLeft {};

/// State that records its public value in the state machine on entry.
template <Lifecycle Value> struct LifecycleState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event & /*event*/, Machine &machine) {
    machine.CurrentState = Value;
  }
};

struct MachineDef : msm::front::state_machine_def<MachineDef> {
  struct Announcing : LifecycleState<Lifecycle::Announcing> {};
  struct Active : LifecycleState<Lifecycle::Active> {};
  /// Drained by operators, who can revert it.
  struct Draining : LifecycleState<Lifecycle::Draining> {};
  struct OutOfService : LifecycleState<Lifecycle::OutOfService> {};
  /// Draining because the process was asked to stop; final.
  struct Stopping : LifecycleState<Lifecycle::Draining> {};
  /// Like Stopping, while the data centre is out of service.
  struct StoppingOutOfService : LifecycleState<Lifecycle::OutOfService> {};
  struct Stopped : LifecycleState<Lifecycle::Stopped> {};
  using initial_state = Announcing;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): name given by MSM
      Row<Announcing,           AnnouncementAccepted, Active>,
      Row<Announcing,           DrainRequested,       Draining>,
      Row<Announcing,           DataCentreTakenOut,   OutOfService>,
      Row<Announcing,           StopRequested,        Stopping>,
      Row<Active,               DrainRequested,       Draining>,
      Row<Active,               DataCentreTakenOut,   OutOfService>,
      Row<Active,               AnnouncementRejected, Announcing>,
      Row<Active,               StopRequested,        Stopping>,
      Row<Draining,             AnnouncementAccepted, Active>,
      Row<Draining,             DataCentreTakenOut,   OutOfService>,
      Row<Draining,             AnnouncementRejected, Announcing>,
      Row<Draining,             StopRequested,        Stopping>,
      Row<OutOfService,         AnnouncementAccepted, Active>,
      Row<OutOfService,         DrainRequested,       Draining>,
      Row<OutOfService,         AnnouncementRejected, Announcing>,
      Row<OutOfService,         StopRequested,        StoppingOutOfService>,
      Row<Stopping,             DataCentreTakenOut,   StoppingOutOfService>,
      Row<Stopping,             NoFlowsLeft,          Stopped>,
      Row<StoppingOutOfService, NoFlowsLeft,          Stopped>> {};
  // clang-format on

  template <typename Event, typename Machine>
  /// An event without a transition leaves the state as it is.
  void no_transition(const Event & /*event*/, Machine & /*machine*/,
                     int /*state*/) {}

  Lifecycle CurrentState = Lifecycle::Announcing;
};

} // namespace

class LifecycleMachine::Machine : public msm::back::state_machine<MachineDef> {
};

LifecycleMachine::LifecycleMachine() : Impl(std::make_unique<Machine>()) {
  Impl->start();
}
LifecycleMachine::~LifecycleMachine() = default;

void LifecycleMachine::process(LifecycleEvent event) {
  switch (event) {
  case LifecycleEvent::AnnouncementAccepted:
    Impl->process_event(AnnouncementAccepted{});
    break;
  case LifecycleEvent::DrainRequested:
    Impl->process_event(DrainRequested{});
    break;
  case LifecycleEvent::DataCentreTakenOut:
    Impl->process_event(DataCentreTakenOut{});
    break;
  case LifecycleEvent::AnnouncementRejected:
    Impl->process_event(AnnouncementRejected{});
    break;
  case LifecycleEvent::StopRequested:
    Impl->process_event(StopRequested{});
    break;
  case LifecycleEvent::NoFlowsLeft:
    Impl->process_event(NoFlowsLeft{});
    break;
  }
}

Lifecycle LifecycleMachine::state() const { return Impl->CurrentState; }

} // namespace pistachio
