#pragma once

#include "Admin/Admin.h"
#include "ControlDaemon/LeaderCalls.h"
#include "ControlDaemon/OrderAge.h"

#include <functional>

namespace pistachio {

/// Implements the administration API and the operator's API on top of the
/// replicated state.
class ControlBackend final : public AdminBackend, public RoutingAdmin {
public:
  ControlBackend(const ReplicatedControl &control, LeaderCalls &calls)
      : Control(control), Calls(calls) {}

  void
  readRules(std::function<void(absl::StatusOr<CurrentRules>)> done) override;
  /// Returns the state of this member together with the contact times and flow
  /// counts that the leader reports. These are omitted while the leader cannot
  /// be reached.
  void
  readStatus(std::function<void(absl::StatusOr<ControlStatus>)> done) override;
  void apply(ApplyRequest request,
             std::function<void(absl::StatusOr<ApplyOutcome>)> done) override;

  void applyRouting(RoutingPlan plan,
                    std::function<void(absl::Status)> done) override;
  void readRouting(
      std::function<void(absl::StatusOr<RoutingDocument>)> done) override;
  void setDataCentre(std::string name, DataCentreChange change,
                     std::function<bool()> isAbandoned,
                     std::function<void(absl::Status)> done) override;

  /// Submits again the commands that could not reach a leader. Must be called
  /// every few milliseconds.
  void tick(TimePoint now);

  std::uint64_t appliedCount() const { return AppliedCount; }
  std::uint64_t refusedCount() const { return RefusedCount; }

private:
  /// A command from the operator's API that waits for a leader.
  struct PendingCommand {
    LogCommand Command;
    TimePoint RetryDeadline;
    std::function<void(absl::Status)> Done;
  };

  /// A change of a data centre. Unlike a routing document it has no version
  /// that would show that it is outdated.
  struct Order {
    SetDataCentre Command;
    TimePoint RetryDeadline;
    std::function<bool()> IsAbandoned;
    std::function<void(absl::Status)> Done;
  };

  void submitOperatorCommand(const LogCommand &command, TimePoint retryDeadline,
                             std::function<void(absl::Status)> done);
  void submitOrder(Order order);
  void applyOrder(Order order, const OrderPermit &permit);
  /// Returns OK if the caller still waits for the order.
  absl::Status checkAge(const Order &order) const;
  /// Keeps the order for another attempt if it was not accepted and may be
  /// repeated, and completes it otherwise.
  void finishOrder(Order order, const absl::Status &outcome);
  void complete(const absl::Status &outcome,
                const std::function<void(absl::Status)> &done);
  ControlStatus localStatus() const;
  void addUpstreams(ControlStatus &status) const;
  void addBalancers(ControlStatus &status) const;

  const ReplicatedControl &Control;
  LeaderCalls &Calls;
  std::vector<PendingCommand> PendingCommands;
  std::vector<Order> PendingOrders;
  PauseDetector Pauses;
  std::uint64_t AppliedCount = 0;
  std::uint64_t RefusedCount = 0;
};

} // namespace pistachio
