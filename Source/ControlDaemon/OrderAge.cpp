#include "ControlDaemon/OrderAge.h"

namespace pistachio {
namespace {

/// Half of the time for which the operator's system waits for a reply.
constexpr Duration MinPause{500};
/// The requests that have arrived during a pause are read within this time
/// after it.
constexpr Duration WakeUpTime{250};

} // namespace

OrderPermit issueOrderPermit(std::uint64_t term, TimePoint now) {
  return {term, static_cast<std::uint64_t>(now.time_since_epoch().count())};
}

std::optional<TimePoint> expiryOf(const OrderPermit &permit, std::uint64_t term,
                                  TimePoint now) {
  const auto age = now.time_since_epoch().count() -
                   static_cast<Duration::rep>(permit.IssuedAtMs);
  if (permit.Term != term || age < 0 || Duration(age) > OrderPermitTime)
    return std::nullopt;
  return now - Duration(age) + OrderPermitTime;
}

void PauseDetector::onTick(TimePoint now) {
  if (LastTick && now - *LastTick >= MinPause)
    WokeAt = now;
  LastTick = now;
}

bool PauseDetector::wasPaused(TimePoint now) const {
  return (LastTick && now - *LastTick >= MinPause) ||
         (WokeAt && now - *WokeAt < WakeUpTime);
}

} // namespace pistachio
