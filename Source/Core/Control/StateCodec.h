#pragma once

#include "Control/ControlData.h"

#include "absl/status/statusor.h"

#include <span>

namespace pistachio {

/// Serializes the state for a snapshot.
Bytes encodeControlData(const ControlData &data);

/// Deserializes a snapshot. Returns DataLoss if \p buf is not a complete and
/// valid snapshot.
absl::StatusOr<ControlData> decodeControlData(std::span<const std::byte> buf);

} // namespace pistachio
