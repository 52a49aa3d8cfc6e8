#pragma once

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace pistachio {

/// Concatenates strings. absl::StrCat cannot replace it: it does not accept a
/// std::string_view where Abseil is built with its own string_view type.
template <typename... Parts> std::string concat(const Parts &...parts) {
  std::string text;
  (text.append(std::string_view(parts)), ...);
  return text;
}

/// Copies the message of \p status. Where Abseil is built with its own
/// string_view type, the message cannot be converted to a std::string directly.
inline std::string messageOf(const absl::Status &status) {
  return {status.message().data(), status.message().size()};
}

/// Returns whether \p text is a valid name of a service, data centre, team or
/// zone: at most 63 lower-case letters, digits and hyphens, starting with a
/// letter.
bool isName(std::string_view text);

} // namespace pistachio
