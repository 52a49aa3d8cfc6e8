#include "Control/SlotBounds.h"

#include <algorithm>

namespace pistachio {

std::uint32_t SlotBounds::find(const std::string &service,
                               const ControlState &state) {
  if (ComputedAt != state.published())
    compute(state);
  const auto it = Bounds.find(service);
  return it == Bounds.end() ? 0 : it->second;
}

void SlotBounds::compute(const ControlState &state) {
  ComputedAt = state.published();
  Bounds.clear();
  std::map<DataCentreId, bool> isOut;
  for (const std::string &it : state.rules().dataCentres()) {
    if (const auto record = state.findDataCentre(it))
      isOut[record->Id] = record->IsTakenOut;
  }
  std::map<ServiceId, std::uint32_t> serving;
  for (const UpstreamInfo &it : state.upstreams()) {
    if (it.Record.State != UpstreamState::Suspect &&
        !isOut[it.Record.DataCentre])
      ++serving[it.Record.Service];
  }
  for (const ServiceRule &it : state.rules().services())
    Bounds[it.Name] = it.Slots;
  for (const LimitRule &it : state.rules().limits()) {
    const auto service = state.findService(it.Service);
    if (!service)
      continue;
    const std::uint32_t n = std::max(serving[service->Id], 1U);
    std::uint32_t &bound = Bounds[it.Service];
    bound = std::min(bound, std::max(it.InFlight / n, 1U));
  }
}

} // namespace pistachio
