#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachio {

using Bytes = std::vector<std::byte>;

// The envelope, which is the header of every message, see Wire.h.
inline constexpr std::uint16_t WireMagic = 0x5450;
inline constexpr std::uint8_t WireVersion = 1;
inline constexpr std::size_t EnvelopeBytes = 12;

/// Largest message body on a TCP channel. Senders split larger content into
/// several messages.
inline constexpr std::size_t MaxBodyBytes = 1024 * 1024;

/// Largest datagram between processes. Together with the IP and UDP headers it
/// fits into an MTU of 1500 bytes.
inline constexpr std::size_t MaxDatagramBytes = 1452;

/// Largest payload of one packet that a caller sends or receives.
inline constexpr std::size_t MaxPayloadBytes = 1200;

/// Value of ColdMilliflowsPerSecond for a service whose rules do not limit the
/// rate of new flows during a cold start.
inline constexpr std::uint32_t UnlimitedColdRate = 0xFFFFFFFF;

} // namespace pistachio
