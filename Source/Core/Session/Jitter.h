#pragma once

#include "Common/Common.h"

namespace pistachio {

/// Seeded spread of intervals, so that callers that lost the same packets do
/// not repeat them at the same time.
class Jitter {
public:
  explicit Jitter(std::uint64_t seed) : State(mix64(seed + StateIncrement)) {}

  std::uint64_t next() {
    State += StateIncrement;
    return mix64(State);
  }
  /// Between 75% and 125% of \p interval.
  Duration randomize(Duration interval) {
    const auto n = static_cast<std::uint64_t>(interval.count());
    return Duration(
        static_cast<Duration::rep>(n - n / 4 + next() % (n / 2 + 1)));
  }

private:
  static constexpr std::uint64_t StateIncrement = 0x9E3779B97F4A7C15ULL;
  std::uint64_t State;
};

} // namespace pistachio
