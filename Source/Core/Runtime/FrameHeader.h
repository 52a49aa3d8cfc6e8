#pragma once

#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <span>

namespace pistachio {

/// Checks magic, version and length of an envelope's first EnvelopeBytes bytes
/// and returns the length of the body. \p header must hold at least
/// EnvelopeBytes bytes.
absl::StatusOr<std::size_t> readBodyLength(std::span<const std::byte> header);

} // namespace pistachio
