#pragma once

#include "Common/Common.h"

namespace pistachio {

/// Decides when a balancer leaves a control instance that grants no lease. Such
/// an instance may be disconnected from the leader.
class GrantWatch {
public:
  void onOpen(TimePoint now, Duration connectTime);
  /// A part of a table has arrived; \p isLast if the table is now complete.
  void onTablePart(TimePoint now, bool isLast);
  /// A reply to a lease request has arrived, which may grant none.
  void onReply(TimePoint now, bool isGranted);

  bool isOverdue(TimePoint now) const;
  /// Time since the latest lease or part of the first table.
  Duration silence(TimePoint now) const { return now - LastProgressAt; }

private:
  TimePoint LastProgressAt{};
  Duration FirstReplyAllowance{0};
  bool HasTable = false;
};

} // namespace pistachio
