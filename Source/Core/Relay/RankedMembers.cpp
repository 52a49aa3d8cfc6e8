#include "RankedMembers.h"

#include <algorithm>
#include <tuple>

namespace pistachio {

std::vector<RankedMember> rankMembers(const FlowEndpoints &flow,
                                      std::span<const ServiceMember> members,
                                      std::span<const ServiceMember> withdrawn,
                                      DataCentreId localDataCentre) {
  struct Entry {
    const ServiceMember *Member;
    std::uint64_t Weight;
    std::uint32_t Tier;
  };
  // Bucket of the flow for rendezvousWeight(), computed as in the rankings of
  // Service.
  const auto bucket = static_cast<std::uint16_t>(hashFlowEndpoints(flow) >> 52);
  std::vector<Entry> all;
  all.reserve(members.size() + withdrawn.size());
  for (const auto list : {members, withdrawn})
    for (const ServiceMember &it : list)
      all.push_back({&it, rendezvousWeight(bucket, it.Id), 0});
  std::ranges::sort(all, std::less{}, [](const Entry &it) {
    return std::tuple(it.Member->DataCentre, it.Weight);
  });
  std::uint32_t rank = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const DataCentreId dataCentre = all[i].Member->DataCentre;
    rank = i > 0 && all[i - 1].Member->DataCentre == dataCentre ? rank + 1 : 0;
    all[i].Tier = dataCentre == localDataCentre ? rank / LocalTierSize : rank;
  }
  std::ranges::sort(all, std::less{}, [&](const Entry &it) {
    return std::tuple(it.Tier, it.Member->DataCentre != localDataCentre,
                      it.Weight);
  });
  std::vector<RankedMember> ranked;
  ranked.reserve(all.size());
  for (const Entry &it : all)
    ranked.push_back({it.Member, it.Tier});
  return ranked;
}

} // namespace pistachio
