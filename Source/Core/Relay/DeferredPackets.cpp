#include "Relay/Relay.h"

#include <algorithm>

namespace pistachio {
namespace {

/// One packet for each flow: about 3 MB with packets of the largest size.
constexpr std::size_t MaxDeferredPackets = 2000;

/// Callers give up on a first packet after 1.4 s; an older packet would only
/// open flows that nobody waits for.
constexpr Duration MaxDeferredAge{1200};

} // namespace

void DeferredPackets::add(const FlowEndpoints &flow,
                          std::span<const std::byte> buf, TimePoint arrived) {
  const auto it = Packets.find(flow);
  if (it == Packets.end() && Packets.size() >= MaxDeferredPackets)
    return;
  Packets[flow] = {Bytes(buf.begin(), buf.end()), arrived};
}

std::vector<DeferredPackets::Packet> DeferredPackets::take(TimePoint now) {
  std::vector<Packet> all;
  for (auto &[flow, it] : std::exchange(Packets, {}))
    if (now - it.Arrived < MaxDeferredAge)
      all.push_back(std::move(it));
  // The newest packets can still be answered in time.
  std::ranges::stable_sort(all, std::ranges::greater{}, &Packet::Arrived);
  return all;
}

} // namespace pistachio
