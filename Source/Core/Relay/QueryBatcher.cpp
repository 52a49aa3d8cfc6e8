#include "Relay/Relay.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Size of a datagram with a query: the headers of UDP, IP and the message, and
/// two addresses for each flow.
constexpr std::size_t HeaderBytes = 48;
constexpr std::size_t FlowBytes = 12;

} // namespace

QueryBatcher::QueryBatcher(QueryBatcherOptions options)
    : Options(options), Tokens(options.BurstBytes) {}

void QueryBatcher::add(const FlowEndpoints &flow, const QueryTarget &target) {
  std::vector<FlowEndpoints> &flows = Waiting[{target.Agent, target.Service}];
  if (flows.empty())
    Order.emplace_back(target.Agent, target.Service);
  if (std::ranges::find(flows, flow) == flows.end())
    flows.push_back(flow);
}

std::vector<QueryBatcher::Batch> QueryBatcher::take(TimePoint now) {
  if (TokensAt != TimePoint{})
    Tokens = std::min<double>(Options.BurstBytes,
                              Tokens + toSeconds(now - TokensAt) *
                                           Options.BytesPerSecond);
  TokensAt = now;
  std::vector<Batch> batches;
  while (!Order.empty() && Tokens > 0) {
    const auto it = Waiting.find(Order.front());
    std::vector<FlowEndpoints> &flows = it->second;
    const auto n =
        static_cast<std::ptrdiff_t>(std::min(flows.size(), MaxFlowsInQuery));
    batches.push_back({it->first.first,
                       {it->first.second, {flows.begin(), flows.begin() + n}}});
    flows.erase(flows.begin(), flows.begin() + n);
    if (flows.empty()) {
      Waiting.erase(it);
      Order.pop_front();
    }
    Tokens -= static_cast<double>(HeaderBytes +
                                  FlowBytes * static_cast<std::size_t>(n));
  }
  return batches;
}

} // namespace pistachio
