#include "Relay/Relay.h"

#include <algorithm>

namespace pistachio {

std::vector<std::pair<Endpoint, ChainedPacket>>
makeChains(const RelayDecision &decision, std::span<const std::byte> packet) {
  std::vector<Endpoint> agents{decision.Agent};
  agents.insert(agents.end(), decision.OtherAgents.begin(),
                decision.OtherAgents.end());
  std::vector<std::pair<Endpoint, ChainedPacket>> chains;
  for (std::span<const Endpoint> rest = agents; !rest.empty();) {
    const auto chain = rest.first(std::min(rest.size(), MaxChainedAgents));
    rest = rest.subspan(chain.size());
    chains.push_back({chain[0],
                      {decision.Service,
                       {},
                       {chain.begin() + 1, chain.end()},
                       {packet.begin(), packet.end()}}});
  }
  return chains;
}

} // namespace pistachio
