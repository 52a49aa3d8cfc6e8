#include "Telemetry/Telemetry.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Minimum time between two reports of suppressed lines.
constexpr Duration ReportInterval{1000};

} // namespace

bool LogLimiter::admit(std::string_view event, TimePoint now) {
  auto it = Events.find(event);
  if (it == Events.end())
    it = Events.emplace(std::string(event), State{Limits.BurstLines, now, 0})
             .first;
  // Token bucket: add the tokens for the time since the last refill, then take
  // one token for the line.
  State &state = it->second;
  const double seconds =
      static_cast<double>((now - state.RefilledAt).count()) / 1000;
  state.Tokens = std::min(Limits.BurstLines,
                          state.Tokens + seconds * Limits.LinesPerSecond);
  state.RefilledAt = now;
  if (state.Tokens < 1) {
    ++state.SuppressedLines;
    return false;
  }
  state.Tokens -= 1;
  return true;
}

std::vector<LogLimiter::SuppressionReport>
LogLimiter::takeSuppressed(TimePoint now) {
  std::vector<SuppressionReport> all;
  if (now - LastReportAt < ReportInterval)
    return all;
  LastReportAt = now;
  for (auto &[event, state] : Events)
    if (state.SuppressedLines > 0)
      all.push_back({event, std::exchange(state.SuppressedLines, 0)});
  return all;
}

} // namespace pistachio
