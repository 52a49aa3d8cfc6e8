#include "FairQueue.h"

#include <utility>

namespace pistachio {

void FairQueue::push(Waiting packet) {
  const auto [flow, isNew] = Flows.try_emplace(packet.Info.Flow);
  if (isNew)
    Turns.push_back(packet.Info.Flow);
  flow->second.push_back(++LastId);
  Keys.insert(packet.Key);
  MemoryBytes += packet.Data.size() + PacketOverheadBytes;
  Packets.emplace(LastId, std::move(packet));
}

const FairQueue::Waiting &FairQueue::next() {
  while (true) {
    const auto flow = Flows.find(Turns.front());
    if (!flow->second.empty())
      return Packets.at(flow->second.front());
    Flows.erase(flow);
    Turns.pop_front();
  }
}

FairQueue::Waiting FairQueue::pop() {
  const FlowEndpoints flow = next().Info.Flow;
  const auto it = Flows.find(flow);
  Waiting packet = remove(it->second.front());
  Turns.pop_front();
  if (it->second.empty())
    Flows.erase(it);
  else
    Turns.push_back(flow);
  return packet;
}

void FairQueue::dropOldest() {
  remove(Packets.begin()->first);
  // Only next() removes flows without packets, and it is not called before
  // there are further packets.
  if (Packets.empty()) {
    Flows.clear();
    Turns.clear();
  }
}

FairQueue::Waiting FairQueue::remove(std::uint64_t id) {
  Waiting packet = std::move(Packets.extract(id).mapped());
  MemoryBytes -= packet.Data.size() + PacketOverheadBytes;
  Keys.erase(packet.Key);
  // Within a flow the oldest packet is always the first to go.
  std::vector<std::uint64_t> &ids = Flows.find(packet.Info.Flow)->second;
  ids.erase(ids.begin());
  return packet;
}

} // namespace pistachio
