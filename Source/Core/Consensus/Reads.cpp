#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {
namespace {

/// The oldest reads beyond this number are dropped; their callers have stopped
/// polling isReadConfirmed().
constexpr std::size_t MaxPendingReads = 4096;

/// Returns the highest value that at least \p n of \p values have reached.
template <typename T> T quorumValue(std::vector<T> values, std::size_t n) {
  if (values.size() < n)
    return T{};
  std::ranges::nth_element(values, values.begin() + (n - 1), std::greater<>());
  return values[n - 1];
}

} // namespace

std::uint64_t Node::confirmedRound() const {
  std::vector<std::uint64_t> rounds;
  for (const Member &it : config()) {
    if (!it.Voter)
      continue;
    const auto peer = Peers.find(it.Id);
    rounds.push_back(it.Id == Self         ? Round
                     : peer != Peers.end() ? peer->second.AckedRound
                                           : 0);
  }
  return quorumValue(std::move(rounds), majority());
}

/// Send time of the latest request that a majority of the voters has answered.
std::optional<TimePoint> Node::lastQuorumContact(TimePoint now) const {
  std::vector<std::optional<TimePoint>> times;
  for (const Member &it : config()) {
    if (!it.Voter)
      continue;
    const auto peer = Peers.find(it.Id);
    times.push_back(it.Id == Self         ? std::optional(now)
                    : peer != Peers.end() ? peer->second.AckedSentAt
                                          : std::nullopt);
  }
  return quorumValue(std::move(times), majority());
}

absl::StatusOr<std::uint64_t> Node::startRead(TimePoint now,
                                              ConsensusOutput &output) {
  if (absl::Status status = requireLeader(); !status.ok())
    return status;
  broadcast(/*heartbeat=*/true, now, output);
  if (PendingReads.size() >= MaxPendingReads)
    PendingReads.erase(PendingReads.begin());
  // Until an entry of its own term is committed, the leader does not know which
  // entries of earlier terms are committed.
  PendingReads[Round] = std::max(CommitIndex, TermStartIndex);
  return Round;
}

bool Node::isReadConfirmed(std::uint64_t read) const {
  const auto it = PendingReads.find(read);
  return Health.ok() && CurrentRole == Role::Leader &&
         it != PendingReads.end() && confirmedRound() >= read &&
         AppliedIndex >= it->second;
}

bool Node::hasLeaderLease(TimePoint now) const {
  if (!Health.ok() || CurrentRole != Role::Leader)
    return false;
  const auto contact = lastQuorumContact(now);
  return contact && now < *contact + Options.ElectionTimeoutMin;
}

} // namespace pistachio
