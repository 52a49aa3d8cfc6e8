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

} // namespace pistachio
