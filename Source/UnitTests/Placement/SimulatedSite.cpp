#include "Placement/SimulatedSite.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr Duration StepInterval{100};
constexpr Duration SuspectAfter{3000};
constexpr Duration RemovedAfter{15000};
/// Sum of the lease of 3 s, the step of the simulation and the delay of a
/// datagram.
constexpr Duration MaxRemovalDelay{3200};
constexpr Duration FirstPacketLifetime{30000};
constexpr Duration FabricFailoverTime{1000};

Endpoint serviceAddress(std::uint32_t service) { return {service, 443}; }

} // namespace

SimulatedSite::SimulatedSite(SiteOptions options, std::uint64_t seed)
    : Options(options), Random(seed) {
  TableUpdate update;
  for (std::uint32_t n = 1; n <= 2; ++n)
    update.Services.push_back({{n}, std::to_string(n), serviceAddress(n)});
  for (std::uint16_t n = 1; n <= 3; ++n)
    update.DataCentres.push_back({{n}, std::to_string(n), false});
  publish(std::move(update));
}

std::size_t SimulatedSite::addBalancer(Duration tableLag) {
  Balancer it;
  it.Address = {0x0A010000U + static_cast<std::uint32_t>(Balancers.size()), 1};
  it.Lag = tableLag;
  Balancers.push_back(std::move(it));
  return Balancers.size() - 1;
}

void SimulatedSite::publish(TableUpdate update) {
  update.From = {PublishedUpdates.size()};
  update.To = {PublishedUpdates.size() + 1};
  PublishedUpdates.emplace_back(Now, std::move(update));
}

std::size_t SimulatedSite::join(std::uint32_t service, std::uint16_t dataCentre,
                                std::optional<Endpoint> address) {
  Agent it;
  const auto n = static_cast<std::uint32_t>(Agents.size());
  it.Address = address.value_or(Endpoint{0x0A000000U + n, 1});
  it.Record = {{NextUpstream++}, {service}, {dataCentre}, it.Address, {n + 1}};
  it.RenewedAt = Now;
  PlacementOptions options;
  options.ProcessIncarnation = it.Record.ProcessIncarnation;
  options.Address = it.Address;
  if (!Options.HasProbes) {
    options.FirstPacketWindow = Duration(0);
    options.AnnounceReplyTimeout = Duration(1000000);
  }
  it.Placement = makeFlowPlacement(options, Now);
  TableUpdate update;
  // A new process at an address replaces the former one.
  for (Agent &previous : Agents) {
    if (previous.Address == it.Address && previous.Record.Id) {
      previous.IsAlive = false;
      update.RemovedUpstreams.push_back(std::exchange(previous.Record.Id, {}));
    }
  }
  update.Upstreams.push_back(it.Record);
  publish(std::move(update));
  Agents.push_back(std::move(it));
  return n;
}

void SimulatedSite::drain(std::size_t agent, bool isDraining) {
  UpstreamRecord &it = Agents[agent].Record;
  it.State = isDraining ? UpstreamState::Draining : UpstreamState::Active;
  TableUpdate update;
  update.Upstreams.push_back(it);
  publish(std::move(update));
}

void SimulatedSite::removeUpstream(std::size_t agent) {
  TableUpdate update;
  update.RemovedUpstreams.push_back(std::exchange(Agents[agent].Record.Id, {}));
  publish(std::move(update));
}

void SimulatedSite::killBalancer(std::size_t balancer) {
  setBalancerPartitioned(balancer, true, false);
  Balancers[balancer].DiedAt = Now;
}

bool SimulatedSite::receivesTraffic(const Balancer &it) const {
  return !it.DiedAt || Now - *it.DiedAt < FabricFailoverTime;
}

void SimulatedSite::setDataCentreOut(std::uint16_t dataCentre, bool isOut) {
  DataCentreOutSince[dataCentre] = isOut ? std::optional(Now) : std::nullopt;
  TableUpdate update;
  update.DataCentres.push_back(
      {{dataCentre}, std::to_string(dataCentre), isOut});
  publish(std::move(update));
  for (auto &[key, it] : Flows) {
    if (it.State == FlowState::Open && isHolderDataCentreOut(it))
      it.InRemovedDataCentre = true;
  }
}

void SimulatedSite::setBalancerPartitioned(std::size_t balancer,
                                           bool isPartitioned, bool hasPeers) {
  Balancers[balancer].IsPartitioned = isPartitioned;
  Balancers[balancer].HasPeers = hasPeers;
}

LeaseMode SimulatedSite::leaseMode(std::size_t balancer) const {
  return Options.HasLease ? Balancers[balancer].Lease.mode(Now)
                          : LeaseMode::Leased;
}

void SimulatedSite::openFlows(std::uint32_t service, int count) {
  for (int n = 0; n < count; ++n) {
    Flow it;
    it.Service = service;
    it.OpenedAt = Now + Duration(Random() % 1000);
    const auto caller = static_cast<std::uint32_t>(0x0A020000 + Flows.size());
    Flows[{{caller, 1}, {Random()}}] = it;
  }
}

void SimulatedSite::closeFlows(std::uint32_t service, unsigned permille) {
  for (auto &[key, it] : Flows) {
    if (it.Service == service && it.State == FlowState::Open &&
        Random() % 1000 < permille)
      it.State = FlowState::Closing;
  }
}

void SimulatedSite::send(const Endpoint &to, DataMessage message) {
  const NetworkConditions &net = Options.Net;
  const auto happens = [this](unsigned permille) {
    return Random() % 1000 < permille;
  };
  // Packets of later chains are not duplicated: if every hop of a long ranking
  // duplicated packets, their number would grow exponentially.
  const auto *forwarded = std::get_if<ForwardedPacket>(&message);
  const bool mayRepeat = !std::holds_alternative<ChainExhausted>(message) &&
                         (forwarded == nullptr || forwarded->FirstRank == 0);
  for (int copies = mayRepeat && happens(net.RepeatPermille) ? 2 : 1;
       copies > 0; --copies) {
    if (happens(net.LossPermille))
      continue;
    const unsigned spread = net.MaxDelayMs - net.MinDelayMs + 1;
    InFlight.push({Now + Duration(net.MinDelayMs + (Random() % spread)),
                   ++DatagramsSent, to, message});
  }
}

RouteDecision SimulatedSite::routeByModulo(const ServiceTable &table,
                                           const RoutingHeader &head) const {
  RouteDecision out = routePacket(table, LeaseMode::Leased, head);
  if (out.Action != RouteAction::Forward)
    return out;
  const auto members = out.Target->members();
  const ServiceMember &it =
      members[hashFlow(out.Target->id(), head.Caller, head.Flow) %
              members.size()];
  out.Chain[0] = {it.Id, it.ProcessIncarnation, it.Address, it.State};
  out.ChainLength = 1;
  out.EndsRanking = true;
  return out;
}

void SimulatedSite::applyRouteDecision(const Balancer &from,
                                       const RouteDecision &decision,
                                       CallerPacket packet) {
  CallerReply reply;
  reply.Flow = packet.Flow;
  switch (decision.Action) {
  case RouteAction::Drop:
    return;
  case RouteAction::Refuse:
    reply.Kind = CallerReplyKind::Refused;
    break;
  case RouteAction::Reset:
    reply.Kind = CallerReplyKind::Reset;
    break;
  case RouteAction::Forward: {
    ForwardedPacket out =
        makeForwardedPacket(decision, std::move(packet), from.Address,
                            from.Follower->table()->revision());
    const Endpoint to = out.Chain[out.ChainIndex].Address;
    send(to, std::move(out));
    return;
  }
  }
  send(packet.Caller, std::move(reply));
}

void SimulatedSite::processOutput(std::size_t agent, PlacementOutput output) {
  Agent &it = Agents[agent];
  for (OutgoingDatagram &n : output.Datagrams)
    send(n.To, std::move(n.Message));
  // A flow that an agent closed no longer counts as a session of that agent.
  for (const FlowKey &n : output.Closed) {
    if (const auto flow = Flows.find(n); flow != Flows.end())
      flow->second.Sessions.erase(agent);
  }
  for (DeliveredPayload &n : output.Delivered) {
    const auto flow = Flows.find(n.Flow);
    // The payload carries the number of the service that the caller addressed.
    if (n.Payload.front() != static_cast<std::byte>(it.Record.Service.Value))
      ++Violations.WrongService;
    if (flow != Flows.end())
      flow->second.Sessions.insert(agent);
    OutgoingDatagram reply =
        it.Placement->makeReply(n.Flow, std::move(n.Payload));
    send(reply.To, std::move(reply.Message));
  }
}

void SimulatedSite::deliver(const Datagram &it) {
  for (Balancer &balancer : Balancers) {
    if (balancer.Address != it.To)
      continue;
    if (balancer.DiedAt)
      return;
    const auto index = static_cast<std::size_t>(&balancer - Balancers.data());
    const ServiceTablePtr table = balancer.Follower->table();
    if (const auto *packet = std::get_if<CallerPacket>(&it.Message)) {
      const RoutingHeader head{packet->ServiceAddress, packet->Caller,
                               packet->Flow, packet->Flags, packet->Token};
      const RouteDecision decision =
          Options.HasRanking ? routePacket(*table, leaseMode(index), head)
                             : routeByModulo(*table, head);
      Traffic.ForwardedPackets +=
          decision.Action == RouteAction::Forward ? 1 : 0;
      applyRouteDecision(balancer, decision, *packet);
    } else if (const auto *back = std::get_if<ChainExhausted>(&it.Message)) {
      applyRouteDecision(
          balancer, continueRoute(*table, leaseMode(index), back->Forwarded),
          back->Forwarded.Packet);
    }
    return;
  }
  for (std::size_t n = 0; n < Agents.size(); ++n) {
    Agent &agent = Agents[n];
    if (agent.Address != it.To || !agent.IsAlive)
      continue;
    const auto &out = DataCentreOutSince[agent.Record.DataCentre.Value];
    if (out && Now - *out > MaxRemovalDelay)
      ++Violations.ToRemovedDataCentre;
    PlacementOutput output;
    if (const auto *packet = std::get_if<ForwardedPacket>(&it.Message)) {
      Hops += packet->HopCount;
      ++Traffic.AgentArrivals;
      Traffic.SecondHops += packet->HopCount == 1 ? 1 : 0;
      if (out)
        Traffic.LastArrivalAfterRemoval =
            std::max(Traffic.LastArrivalAfterRemoval, Now - *out);
      agent.Placement->onForwarded(*packet, Now, output);
    } else if (const auto *missed = std::get_if<ProbeMissed>(&it.Message)) {
      agent.Placement->onProbeMissed(missed->Forwarded, Now, output);
    } else if (const auto *load = std::get_if<LoadReport>(&it.Message)) {
      agent.Placement->onLoadReport(*load, Now);
    }
    processOutput(n, std::move(output));
    return;
  }
  const auto *reply = std::get_if<CallerReply>(&it.Message);
  const auto flow =
      reply == nullptr ? Flows.end() : Flows.find({it.To, reply->Flow});
  if (flow == Flows.end())
    return;
  Flow &state = flow->second;
  const bool isOpening = state.State == FlowState::Opening;
  if (reply->Kind == CallerReplyKind::Accept ||
      reply->Kind == CallerReplyKind::Data) {
    if (isOpening) {
      ++Opened;
      state.State = FlowState::Open;
      state.Holder = reply->Token;
      state.InRemovedDataCentre = isHolderDataCentreOut(state);
    }
    state.LastReplyAt = Now;
  } else if (reply->Kind == CallerReplyKind::Refused && isOpening) {
    state.State = FlowState::Refused;
  } else if (reply->Kind == CallerReplyKind::Reset &&
             state.State == FlowState::Open) {
    state.State = FlowState::Reset;
    ++Resets;
    Violations.Broken += holderHasSession(state) ? 1 : 0;
  }
}

bool SimulatedSite::holderHasSession(const Flow &flow) const {
  const std::size_t holder = flow.Holder.ProcessIncarnation.Value - 1;
  return Agents[holder].IsAlive && flow.Sessions.contains(holder);
}

bool SimulatedSite::isHolderDataCentreOut(const Flow &flow) const {
  const auto out = DataCentreOutSince.find(
      Agents[flow.Holder.ProcessIncarnation.Value - 1].Record.DataCentre.Value);
  return out != DataCentreOutSince.end() && out->second;
}

void SimulatedSite::stepControl() {
  for (Agent &it : Agents) {
    if (!it.Record.Id || IsControlDown)
      continue;
    if (it.IsAlive && !it.AreAnnouncementsLost &&
        Now - it.RenewedAt >= Duration(1000)) {
      it.RenewedAt = Now;
      if (it.Record.State == UpstreamState::Suspect)
        drain(static_cast<std::size_t>(&it - Agents.data()), false);
      AnnounceReply reply{AnnounceResult::Accepted, it.Record.Id,
                          it.Record.Service, ""};
      if (DataCentreOutSince[it.Record.DataCentre.Value])
        reply.Result = AnnounceResult::DataCentreOut;
      else if (it.Record.State == UpstreamState::Draining)
        reply.Result = AnnounceResult::Draining;
      PlacementOutput output;
      it.Placement->onAnnounceReply(reply, Now, output);
      it.Placement->tick(Now, output);
      processOutput(static_cast<std::size_t>(&it - Agents.data()),
                    std::move(output));
    } else if (Now - it.RenewedAt > RemovedAfter) {
      removeUpstream(static_cast<std::size_t>(&it - Agents.data()));
    } else if (Now - it.RenewedAt > SuspectAfter &&
               it.Record.State != UpstreamState::Suspect) {
      it.Record.State = UpstreamState::Suspect;
      TableUpdate update;
      update.Upstreams.push_back(it.Record);
      publish(std::move(update));
    }
  }
  for (Balancer &it : Balancers) {
    const auto tableRevision = [&it] {
      return it.Follower->table()->revision();
    };
    if (!it.IsPartitioned && !IsControlDown) {
      while (tableRevision().Value < PublishedUpdates.size() &&
             PublishedUpdates[tableRevision().Value].first + it.Lag <= Now)
        (void)it.Follower->apply(
            PublishedUpdates[tableRevision().Value].second);
      // Control grants a lease only if the balancer's table contains all
      // updates that are older than the lag.
      std::size_t committed = PublishedUpdates.size();
      while (committed > 0 &&
             PublishedUpdates[committed - 1].first + it.Lag > Now)
        --committed;
      it.Lease.onGrant(
          {3000 - static_cast<std::uint32_t>(it.Lag.count()), {committed}}, Now,
          tableRevision());
    }
    for (const Balancer &peer : Balancers) {
      if (&peer != &it && it.HasPeers && peer.HasPeers &&
          it.Lease.needsPeerReplies(Now))
        it.Lease.onPeerReply(
            peer.Lease.makePeerReply(Now, peer.Follower->table()->revision()),
            true, Now, tableRevision());
    }
  }
}

void SimulatedSite::stepCallers() {
  for (auto &[key, it] : Flows) {
    const bool isClosing = it.State == FlowState::Closing;
    const bool isOpen = it.State == FlowState::Open || isClosing;
    const Duration interval =
        isOpen ? Options.KeepAliveInterval : Duration(1000);
    if ((Now - it.OpenedAt) % interval >= StepInterval || Now < it.OpenedAt ||
        it.State == FlowState::Reset || it.State == FlowState::Refused ||
        it.State == FlowState::Closed)
      continue;
    if (!isOpen && Now - it.OpenedAt > FirstPacketLifetime)
      continue;
    CallerPacket packet;
    packet.ServiceAddress = serviceAddress(it.Service);
    packet.Caller = key.Caller;
    packet.Flow = key.Flow;
    packet.Flags = isOpen ? PacketFlag::Established : PacketFlag::First;
    if (isClosing) {
      packet.Flags |= PacketFlag::Last;
      it.State = FlowState::Closed;
    }
    if (isOpen && Options.UsesToken)
      packet.Token = it.Holder;
    packet.Payload = {static_cast<std::byte>(it.Service)};
    // The fabric diverts traffic from a balancer that reports itself as
    // unhealthy, but not all packets at once.
    std::size_t to = Random() % Balancers.size();
    for (int n = 0; n < 2 && leaseMode(to) == LeaseMode::Isolated; ++n)
      to = Random() % Balancers.size();
    while (!receivesTraffic(Balancers[to]))
      to = (to + 1) % Balancers.size();
    send(Balancers[to].Address, std::move(packet));
  }
}

void SimulatedSite::run(Duration time) {
  for (const TimePoint end = Now + time; Now < end; Now += Duration(1)) {
    if (Now.time_since_epoch() % StepInterval == Duration(0)) {
      stepControl();
      stepCallers();
    }
    while (!InFlight.empty() && InFlight.top().DeliverAt <= Now) {
      const Datagram it = InFlight.top();
      InFlight.pop();
      deliver(it);
    }
  }
}

SiteFlows SimulatedSite::flowStatistics(std::uint32_t service,
                                        Duration silence) const {
  SiteFlows out;
  for (const auto &[key, it] : Flows) {
    if (it.Service != service || it.OpenedAt > Now)
      continue;
    const bool isReset = it.State == FlowState::Reset;
    const bool isSilent =
        it.State == FlowState::Open && Now - it.LastReplyAt > silence;
    const bool isBroken = isReset || isSilent;
    ++out.Attempted;
    out.Opened +=
        it.State != FlowState::Opening && it.State != FlowState::Refused ? 1
                                                                         : 0;
    out.Reset += isReset ? 1 : 0;
    out.Broken += isBroken ? 1 : 0;
    out.InRemovedDataCentre += it.InRemovedDataCentre ? 1 : 0;
    out.AvoidablyBroken += isBroken && !it.InRemovedDataCentre ? 1 : 0;
  }
  return out;
}

double SimulatedSite::maxToMeanFlowRatio(std::uint32_t service) const {
  std::size_t busiest = 0;
  std::size_t sum = 0;
  std::size_t count = 0;
  for (const Agent &it : Agents) {
    const auto out = DataCentreOutSince.find(it.Record.DataCentre.Value);
    if (it.Record.Service.Value != service || !it.IsAlive || !it.Record.Id ||
        it.Record.State != UpstreamState::Active ||
        (out != DataCentreOutSince.end() && out->second))
      continue;
    const std::size_t flows = it.Placement->flowCount();
    busiest = std::max(busiest, flows);
    sum += flows;
    ++count;
  }
  return sum == 0 ? 0
                  : static_cast<double>(busiest) * static_cast<double>(count) /
                        static_cast<double>(sum);
}

InvariantViolations SimulatedSite::violations(Duration silence) const {
  InvariantViolations out = Violations;
  for (const auto &[key, it] : Flows) {
    const auto sessions = std::ranges::count_if(
        it.Sessions, [this](std::size_t n) { return Agents[n].IsAlive; });
    out.DuplicateSessions += sessions > 1 ? 1 : 0;
    if (it.State == FlowState::Open && Now - it.LastReplyAt > silence)
      ++out.Silent;
  }
  return out;
}

} // namespace pistachio
