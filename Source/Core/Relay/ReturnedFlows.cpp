#include "ReturnedFlows.h"

namespace pistachio {
namespace {

/// Longer than the retransmissions of a packet and the searches that they
/// cause.
constexpr Duration ReturnedFlowRetention{10000};

/// About 250 kB. Beyond it the oldest flows are forgotten: the upstream then
/// gets another packet of such a flow.
constexpr std::size_t MaxReturnedFlows = 4096;

} // namespace

void ReturnedFlows::add(const FlowEndpoints &flow, TimePoint now) {
  while (!Order.empty() &&
         (Order.size() >= MaxReturnedFlows ||
          now - Order.front().first >= ReturnedFlowRetention)) {
    // A flow that has been added again has a later entry.
    const auto &[addedAt, oldest] = Order.front();
    if (const auto it = AddedAt.find(oldest);
        it != AddedAt.end() && it->second == addedAt)
      AddedAt.erase(it);
    Order.pop_front();
  }
  AddedAt[flow] = now;
  Order.emplace_back(now, flow);
}

bool ReturnedFlows::contains(const FlowEndpoints &flow, TimePoint now) const {
  const auto it = AddedAt.find(flow);
  return it != AddedAt.end() && now - it->second < ReturnedFlowRetention;
}

void ReturnedFlows::clear() {
  AddedAt.clear();
  Order.clear();
}

} // namespace pistachio
