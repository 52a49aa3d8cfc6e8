#include "PeerLeaseQueries.h"

#include <algorithm>
#include <vector>

namespace pistachio {
namespace {

/// Peers queried in each round. More queries would overload the network when
/// thousands of balancers have no lease.
constexpr std::size_t PeersPerRound = 4;
constexpr Duration QueryTimeout{3000};

} // namespace

PeerLeaseQueries::PeerLeaseQueries(std::string node, Send send)
    : Node(std::move(node)), SendQuery(std::move(send)) {}

void PeerLeaseQueries::sendQueries(const ServiceTable &table, TimePoint now) {
  std::erase_if(OpenQueries, [now](const auto &it) {
    return now - it.second.SentAt > QueryTimeout;
  });
  const auto all = table.balancers();
  const auto own = std::ranges::find(all, Node, &BalancerRecord::Name);
  // Without its own record, the balancer does not know which peers are in other
  // data centres. It then takes no reply as evidence that control is down.
  const auto isOther = [&](const BalancerRecord &it) {
    return own != all.end() && it.DataCentre != own->DataCentre;
  };
  std::vector<const BalancerRecord *> peers;
  for (const BalancerRecord &it : all) {
    if (it.Name != Node)
      peers.push_back(&it);
  }
  const auto middle = std::stable_partition(
      peers.begin(), peers.end(),
      [&](const BalancerRecord *it) { return isOther(*it); });
  const auto otherCount = static_cast<std::size_t>(middle - peers.begin());
  const std::size_t pool = otherCount > 0 ? otherCount : peers.size();
  for (std::size_t i = 0; i < std::min(PeersPerRound, pool); ++i) {
    const BalancerRecord &peer = *peers[NextPeer++ % pool];
    const std::uint64_t nonce = ++LastNonce;
    OpenQueries[nonce] = {now, isOther(peer)};
    SendQuery({Node, nonce, table.revision()}, peer.Address);
  }
}

std::optional<PeerLeaseQueries::Query>
PeerLeaseQueries::matchReply(const PeerLeaseReply &reply) {
  const auto it = OpenQueries.find(reply.Nonce);
  if (it == OpenQueries.end())
    return std::nullopt;
  const Query query = it->second;
  OpenQueries.erase(it);
  return query;
}

} // namespace pistachio
