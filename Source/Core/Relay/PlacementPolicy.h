#pragma once

#include "AgentLoads.h"
#include "RankedMembers.h"

#include "Relay/Relay.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace pistachio {

/// Chooses the upstream that a new flow is offered to. A policy has no state of
/// its own: it decides by what the balancer knows of the agents.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// Returns one of \p candidates, which are in the order of rankMembers(), or
  /// nullptr if none of them accepts new flows at present.
  virtual const ServiceMember *choose(const FlowEndpoints &flow,
                                      std::span<const RankedMember> candidates,
                                      DataCentreId localDataCentre,
                                      const AgentLoads &agents,
                                      TimePoint now) const = 0;
  /// Returns for each candidate the figure by which choose() compares it with
  /// the others. It is not set for those that choose() leaves out, nor by a
  /// policy that compares no figures.
  virtual std::vector<std::optional<double>>
  comparedLoads(std::span<const RankedMember> candidates,
                DataCentreId localDataCentre, const AgentLoads &agents,
                TimePoint now) const;
};

/// Returns whether a member may get new flows. \p status is nullptr if nothing
/// is known of its agent.
OfferState offerStateOf(const ServiceMember &member, const AgentStatus *status,
                        TimePoint now);

/// \p seed is that of FlowRouterOptions::PlacementSeed.
std::unique_ptr<PlacementPolicy> makePlacementPolicy(PlacementKind kind,
                                                     std::uint64_t seed);

} // namespace pistachio
