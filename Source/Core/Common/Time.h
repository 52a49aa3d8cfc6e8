#pragma once

#include <chrono>

namespace pistachio {

using Duration = std::chrono::milliseconds;

/// Time of the steady clock. The libraries without I/O never read a clock;
/// their callers pass the current time to them.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Converts to seconds, the unit of durations in metrics.
inline double toSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace pistachio
