#include "Placement/Placement.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Latencies are known to the millisecond, so a lower floor would make noise of
/// one millisecond look like overload.
constexpr Duration MinFloor{1};
constexpr Duration MinRetryAfter{50};
constexpr Duration MaxRetryAfter{5000};
/// Weight of a new latency in the recent one is 1/8.
constexpr int LatencySmoothing = 8;

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
  if (!HoldUntil)
    HoldUntil = now + Options.ColdHold;
  if (InFlight >= limit())
    return false;
  ++InFlight;
  return true;
}

void AdmissionController::decrease(TimePoint now) {
  if (LastDecrease && now - *LastDecrease < Options.DecreaseInterval)
    return;
  LastDecrease = now;
  Limit = std::max(1.0, Limit * Options.DecreaseFactor);
}

Duration AdmissionController::learnFloor(Duration latency, TimePoint now) {
  latency = std::max(latency, MinFloor);
  if (!FloorSince) {
    Floor = FormerFloor = latency;
    FloorSince = now;
  } else if (now - *FloorSince >= Options.FloorWindow) {
    FormerFloor = Floor;
    Floor = latency;
    FloorSince = now;
  }
  Floor = std::min(Floor, latency);
  return std::min(Floor, FormerFloor);
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
  RecentLatency =
      RecentLatency == Duration{0}
          ? latency
          : RecentLatency + ((latency - RecentLatency) / LatencySmoothing);
  const Duration floor = learnFloor(latency, now);
  if (static_cast<double>(latency.count()) >
      static_cast<double>(floor.count()) * Options.LatencyTolerance) {
    decrease(now);
    return;
  }
  // A limit that is not used says nothing about what the back end can bear.
  if (wasFull && (!HoldUntil || now >= *HoldUntil))
    Limit = std::min(static_cast<double>(Options.Slots), Limit + (1 / Limit));
}

void AdmissionController::restart(TimePoint now) {
  Limit = Options.InitialLimit;
  HoldUntil = now + Options.ColdHold;
  LastDecrease = now;
  FloorSince.reset();
}

Duration AdmissionController::retryAfter() const {
  const Duration wait = RecentLatency * (InFlight + 1) / limit();
  return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

} // namespace pistachio
