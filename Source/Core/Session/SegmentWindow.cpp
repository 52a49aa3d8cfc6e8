#include "Session/SegmentWindow.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Number of duplicate acknowledgements that trigger a fast retransmission.
/// Fewer than these can be caused by reordering.
constexpr std::uint32_t FastRetransmitThreshold = 3;

} // namespace

SegmentWindow::SegmentWindow(std::uint32_t count, std::uint32_t window,
                             Duration minInterval, Duration maxInterval)
    : Count(count), Window(window), MinInterval(minInterval),
      MaxInterval(maxInterval), RetransmitInterval(minInterval) {}

void SegmentWindow::armTimer(TimePoint now, Jitter &jitter) {
  RetransmitAt = now + jitter.randomize(RetransmitInterval);
}

void SegmentWindow::fill(TimePoint now, Jitter &jitter,
                         std::vector<std::uint32_t> &send) {
  const std::uint32_t end = std::min(Count, FirstUnacknowledged + Window);
  if (NextToSend >= end)
    return;
  for (; NextToSend < end; ++NextToSend)
    send.push_back(NextToSend);
  SentEnd = std::max(SentEnd, NextToSend);
  armTimer(now, jitter);
}

void SegmentWindow::acknowledge(std::uint32_t received, TimePoint now,
                                Jitter &jitter,
                                std::vector<std::uint32_t> &send) {
  if (received < FirstUnacknowledged || received > SentEnd)
    return;
  if (received > FirstUnacknowledged) {
    FirstUnacknowledged = received;
    // After a restart, the receiver may already have segments that were not
    // sent again.
    NextToSend = std::max(NextToSend, FirstUnacknowledged);
    DuplicateAcks = 0;
    RetransmitInterval = MinInterval;
    armTimer(now, jitter);
    fill(now, jitter, send);
    return;
  }
  if (!isDone() && NextToSend > FirstUnacknowledged &&
      ++DuplicateAcks == FastRetransmitThreshold)
    send.push_back(FirstUnacknowledged);
}

bool SegmentWindow::tick(TimePoint now, Jitter &jitter,
                         std::vector<std::uint32_t> &send) {
  if (isDone() || now < RetransmitAt || NextToSend == FirstUnacknowledged)
    return false;
  for (std::uint32_t n = FirstUnacknowledged; n < NextToSend; ++n)
    send.push_back(n);
  DuplicateAcks = 0;
  RetransmitInterval = std::min(MaxInterval, RetransmitInterval * 2);
  armTimer(now, jitter);
  return true;
}

void SegmentWindow::restart(TimePoint now, Jitter &jitter,
                            std::vector<std::uint32_t> &send) {
  FirstUnacknowledged = NextToSend = DuplicateAcks = 0;
  fill(now, jitter, send);
}

} // namespace pistachio
