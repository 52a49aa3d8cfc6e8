#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachio {

using Bytes = std::vector<std::byte>;

inline constexpr std::uint16_t WireMagic = 0x5450;
inline constexpr std::uint8_t WireVersion = 1;
inline constexpr std::size_t EnvelopeBytes = 12;

/// Largest body on a TCP channel. A sender splits larger content into parts.
inline constexpr std::size_t MaxBodyBytes = 1024 * 1024;

/// Largest datagram between processes; leaves room for the headers within an
/// MTU of 1500 bytes.
inline constexpr std::size_t MaxDatagramBytes = 1452;

/// Largest payload of one caller packet.
inline constexpr std::size_t MaxPayloadBytes = 1200;

/// Stands for a service whose rules set no bound in a cold start.
inline constexpr std::uint32_t UnlimitedColdRate = 0xFFFFFFFF;

} // namespace pistachio
