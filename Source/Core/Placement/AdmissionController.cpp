#include "Placement/Placement.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Lower bound of the minimum latency. Latencies are measured in whole
/// milliseconds; with a smaller bound, a difference of one millisecond would be
/// taken for an overload.
constexpr Duration LatencyResolution{1};
constexpr Duration MinRetryAfter{50};
constexpr Duration MaxRetryAfter{5000};
/// A new latency contributes 1/8 to the smoothed latency.
constexpr int LatencySmoothingDivisor = 8;

} // namespace

AdmissionController::AdmissionController(AdmissionOptions options)
    : Options(options) {
  Options.Slots = std::max<std::uint32_t>(Options.Slots, 1);
  Options.InitialLimit =
      std::clamp(Options.InitialLimit, 1.0, static_cast<double>(Options.Slots));
  Limit = Options.InitialLimit;
}

void AdmissionController::setSlots(std::uint32_t slots) {
  Options.Slots = std::max<std::uint32_t>(slots, 1);
  Limit = std::min(Limit, static_cast<double>(Options.Slots));
}

std::uint32_t AdmissionController::limit() const {
  return static_cast<std::uint32_t>(Limit);
}

bool AdmissionController::tryStart(TimePoint now) {
  if (!NoGrowthUntil)
    NoGrowthUntil = now + Options.ColdStartHold;
  if (InFlight >= limit())
    return false;
  ++InFlight;
  return true;
}

void AdmissionController::decrease(TimePoint now) {
  if (LastDecreaseAt && now - *LastDecreaseAt < Options.DecreaseInterval)
    return;
  LastDecreaseAt = now;
  Limit = std::max(1.0, Limit * Options.DecreaseFactor);
}

Duration AdmissionController::updateMinLatency(Duration latency,
                                               TimePoint now) {
  latency = std::max(latency, LatencyResolution);
  if (!MinLatencyWindowStart) {
    MinLatency = PreviousMinLatency = latency;
    MinLatencyWindowStart = now;
  } else if (now - *MinLatencyWindowStart >= Options.MinLatencyWindow) {
    PreviousMinLatency = MinLatency;
    MinLatency = latency;
    MinLatencyWindowStart = now;
  }
  MinLatency = std::min(MinLatency, latency);
  return std::min(MinLatency, PreviousMinLatency);
}

void AdmissionController::finish(Outcome outcome, Duration latency,
                                 TimePoint now) {
  const bool wasFull = InFlight >= limit();
  InFlight -= InFlight > 0 ? 1 : 0;
  switch (outcome) {
  case Outcome::Cancelled:
    return;
  case Outcome::Shed:
  case Outcome::Failed:
    decrease(now);
    return;
  case Outcome::Served:
    break;
  }
  SmoothedLatency = SmoothedLatency == Duration{0}
                        ? latency
                        : SmoothedLatency + ((latency - SmoothedLatency) /
                                             LatencySmoothingDivisor);
  const Duration minLatency = updateMinLatency(latency, now);
  if (static_cast<double>(latency.count()) >
      static_cast<double>(minLatency.count()) * Options.LatencyTolerance) {
    decrease(now);
    return;
  }
  // While the limit is not used up, a normal latency does not show that the
  // back end can serve more requests.
  if (wasFull && (!NoGrowthUntil || now >= *NoGrowthUntil))
    Limit = std::min(static_cast<double>(Options.Slots), Limit + (1 / Limit));
}

void AdmissionController::restart(TimePoint now) {
  Limit = Options.InitialLimit;
  NoGrowthUntil = now + Options.ColdStartHold;
  LastDecreaseAt = now;
  MinLatencyWindowStart.reset();
}

Duration AdmissionController::retryAfter() const {
  const Duration wait = SmoothedLatency * (InFlight + 1) / limit();
  return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

} // namespace pistachio
