#include "ControlDaemon/LeaseAuthority.h"

#include <algorithm>

namespace pistachio {

void LeaseAuthority::onConfirmed(TimePoint sentAt, std::uint64_t commitIndex) {
  std::erase_if(Waiting, [&](const Confirmation &it) {
    return it.SentAt + Lease <= sentAt;
  });
  Waiting.push_back({sentAt, commitIndex});
}

Duration LeaseAuthority::validity(TimePoint now, std::uint64_t appliedIndex) {
  std::erase_if(Waiting, [&](const Confirmation &it) {
    if (it.CommitIndex > appliedIndex)
      return false;
    ConfirmedAt = EverConfirmed ? std::max(ConfirmedAt, it.SentAt) : it.SentAt;
    EverConfirmed = true;
    return true;
  });
  if (!EverConfirmed)
    return Duration{0};
  return std::max(Duration{0}, ConfirmedAt + Lease - now);
}

} // namespace pistachio
