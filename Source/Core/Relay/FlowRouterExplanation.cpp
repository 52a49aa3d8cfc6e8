#include "FlowRouterImpl.h"

#include <algorithm>
#include <deque>

namespace pistachio {

FlowExplanation FlowRouterImpl::explain(const FlowEndpoints &flow,
                                        const ServiceTable &table,
                                        TimePoint now) const {
  FlowExplanation out;
  out.Flow = flow;
  out.TableRevision = table.revision();
  out.Placement = Options.Placement;
  if (table.routeCount() == 0)
    return out;
  const RouteRecord *route = table.findRoute(flow.Service);
  if (route == nullptr) {
    out.Action = RelayAction::Reset;
    out.Reason = RelayReason::NoRoute;
    return out;
  }
  const RouteShare *share = chooseShare(flow, *route);
  const Service *service =
      share == nullptr ? nullptr : table.find(share->Service);
  if (service != nullptr) {
    out.Share = {service->name(), share->Weight, 0};
    for (const RouteShare &it : route->Shares)
      out.Share->TotalWeight += it.Weight;
  }
  FlowEntry entry;
  if (const auto it = Flows.find(flow); it != Flows.end())
    entry = it->second;
  resolveServices(entry, *route, table);
  out.IsSearching = entry.Searching;
  if (entry.Current.Agent.Port != 0)
    out.Holder = {entry.Current.Agent, now - entry.Current.Since,
                  entry.Confirmed};
  const HolderState holder = holderStateOf(entry, *route, table, now);
  if (holder == HolderState::Answering) {
    out.Action = RelayAction::Forward;
    out.Reason = RelayReason::Held;
    out.Agent = entry.Current.Agent;
    return out;
  }
  out.Action = RelayAction::Reset;
  out.Reason = RelayReason::NoUpstream;
  if (service != nullptr)
    explainPlacement(*service, *route, table, entry,
                     holder == HolderState::Silent, now, out);
  return out;
}

void FlowRouterImpl::explainPlacement(const Service &service,
                                      const RouteRecord &route,
                                      const ServiceTable &table,
                                      const FlowEntry &entry,
                                      bool isHolderSilent, TimePoint now,
                                      FlowExplanation &out) const {
  const DataCentreId local = table.findDataCentre(Options.DataCentre);
  std::vector<RankedMember> members =
      rankMembers(out.Flow, service.members(), {}, local);
  // Copies of the members that get no offer: a silent holder, and the choice
  // once it has declined.
  std::deque<ServiceMember> leftOut;
  const auto leaveOut = [&](const Endpoint &agent) {
    for (RankedMember &it : members)
      if (it.Member->Address == agent) {
        leftOut.push_back(*it.Member);
        leftOut.back().State = CandidateState::Suspect;
        it.Member = &leftOut.back();
      }
  };
  if (isHolderSilent)
    leaveOut(entry.Current.Agent);
  const bool isByTerms = waitsByTerms(route);
  const std::vector<RankedMember> candidates =
      isByTerms ? withRoom(members, now) : members;
  const auto loads = Policy->comparedLoads(candidates, local, Agents, now);
  // The next of the candidates, which are in the order of the members.
  std::size_t next = 0;
  const auto withdrawn = table.withdrawnMembers(service.id());
  out.UpstreamCount = members.size() + withdrawn.size();
  for (std::size_t i = 0;
       i < std::min(members.size(), FlowExplanation::MaxUpstreams); ++i) {
    ExplainedUpstream it = explainUpstream(*members[i].Member, table, now);
    it.Tier = members[i].Tier;
    const bool isCandidate = next < candidates.size() &&
                             candidates[next].Member == members[i].Member;
    if (isCandidate)
      it.Load = loads[next++];
    if (isHolderSilent && it.Agent == entry.Current.Agent) {
      it.State = OfferState::Silent;
      it.StateEndsIn = Options.UnresponsivePenalty;
    } else if (it.State == OfferState::Eligible && !isCandidate) {
      it.State = OfferState::NoRoom;
    } else if (it.State == OfferState::Eligible && !it.Load) {
      it.State = OfferState::LaterTier;
    }
    out.Upstreams.push_back(std::move(it));
  }
  for (const ServiceMember &member : withdrawn) {
    if (out.Upstreams.size() >= FlowExplanation::MaxUpstreams)
      break;
    ExplainedUpstream it = explainUpstream(member, table, now);
    it.State = OfferState::DataCentreOut;
    out.Upstreams.push_back(std::move(it));
  }
  const ServiceMember *best = nullptr;
  if (!isByTerms || isNext(WaitTurn::None, 0, service.id()))
    best = Policy->choose(out.Flow, candidates, local, Agents, now);
  if (best == nullptr) {
    if ((!isByTerms || Waiting.canAdd(out.Flow)) &&
        isDeferrable(members, entry.DeferredSince.value_or(now),
                     maxDeferralOf(route), now)) {
      out.Action = RelayAction::Defer;
      out.Reason = RelayReason::Busy;
    }
    return;
  }
  out.Action = RelayAction::Forward;
  out.Reason = RelayReason::Placed;
  out.Agent = best->Address;
  if (isByTerms)
    return;
  leaveOut(best->Address);
  const ServiceMember *second =
      Policy->choose(out.Flow, members, local, Agents, now);
  if (second != nullptr)
    out.NextAgent = second->Address;
}

ExplainedUpstream FlowRouterImpl::explainUpstream(const ServiceMember &member,
                                                  const ServiceTable &table,
                                                  TimePoint now) const {
  const AgentStatus *status = Agents.find(member.Address);
  ExplainedUpstream out;
  out.Id = member.Id;
  out.Agent = member.Address;
  out.DataCentre = table.dataCentreName(member.DataCentre);
  out.IsLocal = member.DataCentre == table.findDataCentre(Options.DataCentre);
  out.State = offerStateOf(member, status, now);
  if (status == nullptr)
    return out;
  if (out.State == OfferState::Silent)
    out.StateEndsIn = status->SilentUntil - now;
  if (out.State == OfferState::Declined)
    out.StateEndsIn = status->AvoidUntil - now;
  out.PlacedSinceReport = status->PlacedSinceReport;
  if (status->ReportedAt) {
    out.Report = status->Load;
    out.ReportAge = now - *status->ReportedAt;
  }
  return out;
}

} // namespace pistachio
