#include "FlowRouterImpl.h"

#include "Relay/LinkScheduler.h"

#include <algorithm>

namespace pistachio {
namespace {

/// An agent that could not tell whether it holds a flow is not queried for
/// others for this long. It gets their packets, and passes them on if it can
/// tell again.
constexpr Duration CannotTellRetention{5000};

/// Headers of a datagram with a packet: those of IP, UDP, the message and the
/// packet.
constexpr std::size_t PacketHeaderBytes = 100;

/// Returns how often a step of a search sends the packet over the link.
std::size_t copiesOf(const SearchStep &step) {
  return step.Action == SearchStep::Kind::Chain
             ? (step.Agents.size() + MaxChainedAgents - 1) / MaxChainedAgents
             : step.Agents.size();
}

/// Returns whether the packet of a search can still be sent.
bool isPacketKept(const FlowEntry &entry, TimePoint now) {
  return now - entry.LastPacketAt < DeferredPackets::MaxAge;
}

} // namespace

SearchCandidates FlowRouterImpl::candidates(const FlowEndpoints &flow,
                                            const RouteRecord &route,
                                            const ServiceTable &table,
                                            TimePoint now) const {
  const DataCentreId localDataCentre = table.findDataCentre(Options.DataCentre);
  SearchCandidates found;
  std::vector<HolderCandidate> silent;
  for (const ServiceId id : servicesOf(route)) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    const ServiceNameHash name = hashServiceName(service->name());
    for (const RankedMember &it :
         rankMembers(flow, service->members(), table.withdrawnMembers(id),
                     localDataCentre)) {
      const ServiceMember &member = *it.Member;
      const AgentStatus *status = Agents.find(member.Address);
      const bool isSilent = member.State == CandidateState::Suspect ||
                            (status != nullptr && now < status->SilentUntil);
      (isSilent ? silent : found.All)
          .push_back({member.Address, name,
                      status != nullptr && status->AnswersQueries,
                      status != nullptr && status->CannotTellAt &&
                          now - *status->CannotTellAt < CannotTellRetention});
      found.FirstRound += it.Tier == 0 ? 1 : 0;
    }
  }
  found.All.insert(found.All.end(), silent.begin(), silent.end());
  return found;
}

HolderSearch &FlowRouterImpl::beginSearch(FlowEntry &entry,
                                          const FlowEndpoints &flow,
                                          TimePoint now) {
  if (!entry.Searching) {
    entry.Searching = true;
    entry.ResolvingSince = now;
    entry.Current = {};
    entry.Confirmed = false;
  }
  return Searches.try_emplace(flow, now, Options.UsesChains).first->second;
}

void FlowRouterImpl::endSearch(FlowEntry &entry, const FlowEndpoints &flow) {
  if (entry.Searching)
    Searches.erase(flow);
  entry.Searching = false;
}

SearchLimits FlowRouterImpl::searchLimits() const {
  return {.SendDelay = IsLinkCongested ? MaxRequestWait : Duration{0}};
}

RelayDecision FlowRouterImpl::search(FlowEntry &entry,
                                     const FlowEndpoints &flow,
                                     const RouteRecord &route,
                                     const ServiceTable &table, TimePoint now) {
  HolderSearch &it = beginSearch(entry, flow, now);
  if (it.isFinished())
    it.resume();
  return advanceSearch(entry, flow, route, table, now);
}

RelayDecision FlowRouterImpl::advanceSearch(FlowEntry &entry,
                                            const FlowEndpoints &flow,
                                            const RouteRecord &route,
                                            const ServiceTable &table,
                                            TimePoint now) {
  HolderSearch &search = Searches.at(flow);
  RelayDecision decision{.Action = RelayAction::Query,
                         .Reason = RelayReason::Search};
  SearchLimits limits = searchLimits();
  if (!search.canAdvance(now, limits))
    return decision;
  limits.MaySendPacket = isPacketKept(entry, now) && SearchPackets.hasRoom(now);
  // Ranking the candidates of many searches that wait would cost processor time
  // with every poll.
  if (!limits.MaySendPacket && search.needsPacket())
    return decision;
  const SearchCandidates agents = candidates(flow, route, table, now);
  const SearchStep step =
      search.advance(agents.All, agents.FirstRound, now, limits);
  // Searches await replies longer on a congested link, so here the lack of one
  // does say something about the agent.
  for (const Endpoint &it : search.unresponsive())
    Agents.recordTimeout(it, now + Options.UnresponsivePenalty);
  switch (step.Action) {
  case SearchStep::Kind::Wait:
    return decision;
  case SearchStep::Kind::Query:
    for (const HolderCandidate &it : step.Agents)
      decision.Queries.push_back({it.Agent, it.Service});
    return decision;
  case SearchStep::Kind::Probe:
  case SearchStep::Kind::Chain:
    decision.IsChain = step.Action == SearchStep::Kind::Chain;
    decision.Action = RelayAction::Forward;
    decision.Agent = step.Agents[0].Agent;
    decision.Service = step.Agents[0].Service;
    decision.NeedsConfirmation = true;
    for (const HolderCandidate &it : std::span(step.Agents).subspan(1))
      decision.OtherAgents.push_back(it.Agent);
    SearchPackets.spend(copiesOf(step) * (PacketHeaderBytes + entry.DataBytes));
    return decision;
  case SearchStep::Kind::Unanswered:
    // The entry stays, so that the next packet resumes the search.
    entry.LastPacketAt = now;
    return {.Action = RelayAction::Drop, .Reason = RelayReason::Unanswered};
  case SearchStep::Kind::NotFound:
    return resetUnlessTableIsOld(flow, RelayReason::Unknown, table, now);
  }
  return decision;
}

RelayDecision FlowRouterImpl::onFlowNotHeld(const FlowNotHeld &message,
                                            const UpstreamLoad &load,
                                            const Endpoint &agent,
                                            const ServiceTable &table,
                                            TimePoint now) {
  Agents.recordAnswer(agent, load, now);
  Agents.recordAnswersQueries(agent);
  if (!message.IsCertain)
    Agents.recordCannotTell(agent, now);
  const FlowEndpoints &flow = message.Flow;
  const auto it = Searches.find(flow);
  if (it == Searches.end())
    return {.Action = RelayAction::Query, .Reason = RelayReason::Search};
  it->second.onNotHeld(agent, message.IsCertain, now);
  const RouteRecord *route = table.findRoute(flow.Service);
  if (route == nullptr)
    return resetUnlessTableIsOld(flow, RelayReason::NoRoute, table, now);
  return advanceSearch(Flows.at(flow), flow, *route, table, now);
}

std::vector<FlowDecision>
FlowRouterImpl::pollSearches(const ServiceTable &table, TimePoint now) {
  std::vector<FlowEndpoints> due;
  for (const auto &[flow, it] : Searches)
    if (it.canAdvance(now, searchLimits()) && !awaitsTable(it, table, now))
      due.push_back(flow);
  // The oldest searches come first if the budget does not suffice for all: a
  // packet that visits other upstreams must reach its holder soon.
  std::ranges::sort(due, {}, [&](const FlowEndpoints &it) {
    return Searches.at(it).startedAt();
  });
  std::vector<FlowDecision> decisions;
  for (const FlowEndpoints &flow : due) {
    const RouteRecord *route = table.findRoute(flow.Service);
    RelayDecision decision =
        route == nullptr
            ? resetUnlessTableIsOld(flow, RelayReason::NoRoute, table, now)
            : advanceSearch(Flows.at(flow), flow, *route, table, now);
    if (decision.Reason != RelayReason::Search ||
        decision.Action != RelayAction::Query || !decision.Queries.empty())
      decisions.push_back({flow, std::move(decision)});
  }
  return decisions;
}

bool FlowRouterImpl::isConfirmed(const ServiceTable &table,
                                 TimePoint since) const {
  return ConfirmedAt && *ConfirmedAt >= since &&
         table.revision() >= ConfirmedRevision;
}

bool FlowRouterImpl::awaitsTable(const HolderSearch &search,
                                 const ServiceTable &table,
                                 TimePoint now) const {
  return search.tableWithoutHolder() == table.revision() &&
         !isConfirmed(table, search.startedAt()) &&
         now - *search.awaitingSince() < Options.ConfirmationTimeout;
}

RelayDecision FlowRouterImpl::resetUnlessTableIsOld(const FlowEndpoints &flow,
                                                    RelayReason reason,
                                                    const ServiceTable &table,
                                                    TimePoint now) {
  HolderSearch &search = Searches.at(flow);
  if (isConfirmed(table, search.startedAt()))
    return resetLostFlow(Flows.at(flow), flow, reason, now);
  const bool isFirst = !search.awaitingSince();
  search.awaitTable(table.revision(), now);
  if (now - *search.awaitingSince() >= Options.ConfirmationTimeout)
    return resetLostFlow(Flows.at(flow), flow, RelayReason::Unconfirmed, now);
  return {.Action = RelayAction::Query,
          .Reason = isFirst ? RelayReason::AwaitsTable : RelayReason::Search};
}

bool FlowRouterImpl::needsConfirmedTable() const {
  return std::ranges::any_of(Searches, [&](const auto &it) {
    return it.second.tableWithoutHolder() &&
           (!ConfirmedAt || *ConfirmedAt < it.second.startedAt());
  });
}

void FlowRouterImpl::confirmTable(TimePoint askedAt, Revision committed) {
  ConfirmedAt = askedAt;
  ConfirmedRevision = committed;
}

void FlowRouterImpl::eraseFoundFlows(std::vector<FlowEndpoints> &flows) const {
  std::erase_if(flows, [&](const FlowEndpoints &it) {
    const auto search = Searches.find(it);
    return search == Searches.end() || search->second.isFinished();
  });
}

void FlowRouterImpl::onQuerySent(const FlowQuery &query, const Endpoint &agent,
                                 TimePoint now) {
  for (const FlowEndpoints &it : query.Flows)
    if (const auto search = Searches.find(it); search != Searches.end())
      search->second.onQuerySent(agent, now);
}

bool FlowRouterImpl::isSearching() const {
  return std::ranges::any_of(
      Searches, [](const auto &it) { return !it.second.isFinished(); });
}

} // namespace pistachio
