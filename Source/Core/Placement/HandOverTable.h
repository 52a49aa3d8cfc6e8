#pragma once

#include "Placement/Placement.h"

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

namespace pistachio {

/// Hash of a flow key, seeded for each process. Callers choose their flow ids,
/// and with an unseeded hash they could choose ids that collide.
struct FlowKeyHash {
  std::size_t operator()(const FlowKey &it) const {
    return absl::HashOf(it.Caller.Address, it.Caller.Port, it.Flow.Value);
  }
};

/// The agent to which the first packet of a flow was handed over.
struct HandOver {
  /// The agent that holds the flow or decides whether to accept it. Has no
  /// upstream id if the flow was held by this agent and is closed.
  Candidate Target;
  /// Revision of the routing table with which the packet that caused the
  /// hand-over was forwarded.
  Revision TableRevision;

  bool isClosed() const { return !Target.Upstream; }
};

/// Records hand-overs and closed flows. An entry is kept for at least one
/// window and at most two: rotate() is called once per window and drops the
/// older of two generations. This needs no timestamp and no timer for each
/// flow.
class HandOverTable {
public:
  /// Number of entries at which a generation is rotated before the end of its
  /// window. It bounds the memory of a generation to about 80 MB.
  static constexpr std::size_t MaxGenerationEntries = 500000;

  /// Returns nullptr if the table has no entry for the flow.
  const HandOver *find(const FlowKey &key) const {
    if (const auto it = Recent.find(key); it != Recent.end())
      return &it->second;
    const auto it = Former.find(key);
    return it == Former.end() ? nullptr : &it->second;
  }

  void set(const FlowKey &key, const HandOver &value) {
    if (Recent.size() >= MaxGenerationEntries)
      rotate();
    Recent.insert_or_assign(key, value);
  }

  void erase(const FlowKey &key) {
    Recent.erase(key);
    Former.erase(key);
  }

  /// Drops the previous generation and starts a new one.
  void rotate() {
    Former = std::move(Recent);
    Recent = {};
  }

  void clear() {
    Recent = {};
    Former = {};
  }

  /// Allocated memory, including one control byte for each slot of the hash
  /// maps.
  std::size_t memoryBytes() const {
    return (Recent.capacity() + Former.capacity()) *
           (sizeof(Map::value_type) + 1);
  }

private:
  using Map = absl::flat_hash_map<FlowKey, HandOver, FlowKeyHash>;
  Map Recent;
  Map Former;
};

} // namespace pistachio
