#include "PeerLeases.h"

#include <algorithm>
#include <vector>

namespace pistachio {
namespace {

/// Peers asked at a time. With thousands of balancers without a lease more
/// would be a flood.
constexpr std::size_t PeersAsked = 4;
constexpr Duration QueryLifetime{3000};

} // namespace

PeerLeases::PeerLeases(std::string node, Send send)
    : Node(std::move(node)), SendQuery(std::move(send)) {}

void PeerLeases::ask(const ServiceTable &table, TimePoint now) {
  std::erase_if(Open, [now](const auto &it) {
    return now - it.second.SentAt > QueryLifetime;
  });
  const auto all = table.balancers();
  const auto own = std::ranges::find(all, Node, &BalancerRecord::Name);
  // Without its own record the node cannot tell where its peers are; it then
  // takes none of their answers as evidence that control is down.
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
  const auto others = static_cast<std::size_t>(middle - peers.begin());
  const std::size_t pool = others > 0 ? others : peers.size();
  for (std::size_t i = 0; i < std::min(PeersAsked, pool); ++i) {
    const BalancerRecord &peer = *peers[Next++ % pool];
    const std::uint64_t nonce = ++LastNonce;
    Open[nonce] = {now, isOther(peer)};
    SendQuery({Node, nonce, table.revision()}, peer.Address);
  }
}

std::optional<PeerLeases::Matched>
PeerLeases::match(const PeerLeaseReply &answer) {
  const auto it = Open.find(answer.Nonce);
  if (it == Open.end())
    return std::nullopt;
  const Matched matched = it->second;
  Open.erase(it);
  return matched;
}

} // namespace pistachio
