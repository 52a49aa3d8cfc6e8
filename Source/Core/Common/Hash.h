#pragma once

#include "Common/Endpoint.h"
#include "Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace pistachio {

/// Finaliser of the splitmix64 generator (Steele et al., 2014): a fast
/// bijective hash of a 64-bit integer.
constexpr std::uint64_t mix64(std::uint64_t n) {
  n ^= n >> 30;
  n *= 0xBF58476D1CE4E5B9ULL;
  n ^= n >> 27;
  n *= 0x94D049BB133111EBULL;
  n ^= n >> 31;
  return n;
}

/// Hash of a flow. It determines to which upstreams the packets of the flow are
/// sent, so it must be the same on all nodes and in all releases.
constexpr std::uint64_t hashFlow(ServiceId service, const Endpoint &caller,
                                 FlowId flow) {
  const std::uint64_t address =
      (std::uint64_t{caller.Address} << 16) | caller.Port;
  return mix64(mix64(flow.Value + 0x9E3779B97F4A7C15ULL) ^
               mix64(address + (std::uint64_t{service.Value} << 48)));
}

/// Weight of an upstream in the rendezvous hashing of a bucket. The ranking of
/// a bucket lists its upstreams by descending weight. For a given bucket the
/// weight is a bijection of the upstream id, so weights are unique.
constexpr std::uint64_t rendezvousWeight(std::uint16_t bucket,
                                         UpstreamId upstream) {
  return mix64(mix64(bucket + 0x9E3779B97F4A7C15ULL) ^
               (upstream.Value * 0xD1B54A32D192ED03ULL));
}

/// Checksum of message bodies: the lower 32 bits of XXH3.
std::uint32_t checksum32(std::span<const std::byte> buf);

} // namespace pistachio
