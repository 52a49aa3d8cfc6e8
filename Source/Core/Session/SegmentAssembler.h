#pragma once

#include "Wire/Wire.h"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachio {

/// Number of segments of a body; an empty body takes one.
std::uint32_t segmentCount(std::size_t totalBytes);

/// Content of one segment of \p body.
std::span<const std::byte> segmentOf(std::span<const std::byte> body,
                                     std::uint32_t index);

/// Puts a body together from segments that arrive in any order and repeatedly.
class SegmentAssembler {
public:
  /// Both are taken from the first segment that arrives. Allocates
  /// \p totalBytes, which the caller must have bounded.
  SegmentAssembler(std::uint32_t totalBytes, std::uint32_t checksum);

  /// Whether a segment has the only place and length that a sender gives it.
  static bool isValidSegment(std::uint32_t totalBytes, std::uint32_t offset,
                             std::size_t contentBytes);

  /// False if the segment does not fit. \p isNew says whether it was missing.
  bool add(std::uint32_t offset, std::span<const std::byte> content,
           bool &isNew);

  std::uint32_t totalBytes() const { return TotalSize; }
  std::uint32_t checksum() const { return Checksum; }
  /// All bytes below this have arrived.
  std::uint32_t contiguousBytes() const;
  bool isComplete() const { return FirstMissing == HasSegment.size(); }
  /// Whether the whole body has the announced checksum.
  bool verify() const;
  Bytes takeBody() { return std::move(Body); }

private:
  std::uint32_t TotalSize;
  std::uint32_t Checksum;
  Bytes Body;
  std::vector<bool> HasSegment;
  std::size_t FirstMissing = 0;
};

} // namespace pistachio
