#include "Runtime/Runtime.h"

#include <chrono>
#include <random>

namespace pistachio {

TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::uint64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Incarnation makeIncarnation() {
  // The time orders the incarnations of an endpoint. The random bits
  // distinguish two that started in the same millisecond, or at the same time
  // of a clock that was set back.
  constexpr int RandomBits = 20;
  std::random_device random;
  const std::uint64_t low = random() & ((1U << RandomBits) - 1);
  return Incarnation{(wallClockMs() << RandomBits) | low};
}

} // namespace pistachio
