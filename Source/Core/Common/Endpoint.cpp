#include "Common/Endpoint.h"

#include "absl/strings/str_cat.h"

#include <charconv>

namespace pistachio {
namespace {

/// Parses a decimal number of at most \p max at the start of \p text and
/// removes it from \p text. Returns false if there is none.
bool consumeNumber(std::string_view &text, std::uint32_t max,
                   std::uint32_t &value) {
  const char *begin = text.data();
  const char *end = begin + text.size();
  const auto result = std::from_chars(begin, end, value);
  if (result.ec != std::errc() || value > max)
    return false;
  text.remove_prefix(static_cast<std::size_t>(result.ptr - begin));
  return true;
}

/// Removes \p c from the start of \p text. Returns false if \p text does not
/// start with it.
bool consumeChar(std::string_view &text, char c) {
  if (text.empty() || text.front() != c)
    return false;
  text.remove_prefix(1);
  return true;
}

} // namespace

absl::StatusOr<Endpoint> parseEndpoint(std::string_view text,
                                       bool allowPortZero) {
  const std::string whole(text);
  const auto error = absl::InvalidArgumentError(
      absl::StrCat("'", whole, "' is not an IPv4 endpoint A.B.C.D:PORT"));
  Endpoint endpoint;
  for (int i = 0; i < 4; ++i) {
    std::uint32_t octet = 0;
    if ((i > 0 && !consumeChar(text, '.')) || !consumeNumber(text, 255, octet))
      return error;
    endpoint.Address = (endpoint.Address << 8) | octet;
  }
  std::uint32_t port = 0;
  if (!consumeChar(text, ':') || !consumeNumber(text, 65535, port) ||
      !text.empty())
    return error;
  if (port == 0 && !allowPortZero)
    return error;
  endpoint.Port = static_cast<std::uint16_t>(port);
  return endpoint;
}

std::string toString(const Endpoint &endpoint) {
  const std::uint32_t n = endpoint.Address;
  return absl::StrCat(n >> 24, ".", (n >> 16) & 255, ".", (n >> 8) & 255, ".",
                      n & 255, ":", endpoint.Port);
}

} // namespace pistachio
