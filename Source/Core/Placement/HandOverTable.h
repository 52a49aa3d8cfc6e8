#pragma once

#include "Placement/Placement.h"

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

namespace pistachio {

/// Seeded for each process, because callers choose their flow ids.
struct FlowKeyHash {
  std::size_t operator()(const FlowKey &it) const {
    return absl::HashOf(it.Caller.Address, it.Caller.Port, it.Flow.Value);
  }
};

/// Where the first packet of a flow went.
struct HandOver {
  /// The agent that has the flow or decides about it; no id if the flow was
  /// held here and is closed.
  Candidate Target;
  /// Table of the packet that led to this.
  Revision TableRevision;

  bool isClosed() const { return !Target.Upstream; }
};

/// Remembers hand-overs and closed flows for at least one window and at most
/// two. Two generations replace a time stamp and a timer for each flow.
class HandOverTable {
public:
  /// A generation that grows beyond this is ended early: about 80 MB.
  static constexpr std::size_t MaxGenerationEntries = 500000;

  const HandOver *find(const FlowKey &key) const {
    if (const auto it = CurrentGeneration.find(key);
        it != CurrentGeneration.end())
      return &it->second;
    const auto it = PreviousGeneration.find(key);
    return it == PreviousGeneration.end() ? nullptr : &it->second;
  }

  void set(const FlowKey &key, const HandOver &value) {
    if (CurrentGeneration.size() >= MaxGenerationEntries)
      rotate();
    CurrentGeneration.insert_or_assign(key, value);
  }

  void erase(const FlowKey &key) {
    CurrentGeneration.erase(key);
    PreviousGeneration.erase(key);
  }

  void rotate() {
    PreviousGeneration = std::move(CurrentGeneration);
    CurrentGeneration = {};
  }

  void clear() {
    CurrentGeneration = {};
    PreviousGeneration = {};
  }

  std::size_t memoryBytes() const {
    return (CurrentGeneration.capacity() + PreviousGeneration.capacity()) *
           (sizeof(Map::value_type) + 1);
  }

private:
  using Map = absl::flat_hash_map<FlowKey, HandOver, FlowKeyHash>;
  Map CurrentGeneration;
  Map PreviousGeneration;
};

} // namespace pistachio
