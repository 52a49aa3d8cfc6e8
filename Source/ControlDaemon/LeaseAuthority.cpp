#include "ControlDaemon/LeaseAuthority.h"

#include <algorithm>

namespace pistachio {

void LeaseAuthority::onConfirmed(TimePoint sentAt, std::uint64_t commitIndex) {
  std::erase_if(PendingConfirmations, [&](const Confirmation &it) {
    return it.SentAt + LeaseTime <= sentAt;
  });
  PendingConfirmations.push_back({sentAt, commitIndex});
}

Duration LeaseAuthority::validity(TimePoint now, std::uint64_t appliedIndex) {
  std::erase_if(PendingConfirmations, [&](const Confirmation &it) {
    if (it.CommitIndex > appliedIndex)
      return false;
    LastConfirmedAt =
        WasConfirmed ? std::max(LastConfirmedAt, it.SentAt) : it.SentAt;
    WasConfirmed = true;
    return true;
  });
  if (!WasConfirmed)
    return Duration{0};
  return std::max(Duration{0}, LastConfirmedAt + LeaseTime - now);
}

} // namespace pistachio
