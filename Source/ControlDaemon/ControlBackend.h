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
  void retryOrders();

  std::uint64_t applied() const { return Applied; }
  std::uint64_t refused() const { return Refused; }

private:
  /// An order of an operator's system that waits for a leader.
  struct Waiting {
    LogCommand Command;
    TimePoint GiveUpAt;
    std::function<void(absl::Status)> Done;
  };

  void order(const LogCommand &command, TimePoint giveUpAt,
             std::function<void(absl::Status)> done);
  ControlStatus localStatus() const;
  void addUpstreams(ControlStatus &status) const;
  void addBalancers(ControlStatus &status) const;

  const ReplicatedControl &Control;
  LeaderCalls &Calls;
  std::vector<Waiting> Orders;
  std::uint64_t Applied = 0;
  std::uint64_t Refused = 0;
};

} // namespace pistachio
