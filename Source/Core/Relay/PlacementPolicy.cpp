#include "PlacementPolicy.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Average load of one open flow, in requests. Long-lived flows are idle most
/// of the time.
constexpr double LoadPerOpenFlow = 0.05;

/// Added to the load per slot of upstreams in other data centres: such an
/// upstream is chosen only if its load is lower by more than this share of its
/// slots.
constexpr double RemoteLoadPenalty = 0.2;

/// A first packet may go to any member of a service of up to this many: the
/// choice by load then spreads flows better than one among a few, and a search
/// is short all the same.
constexpr std::size_t MaxMembersOfOneChoice = 16;

bool isEligible(const ServiceMember &member, const AgentStatus *status,
                TimePoint now) {
  return member.State == CandidateState::Accepting &&
         (status == nullptr ||
          (now >= status->AvoidUntil && now >= status->SilentUntil));
}

/// Chooses the least loaded eligible member of the first tiers that have one.
class LeastLoadedPolicy final : public PlacementPolicy {
public:
  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId localDataCentre,
                              const AgentLoads &agents,
                              TimePoint now) const override;

private:
  static double loadOf(const AgentStatus *status, bool isRemote);
};

double LeastLoadedPolicy::loadOf(const AgentStatus *status, bool isRemote) {
  const double remote = isRemote ? RemoteLoadPenalty : 0;
  if (status == nullptr)
    return remote;
  const double work = status->Load.BusyFlows +
                      status->PlacedSinceReport * (LoadPerOpenFlow + 0.5) +
                      status->Load.Flows * LoadPerOpenFlow;
  return remote + work / std::max<double>(status->Load.Slots, 1);
}

const ServiceMember *
LeastLoadedPolicy::choose(const FlowEndpoints & /*flow*/,
                          std::span<const RankedMember> candidates,
                          DataCentreId localDataCentre,
                          const AgentLoads &agents, TimePoint now) const {
  const bool isOneChoice = candidates.size() <= MaxMembersOfOneChoice;
  // Tiers are taken in groups of 1, 2, 4 and so on.
  std::uint32_t lastTier = 0;
  const ServiceMember *best = nullptr;
  double bestLoad = 0;
  for (const RankedMember &it : candidates) {
    if (!isOneChoice && it.Tier > lastTier) {
      if (best != nullptr)
        break;
      lastTier = 2 * lastTier + 2;
    }
    const AgentStatus *status = agents.find(it.Member->Address);
    if (!isEligible(*it.Member, status, now))
      continue;
    const double load =
        loadOf(status, it.Member->DataCentre != localDataCentre);
    if (best == nullptr || load < bestLoad) {
      best = it.Member;
      bestLoad = load;
    }
  }
  return best;
}

} // namespace

std::unique_ptr<PlacementPolicy> makeLeastLoadedPolicy() {
  return std::make_unique<LeastLoadedPolicy>();
}

} // namespace pistachio
