#pragma once

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <optional>

namespace pistachio {

/// The time for which an OrderPermit is valid. Together with OrderRetryTimeout
/// of the instance that received the order, it is shorter than the second for
/// which the operator's system waits.
inline constexpr Duration OrderPermitTime{400};

OrderPermit issueOrderPermit(std::uint64_t term, TimePoint now);

/// Returns the time until which the order may be appended to the log. None if
/// the permit was issued in another term or has expired.
std::optional<TimePoint> expiryOf(const OrderPermit &permit, std::uint64_t term,
                                  TimePoint now);

/// Tells whether the process stood still shortly before. Requests that it reads
/// then may have waited in its sockets for any time.
class PauseDetector {
public:
  /// Must be called many times within MinPause.
  void onTick(TimePoint now);
  bool wasPaused(TimePoint now) const;

private:
  std::optional<TimePoint> LastTick;
  std::optional<TimePoint> WokeAt;
};

} // namespace pistachio
