#include "HolderSearch.h"

#include <algorithm>

namespace pistachio {
namespace {

/// A query without a reply for this long is repeated, because a datagram may be
/// lost. The value is several round trips between data centres.
constexpr Duration QueryTimeout{100};
/// A candidate is unresponsive after this many queries without a reply.
constexpr std::uint8_t MaxQueries = 3;
/// An agent that was sent the packet itself is unresponsive after this long.
constexpr Duration ProbeTimeout{150};
/// Each round queries twice as many candidates as the one before, up to this
/// many, which is 2 kB.
constexpr std::size_t MaxRoundSize = 32;
/// Number of agents that are sent the packet itself at a time. It may have 1200
/// bytes of data, and each of their upstreams has to return it.
constexpr std::size_t MaxProbes = 8;

} // namespace

bool HolderSearch::hasStatus(State status) const {
  return std::ranges::any_of(
      Inquiries, [&](const auto &it) { return it.second.Status == status; });
}

bool HolderSearch::isDue(const Inquiry &it, TimePoint now) const {
  if (!it.SentAt)
    return false;
  switch (it.Status) {
  case State::Queried:
    return now - *it.SentAt >= QueryTimeout;
  case State::Probed:
    return now - *it.SentAt >= ProbeTimeout;
  default:
    return false;
  }
}

void HolderSearch::onNotHeld(const Endpoint &agent, bool isCertain) {
  if (isCertain) {
    Inquiry &it = Inquiries[agent];
    it.Agent.Agent = agent;
    it.Status = State::NotHeld;
    return;
  }
  // A late reply from the flow table does not replace the answer of the
  // upstream.
  const auto it = Inquiries.find(agent);
  if (it != Inquiries.end() && it->second.Status == State::Queried)
    it->second.Status = State::Unsure;
}

void HolderSearch::onQuerySent(const Endpoint &agent, TimePoint now) {
  const auto it = Inquiries.find(agent);
  if (it != Inquiries.end() && it->second.Status == State::Queried)
    it->second.SentAt = now;
}

bool HolderSearch::canAdvance(TimePoint now) const {
  if (Finished)
    return false;
  return std::ranges::all_of(Inquiries, [&](const auto &it) {
    const bool isOutstanding =
        it.second.Status == State::Queried || it.second.Status == State::Probed;
    return !isOutstanding || isDue(it.second, now) || it.second.Queries > 1;
  });
}

void HolderSearch::expireInquiries(TimePoint now) {
  for (auto &[agent, it] : Inquiries) {
    if (!isDue(it, now))
      continue;
    if (it.Status == State::Probed)
      it.Status = State::Unresponsive;
    else if (it.Queries >= MaxQueries)
      it.Status = it.Agent.AnswersQueries ? State::Unresponsive : State::Unsure;
  }
}

SearchStep HolderSearch::advance(std::span<const HolderCandidate> candidates,
                                 std::size_t firstRound, TimePoint now) {
  if (!canAdvance(now))
    return {};
  TableWithoutHolder.reset();
  for (const HolderCandidate &it : candidates)
    if (const auto known = Inquiries.find(it.Agent); known != Inquiries.end())
      known->second.Agent = it;
  expireInquiries(now);
  SearchStep step;
  const auto query = [&](Inquiry &it) {
    ++it.Queries;
    it.SentAt.reset();
    step.Agents.push_back(it.Agent);
  };
  for (auto &[agent, it] : Inquiries)
    if (isDue(it, now))
      query(it);
  // Agents that cannot tell are asked by packet before others are queried: the
  // holder is most likely among the first. After all agents have restarted,
  // none can tell.
  if (step.Agents.empty() && hasStatus(State::Unsure))
    return probeUnsure(now);
  const std::size_t limit =
      std::min(RoundSize == 0 ? firstRound : RoundSize * 2, MaxRoundSize);
  std::size_t fresh = 0;
  for (const HolderCandidate &it : candidates) {
    if (Inquiries.contains(it.Agent))
      continue;
    if (fresh == limit)
      break;
    Inquiry &inquiry = Inquiries[it.Agent];
    inquiry.Agent = it;
    query(inquiry);
    ++fresh;
  }
  if (fresh > 0)
    RoundSize = limit;
  if (!step.Agents.empty()) {
    step.Action = SearchStep::Kind::Query;
    return step;
  }
  if (hasStatus(State::Queried) || hasStatus(State::Probed))
    return step;
  Finished = true;
  step.Action = hasStatus(State::Unresponsive) ? SearchStep::Kind::Unanswered
                                               : SearchStep::Kind::NotFound;
  return step;
}

SearchStep HolderSearch::probeUnsure(TimePoint now) {
  SearchStep step;
  step.Action = SearchStep::Kind::Probe;
  for (auto &[agent, it] : Inquiries) {
    if (it.Status != State::Unsure || step.Agents.size() == MaxProbes)
      continue;
    if (!step.Agents.empty() && it.Agent.Service != step.Agents[0].Service)
      continue;
    it.Status = State::Probed;
    it.SentAt = now;
    step.Agents.push_back(it.Agent);
  }
  return step;
}

void HolderSearch::resume() {
  Finished = false;
  std::erase_if(Inquiries, [](const auto &it) {
    return it.second.Status == State::Unresponsive;
  });
}

void HolderSearch::awaitTable(Revision revision, TimePoint now) {
  Finished = false;
  TableWithoutHolder = revision;
  if (!AwaitingSince)
    AwaitingSince = now;
}

std::optional<ServiceNameHash>
HolderSearch::serviceOf(const Endpoint &agent) const {
  const auto it = Inquiries.find(agent);
  if (it == Inquiries.end() || it->second.Queries == 0)
    return std::nullopt;
  return it->second.Agent.Service;
}

std::vector<Endpoint> HolderSearch::unresponsive() const {
  std::vector<Endpoint> all;
  for (const auto &[agent, it] : Inquiries)
    if (it.Status == State::Unresponsive)
      all.push_back(agent);
  return all;
}

} // namespace pistachio
