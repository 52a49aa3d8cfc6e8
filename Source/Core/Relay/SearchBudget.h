#pragma once

#include "Common/Common.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pistachio {

/// Limits the bytes of packets that searches send over the balancer's link, so
/// that searches leave room for the packets of flows whose holder is known and
/// do not delay each other's replies beyond their time limits.
class SearchBudget {
public:
  /// Without a rate there is no limit.
  explicit SearchBudget(std::optional<std::uint32_t> bytesPerSecond)
      : BytesPerSecond(bytesPerSecond) {}

  /// Returns whether a search may send packets now.
  bool hasRoom(TimePoint now);
  /// Records packets that were sent. They may exceed the room that was left;
  /// later searches then wait longer.
  void spend(std::size_t bytes);

private:
  std::optional<std::uint32_t> BytesPerSecond;
  double Room = 0;
  std::optional<TimePoint> RefilledAt;
};

} // namespace pistachio
