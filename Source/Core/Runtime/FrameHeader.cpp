#include "Runtime/FrameHeader.h"

#include <boost/endian/conversion.hpp>

namespace pistachio {

absl::StatusOr<std::size_t> readBodyLength(std::span<const std::byte> header) {
  const auto *begin = reinterpret_cast<const unsigned char *>(header.data());
  if (boost::endian::load_little_u16(begin) != WireMagic)
    return absl::InvalidArgumentError(
        "frame does not start with the magic number");
  if (begin[2] != WireVersion)
    return absl::InvalidArgumentError("frame has an unsupported version");
  const std::size_t length = boost::endian::load_little_u32(begin + 4);
  if (length > MaxBodyBytes)
    return absl::InvalidArgumentError("frame body exceeds its maximum length");
  return length;
}

} // namespace pistachio
