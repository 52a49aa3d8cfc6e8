#include "GrantWatch.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr Duration GrantTimeout{800};

/// The first request waits in the same queues as the handshake did, and its
/// reply behind the first part of the table.
constexpr int HandshakesPerReply = 2;
/// A longer wait for an instance that stopped after the handshake would leave
/// too little of the 5 s within which changes have to be in force.
constexpr Duration MaxFirstReplyAllowance{1200};

} // namespace

void GrantWatch::onOpen(TimePoint now, Duration connectTime) {
  LastProgressAt = now;
  FirstReplyAllowance =
      std::min(HandshakesPerReply * connectTime, MaxFirstReplyAllowance);
  HasTable = false;
}

void GrantWatch::onTablePart(TimePoint now, bool isLast) {
  FirstReplyAllowance = Duration{0};
  // Only the first table of a connection, which may take longer than
  // GrantTimeout, puts off the time-out. An instance whose replies do not reach
  // the leader may receive updates without end.
  if (!HasTable)
    LastProgressAt = now;
  HasTable |= isLast;
}

void GrantWatch::onReply(TimePoint now, bool isGranted) {
  FirstReplyAllowance = Duration{0};
  if (isGranted)
    LastProgressAt = now;
}

bool GrantWatch::isOverdue(TimePoint now) const {
  return silence(now) > GrantTimeout + FirstReplyAllowance;
}

} // namespace pistachio
