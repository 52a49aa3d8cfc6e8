#include "Telemetry/Telemetry.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

/// Bursts of up to 10 lines, and 5 lines per second.
constexpr LogLimiter::Options Limits{10, 5};

/// Offers \p lines lines of an event at the same time and returns how many of
/// them are admitted.
int countAdmitted(LogLimiter &limiter, std::string_view event, int lines,
                  TimePoint now) {
  int n = 0;
  for (int i = 0; i < lines; ++i)
    n += limiter.admit(event, now) ? 1 : 0;
  return n;
}

// Guards against a burst of one event that slows down the process or suppresses
// other events, and against suppressed lines that are not counted.
TEST(LogLimiterTest, LimitsEachEventAndCountsSuppressedLines) {
  LogLimiter limiter(Limits);
  const TimePoint start{Duration(1000000)};
  EXPECT_EQ(countAdmitted(limiter, "a", 100, start), 10);
  EXPECT_EQ(countAdmitted(limiter, "b", 4, start), 4);
  const auto suppressed = limiter.takeSuppressed(start);
  ASSERT_EQ(suppressed.size(), 1U);
  EXPECT_EQ(suppressed[0].Event, "a");
  EXPECT_EQ(suppressed[0].Lines, 90U);
  EXPECT_EQ(countAdmitted(limiter, "a", 100, start + Duration(1000)), 5);
  EXPECT_EQ(countAdmitted(limiter, "a", 100, start + Duration(60000)), 10);
}

// Guards against a report about suppressed lines for each suppressed line,
// which would defeat the rate limit.
TEST(LogLimiterTest, ReportsAtMostOnceASecond) {
  LogLimiter limiter(Limits);
  const TimePoint start{Duration(1000000)};
  countAdmitted(limiter, "a", 100, start);
  EXPECT_EQ(limiter.takeSuppressed(start).size(), 1U);
  countAdmitted(limiter, "a", 100, start);
  EXPECT_TRUE(limiter.takeSuppressed(start + Duration(999)).empty());
  EXPECT_EQ(limiter.takeSuppressed(start + Duration(1000)).size(), 1U);
}

} // namespace
} // namespace pistachio
