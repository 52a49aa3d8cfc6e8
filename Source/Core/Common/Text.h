#pragma once

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace pistachio {

/// Joins strings. absl::StrCat does not take a std::string_view where absl is
/// built with its own string_view.
template <typename... Parts> std::string concat(const Parts &...parts) {
  std::string text;
  (text.append(std::string_view(parts)), ...);
  return text;
}

inline std::string messageOf(const absl::Status &status) {
  return {status.message().data(), status.message().size()};
}

/// Names of services, data centres, teams and zones: lower-case letters, digits
/// and hyphens, at most 63, starting with a letter.
bool isName(std::string_view text);

} // namespace pistachio
