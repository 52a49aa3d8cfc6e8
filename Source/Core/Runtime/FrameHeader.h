#pragma once

#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <span>

namespace pistachio {

/// Validates the magic number, version and body length of a message header and
/// returns the body length. \p header must hold at least EnvelopeBytes bytes.
absl::StatusOr<std::size_t> readBodyLength(std::span<const std::byte> header);

} // namespace pistachio
