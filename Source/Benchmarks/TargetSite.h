#pragma once

#include "Wire/Wire.h"

#include <cstdint>
#include <vector>

namespace pistachio {

/// Number of services, upstreams and balancers of a site, up to those of the
/// capacity target (docs/CAPACITY.md).
struct SiteSize {
  std::uint32_t Services = 0;
  std::uint32_t Upstreams = 0;
  std::uint32_t Balancers = 0;
};

inline constexpr SiteSize TargetSize{72000, 130000, 19000};
inline constexpr std::uint32_t DataCentreCount = 11;

/// Returns a complete published table of the given size, split into parts. A
/// fixed pseudo-random sequence assigns the upstreams to services: most
/// services have one or two, some have hundreds.
std::vector<TableUpdate> makeTable(const SiteSize &size);

/// Returns the update from revision \p from to the next one that changes the
/// state of one upstream: to draining if \p from is even, to active otherwise.
TableUpdate makeDelta(const SiteSize &size, Revision from,
                      std::uint32_t upstream);

} // namespace pistachio
