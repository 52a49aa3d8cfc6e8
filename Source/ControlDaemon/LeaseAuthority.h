#pragma once

#include "Common/Common.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Determines for how long this member may grant a lease to a node. A lease
/// ends at most one lease time after a moment for which two things are known:
/// the leader held its leader lease, and this member has applied everything the
/// leader had committed by then. A node that loses contact with control
/// therefore forwards with a table that is at most one lease time old.
class LeaseAuthority {
public:
  explicit LeaseAuthority(Duration lease) : LeaseTime(lease) {}

  /// Must be called when the leader has answered a query that was sent at \p
  /// sentAt: it holds the leader lease and has committed the log up to \p
  /// commitIndex.
  void onConfirmed(TimePoint sentAt, std::uint64_t commitIndex);

  /// Returns the time, counted from \p now, for which a lease may be granted. 0
  /// if no lease may be granted.
  Duration validity(TimePoint now, std::uint64_t appliedIndex);

private:
  struct Confirmation {
    TimePoint SentAt;
    std::uint64_t CommitIndex = 0;
  };

  Duration LeaseTime;
  /// Confirmations whose commit index this member has not applied yet.
  std::vector<Confirmation> PendingConfirmations;
  TimePoint LastConfirmedAt{};
  bool WasConfirmed = false;
};

} // namespace pistachio
