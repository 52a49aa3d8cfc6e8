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
  SegmentWindow(std::uint32_t count, std::uint32_t window, Duration minInterval,
                Duration maxInterval);

  /// Adds the indices of segments that may be sent for the first time.
  void fill(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// All segments below \p received have arrived.
  void acknowledge(std::uint32_t received, TimePoint now, Jitter &jitter,
                   std::vector<std::uint32_t> &send);
  /// Repeats what is overdue. True if anything was repeated.
  bool tick(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// Starts again with the first segment.
  void restart(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);

  bool isDone() const { return FirstUnacknowledged == Count; }
  /// When tick() has to be called next. Meaningless once done.
  TimePoint retransmitAt() const { return RetransmitAt; }

private:
  void armTimer(TimePoint now, Jitter &jitter);

  std::uint32_t Count;
  std::uint32_t Window;
  Duration MinInterval;
  Duration MaxInterval;
  Duration RetransmitInterval;
  std::uint32_t FirstUnacknowledged = 0;
  std::uint32_t NextToSend = 0;
  std::uint32_t SentEnd = 0;
  std::uint32_t DuplicateAcks = 0;
  TimePoint RetransmitAt{};
};

} // namespace pistachio
