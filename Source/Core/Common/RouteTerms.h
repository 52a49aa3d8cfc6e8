#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <optional>

namespace pistachio {

/// The least urgent value of RouteTerms::Urgency.
inline constexpr std::uint8_t MaxUrgency = 9;
/// Longest objective and longest timeout of a route.
inline constexpr Duration MaxRouteDuration{3'600'000};

/// What the callers of a route need. Each value may be left unstated.
struct RouteTerms {
  /// From 0, the most urgent, to 9.
  std::optional<std::uint8_t> Urgency;
  /// Response-time objective of a request.
  std::optional<Duration> Objective;
  /// Callers give up on a request after this long.
  std::optional<Duration> Timeout;
  /// Whether a request may be executed more than once.
  std::optional<bool> Repeatable;

  /// True if no value is stated.
  bool isEmpty() const { return *this == RouteTerms{}; }
  friend bool operator==(const RouteTerms &, const RouteTerms &) = default;
};

/// Returns whether the stated values are within their limits and the timeout is
/// not below the objective.
inline bool isValid(const RouteTerms &terms) {
  const auto isDuration = [](const std::optional<Duration> &it) {
    return !it || (*it >= Duration(1) && *it <= MaxRouteDuration);
  };
  return terms.Urgency.value_or(0) <= MaxUrgency &&
         isDuration(terms.Objective) && isDuration(terms.Timeout) &&
         (!terms.Objective || !terms.Timeout ||
          *terms.Timeout >= *terms.Objective);
}

} // namespace pistachio
