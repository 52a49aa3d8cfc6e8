#include "Relay/Relay.h"

#include <algorithm>

namespace pistachio {
namespace {

/// One packet for each flow: about 3 MB with packets of the largest size.
constexpr std::size_t MaxDeferredPackets = 2000;

} // namespace

void DeferredPackets::add(const FlowEndpoints &flow,
                          std::span<const std::byte> buf, TimePoint arrived) {
  const auto it = Packets.find(flow);
  if (it == Packets.end() && Packets.size() >= MaxDeferredPackets)
    return;
  const bool wasSent = it != Packets.end() && it->second.WasSent &&
                       std::ranges::equal(it->second.Data, buf);
  Packets[flow] = {Bytes(buf.begin(), buf.end()), arrived, wasSent};
}

void DeferredPackets::markSent(const FlowEndpoints &flow,
                               std::span<const std::byte> buf) {
  const auto it = Packets.find(flow);
  if (it != Packets.end())
    it->second.WasSent = std::ranges::equal(it->second.Data, buf);
}

std::optional<DeferredPackets::Packet>
DeferredPackets::takeOne(const FlowEndpoints &flow, TimePoint now) {
  auto node = Packets.extract(flow);
  if (node.empty() || now - node.mapped().Arrived >= MaxAge)
    return std::nullopt;
  return std::move(node.mapped());
}

const DeferredPackets::Packet *
DeferredPackets::find(const FlowEndpoints &flow) const {
  const auto it = Packets.find(flow);
  return it == Packets.end() ? nullptr : &it->second;
}

void DeferredPackets::expire(TimePoint now) {
  std::erase_if(Packets, [&](const auto &it) {
    return now - it.second.Arrived >= MaxAge;
  });
}

std::vector<DeferredPackets::Packet> DeferredPackets::take(TimePoint now) {
  std::vector<Packet> all;
  for (auto &[flow, it] : std::exchange(Packets, {}))
    if (now - it.Arrived < MaxAge)
      all.push_back(std::move(it));
  // The newest packets can still be answered in time.
  std::ranges::stable_sort(all, std::ranges::greater{}, &Packet::Arrived);
  return all;
}

} // namespace pistachio
