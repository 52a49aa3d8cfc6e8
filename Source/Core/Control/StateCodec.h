#pragma once

#include "Control/ControlData.h"

#include "absl/status/statusor.h"

#include <span>

namespace pistachio {

Bytes encodeControlData(const ControlData &data);

/// DataLoss if \p buf is not the whole image of a state.
absl::StatusOr<ControlData> decodeControlData(std::span<const std::byte> buf);

} // namespace pistachio
