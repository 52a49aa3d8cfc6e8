#pragma once

#include "absl/status/statusor.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pistachio {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  friend constexpr auto operator<=>(const Endpoint &,
                                    const Endpoint &) = default;
};

/// Parses "A.B.C.D:PORT". The port must be in the range 1 to 65535; 0 is
/// accepted as well if \p allowPortZero is set.
absl::StatusOr<Endpoint> parseEndpoint(std::string_view text,
                                       bool allowPortZero = false);

std::string toString(const Endpoint &endpoint);

} // namespace pistachio

template <> struct std::hash<pistachio::Endpoint> {
  std::size_t operator()(const pistachio::Endpoint &endpoint) const noexcept {
    return std::hash<std::uint64_t>{}((std::uint64_t{endpoint.Address} << 16) |
                                      endpoint.Port);
  }
};
