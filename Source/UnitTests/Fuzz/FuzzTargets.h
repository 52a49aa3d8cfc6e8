#pragma once

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <span>
#include <vector>

namespace pistachio {

/// A decoder of input from outside the process: messages, packets, documents
/// and files.
struct FuzzTarget {
  const char *Name;
  /// Returns whether the input was accepted. Must not throw.
  bool (*Decode)(std::span<const std::byte> input);
  /// Valid inputs.
  std::vector<Bytes> (*Seeds)();
};

std::span<const FuzzTarget> fuzzTargets();

/// Returns the target with this name, or nullptr.
const FuzzTarget *findFuzzTarget(std::string_view name);

} // namespace pistachio
