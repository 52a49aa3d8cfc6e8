#pragma once

#include "Wire/Wire.h"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachio {

/// Returns the number of segments of a body. An empty body has one empty
/// segment.
std::uint32_t segmentCount(std::size_t totalBytes);

/// Returns the content of one segment of \p body.
std::span<const std::byte> segmentOf(std::span<const std::byte> body,
                                     std::uint32_t index);

/// Reassembles a body from segments, which may arrive out of order and more
/// than once.
class SegmentAssembler {
public:
  /// Takes both values from the segment that arrives first. Allocates \p
  /// totalBytes; the caller of the constructor has to check that value.
  SegmentAssembler(std::uint32_t totalBytes, std::uint32_t checksum);

  /// Whether the offset and the length of a segment are those that a sender
  /// uses for a body of \p totalBytes.
  static bool isValidSegment(std::uint32_t totalBytes, std::uint32_t offset,
                             std::size_t contentBytes);

  /// Adds a segment. Returns false if its offset or length is invalid. Sets \p
  /// isNew to whether the segment was missing before.
  bool add(std::uint32_t offset, std::span<const std::byte> content,
           bool &isNew);

  std::uint32_t totalBytes() const { return TotalSize; }
  std::uint32_t checksum() const { return Checksum; }
  /// Number of bytes at the start of the body that have arrived without a gap.
  std::uint32_t contiguousBytes() const;
  bool isComplete() const { return FirstMissing == HasSegment.size(); }
  /// Whether the body is complete and has the announced checksum.
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
