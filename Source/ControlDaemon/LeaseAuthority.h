#pragma once

#include "Common/Common.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Decides how long a lease this member may grant to a node. Every lease ends
/// at most one lease time after a moment at which the leader was known to lead
/// and this member has applied what the leader had accepted by then. A node
/// that loses control therefore sends by a table that is at most that old.
class LeaseAuthority {
public:
  explicit LeaseAuthority(Duration lease) : LeaseTime(lease) {}

  /// A question to the leader, sent at \p sentAt, was answered: it holds the
  /// leader lease and had committed up to \p commitIndex.
  void onConfirmed(TimePoint sentAt, std::uint64_t commitIndex);

  /// Time from now on for which a lease may be granted; 0 if none.
  Duration validity(TimePoint now, std::uint64_t appliedIndex);

private:
  struct Confirmation {
    TimePoint SentAt;
    std::uint64_t CommitIndex = 0;
  };

  Duration LeaseTime;
  /// Confirmations that wait for this member to apply their commit index.
  std::vector<Confirmation> PendingConfirmations;
  TimePoint LastConfirmedAt{};
  bool WasConfirmed = false;
};

} // namespace pistachio
