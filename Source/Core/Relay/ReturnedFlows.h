#pragma once

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <utility>

namespace pistachio {

/// Flows of which the upstream has lately returned a packet, so that it does
/// not hold them. Their number and the time for which they are remembered are
/// limited.
class ReturnedFlows {
public:
  void add(const FlowEndpoints &flow, TimePoint now);
  /// Must be called when the flow opens at the upstream.
  void remove(const FlowEndpoints &flow) { AddedAt.erase(flow); }
  bool contains(const FlowEndpoints &flow, TimePoint now) const;
  void clear();

private:
  absl::flat_hash_map<FlowEndpoints, TimePoint, std::hash<FlowEndpoints>>
      AddedAt;
  /// In the order of add(); also has flows that were removed since.
  std::deque<std::pair<TimePoint, FlowEndpoints>> Order;
};

} // namespace pistachio
