#pragma once

#include "Relay/LinkScheduler.h"
#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace pistachio {

/// Packets of one class. They are taken in turn by flow, so that a flow with
/// many waiting packets does not delay those of other flows.
class FairQueue {
public:
  /// Headers of IP and UDP.
  static constexpr std::size_t HeaderBytes = 28;

  struct Waiting {
    DatagramInfo Info;
    Bytes Data;
    TimePoint Arrived{};
    std::uint64_t Key = 0;
  };

  bool isEmpty() const { return Packets.empty(); }
  std::size_t length() const { return Packets.size(); }
  /// Memory of the waiting packets.
  std::size_t memoryBytes() const { return MemoryBytes; }
  /// Bytes that the waiting packets take on the link.
  std::size_t linkBytes() const {
    return MemoryBytes - Packets.size() * (PacketOverheadBytes - HeaderBytes);
  }
  TimePoint oldestArrival() const { return Packets.begin()->second.Arrived; }
  /// Returns whether the queue has a packet with this key.
  bool contains(std::uint64_t key) const { return Keys.contains(key); }
  void push(Waiting packet);
  /// Returns the packet whose turn it is. The queue must not be empty.
  const Waiting &next();
  /// Removes and returns the packet of next().
  Waiting pop();
  /// Removes the packet that has waited for longest.
  void dropOldest();

private:
  /// Memory of a waiting packet in addition to its data, approximately.
  static constexpr std::size_t PacketOverheadBytes = 256;

  Waiting remove(std::uint64_t id);

  /// By order of arrival.
  std::map<std::uint64_t, Waiting> Packets;
  std::uint64_t LastId = 0;
  std::size_t MemoryBytes = 0;
  /// The waiting packets of each flow, oldest first. A flow is listed once in
  /// Turns for as long as it has an entry here.
  absl::flat_hash_map<FlowEndpoints, std::vector<std::uint64_t>,
                      std::hash<FlowEndpoints>>
      Flows;
  std::deque<FlowEndpoints> Turns;
  absl::flat_hash_set<std::uint64_t> Keys;
};

} // namespace pistachio
