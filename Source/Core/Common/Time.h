#pragma once

#include <chrono>

namespace pistachio {

using Duration = std::chrono::milliseconds;

/// Steady time, handed to the decision libraries by their carrier. They never
/// read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// For metrics, whose unit is the second.
inline double toSeconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace pistachio
