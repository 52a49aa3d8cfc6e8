#pragma once

#include "Admin/Admin.h"
#include "ControlDaemon/LeaderCalls.h"

#include <functional>

namespace pistachio {

/// Serves the administration API and the orders of operators' systems from the
/// replicated state.
class ControlBackend final : public AdminBackend, public RoutingAdmin {
public:
  ControlBackend(const ReplicatedControl &control, LeaderCalls &calls)
      : Control(control), Calls(calls) {}

  void
  readRules(std::function<void(absl::StatusOr<CurrentRules>)> done) override;
  /// The state of this member, with the contacts that the leader reports; they
  /// are left out while the leader cannot be reached.
  void
  readStatus(std::function<void(absl::StatusOr<ControlStatus>)> done) override;
  void apply(ApplyRequest request,
             std::function<void(absl::StatusOr<ApplyOutcome>)> done) override;

  void applyRouting(RoutingPlan plan,
                    std::function<void(absl::Status)> done) override;
  void readRouting(
      std::function<void(absl::StatusOr<RoutingDocument>)> done) override;
  void setDataCentre(std::string name, DataCentreChange change,
                     std::function<void(absl::Status)> done) override;

  /// Tries orders again that found no leader.
  void retryPendingCommands();

  std::uint64_t appliedCount() const { return AppliedCount; }
  std::uint64_t refusedCount() const { return RefusedCount; }

private:
  /// An order of an operator's system that waits for a leader.
  struct PendingCommand {
    LogCommand Command;
    TimePoint RetryDeadline;
    std::function<void(absl::Status)> Done;
  };

  void submitOperatorCommand(const LogCommand &command, TimePoint retryDeadline,
                             std::function<void(absl::Status)> done);
  ControlStatus localStatus() const;
  void addUpstreams(ControlStatus &status) const;
  void addBalancers(ControlStatus &status) const;

  const ReplicatedControl &Control;
  LeaderCalls &Calls;
  std::vector<PendingCommand> PendingCommands;
  std::uint64_t AppliedCount = 0;
  std::uint64_t RefusedCount = 0;
};

} // namespace pistachio
