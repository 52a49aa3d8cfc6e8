#include "Runtime/Runtime.h"

#include <gtest/gtest.h>

#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// Time for which the machine of the test seems to have been suspended.
std::time_t SuspendedSeconds = 0;

} // namespace

/// Replaces the function of the C library. The monotonic clock stands still
/// while a machine is suspended, and the boot-time clock goes on.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept {
  const long result = syscall(SYS_clock_gettime, clock, time);
  if (clock == CLOCK_BOOTTIME)
    time->tv_sec += SuspendedSeconds;
  return static_cast<int>(result);
}

namespace pistachio {
namespace {

// Guards against a lease or a permit that outlives the suspension of a machine:
// a leader that wakes would take itself for the leader, and an old order for a
// new one.
TEST(ClockTest, SteadyTimeGoesOnDuringASuspension) {
  constexpr std::time_t Suspension = 60;
  const TimePoint before = steadyNow();
  SuspendedSeconds = Suspension;
  const TimePoint after = steadyNow();
  SuspendedSeconds = 0;
  EXPECT_GE(after - before, std::chrono::seconds(Suspension));
}

} // namespace
} // namespace pistachio
