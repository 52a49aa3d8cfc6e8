#pragma once

#include "Relay/Relay.h"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachio {

/// The members of a service in the order in which a flow is offered to them and
/// in which they are searched for it. Each data centre orders its members by
/// rendezvous hash. Tier 0 has the first LocalTierSize members of the local
/// data centre and the first member of each other one; the next tiers continue
/// these orders. The order within a data centre does not depend on the others,
/// so it stays when one of them is withdrawn.
struct RankedMember {
  const ServiceMember *Member = nullptr;
  std::uint32_t Tier = 0;
};

inline constexpr std::uint32_t LocalTierSize = 4;

/// Returns \p members and \p withdrawn in this order.
std::vector<RankedMember> rankMembers(const FlowEndpoints &flow,
                                      std::span<const ServiceMember> members,
                                      std::span<const ServiceMember> withdrawn,
                                      DataCentreId localDataCentre);

} // namespace pistachio
