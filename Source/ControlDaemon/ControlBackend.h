#pragma once

#include "Admin/Admin.h"
#include "ControlDaemon/LeaderCalls.h"

#include <functional>

namespace pistachio {

/// Serves the administration API from the replicated state.
class ControlBackend final : public AdminBackend {
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

  std::uint64_t applied() const { return Applied; }
  std::uint64_t refused() const { return Refused; }

private:
  ControlStatus localStatus() const;
  void addUpstreams(ControlStatus &status) const;
  void addBalancers(ControlStatus &status) const;

  const ReplicatedControl &Control;
  LeaderCalls &Calls;
  std::uint64_t Applied = 0;
  std::uint64_t Refused = 0;
};

} // namespace pistachio
