#pragma once

#include "Wire/Wire.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Sizes of a site, up to those of the target (docs/CAPACITY.md).
struct SiteSize {
  std::uint32_t Services = 0;
  std::uint32_t Upstreams = 0;
  std::uint32_t Balancers = 0;
};

inline constexpr SiteSize TargetSize{72000, 130000, 19000};
inline constexpr std::uint32_t DataCentreCount = 11;

/// A whole published table of that size in parts, with upstreams spread over
/// services by a fixed pseudo-random sequence: most services have one or two,
/// some have hundreds.
std::vector<TableUpdate> makeTable(const SiteSize &size);

/// The change that marks one upstream as draining, from revision \p from to the
/// next.
TableUpdate makeDelta(const SiteSize &size, Revision from,
                      std::uint32_t upstream);

} // namespace pistachio
