#include "Placement/Site.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr Duration Step{100};
constexpr Duration SuspectAfter{3000};
constexpr Duration RemovedAfter{15000};
/// Lease of 3 s, the steps in which this site acts, and one delay.
constexpr Duration RemovalBound{3200};
constexpr Duration FirstPacketLifetime{30000};
constexpr Duration FabricNoticesAfter{1000};

Endpoint serviceAddress(std::uint32_t service) { return {service, 443}; }

} // namespace

Site::Site(SiteOptions options, std::uint64_t seed)
    : Options(options), Random(seed) {
  TableUpdate update;
  for (std::uint32_t n = 1; n <= 2; ++n)
    update.Services.push_back({{n}, std::to_string(n), serviceAddress(n)});
  for (std::uint16_t n = 1; n <= 3; ++n)
    update.DataCentres.push_back({{n}, std::to_string(n), false});
  publish(std::move(update));
}

std::size_t Site::addBalancer(Duration tableLag) {
  Balancer it;
  it.Address = {0x0A010000U + static_cast<std::uint32_t>(Balancers.size()), 1};
  it.Lag = tableLag;
  Balancers.push_back(std::move(it));
  return Balancers.size() - 1;
}

void Site::publish(TableUpdate update) {
  update.From = {Log.size()};
  update.To = {Log.size() + 1};
  Log.emplace_back(Now, std::move(update));
}

std::size_t Site::join(std::uint32_t service, std::uint16_t dataCentre,
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
    options.AnnounceGap = Duration(1000000);
  }
  it.Placement = makeFlowPlacement(options, Now);
  TableUpdate update;
  // A new run at an address replaces the former one.
  for (Agent &former : Agents) {
    if (former.Address == it.Address && former.Record.Id) {
      former.IsAlive = false;
      update.RemovedUpstreams.push_back(std::exchange(former.Record.Id, {}));
    }
  }
  update.Upstreams.push_back(it.Record);
  publish(std::move(update));
  Agents.push_back(std::move(it));
  return n;
}

void Site::drain(std::size_t agent, bool isDraining) {
  UpstreamRecord &it = Agents[agent].Record;
  it.State = isDraining ? UpstreamState::Draining : UpstreamState::Active;
  TableUpdate update;
  update.Upstreams.push_back(it);
  publish(std::move(update));
}

void Site::leave(std::size_t agent) {
  TableUpdate update;
  update.RemovedUpstreams.push_back(std::exchange(Agents[agent].Record.Id, {}));
  publish(std::move(update));
}

void Site::killBalancer(std::size_t balancer) {
  cutOff(balancer, true, false);
  Balancers[balancer].DiedAt = Now;
}

bool Site::isInFabric(const Balancer &it) const {
  return !it.DiedAt || Now - *it.DiedAt < FabricNoticesAfter;
}

void Site::setOut(std::uint16_t dataCentre, bool isOut) {
  OutSince[dataCentre] = isOut ? std::optional(Now) : std::nullopt;
  TableUpdate update;
  update.DataCentres.push_back(
      {{dataCentre}, std::to_string(dataCentre), isOut});
  publish(std::move(update));
  for (auto &[key, it] : Flows) {
    if (it.State == FlowState::Open && isHolderOut(it))
      it.HadToBreak = true;
  }
}

void Site::cutOff(std::size_t balancer, bool isCut, bool hasPeers) {
  Balancers[balancer].IsCut = isCut;
  Balancers[balancer].HasPeers = hasPeers;
}

LeaseMode Site::mode(std::size_t balancer) const {
  return Options.HasLease ? Balancers[balancer].Lease.mode(Now)
                          : LeaseMode::Leased;
}

void Site::openFlows(std::uint32_t service, int count) {
  for (int n = 0; n < count; ++n) {
    Flow it;
    it.Service = service;
    it.OpenedAt = Now + Duration(Random() % 1000);
    const auto caller = static_cast<std::uint32_t>(0x0A020000 + Flows.size());
    Flows[{{caller, 1}, {Random()}}] = it;
  }
}

void Site::closeFlows(std::uint32_t service, unsigned permille) {
  for (auto &[key, it] : Flows) {
    if (it.Service == service && it.State == FlowState::Open &&
        Random() % 1000 < permille)
      it.State = FlowState::Closing;
  }
}

void Site::send(const Endpoint &to, DataMessage message) {
  const Network &net = Options.Net;
  const auto isChosen = [this](unsigned permille) {
    return Random() % 1000 < permille;
  };
  // Repeats on every hop of a long walk would multiply without bound.
  const auto *forwarded = std::get_if<ForwardedPacket>(&message);
  const bool mayRepeat = !std::holds_alternative<ChainExhausted>(message) &&
                         (forwarded == nullptr || forwarded->FirstRank == 0);
  for (int copies = mayRepeat && isChosen(net.RepeatPermille) ? 2 : 1;
       copies > 0; --copies) {
    if (isChosen(net.LossPermille))
      continue;
    const unsigned spread = net.MaxDelayMs - net.MinDelayMs + 1;
    Queue.push({Now + Duration(net.MinDelayMs + (Random() % spread)), ++Sent,
                to, message});
  }
}

RouteDecision Site::byModulo(const ServiceTable &table,
                             const PacketHead &head) const {
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

void Site::carry(const Balancer &from, const RouteDecision &decision,
                 CallerPacket packet) {
  CallerReply answer;
  answer.Flow = packet.Flow;
  switch (decision.Action) {
  case RouteAction::Drop:
    return;
  case RouteAction::Refuse:
    answer.Kind = CallerReplyKind::Refused;
    break;
  case RouteAction::Reset:
    answer.Kind = CallerReplyKind::Reset;
    break;
  case RouteAction::Forward: {
    ForwardedPacket out =
        makeForwarded(decision, std::move(packet), from.Address,
                      from.Follower->table()->revision());
    const Endpoint to = out.Chain[out.ChainIndex].Address;
    send(to, std::move(out));
    return;
  }
  }
  send(packet.Caller, std::move(answer));
}

void Site::carry(std::size_t agent, PlacementOutput output) {
  Agent &it = Agents[agent];
  for (OutgoingDatagram &n : output.Datagrams)
    send(n.To, std::move(n.Message));
  // A flow that an agent gave up with its data centre is no session any more.
  for (const FlowKey &n : output.Closed) {
    if (const auto flow = Flows.find(n); flow != Flows.end())
      flow->second.Sessions.erase(agent);
  }
  for (DeliveredPayload &n : output.Delivered) {
    const auto flow = Flows.find(n.Flow);
    // The payload is the number of the service that the caller wants.
    if (n.Payload.front() != static_cast<std::byte>(it.Record.Service.Value))
      ++Seen.WrongService;
    if (flow != Flows.end())
      flow->second.Sessions.insert(agent);
    OutgoingDatagram answer =
        it.Placement->makeAnswer(n.Flow, std::move(n.Payload));
    send(answer.To, std::move(answer.Message));
  }
}

void Site::deliver(const Datagram &it) {
  for (Balancer &balancer : Balancers) {
    if (balancer.Address != it.To)
      continue;
    if (balancer.DiedAt)
      return;
    const auto index = static_cast<std::size_t>(&balancer - Balancers.data());
    const ServiceTablePtr table = balancer.Follower->table();
    if (const auto *packet = std::get_if<CallerPacket>(&it.Message)) {
      const PacketHead head{packet->ServiceAddress, packet->Caller,
                            packet->Flow, packet->Flags, packet->Token};
      const RouteDecision decision =
          Options.HasRanking ? routePacket(*table, mode(index), head)
                             : byModulo(*table, head);
      Traffic.Packets += decision.Action == RouteAction::Forward ? 1 : 0;
      carry(balancer, decision, *packet);
    } else if (const auto *back = std::get_if<ChainExhausted>(&it.Message)) {
      carry(balancer, continueRoute(*table, mode(index), back->Forwarded),
            back->Forwarded.Packet);
    }
    return;
  }
  for (std::size_t n = 0; n < Agents.size(); ++n) {
    Agent &agent = Agents[n];
    if (agent.Address != it.To || !agent.IsAlive)
      continue;
    const auto &out = OutSince[agent.Record.DataCentre.Value];
    if (out && Now - *out > RemovalBound)
      ++Seen.ToRemovedDataCentre;
    PlacementOutput output;
    if (const auto *packet = std::get_if<ForwardedPacket>(&it.Message)) {
      Hops += packet->HopCount;
      ++Traffic.AgentArrivals;
      Traffic.SecondHops += packet->HopCount == 1 ? 1 : 0;
      if (out)
        Traffic.LastToRemoved = std::max(Traffic.LastToRemoved, Now - *out);
      agent.Placement->onForwarded(*packet, Now, output);
    } else if (const auto *missed = std::get_if<ProbeMissed>(&it.Message)) {
      agent.Placement->onProbeMissed(missed->Forwarded, Now, output);
    } else if (const auto *load = std::get_if<LoadReport>(&it.Message)) {
      agent.Placement->onLoadReport(*load, Now);
    }
    carry(n, std::move(output));
    return;
  }
  const auto *answer = std::get_if<CallerReply>(&it.Message);
  const auto flow =
      answer == nullptr ? Flows.end() : Flows.find({it.To, answer->Flow});
  if (flow == Flows.end())
    return;
  Flow &state = flow->second;
  const bool isOpening = state.State == FlowState::Opening;
  if (answer->Kind == CallerReplyKind::Accept ||
      answer->Kind == CallerReplyKind::Data) {
    if (isOpening) {
      ++Opened;
      state.State = FlowState::Open;
      state.Holder = answer->Token;
      state.HadToBreak = isHolderOut(state);
    }
    state.AnsweredAt = Now;
  } else if (answer->Kind == CallerReplyKind::Refused && isOpening) {
    state.State = FlowState::Refused;
  } else if (answer->Kind == CallerReplyKind::Reset &&
             state.State == FlowState::Open) {
    state.State = FlowState::Reset;
    ++Resets;
    Seen.Broken += isHolderPresent(state) ? 1 : 0;
  }
}

bool Site::isHolderPresent(const Flow &flow) const {
  const std::size_t holder = flow.Holder.ProcessIncarnation.Value - 1;
  return Agents[holder].IsAlive && flow.Sessions.contains(holder);
}

bool Site::isHolderOut(const Flow &flow) const {
  const auto out = OutSince.find(
      Agents[flow.Holder.ProcessIncarnation.Value - 1].Record.DataCentre.Value);
  return out != OutSince.end() && out->second;
}

void Site::stepControl() {
  for (Agent &it : Agents) {
    if (!it.Record.Id || IsControlDown)
      continue;
    if (it.IsAlive && !it.IsMuted && Now - it.RenewedAt >= Duration(1000)) {
      it.RenewedAt = Now;
      if (it.Record.State == UpstreamState::Suspect)
        drain(static_cast<std::size_t>(&it - Agents.data()), false);
      AnnounceReply reply{AnnounceResult::Accepted, it.Record.Id,
                          it.Record.Service, ""};
      if (OutSince[it.Record.DataCentre.Value])
        reply.Result = AnnounceResult::DataCentreOut;
      else if (it.Record.State == UpstreamState::Draining)
        reply.Result = AnnounceResult::Draining;
      PlacementOutput output;
      it.Placement->onAnnounceReply(reply, Now, output);
      it.Placement->tick(Now, output);
      carry(static_cast<std::size_t>(&it - Agents.data()), std::move(output));
    } else if (Now - it.RenewedAt > RemovedAfter) {
      leave(static_cast<std::size_t>(&it - Agents.data()));
    } else if (Now - it.RenewedAt > SuspectAfter &&
               it.Record.State != UpstreamState::Suspect) {
      it.Record.State = UpstreamState::Suspect;
      TableUpdate update;
      update.Upstreams.push_back(it.Record);
      publish(std::move(update));
    }
  }
  for (Balancer &it : Balancers) {
    const auto have = [&it] { return it.Follower->table()->revision(); };
    if (!it.IsCut && !IsControlDown) {
      while (have().Value < Log.size() &&
             Log[have().Value].first + it.Lag <= Now)
        (void)it.Follower->apply(Log[have().Value].second);
      // A lease needs the table of all changes that are older than the lag.
      std::size_t committed = Log.size();
      while (committed > 0 && Log[committed - 1].first + it.Lag > Now)
        --committed;
      it.Lease.onGrant(
          {3000 - static_cast<std::uint32_t>(it.Lag.count()), {committed}}, Now,
          have());
    }
    for (const Balancer &peer : Balancers) {
      if (&peer != &it && it.HasPeers && peer.HasPeers &&
          it.Lease.wantsPeers(Now))
        it.Lease.onPeerAnswer(
            peer.Lease.answerPeer(Now, peer.Follower->table()->revision()),
            true, Now, have());
    }
  }
}

void Site::stepCallers() {
  for (auto &[key, it] : Flows) {
    const bool isClosing = it.State == FlowState::Closing;
    const bool isOpen = it.State == FlowState::Open || isClosing;
    const Duration interval = isOpen ? Options.KeepAlive : Duration(1000);
    if ((Now - it.OpenedAt) % interval >= Step || Now < it.OpenedAt ||
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
    // The fabric turns away from a balancer that reports itself unhealthy, but
    // not for all packets at once.
    std::size_t to = Random() % Balancers.size();
    for (int n = 0; n < 2 && mode(to) == LeaseMode::Isolated; ++n)
      to = Random() % Balancers.size();
    while (!isInFabric(Balancers[to]))
      to = (to + 1) % Balancers.size();
    send(Balancers[to].Address, std::move(packet));
  }
}

void Site::run(Duration time) {
  for (const TimePoint end = Now + time; Now < end; Now += Duration(1)) {
    if (Now.time_since_epoch() % Step == Duration(0)) {
      stepControl();
      stepCallers();
    }
    while (!Queue.empty() && Queue.top().At <= Now) {
      const Datagram it = Queue.top();
      Queue.pop();
      deliver(it);
    }
  }
}

SiteFlows Site::flowsOf(std::uint32_t service, Duration silence) const {
  SiteFlows out;
  for (const auto &[key, it] : Flows) {
    if (it.Service != service || it.OpenedAt > Now)
      continue;
    const bool isReset = it.State == FlowState::Reset;
    const bool isSilent =
        it.State == FlowState::Open && Now - it.AnsweredAt > silence;
    const bool isBroken = isReset || isSilent;
    ++out.Asked;
    out.Opened +=
        it.State != FlowState::Opening && it.State != FlowState::Refused ? 1
                                                                         : 0;
    out.Reset += isReset ? 1 : 0;
    out.Broken += isBroken ? 1 : 0;
    out.HadToBreak += it.HadToBreak ? 1 : 0;
    out.BrokenInVain += isBroken && !it.HadToBreak ? 1 : 0;
  }
  return out;
}

double Site::busiestToMean(std::uint32_t service) const {
  std::size_t busiest = 0;
  std::size_t sum = 0;
  std::size_t count = 0;
  for (const Agent &it : Agents) {
    const auto out = OutSince.find(it.Record.DataCentre.Value);
    if (it.Record.Service.Value != service || !it.IsAlive || !it.Record.Id ||
        it.Record.State != UpstreamState::Active ||
        (out != OutSince.end() && out->second))
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

Breaches Site::breaches(Duration silence) const {
  Breaches out = Seen;
  for (const auto &[key, it] : Flows) {
    const auto sessions = std::ranges::count_if(
        it.Sessions, [this](std::size_t n) { return Agents[n].IsAlive; });
    out.DoubleSessions += sessions > 1 ? 1 : 0;
    if (it.State == FlowState::Open && Now - it.AnsweredAt > silence)
      ++out.Silent;
  }
  return out;
}

} // namespace pistachio
