#include "Session/SegmentWindow.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Fewer duplicate acknowledgements than this are taken for reordering.
constexpr std::uint32_t DuplicatesBeforeRepeat = 3;

} // namespace

SegmentWindow::SegmentWindow(std::uint32_t count, std::uint32_t window,
                             Duration min, Duration max)
    : Count(count), Window(window), Min(min), Max(max), Interval(min) {}

void SegmentWindow::arm(TimePoint now, Jitter &jitter) {
  Due = now + jitter.spread(Interval);
}

void SegmentWindow::fill(TimePoint now, Jitter &jitter,
                         std::vector<std::uint32_t> &send) {
  const std::uint32_t end = std::min(Count, Base + Window);
  if (Next >= end)
    return;
  for (; Next < end; ++Next)
    send.push_back(Next);
  Highest = std::max(Highest, Next);
  arm(now, jitter);
}

void SegmentWindow::acknowledge(std::uint32_t received, TimePoint now,
                                Jitter &jitter,
                                std::vector<std::uint32_t> &send) {
  if (received < Base || received > Highest)
    return;
  if (received > Base) {
    Base = received;
    // After a restart the receiver may have more than was sent again.
    Next = std::max(Next, Base);
    Duplicates = 0;
    Interval = Min;
    arm(now, jitter);
    fill(now, jitter, send);
    return;
  }
  if (!isDone() && Next > Base && ++Duplicates == DuplicatesBeforeRepeat)
    send.push_back(Base);
}

bool SegmentWindow::tick(TimePoint now, Jitter &jitter,
                         std::vector<std::uint32_t> &send) {
  if (isDone() || now < Due || Next == Base)
    return false;
  for (std::uint32_t n = Base; n < Next; ++n)
    send.push_back(n);
  Duplicates = 0;
  Interval = std::min(Max, Interval * 2);
  arm(now, jitter);
  return true;
}

void SegmentWindow::restart(TimePoint now, Jitter &jitter,
                            std::vector<std::uint32_t> &send) {
  Base = Next = Duplicates = 0;
  fill(now, jitter, send);
}

} // namespace pistachio
