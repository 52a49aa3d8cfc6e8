#pragma once

#include "Common/Common.h"

namespace pistachio {

/// Pseudo-random variation of intervals (splitmix64). It prevents callers that
/// lost packets at the same time from retransmitting them at the same time.
class Jitter {
public:
  explicit Jitter(std::uint64_t seed) : State(mix64(seed + StateIncrement)) {}

  /// Returns the next pseudo-random number.
  std::uint64_t next() {
    State += StateIncrement;
    return mix64(State);
  }
  /// Returns a random duration between 75% and 125% of \p interval.
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
