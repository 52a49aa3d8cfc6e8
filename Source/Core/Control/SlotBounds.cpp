#include "Control/SlotBounds.h"

#include <algorithm>

namespace pistachio {

std::uint32_t SlotBounds::slotsPerUpstream(const std::string &service,
                                           const ControlState &state) {
  if (ComputedAtRevision != state.publishedRevision())
    recompute(state);
  const auto it = SlotsByService.find(service);
  return it == SlotsByService.end() ? 0 : it->second;
}

void SlotBounds::recompute(const ControlState &state) {
  ComputedAtRevision = state.publishedRevision();
  SlotsByService.clear();
  std::map<DataCentreId, bool> isOut;
  for (const std::string &it : state.rules().dataCentres()) {
    if (const auto record = state.findDataCentre(it))
      isOut[record->Id] = record->IsTakenOut;
  }
  std::map<ServiceId, std::uint32_t> servingUpstreams;
  for (const UpstreamInfo &it : state.upstreams()) {
    if (it.Record.State != UpstreamState::Suspect &&
        !isOut[it.Record.DataCentre])
      ++servingUpstreams[it.Record.Service];
  }
  for (const ServiceRule &it : state.rules().services())
    SlotsByService[it.Name] = it.Slots;
  for (const LimitRule &it : state.rules().limits()) {
    const auto service = state.findService(it.Service);
    if (!service)
      continue;
    const std::uint32_t servingCount =
        std::max(servingUpstreams[service->Id], 1U);
    std::uint32_t &bound = SlotsByService[it.Service];
    bound = std::min(bound, std::max(it.MaxInFlight / servingCount, 1U));
  }
}

} // namespace pistachio
