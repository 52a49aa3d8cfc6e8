#include "SearchBudget.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Bytes that may be sent at once after a pause: the chains of one round.
constexpr double BurstBytes = 8000;

} // namespace

bool SearchBudget::hasRoom(TimePoint now) {
  if (!BytesPerSecond)
    return true;
  if (!RefilledAt)
    Room = BurstBytes;
  else
    Room = std::min(BurstBytes,
                    Room + toSeconds(now - *RefilledAt) * *BytesPerSecond);
  RefilledAt = now;
  return Room > 0;
}

void SearchBudget::spend(std::size_t bytes) {
  Room -= static_cast<double>(bytes);
}

} // namespace pistachio
