#pragma once

#include "Common/Common.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pistachio {

/// Bytes sent in the last second, in steps of a tenth.
class RecentBytes {
public:
  void add(std::size_t bytes, TimePoint now) {
    advance(now);
    Steps[Current % Steps.size()] += bytes;
    Sum += bytes;
  }
  std::uint64_t sum(TimePoint now) {
    advance(now);
    return Sum;
  }

private:
  void advance(TimePoint now) {
    const std::int64_t step = now.time_since_epoch() / Duration(100);
    if (step - Current >= static_cast<std::int64_t>(Steps.size())) {
      Steps.fill(0);
      Sum = 0;
      Current = step;
    }
    while (Current < step) {
      std::uint64_t &oldest = Steps[++Current % Steps.size()];
      Sum -= oldest;
      oldest = 0;
    }
  }

  std::array<std::uint64_t, 10> Steps{};
  std::uint64_t Sum = 0;
  std::int64_t Current = 0;
};

} // namespace pistachio
