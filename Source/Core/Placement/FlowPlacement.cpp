#include "Placement/HandOverMemory.h"
#include "Placement/LifecycleMachine.h"
#include "Placement/Placement.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::uint32_t FullLoad = 1000;

/// A new flow goes to the second candidate only if that one's load is lower by
/// a thirty-second and this much (permille); without a margin, equal loads
/// would hand on half of all flows.
constexpr std::uint32_t LoadMargin = 5;
constexpr std::uint32_t LoadMarginDivisor = 32;

/// Refused callers wait for 250 ms and up to as much again, spread by flow.
constexpr std::uint32_t RefusedRetryMs = 250;

bool has(const ForwardedPacket &packet, std::uint8_t flag) {
  return (packet.Packet.Flags & flag) != 0;
}

FlowKey keyOf(const ForwardedPacket &packet) {
  return {packet.Packet.Caller, packet.Packet.Flow};
}

bool isSameMember(const Candidate &a, const Candidate &b) {
  return a.Upstream == b.Upstream &&
         a.ProcessIncarnation == b.ProcessIncarnation;
}

std::optional<std::size_t> findInChain(const ForwardedPacket &packet,
                                       const Candidate &member) {
  const auto it =
      std::ranges::find_if(packet.Chain, [&member](const Candidate &entry) {
        return isSameMember(entry, member);
      });
  if (it == packet.Chain.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - packet.Chain.begin());
}

/// Place of a member relative to the entry of the chain that is asked now.
enum class Place : std::uint8_t {
  /// Was asked already.
  Before,
  /// Will be asked.
  InChain,
  /// In a part of the ranking that follows the chain.
  Beyond,
  /// Joined after the table of the packet.
  NotYetKnown,
  /// Was in the ranking and has left it, or is suspect.
  Gone
};

Place placeOf(const ForwardedPacket &packet, const HandOver &memory) {
  if (const auto it = findInChain(packet, memory.Target))
    return *it <= packet.ChainIndex ? Place::Before : Place::InChain;
  // Every node computes the same weights. They tell where in the ranking a
  // member stands that the chain does not hold.
  const std::uint64_t weight =
      rendezvousWeight(packet.Bucket, memory.Target.Upstream);
  if (has(packet, PacketFlag::First) && packet.FirstRank > 0 &&
      weight > rendezvousWeight(packet.Bucket, packet.Chain.front().Upstream))
    return Place::Before;
  if (packet.TableRevision < memory.At)
    return Place::NotYetKnown;
  if (!packet.EndsRanking &&
      weight < rendezvousWeight(packet.Bucket, packet.Chain.back().Upstream))
    return Place::Beyond;
  return Place::Gone;
}

enum class FlowState : std::uint8_t {
  /// The caller may not have seen the accept.
  Unconfirmed,
  /// Unconfirmed, and this agent may have been suspect since: another one may
  /// have accepted the repeated first packet.
  Doubtful,
  /// The caller has sent packets of the open flow here.
  Confirmed
};

class AgentPlacement final : public FlowPlacement {
public:
  AgentPlacement(PlacementOptions options, TimePoint now)
      : Options(options), Start(now), RotatedAt(now), MemberSince(now),
        LastReply(now) {}

  void onForwarded(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output) override;
  void onProbeMissed(ForwardedPacket packet, TimePoint now,
                     PlacementOutput &output) override;
  void onLoadReport(const LoadReport &report, TimePoint now) override {
    learnLoad(report.Upstream, report.Load, now);
  }
  void onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                       PlacementOutput &output) override;
  void beginDrain(TimePoint now) override;
  void tick(TimePoint now, PlacementOutput &output) override;
  OutgoingDatagram makeAnswer(const FlowKey &flow,
                              Bytes payload) const override;
  void setLoad(std::uint16_t permille) override { Load = permille; }

  Lifecycle lifecycle() const override { return State.state(); }
  std::size_t flowCount() const override { return Flows.size(); }
  std::size_t flowTableBytes() const override {
    return Flows.capacity() * (sizeof(FlowMap::value_type) + 1);
  }
  std::size_t handOverBytes() const override { return Memory.memoryBytes(); }
  PlacementCounters counters() const override { return Counters; }

private:
  struct FlowEntry {
    /// Milliseconds since Start, modulo 2^32. Ages are far below 2^31.
    std::uint32_t LastSeen = 0;
    FlowState State = FlowState::Unconfirmed;
  };
  using FlowMap = absl::flat_hash_map<FlowKey, FlowEntry, FlowKeyHash>;

  struct PeerLoad {
    std::uint16_t Load = 0;
    std::optional<TimePoint> LearnedAt;
    std::optional<TimePoint> ReportedAt;
  };

  Candidate self() const {
    return {Options.Upstream, Options.ProcessIncarnation, Options.Address,
            CandidateState::Accepting};
  }
  bool isNamed(const ForwardedPacket &packet) const {
    return Options.Upstream &&
           isSameMember(packet.Chain[packet.ChainIndex], self());
  }
  bool isNew(TimePoint now) const {
    return now - MemberSince < Options.FirstPacketWindow ||
           now - LastReply > Options.AnnounceGap;
  }
  bool isDoubtful(const FlowEntry &entry, TimePoint now) const {
    return entry.State == FlowState::Doubtful ||
           (entry.State == FlowState::Unconfirmed &&
            now - LastReply > Options.AnnounceGap);
  }
  std::uint32_t stamp(TimePoint now) const {
    return static_cast<std::uint32_t>((now - Start).count());
  }
  std::uint32_t load() const {
    const std::uint64_t flows =
        std::uint64_t{FullLoad} * Flows.size() / std::max(Options.MaxFlows, 1U);
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(flows, Load));
  }
  std::uint16_t reportedLoad() const {
    return static_cast<std::uint16_t>(std::min(load(), 0xFFFFU));
  }

  bool isForThisService(const ForwardedPacket &packet);
  /// \p wereOthersAsked: no other agent holds the flow.
  bool handleHeld(ForwardedPacket &packet, bool wereOthersAsked, TimePoint now,
                  PlacementOutput &output);
  void probe(ForwardedPacket packet, PlacementOutput &output);
  void beginMembership(TimePoint now);
  void handleFirst(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output);
  void handleProbe(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output);
  bool redirect(ForwardedPacket &packet, PlacementOutput &output);
  void decide(ForwardedPacket packet, TimePoint now, PlacementOutput &output);
  void accept(ForwardedPacket packet, TimePoint now, PlacementOutput &output);
  void handOn(ForwardedPacket packet, std::size_t index,
              PlacementOutput &output);
  void passOn(ForwardedPacket packet, PlacementOutput &output);
  void endRanking(ForwardedPacket packet, PlacementOutput &output);
  void send(ForwardedPacket packet, PlacementOutput &output);
  void answer(const ForwardedPacket &packet, CallerReplyKind kind,
              PlacementOutput &output) const;
  void learnLoad(UpstreamId upstream, std::uint16_t load, TimePoint now);
  void reportLoad(const Candidate &to, TimePoint now, bool isAnswer,
                  PlacementOutput &output);
  void closeAll(PlacementOutput &output);
  void process(LifecycleEvent event, TimePoint now, PlacementOutput &output);

  PlacementOptions Options;
  TimePoint Start;
  TimePoint RotatedAt;
  /// Start of the time in which first packets are probed.
  TimePoint MemberSince;
  TimePoint LastReply;
  LifecycleMachine State;
  FlowMap Flows;
  HandOverMemory Memory;
  absl::flat_hash_map<UpstreamId, PeerLoad, std::hash<UpstreamId>> Peers;
  std::uint16_t Load = 0;
  PlacementCounters Counters;
};

bool AgentPlacement::isForThisService(const ForwardedPacket &packet) {
  if (State.state() == Lifecycle::Out) {
    ++Counters.DroppedWhileOut;
    return false;
  }
  if (packet.Service != Options.Service || !Options.Service) {
    ++Counters.WrongService;
    return false;
  }
  return packet.ChainIndex < packet.Chain.size();
}

void AgentPlacement::answer(const ForwardedPacket &packet, CallerReplyKind kind,
                            PlacementOutput &output) const {
  CallerReply out;
  out.Flow = packet.Packet.Flow;
  out.Kind = kind;
  if (kind == CallerReplyKind::Accept)
    out.Token = {Options.Upstream, Options.ProcessIncarnation};
  if (kind == CallerReplyKind::Refused)
    out.RetryAfterMs =
        RefusedRetryMs + static_cast<std::uint32_t>(
                             mix64(packet.Packet.Flow.Value) % RefusedRetryMs);
  output.Datagrams.push_back({packet.Packet.Caller, std::move(out)});
}

bool AgentPlacement::handleHeld(ForwardedPacket &packet, bool wereOthersAsked,
                                TimePoint now, PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const UpstreamToken &token = packet.Packet.Token;
  const bool isFirst = has(packet, PacketFlag::First);
  // The flow is looked up whatever member the chain names: after a restart or a
  // new membership, older tables name a former member at this address. A token
  // of another run belongs to a session that this one does not hold.
  const auto it = Flows.find(key);
  if (it != Flows.end() &&
      (isFirst || !token.Upstream ||
       token.ProcessIncarnation == Options.ProcessIncarnation)) {
    FlowEntry &entry = it->second;
    const bool isLast =
        packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
    const bool isNamedByToken = !isFirst && token.Upstream;
    if (isDoubtful(entry, now) && !isNamedByToken && !wereOthersAsked &&
        !isLast) {
      probe(std::move(packet), output);
      return true;
    }
    if (has(packet, PacketFlag::Established))
      entry.State = FlowState::Confirmed;
    else if (entry.State == FlowState::Doubtful)
      entry.State = FlowState::Unconfirmed;
    entry.LastSeen = stamp(now);
    if (!packet.Packet.Payload.empty())
      output.Delivered.push_back({key, std::move(packet.Packet.Payload)});
    if (has(packet, PacketFlag::Last)) {
      Flows.erase(it);
      Memory.set(key, {});
      output.Closed.push_back(key);
      answer(packet, CallerReplyKind::Closed, output);
    } else if (isFirst) {
      answer(packet, CallerReplyKind::Accept, output);
    }
    return true;
  }
  const HandOver *memory = Memory.find(key);
  if (memory == nullptr || !memory->isClosed())
    return false;
  if (isFirst || has(packet, PacketFlag::Established | PacketFlag::Last))
    answer(packet, CallerReplyKind::Closed, output);
  return true;
}

void AgentPlacement::onForwarded(ForwardedPacket packet, TimePoint now,
                                 PlacementOutput &output) {
  if (!isForThisService(packet))
    return;
  if (packet.Sender)
    learnLoad(packet.Sender, packet.SenderLoad, now);
  if (handleHeld(packet, false, now, output))
    return;
  ++Counters.Unknown;
  if (packet.Kind == ForwardKind::Probe)
    handleProbe(std::move(packet), now, output);
  else if (redirect(packet, output))
    return;
  else if (packet.Kind == ForwardKind::Ranked &&
           has(packet, PacketFlag::First) && isNamed(packet))
    handleFirst(std::move(packet), now, output);
  else
    passOn(std::move(packet), output);
}

bool AgentPlacement::redirect(ForwardedPacket &packet,
                              PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const HandOver *memory = Memory.find(key);
  if (memory == nullptr)
    return false;
  const bool isFirst = has(packet, PacketFlag::First);
  switch (placeOf(packet, *memory)) {
  case Place::Before:
  case Place::Gone:
    // The target was asked and left the decision to this agent, or there is
    // nobody left to decide.
    if (isFirst)
      Memory.erase(key);
    return false;
  case Place::InChain:
    // Other packets walk the ranking in order, so that its end still means that
    // everybody was asked.
    if (!isFirst)
      return false;
    packet.ChainIndex =
        static_cast<std::uint8_t>(*findInChain(packet, memory->Target));
    break;
  case Place::Beyond:
    if (!isFirst)
      return false;
    packet.Chain[packet.ChainIndex] = memory->Target;
    break;
  case Place::NotYetKnown:
    // Takes the place of this agent, so that the rest of the walk stays the
    // same.
    packet.Chain[packet.ChainIndex] = memory->Target;
    break;
  }
  send(std::move(packet), output);
  return true;
}

void AgentPlacement::handleFirst(ForwardedPacket packet, TimePoint now,
                                 PlacementOutput &output) {
  if (State.state() != Lifecycle::Active) {
    passOn(std::move(packet), output);
    return;
  }
  const bool isLast =
      packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
  if (!isNew(now) || isLast) {
    decide(std::move(packet), now, output);
    return;
  }
  probe(std::move(packet), output);
}

void AgentPlacement::probe(ForwardedPacket packet, PlacementOutput &output) {
  ++Counters.Probes;
  packet.Kind = ForwardKind::Probe;
  packet.Prober = self();
  passOn(std::move(packet), output);
}

void AgentPlacement::handleProbe(ForwardedPacket packet, TimePoint now,
                                 PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const HandOver *memory = Memory.find(key);
  if (memory != nullptr && !isSameMember(memory->Target, packet.Prober)) {
    const Place place = placeOf(packet, *memory);
    if (place != Place::Before && place != Place::Gone) {
      // The target may hold the flow.
      if (place == Place::InChain)
        packet.ChainIndex =
            static_cast<std::uint8_t>(*findInChain(packet, memory->Target));
      else
        packet.Chain[packet.ChainIndex] = memory->Target;
      // A target that the table does not have yet may be probing too. It gets
      // the first packet itself: if each of the two were told that the other
      // decides, neither would accept, or both.
      if (place == Place::NotYetKnown) {
        packet.Kind = ForwardKind::Ranked;
        packet.Prober = {};
      }
      send(std::move(packet), output);
      return;
    }
  }
  // A member that took first packets for the whole window would know of any
  // owner further down, so the probe need not go on. A draining member may have
  // been passed over.
  const bool endsHere = memory == nullptr && isNamed(packet) && !isNew(now) &&
                        State.state() == Lifecycle::Active;
  // From here on the prober decides about the flow: a repeat of the first
  // packet through a balancer that does not know the prober yet is sent to it.
  Memory.set(key, {packet.Prober, packet.TableRevision});
  if (endsHere)
    endRanking(std::move(packet), output);
  else
    passOn(std::move(packet), output);
}

void AgentPlacement::onProbeMissed(ForwardedPacket packet, TimePoint now,
                                   PlacementOutput &output) {
  if (!isForThisService(packet) ||
      packet.Prober.ProcessIncarnation != Options.ProcessIncarnation)
    return;
  if (handleHeld(packet, true, now, output))
    return;
  packet.Kind = ForwardKind::Ranked;
  if (const auto it = findInChain(packet, packet.Prober)) {
    packet.ChainIndex = static_cast<std::uint8_t>(*it);
  } else {
    // The probe went on beyond the first chain. The balancer has the rest of
    // the ranking.
    packet.Chain = {packet.Prober};
    packet.ChainIndex = 0;
    packet.FirstRank = 0;
    packet.EndsRanking = false;
  }
  if (redirect(packet, output))
    return;
  if (State.state() == Lifecycle::Active)
    decide(std::move(packet), now, output);
  else
    passOn(std::move(packet), output);
}

void AgentPlacement::decide(ForwardedPacket packet, TimePoint now,
                            PlacementOutput &output) {
  const std::uint32_t own = load();
  const bool isFull = own >= FullLoad || Flows.size() >= Options.MaxFlows;
  std::size_t next = packet.ChainIndex + 1U;
  while (next < packet.Chain.size() &&
         packet.Chain[next].State != CandidateState::Accepting)
    ++next;
  const bool hasNext = next < packet.Chain.size();

  // Sender is set by a hand-over for load: the second candidate takes the flow
  // or refuses it.
  if (!packet.Sender && hasNext) {
    const auto peer = Peers.find(packet.Chain[next].Upstream);
    const bool isKnown = peer != Peers.end() && peer->second.LearnedAt &&
                         now - *peer->second.LearnedAt <= Options.LoadValidity;
    const std::uint32_t other = isKnown ? peer->second.Load : 0;
    const bool isBetter =
        isFull
            ? other < FullLoad
            : isKnown && own > other + (other / LoadMarginDivisor) + LoadMargin;
    if (isBetter) {
      ++Counters.HandedOn;
      packet.Sender = Options.Upstream;
      packet.SenderLoad = reportedLoad();
      handOn(std::move(packet), next, output);
      return;
    }
  }
  if (packet.Sender) {
    const auto sender =
        std::ranges::find(packet.Chain, packet.Sender, &Candidate::Upstream);
    if (sender != packet.Chain.end() && packet.Sender != Options.Upstream)
      reportLoad(*sender, now, true, output);
  }
  if (isFull) {
    ++Counters.Refused;
    answer(packet, CallerReplyKind::Refused, output);
    return;
  }
  if (hasNext)
    reportLoad(packet.Chain[next], now, false, output);
  accept(std::move(packet), now, output);
}

void AgentPlacement::accept(ForwardedPacket packet, TimePoint now,
                            PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  Flows.try_emplace(key, FlowEntry{stamp(now)});
  Memory.erase(key);
  ++Counters.Accepted;
  handleHeld(packet, true, now, output);
}

void AgentPlacement::handOn(ForwardedPacket packet, std::size_t index,
                            PlacementOutput &output) {
  Memory.set(keyOf(packet), {packet.Chain[index], packet.TableRevision});
  packet.ChainIndex = static_cast<std::uint8_t>(index);
  send(std::move(packet), output);
}

void AgentPlacement::passOn(ForwardedPacket packet, PlacementOutput &output) {
  const std::size_t next = packet.ChainIndex + 1U;
  if (next < packet.Chain.size()) {
    const bool isHandOver =
        packet.Kind == ForwardKind::Ranked && has(packet, PacketFlag::First);
    if (isHandOver) {
      handOn(std::move(packet), next, output);
      return;
    }
    packet.ChainIndex = static_cast<std::uint8_t>(next);
    send(std::move(packet), output);
    return;
  }
  if (packet.EndsRanking) {
    endRanking(std::move(packet), output);
    return;
  }
  const Endpoint origin = packet.OriginBalancer;
  output.Datagrams.push_back({origin, ChainExhausted{std::move(packet)}});
}

void AgentPlacement::endRanking(ForwardedPacket packet,
                                PlacementOutput &output) {
  if (packet.Kind == ForwardKind::Probe) {
    const Endpoint prober = packet.Prober.Address;
    output.Datagrams.push_back({prober, ProbeMissed{std::move(packet)}});
    return;
  }
  if (has(packet, PacketFlag::First)) {
    ++Counters.Refused;
    answer(packet, CallerReplyKind::Refused, output);
    return;
  }
  // A packet from before the accept may have overtaken the first packet, and a
  // member that was not asked may hold the flow: no answer is right then.
  if (!has(packet, PacketFlag::Established) || packet.SkippedSuspect)
    return;
  if (has(packet, PacketFlag::Last)) {
    answer(packet, CallerReplyKind::Closed, output);
    return;
  }
  ++Counters.Resets;
  answer(packet, CallerReplyKind::Reset, output);
}

void AgentPlacement::send(ForwardedPacket packet, PlacementOutput &output) {
  if (packet.HopCount + 1 >= MaxHops) {
    ++Counters.HopLimit;
    return;
  }
  ++packet.HopCount;
  const Endpoint to = packet.Chain[packet.ChainIndex].Address;
  output.Datagrams.push_back({to, std::move(packet)});
}

void AgentPlacement::learnLoad(UpstreamId upstream, std::uint16_t load,
                               TimePoint now) {
  PeerLoad &it = Peers[upstream];
  it.Load = load;
  it.LearnedAt = now;
}

void AgentPlacement::reportLoad(const Candidate &to, TimePoint now,
                                bool isAnswer, PlacementOutput &output) {
  PeerLoad &it = Peers[to.Upstream];
  if (!isAnswer && it.ReportedAt &&
      now - *it.ReportedAt < Options.LoadReportInterval)
    return;
  it.ReportedAt = now;
  output.Datagrams.push_back(
      {to.Address, LoadReport{Options.Upstream, reportedLoad()}});
}

void AgentPlacement::closeAll(PlacementOutput &output) {
  // An idle caller would otherwise learn of it by its next packet only, and a
  // request in that packet would end with an unknown outcome.
  for (const auto &[key, entry] : Flows) {
    output.Closed.push_back(key);
    CallerReply reset;
    reset.Flow = key.Flow;
    reset.Kind = CallerReplyKind::Reset;
    output.Datagrams.push_back({key.Caller, std::move(reset)});
  }
  Counters.Resets += Flows.size();
  Flows.clear();
  Memory.clear();
}

void AgentPlacement::beginMembership(TimePoint now) {
  MemberSince = now;
  for (auto &[key, entry] : Flows)
    if (entry.State == FlowState::Unconfirmed)
      entry.State = FlowState::Doubtful;
}

void AgentPlacement::process(LifecycleEvent event, TimePoint now,
                             PlacementOutput &output) {
  const Lifecycle former = State.state();
  State.process(event);
  const Lifecycle present = State.state();
  if (present == former)
    return;
  if (present == Lifecycle::Active)
    beginMembership(now);
  if (present == Lifecycle::Out)
    closeAll(output);
}

void AgentPlacement::onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                                     PlacementOutput &output) {
  LifecycleEvent event = LifecycleEvent::Accepted;
  switch (reply.Result) {
  case AnnounceResult::Unavailable:
    return;
  case AnnounceResult::Rejected:
    process(LifecycleEvent::Rejected, now, output);
    return;
  case AnnounceResult::Accepted:
    break;
  case AnnounceResult::Draining:
    event = LifecycleEvent::DrainOrdered;
    break;
  case AnnounceResult::DataCentreOut:
    event = LifecycleEvent::OutOrdered;
    break;
  }
  if (reply.Service)
    Options.Service = reply.Service;
  if (reply.Upstream && reply.Upstream != Options.Upstream) {
    Options.Upstream = reply.Upstream;
    beginMembership(now);
  }
  if (now - LastReply > Options.AnnounceGap)
    beginMembership(now);
  LastReply = now;
  process(event, now, output);
}

void AgentPlacement::beginDrain(TimePoint now) {
  // A stop leads to no state in which flows are closed.
  PlacementOutput none;
  process(LifecycleEvent::StopOrdered, now, none);
}

void AgentPlacement::tick(TimePoint now, PlacementOutput &output) {
  const std::uint32_t present = stamp(now);
  for (auto it = Flows.begin(); it != Flows.end();) {
    const Duration timeout = it->second.State == FlowState::Doubtful
                                 ? Options.DoubtTimeout
                                 : Options.IdleTimeout;
    if (present - it->second.LastSeen < timeout.count()) {
      ++it;
      continue;
    }
    output.Closed.push_back(it->first);
    Flows.erase(it++);
  }
  if (now - RotatedAt >= Options.FirstPacketWindow) {
    Memory.rotate();
    RotatedAt = now;
  }
  // Members leave for good, so entries that no longer count are dropped.
  absl::erase_if(Peers, [&](const auto &it) {
    const auto isOld = [&](const std::optional<TimePoint> &at) {
      return !at || now - *at > Options.LoadValidity;
    };
    return isOld(it.second.LearnedAt) && isOld(it.second.ReportedAt);
  });
  if (Flows.empty())
    process(LifecycleEvent::Emptied, now, output);
}

OutgoingDatagram AgentPlacement::makeAnswer(const FlowKey &flow,
                                            Bytes payload) const {
  CallerReply out;
  out.Flow = flow.Flow;
  out.Kind = CallerReplyKind::Data;
  out.Token = {Options.Upstream, Options.ProcessIncarnation};
  out.Payload = std::move(payload);
  return {flow.Caller, std::move(out)};
}

} // namespace

std::unique_ptr<FlowPlacement> makeFlowPlacement(PlacementOptions options,
                                                 TimePoint now) {
  return std::make_unique<AgentPlacement>(options, now);
}

} // namespace pistachio
