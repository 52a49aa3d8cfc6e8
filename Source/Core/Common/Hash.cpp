#include "Common/Hash.h"

#include <xxhash.h>

namespace pistachio {

std::uint32_t checksum32(std::span<const std::byte> buf) {
  return static_cast<std::uint32_t>(XXH3_64bits(buf.data(), buf.size()));
}

} // namespace pistachio
