#include "Runtime/Runtime.h"

#include <chrono>
#include <ctime>
#include <random>

namespace pistachio {

TimePoint steadyNow() {
  // The steady clock of the standard library does not count the time for which
  // the machine was suspended.
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0)
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
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
