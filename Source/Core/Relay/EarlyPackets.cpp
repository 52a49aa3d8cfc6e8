#include "Relay/Relay.h"

namespace pistachio {
namespace {

/// Bounds the memory to about 3 MB of full packets.
constexpr std::size_t MaxPackets = 2000;

/// Callers give up on a first packet after 1.4 s; an older packet would only
/// open flows that nobody waits for.
constexpr Duration MaxAge{1200};

} // namespace

void EarlyPackets::add(const FlowEnds &flow, std::span<const std::byte> buf,
                       TimePoint now) {
  const auto it = Packets.find(flow);
  if (it == Packets.end() && Packets.size() >= MaxPackets)
    return;
  Packets[flow] = {Bytes(buf.begin(), buf.end()), now};
}

std::vector<Bytes> EarlyPackets::take(TimePoint now) {
  std::vector<Bytes> all;
  for (auto &[flow, it] : std::exchange(Packets, {}))
    if (now - it.At < MaxAge)
      all.push_back(std::move(it.Data));
  return all;
}

} // namespace pistachio
