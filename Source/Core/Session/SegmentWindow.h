#pragma once

#include "Session/Jitter.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Decides which segments of a body are sent when: a window of unacknowledged
/// segments, cumulative acknowledgements, one early repeat after duplicate
/// acknowledgements, and repeats of the whole window with jittered exponential
/// back-off.
class SegmentWindow {
public:
  SegmentWindow(std::uint32_t count, std::uint32_t window, Duration min,
                Duration max);

  /// Adds the indices of segments that may be sent for the first time.
  void fill(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// All segments below \p received have arrived.
  void acknowledge(std::uint32_t received, TimePoint now, Jitter &jitter,
                   std::vector<std::uint32_t> &send);
  /// Repeats what is overdue. True if anything was repeated.
  bool tick(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// Starts again with the first segment.
  void restart(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);

  bool isDone() const { return Base == Count; }
  /// When tick() has to be called next. Meaningless once done.
  TimePoint due() const { return Due; }

private:
  void arm(TimePoint now, Jitter &jitter);

  std::uint32_t Count;
  std::uint32_t Window;
  Duration Min;
  Duration Max;
  Duration Interval;
  std::uint32_t Base = 0;
  std::uint32_t Next = 0;
  std::uint32_t Highest = 0;
  std::uint32_t Duplicates = 0;
  TimePoint Due{};
};

} // namespace pistachio
