#pragma once

#include "Common/Endpoint.h"
#include "Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace pistachio {

/// Finaliser of splitmix64 (Steele et al., 2014): a fast bijective mix of 64
/// bits.
constexpr std::uint64_t mix64(std::uint64_t n) {
  n ^= n >> 30;
  n *= 0xBF58476D1CE4E5B9ULL;
  n ^= n >> 27;
  n *= 0x94D049BB133111EBULL;
  n ^= n >> 31;
  return n;
}

/// The hash of a flow is the same on every node and in every release: it
/// decides where packets go.
constexpr std::uint64_t hashFlow(ServiceId service, const Endpoint &caller,
                                 FlowId flow) {
  const std::uint64_t address =
      (std::uint64_t{caller.Address} << 16) | caller.Port;
  return mix64(mix64(flow.Value + 0x9E3779B97F4A7C15ULL) ^
               mix64(address + (std::uint64_t{service.Value} << 48)));
}

/// Weight of a member in the ranking of a bucket; the highest comes first. For
/// one bucket it is a bijection of the id, so two members never have the same
/// weight.
constexpr std::uint64_t rendezvousWeight(std::uint16_t bucket,
                                         UpstreamId upstream) {
  return mix64(mix64(bucket + 0x9E3779B97F4A7C15ULL) ^
               (upstream.Value * 0xD1B54A32D192ED03ULL));
}

/// Checksum of message bodies (XXH3, lower 32 bits).
std::uint32_t checksum32(std::span<const std::byte> buf);

} // namespace pistachio
