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
/// Chains without a reply for this long have stopped: each at an agent whose
/// upstream holds the flow and is at work, that has ended, or that knows no
/// chains. That agent is sent the packet directly.
constexpr Duration ChainTimeout{150};
/// How long the other agents of a chain wait for the one that it stopped at.
/// With ChainTimeout this is 500 ms, longer than most requests take, so that
/// the packet visits no others while its holder is at work.
constexpr Duration RetryTimeout{350};
/// Longest time for the chains of one round. An agent takes 2 to 20 ms.
constexpr Duration ChainPeriod{400};
/// After chains have stopped twice, the remaining agents are sent the packet
/// directly: it must not visit other upstreams for 2 s before it reaches its
/// holder.
constexpr std::uint8_t MaxChainStops = 2;

} // namespace

bool HolderSearch::hasStatus(State status) const {
  return std::ranges::any_of(
      Inquiries, [&](const auto &it) { return it.second.Status == status; });
}

bool HolderSearch::isDue(const Inquiry &it, TimePoint now,
                         Duration sendDelay) const {
  if (!it.SentAt)
    return false;
  switch (it.Status) {
  case State::Queried:
    return now - *it.SentAt >= QueryTimeout + sendDelay;
  case State::Probed:
    return now - *it.SentAt >= ProbeTimeout + sendDelay;
  case State::Chained:
  case State::Retried:
    return now >= ChainDueAt + sendDelay;
  default:
    return false;
  }
}

void HolderSearch::onNotHeld(const Endpoint &agent, bool isCertain,
                             TimePoint now) {
  if (isCertain) {
    Inquiry &it = Inquiries[agent];
    it.Agent.Agent = agent;
    if (it.Status == State::Chained || it.Status == State::Retried)
      recordChainProgress(now);
    it.Status = State::NotHeld;
    return;
  }
  // A late reply from the flow table does not replace the answer of the
  // upstream.
  const auto it = Inquiries.find(agent);
  if (it == Inquiries.end() || it->second.Status != State::Queried)
    return;
  it->second.Status = State::Unsure;
  it->second.HasReplied = true;
}

void HolderSearch::onReturned(const Endpoint &agent,
                              std::optional<ServiceNameHash> refusedService,
                              TimePoint now) {
  // An agent that passed the chained packet on has said so before its upstream
  // returned the direct one. If it has not, the chain never got past it.
  if (const auto it = Inquiries.find(agent);
      it != Inquiries.end() && it->second.Status == State::Retried)
    releaseChain(it->second.Chain);
  onNotHeld(agent, true, now);
  if (refusedService)
    Inquiries.at(agent).AskedFor = refusedService;
}

void HolderSearch::recordChainProgress(TimePoint now) {
  ChainDueAt = std::min(now + ChainTimeout, ChainsEndAt);
}

void HolderSearch::releaseChain(std::size_t chain) {
  for (auto &[agent, it] : Inquiries) {
    if (it.Status != State::Chained || it.Chain != chain)
      continue;
    it.Status = State::Unsure;
    it.WasSentPacket = false;
  }
}

void HolderSearch::onQuerySent(const Endpoint &agent, TimePoint now) {
  const auto it = Inquiries.find(agent);
  if (it != Inquiries.end() && it->second.Status == State::Queried)
    it->second.SentAt = now;
}

bool HolderSearch::canAdvance(TimePoint now, const SearchLimits &limits) const {
  if (Finished)
    return false;
  // Agents that cannot tell get the packet without waiting for replies that
  // the link delays.
  const Duration delay =
      hasStatus(State::Unsure) ? Duration{0} : limits.SendDelay;
  return std::ranges::all_of(Inquiries, [&](const auto &it) {
    switch (it.second.Status) {
    case State::Queried:
      return isDue(it.second, now, delay) || it.second.Queries > 1;
    case State::Probed:
      return isDue(it.second, now, limits.SendDelay) || it.second.Queries > 1;
    case State::Chained:
    case State::Retried:
      return isDue(it.second, now, limits.SendDelay);
    default:
      return true;
    }
  });
}

bool HolderSearch::needsPacket() const {
  return !hasStatus(State::Queried) &&
         (hasStatus(State::Unsure) || hasStatus(State::Chained));
}

void HolderSearch::expireInquiries(TimePoint now, Duration sendDelay) {
  std::vector<std::size_t> stoppedChains;
  for (auto &[agent, it] : Inquiries) {
    if (!isDue(it, now, sendDelay) || it.Status == State::Chained)
      continue;
    if (it.Status == State::Retried)
      stoppedChains.push_back(it.Chain);
    if (it.Status != State::Queried)
      it.Status = State::Unresponsive;
    else if (it.Queries >= MaxQueries)
      it.Status = it.Agent.AnswersQueries ? State::Unresponsive : State::Unsure;
  }
  for (const std::size_t chain : stoppedChains)
    releaseChain(chain);
}

void HolderSearch::updateCandidates(
    std::span<const HolderCandidate> candidates) {
  for (const HolderCandidate &it : candidates) {
    const auto known = Inquiries.find(it.Agent);
    if (known == Inquiries.end())
      continue;
    const Inquiry &inquiry = known->second;
    if (inquiry.Status == State::NotHeld && inquiry.AskedFor &&
        *inquiry.AskedFor != it.Service)
      Inquiries.erase(known);
    else
      known->second.Agent = it;
  }
}

SearchStep HolderSearch::advance(std::span<const HolderCandidate> candidates,
                                 std::size_t firstRound, TimePoint now,
                                 const SearchLimits &limits) {
  if (!canAdvance(now, limits))
    return {};
  TableWithoutHolder.reset();
  updateCandidates(candidates);
  expireInquiries(now, limits.SendDelay);
  SearchStep step;
  const auto query = [&](Inquiry &it) {
    ++it.Queries;
    it.SentAt.reset();
    it.AskedFor = it.Agent.Service;
    step.Agents.push_back(it.Agent);
  };
  for (auto &[agent, it] : Inquiries)
    if (it.Status == State::Queried && isDue(it, now, limits.SendDelay))
      query(it);
  // Agents that cannot tell are asked by packet before others are queried: the
  // holder is most likely among the first. After all agents have restarted,
  // none can tell. Queries that are due are repeated first, without a new
  // round: agents that are gone would otherwise delay the packet until all
  // others have been queried.
  const bool isPacketDue =
      hasStatus(State::Chained) || hasStatus(State::Unsure);
  if (isPacketDue && !step.Agents.empty()) {
    step.Action = SearchStep::Kind::Query;
    return step;
  }
  if (isPacketDue && !limits.MaySendPacket)
    return step;
  if (hasStatus(State::Chained) && ++ChainStops < MaxChainStops)
    return retryChains(now);
  for (auto &[agent, it] : Inquiries)
    if (it.Status == State::Chained)
      it.Status = State::Unsure;
  if (hasStatus(State::Unsure))
    return askUnsure(candidates, now);
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
    ++fresh;
    if (it.CannotTell) {
      inquiry.Status = State::Unsure;
      inquiry.HasReplied = true;
    } else {
      query(inquiry);
    }
  }
  if (fresh > 0)
    RoundSize = limit;
  if (!step.Agents.empty()) {
    step.Action = SearchStep::Kind::Query;
    return step;
  }
  if (hasStatus(State::Unsure))
    return limits.MaySendPacket ? askUnsure(candidates, now) : step;
  if (hasStatus(State::Queried) || hasStatus(State::Probed) ||
      hasStatus(State::Chained))
    return step;
  Finished = true;
  step.Action = hasStatus(State::Unresponsive) ? SearchStep::Kind::Unanswered
                                               : SearchStep::Kind::NotFound;
  return step;
}

SearchStep HolderSearch::askUnsure(std::span<const HolderCandidate> candidates,
                                   TimePoint now) {
  const bool isChain =
      UsesChains && ChainStops < MaxChainStops &&
      std::ranges::any_of(Inquiries, [](const auto &it) {
        return it.second.Status == State::Unsure && it.second.HasReplied;
      });
  SearchStep step;
  step.Action = isChain ? SearchStep::Kind::Chain : SearchStep::Kind::Probe;
  const std::size_t limit = isChain ? MaxRoundSize : MaxProbes;
  const auto ask = [&](Inquiry &it) {
    if (it.Status != State::Unsure || step.Agents.size() == limit ||
        (isChain && !it.HasReplied))
      return;
    if (!step.Agents.empty() && it.Agent.Service != step.Agents[0].Service)
      return;
    it.Status = isChain ? State::Chained : State::Probed;
    it.SentAt = now;
    it.AskedFor = it.Agent.Service;
    it.WasSentPacket = true;
    it.Chain = step.Agents.size() / MaxChainedAgents;
    step.Agents.push_back(it.Agent);
  };
  for (const HolderCandidate &it : candidates)
    if (const auto known = Inquiries.find(it.Agent); known != Inquiries.end())
      ask(known->second);
  // Agents that the table no longer has among the candidates.
  for (auto &[agent, it] : Inquiries)
    ask(it);
  if (isChain) {
    ChainedAgents.clear();
    for (const HolderCandidate &it : step.Agents)
      ChainedAgents.push_back(it.Agent);
    ChainsEndAt = now + ChainPeriod;
    recordChainProgress(now);
  }
  return step;
}

SearchStep HolderSearch::retryChains(TimePoint now) {
  SearchStep step;
  step.Action = SearchStep::Kind::Probe;
  std::optional<std::size_t> lastChain;
  for (const Endpoint &agent : ChainedAgents) {
    Inquiry &it = Inquiries.at(agent);
    if (it.Status != State::Chained || lastChain == it.Chain)
      continue;
    lastChain = it.Chain;
    it.Status = State::Retried;
    step.Agents.push_back(it.Agent);
  }
  ChainDueAt = ChainsEndAt = now + RetryTimeout;
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
  const bool wasAsked = it != Inquiries.end() &&
                        (it->second.Queries > 0 || it->second.WasSentPacket);
  return wasAsked ? std::optional(it->second.Agent.Service) : std::nullopt;
}

std::vector<Endpoint> HolderSearch::unresponsive() const {
  std::vector<Endpoint> all;
  for (const auto &[agent, it] : Inquiries)
    if (it.Status == State::Unresponsive && !it.HasReplied)
      all.push_back(agent);
  return all;
}

bool HolderSearch::wasSentPacket(const Endpoint &agent) const {
  const auto it = Inquiries.find(agent);
  return it != Inquiries.end() && it->second.WasSentPacket;
}

} // namespace pistachio
