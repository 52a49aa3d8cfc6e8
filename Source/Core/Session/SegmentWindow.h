#pragma once

#include "Session/Jitter.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Decides when each segment of a body is sent. A sliding window limits the
/// number of unacknowledged segments, and acknowledgements are cumulative.
/// Duplicate acknowledgements trigger one fast retransmission of the first
/// missing segment. When the timer expires, the whole window is retransmitted,
/// with exponential back-off and jitter.
class SegmentWindow {
public:
  SegmentWindow(std::uint32_t count, std::uint32_t window, Duration minInterval,
                Duration maxInterval);

  /// Appends the indices of the segments that the window allows to send for the
  /// first time, and starts the timer.
  void fill(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// Handles a cumulative acknowledgement: all segments below \p received have
  /// arrived.
  void acknowledge(std::uint32_t received, TimePoint now, Jitter &jitter,
                   std::vector<std::uint32_t> &send);
  /// Retransmits the window if the timer has expired. Returns true if any
  /// segment is to be retransmitted.
  bool tick(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);
  /// Starts again with the first segment.
  void restart(TimePoint now, Jitter &jitter, std::vector<std::uint32_t> &send);

  bool isDone() const { return FirstUnacknowledged == Count; }
  /// Time at which tick() has to be called next. Not meaningful once all
  /// segments are acknowledged.
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
  /// Index after the last segment that was ever sent, also before a restart.
  std::uint32_t SentEnd = 0;
  std::uint32_t DuplicateAcks = 0;
  TimePoint RetransmitAt{};
};

} // namespace pistachio
