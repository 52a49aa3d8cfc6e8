#include "Session/SegmentAssembler.h"

#include <algorithm>

namespace pistachio {

std::uint32_t segmentCount(std::size_t totalBytes) {
  if (totalBytes == 0)
    return 1;
  return static_cast<std::uint32_t>((totalBytes + SegmentBytes - 1) /
                                    SegmentBytes);
}

std::span<const std::byte> segmentOf(std::span<const std::byte> body,
                                     std::uint32_t index) {
  const std::size_t offset = std::size_t{index} * SegmentBytes;
  return body.subspan(offset, std::min(SegmentBytes, body.size() - offset));
}

SegmentAssembler::SegmentAssembler(std::uint32_t totalBytes,
                                   std::uint32_t checksum)
    : TotalSize(totalBytes), Checksum(checksum), Body(totalBytes),
      HasSegment(segmentCount(totalBytes)) {}

bool SegmentAssembler::isValidSegment(std::uint32_t totalBytes,
                                      std::uint32_t offset,
                                      std::size_t contentBytes) {
  if (totalBytes > MaxContentBytes || offset % SegmentBytes != 0)
    return false;
  if (totalBytes == 0)
    return offset == 0 && contentBytes == 0;
  return offset < totalBytes &&
         contentBytes ==
             std::min<std::size_t>(SegmentBytes, totalBytes - offset);
}

bool SegmentAssembler::add(std::uint32_t offset,
                           std::span<const std::byte> content, bool &isNew) {
  isNew = false;
  if (!isValidSegment(TotalSize, offset, content.size()))
    return false;
  const std::size_t index = offset / SegmentBytes;
  if (HasSegment[index])
    return true;
  isNew = true;
  HasSegment[index] = true;
  std::copy(content.begin(), content.end(), Body.begin() + offset);
  while (FirstMissing < HasSegment.size() && HasSegment[FirstMissing])
    ++FirstMissing;
  return true;
}

std::uint32_t SegmentAssembler::contiguousBytes() const {
  return static_cast<std::uint32_t>(
      std::min<std::size_t>(TotalSize, FirstMissing * SegmentBytes));
}

bool SegmentAssembler::verify() const {
  return isComplete() && checksum32(Body) == Checksum;
}

} // namespace pistachio
