#include "Placement/HandOverTable.h"
#include "Placement/LifecycleMachine.h"
#include "Placement/Placement.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::uint32_t FullLoadPermille = 1000;

/// A new flow is handed over to the next candidate only if the load of that
/// candidate is lower by this margin (in permille) plus 1/32 of its load.
/// Without a margin, half of all flows would be handed over between candidates
/// of equal load.
constexpr std::uint32_t LoadMarginPermille = 5;
constexpr std::uint32_t LoadMarginDivisor = 32;

/// A refused caller waits between 250 ms and 500 ms. The flow id determines the
/// wait, so that callers refused together do not return together.
constexpr std::uint32_t MinRefusedRetryMs = 250;

bool hasFlag(const ForwardedPacket &packet, std::uint8_t flag) {
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

/// Position of a member in the ranking relative to the chain entry that the
/// packet is addressed to.
enum class RankingPosition : std::uint8_t {
  /// The packet has already visited the member, in this chain or, as a first
  /// packet, in the part of the ranking before it.
  AlreadyVisited,
  /// A later entry of the chain.
  LaterInChain,
  /// Part of the ranking that follows the chain.
  AfterChain,
  /// Joined after the table revision of the packet.
  NewerThanTable,
  /// Was in the ranking and has left it or is suspect.
  NotInRanking
};

RankingPosition positionInRanking(const ForwardedPacket &packet,
                                  const HandOver &handOver) {
  if (const auto it = findInChain(packet, handOver.Target))
    return *it <= packet.ChainIndex ? RankingPosition::AlreadyVisited
                                    : RankingPosition::LaterInChain;
  // All nodes compute the same weights, so the weight gives the position of a
  // member that is not in the chain.
  const std::uint64_t weight =
      rendezvousWeight(packet.Bucket, handOver.Target.Upstream);
  if (hasFlag(packet, PacketFlag::First) && packet.FirstRank > 0 &&
      weight > rendezvousWeight(packet.Bucket, packet.Chain.front().Upstream))
    return RankingPosition::AlreadyVisited;
  if (packet.TableRevision < handOver.TableRevision)
    return RankingPosition::NewerThanTable;
  if (!packet.EndsRanking &&
      weight < rendezvousWeight(packet.Bucket, packet.Chain.back().Upstream))
    return RankingPosition::AfterChain;
  return RankingPosition::NotInRanking;
}

enum class FlowState : std::uint8_t {
  /// The caller may not have received the accept.
  Unconfirmed,
  /// Unconfirmed, and this agent may have been suspect in the meantime. Another
  /// agent may have accepted a repeated first packet.
  PossiblyDuplicated,
  /// The caller has sent packets of the established flow to this agent.
  Confirmed
};

class AgentPlacement final : public FlowPlacement {
public:
  AgentPlacement(PlacementOptions options, TimePoint now)
      : Options(options), StartedAt(now), HandOversRotatedAt(now),
        ProbingStartedAt(now), LastAnnounceReplyAt(now) {}

  void onForwarded(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output) override;
  void onProbeMissed(ForwardedPacket packet, TimePoint now,
                     PlacementOutput &output) override;
  void onLoadReport(const LoadReport &report, TimePoint now) override {
    storePeerLoad(report.Upstream, report.Load, now);
  }
  void onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                       PlacementOutput &output) override;
  void beginShutdown(TimePoint now) override;
  void tick(TimePoint now, PlacementOutput &output) override;
  OutgoingDatagram makeReply(const FlowKey &flow, Bytes payload) const override;
  void setRequestLoad(std::uint16_t permille) override {
    RequestLoad = permille;
  }

  Lifecycle lifecycle() const override { return AgentLifecycle.state(); }
  std::size_t flowCount() const override { return Flows.size(); }
  std::size_t flowTableBytes() const override {
    return Flows.capacity() * (sizeof(FlowMap::value_type) + 1);
  }
  std::size_t handOverTableBytes() const override {
    return HandOvers.memoryBytes();
  }
  PlacementCounters counters() const override { return Counters; }

private:
  struct FlowEntry {
    /// Milliseconds since StartedAt, modulo 2^32. Ages are far below 2^31.
    std::uint32_t LastSeen = 0;
    FlowState State = FlowState::Unconfirmed;
  };
  using FlowMap = absl::flat_hash_map<FlowKey, FlowEntry, FlowKeyHash>;

  /// Load information exchanged with another agent.
  struct PeerLoad {
    std::uint16_t LoadPermille = 0;
    std::optional<TimePoint> LearnedAt;
    std::optional<TimePoint> ReportedAt;
  };

  /// This agent as an entry of a chain.
  Candidate self() const {
    return {Options.Upstream, Options.ProcessIncarnation, Options.Address,
            CandidateState::Accepting};
  }
  /// Whether the current entry of the chain names this agent.
  bool isCurrentTarget(const ForwardedPacket &packet) const {
    return Options.Upstream &&
           isSameMember(packet.Chain[packet.ChainIndex], self());
  }
  /// Whether other agents may hold flows whose first packets this agent would
  /// otherwise have received: it has joined recently, or may have been suspect.
  bool mayHaveMissedFlows(TimePoint now) const {
    return now - ProbingStartedAt < Options.FirstPacketWindow ||
           now - LastAnnounceReplyAt > Options.AnnounceReplyTimeout;
  }
  /// Whether another agent may have accepted the same flow.
  bool isPossiblyDuplicated(const FlowEntry &entry, TimePoint now) const {
    return entry.State == FlowState::PossiblyDuplicated ||
           (entry.State == FlowState::Unconfirmed &&
            now - LastAnnounceReplyAt > Options.AnnounceReplyTimeout);
  }
  std::uint32_t toTimestamp(TimePoint now) const {
    return static_cast<std::uint32_t>((now - StartedAt).count());
  }
  std::uint32_t currentLoad() const {
    const std::uint64_t flows = std::uint64_t{FullLoadPermille} * Flows.size() /
                                std::max(Options.MaxFlows, 1U);
    return static_cast<std::uint32_t>(
        std::max<std::uint64_t>(flows, RequestLoad));
  }
  std::uint16_t reportedLoad() const {
    return static_cast<std::uint16_t>(std::min(currentLoad(), 0xFFFFU));
  }

  /// Returns false if this agent must drop the packet: its data centre is out
  /// of service or the packet is for another service, both of which are
  /// counted, or the chain index is invalid.
  bool checkDestination(const ForwardedPacket &packet);
  /// Handles a packet of a flow that this agent holds or has closed, and
  /// returns false for other packets. \p wereOthersProbed is true if a probe
  /// has shown that no other agent holds the flow.
  bool handleKnownFlow(ForwardedPacket &packet, bool wereOthersProbed,
                       TimePoint now, PlacementOutput &output);
  /// Asks the other agents of the ranking whether one of them holds the flow.
  void startProbe(ForwardedPacket packet, PlacementOutput &output);
  /// Starts a period of the length FirstPacketWindow in which first packets are
  /// probed, because other agents may have accepted repetitions of them. Marks
  /// unconfirmed flows as possibly duplicated.
  void beginProbing(TimePoint now);
  void handleFirstPacket(ForwardedPacket packet, TimePoint now,
                         PlacementOutput &output);
  void handleProbe(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output);
  /// Forwards a packet to the agent to which the first packet of its flow was
  /// handed over. Returns false if the packet has to be handled otherwise.
  bool followHandOver(ForwardedPacket &packet, PlacementOutput &output);
  /// Accepts the flow, hands it over to the next candidate if that one is less
  /// loaded (power of two choices), or refuses it.
  void acceptOrHandOver(ForwardedPacket packet, TimePoint now,
                        PlacementOutput &output);
  void acceptFlow(ForwardedPacket packet, TimePoint now,
                  PlacementOutput &output);
  /// Records the hand-over to the entry \p index of the chain and forwards the
  /// packet there.
  void handOverTo(ForwardedPacket packet, std::size_t index,
                  PlacementOutput &output);
  /// Forwards a packet to the next entry of the chain, or back to the balancer
  /// if the chain ends before the ranking does.
  void forwardToNext(ForwardedPacket packet, PlacementOutput &output);
  /// Handles a packet that all members of the ranking have passed on.
  void handleRankingEnd(ForwardedPacket packet, PlacementOutput &output);
  void send(ForwardedPacket packet, PlacementOutput &output);
  void sendReply(const ForwardedPacket &packet, CallerReplyKind kind,
                 PlacementOutput &output) const;
  void storePeerLoad(UpstreamId upstream, std::uint16_t load, TimePoint now);
  /// Sends the load of this agent to another one. Reports to an agent that has
  /// handed over a flow (\p isReply) are not limited in rate.
  void sendLoadReport(const Candidate &to, TimePoint now, bool isReply,
                      PlacementOutput &output);
  void closeAllFlows(PlacementOutput &output);
  void applyEvent(LifecycleEvent event, TimePoint now, PlacementOutput &output);

  PlacementOptions Options;
  TimePoint StartedAt;
  TimePoint HandOversRotatedAt;
  /// Start of the latest period in which first packets are probed.
  TimePoint ProbingStartedAt;
  TimePoint LastAnnounceReplyAt;
  LifecycleMachine AgentLifecycle;
  FlowMap Flows;
  HandOverTable HandOvers;
  absl::flat_hash_map<UpstreamId, PeerLoad, std::hash<UpstreamId>> Peers;
  std::uint16_t RequestLoad = 0;
  PlacementCounters Counters;
};

bool AgentPlacement::checkDestination(const ForwardedPacket &packet) {
  if (AgentLifecycle.state() == Lifecycle::OutOfService) {
    ++Counters.DroppedOutOfService;
    return false;
  }
  if (packet.Service != Options.Service || !Options.Service) {
    ++Counters.WrongService;
    return false;
  }
  return packet.ChainIndex < packet.Chain.size();
}

void AgentPlacement::sendReply(const ForwardedPacket &packet,
                               CallerReplyKind kind,
                               PlacementOutput &output) const {
  CallerReply out;
  out.Flow = packet.Packet.Flow;
  out.Kind = kind;
  if (kind == CallerReplyKind::Accept)
    out.Token = {Options.Upstream, Options.ProcessIncarnation};
  if (kind == CallerReplyKind::Refused)
    out.RetryAfterMs = MinRefusedRetryMs +
                       static_cast<std::uint32_t>(
                           mix64(packet.Packet.Flow.Value) % MinRefusedRetryMs);
  output.Datagrams.push_back({packet.Packet.Caller, std::move(out)});
}

bool AgentPlacement::handleKnownFlow(ForwardedPacket &packet,
                                     bool wereOthersProbed, TimePoint now,
                                     PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const UpstreamToken &token = packet.Packet.Token;
  const bool isFirst = hasFlag(packet, PacketFlag::First);
  // The flow is looked up regardless of which member the chain names, because
  // after a restart or a new membership older tables name a former member at
  // this address. A token of another incarnation belongs to a session that this
  // agent does not have.
  const auto it = Flows.find(key);
  if (it != Flows.end() &&
      (isFirst || !token.Upstream ||
       token.ProcessIncarnation == Options.ProcessIncarnation)) {
    FlowEntry &entry = it->second;
    const bool isLastCandidate =
        packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
    const bool isNamedByToken = !isFirst && token.Upstream;
    if (isPossiblyDuplicated(entry, now) && !isNamedByToken &&
        !wereOthersProbed && !isLastCandidate) {
      startProbe(std::move(packet), output);
      return true;
    }
    if (hasFlag(packet, PacketFlag::Established))
      entry.State = FlowState::Confirmed;
    else if (entry.State == FlowState::PossiblyDuplicated)
      entry.State = FlowState::Unconfirmed;
    entry.LastSeen = toTimestamp(now);
    if (!packet.Packet.Payload.empty())
      output.Delivered.push_back({key, std::move(packet.Packet.Payload)});
    if (hasFlag(packet, PacketFlag::Last)) {
      Flows.erase(it);
      // An entry without a target marks the flow as closed, so that a delayed
      // packet does not open it again.
      HandOvers.set(key, {});
      output.Closed.push_back(key);
      sendReply(packet, CallerReplyKind::Closed, output);
    } else if (isFirst) {
      sendReply(packet, CallerReplyKind::Accept, output);
    }
    return true;
  }
  const HandOver *handOver = HandOvers.find(key);
  if (handOver == nullptr || !handOver->isClosed())
    return false;
  if (isFirst || hasFlag(packet, PacketFlag::Established | PacketFlag::Last))
    sendReply(packet, CallerReplyKind::Closed, output);
  return true;
}

void AgentPlacement::onForwarded(ForwardedPacket packet, TimePoint now,
                                 PlacementOutput &output) {
  if (!checkDestination(packet))
    return;
  if (packet.Sender)
    storePeerLoad(packet.Sender, packet.SenderLoad, now);
  if (handleKnownFlow(packet, false, now, output))
    return;
  ++Counters.UnknownFlow;
  if (packet.Kind == ForwardKind::Probe)
    handleProbe(std::move(packet), now, output);
  else if (followHandOver(packet, output))
    return;
  else if (packet.Kind == ForwardKind::Ranked &&
           hasFlag(packet, PacketFlag::First) && isCurrentTarget(packet))
    handleFirstPacket(std::move(packet), now, output);
  else
    forwardToNext(std::move(packet), output);
}

bool AgentPlacement::followHandOver(ForwardedPacket &packet,
                                    PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const HandOver *handOver = HandOvers.find(key);
  if (handOver == nullptr)
    return false;
  const bool isFirst = hasFlag(packet, PacketFlag::First);
  switch (positionInRanking(packet, *handOver)) {
  case RankingPosition::AlreadyVisited:
  case RankingPosition::NotInRanking:
    // Either the target was asked and left the decision to this agent, or the
    // target can no longer be asked.
    if (isFirst)
      HandOvers.erase(key);
    return false;
  case RankingPosition::LaterInChain:
    // Packets other than first packets visit the ranking in order, so that
    // reaching its end still shows that every member was asked.
    if (!isFirst)
      return false;
    packet.ChainIndex =
        static_cast<std::uint8_t>(*findInChain(packet, handOver->Target));
    break;
  case RankingPosition::AfterChain:
    if (!isFirst)
      return false;
    packet.Chain[packet.ChainIndex] = handOver->Target;
    break;
  case RankingPosition::NewerThanTable:
    // The target replaces this agent in the chain, so that the remaining
    // members are visited in the same order.
    packet.Chain[packet.ChainIndex] = handOver->Target;
    break;
  }
  send(std::move(packet), output);
  return true;
}

void AgentPlacement::handleFirstPacket(ForwardedPacket packet, TimePoint now,
                                       PlacementOutput &output) {
  if (AgentLifecycle.state() != Lifecycle::Active) {
    forwardToNext(std::move(packet), output);
    return;
  }
  const bool isLastCandidate =
      packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
  if (!mayHaveMissedFlows(now) || isLastCandidate) {
    acceptOrHandOver(std::move(packet), now, output);
    return;
  }
  startProbe(std::move(packet), output);
}

void AgentPlacement::startProbe(ForwardedPacket packet,
                                PlacementOutput &output) {
  ++Counters.Probes;
  packet.Kind = ForwardKind::Probe;
  packet.Prober = self();
  forwardToNext(std::move(packet), output);
}

void AgentPlacement::handleProbe(ForwardedPacket packet, TimePoint now,
                                 PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  const HandOver *handOver = HandOvers.find(key);
  if (handOver != nullptr && !isSameMember(handOver->Target, packet.Prober)) {
    const RankingPosition position = positionInRanking(packet, *handOver);
    if (position != RankingPosition::AlreadyVisited &&
        position != RankingPosition::NotInRanking) {
      // The target may hold the flow, so the probe goes there.
      if (position == RankingPosition::LaterInChain)
        packet.ChainIndex =
            static_cast<std::uint8_t>(*findInChain(packet, handOver->Target));
      else
        packet.Chain[packet.ChainIndex] = handOver->Target;
      // A target that the table does not contain yet may be probing at the same
      // time. It therefore receives the first packet itself. If the target and
      // the prober each received the probe of the other one, both would record
      // the other one as the agent that decides, and either neither or both
      // would accept the flow.
      if (position == RankingPosition::NewerThanTable) {
        packet.Kind = ForwardKind::Ranked;
        packet.Prober = {};
      }
      send(std::move(packet), output);
      return;
    }
  }
  // An agent that received first packets during the whole FirstPacketWindow has
  // an entry in HandOvers for every flow that it passed on. Without an entry,
  // no member further down the ranking holds the flow, and the probe can end
  // here. This does not apply to a draining agent, which balancers may have
  // skipped.
  const bool endsHere = handOver == nullptr && isCurrentTarget(packet) &&
                        !mayHaveMissedFlows(now) &&
                        AgentLifecycle.state() == Lifecycle::Active;
  // From now on the prober decides about the flow. A repeated first packet from
  // a balancer whose table lacks the prober is forwarded to the prober.
  HandOvers.set(key, {packet.Prober, packet.TableRevision});
  if (endsHere)
    handleRankingEnd(std::move(packet), output);
  else
    forwardToNext(std::move(packet), output);
}

void AgentPlacement::onProbeMissed(ForwardedPacket packet, TimePoint now,
                                   PlacementOutput &output) {
  if (!checkDestination(packet) ||
      packet.Prober.ProcessIncarnation != Options.ProcessIncarnation)
    return;
  if (handleKnownFlow(packet, true, now, output))
    return;
  packet.Kind = ForwardKind::Ranked;
  if (const auto it = findInChain(packet, packet.Prober)) {
    packet.ChainIndex = static_cast<std::uint8_t>(*it);
  } else {
    // The probe went on to a later part of the ranking, whose chain replaced
    // the one that contains this agent. The balancer can supply the rest of the
    // ranking.
    packet.Chain = {packet.Prober};
    packet.ChainIndex = 0;
    packet.FirstRank = 0;
    packet.EndsRanking = false;
  }
  if (followHandOver(packet, output))
    return;
  if (AgentLifecycle.state() == Lifecycle::Active)
    acceptOrHandOver(std::move(packet), now, output);
  else
    forwardToNext(std::move(packet), output);
}

void AgentPlacement::acceptOrHandOver(ForwardedPacket packet, TimePoint now,
                                      PlacementOutput &output) {
  const std::uint32_t ownLoad = currentLoad();
  const bool isFull =
      ownLoad >= FullLoadPermille || Flows.size() >= Options.MaxFlows;
  std::size_t next = packet.ChainIndex + 1U;
  while (next < packet.Chain.size() &&
         packet.Chain[next].State != CandidateState::Accepting)
    ++next;
  const bool hasNext = next < packet.Chain.size();

  // Sender is set if the agent that forwarded the packet handed the flow over
  // because that agent was full or more loaded. The receiver must accept or
  // refuse the flow, so that it is not handed over back and forth.
  if (!packet.Sender && hasNext) {
    const auto peer = Peers.find(packet.Chain[next].Upstream);
    const bool isKnown =
        peer != Peers.end() && peer->second.LearnedAt &&
        now - *peer->second.LearnedAt <= Options.LoadReportLifetime;
    const std::uint32_t nextLoad = isKnown ? peer->second.LoadPermille : 0;
    const bool isNextPreferred =
        isFull
            ? nextLoad < FullLoadPermille
            : isKnown && ownLoad > nextLoad + (nextLoad / LoadMarginDivisor) +
                                       LoadMarginPermille;
    if (isNextPreferred) {
      ++Counters.HandedOverForLoad;
      packet.Sender = Options.Upstream;
      packet.SenderLoad = reportedLoad();
      handOverTo(std::move(packet), next, output);
      return;
    }
  }
  if (packet.Sender) {
    const auto sender =
        std::ranges::find(packet.Chain, packet.Sender, &Candidate::Upstream);
    if (sender != packet.Chain.end() && packet.Sender != Options.Upstream)
      sendLoadReport(*sender, now, true, output);
  }
  if (isFull) {
    ++Counters.Refused;
    sendReply(packet, CallerReplyKind::Refused, output);
    return;
  }
  if (hasNext)
    sendLoadReport(packet.Chain[next], now, false, output);
  acceptFlow(std::move(packet), now, output);
}

void AgentPlacement::acceptFlow(ForwardedPacket packet, TimePoint now,
                                PlacementOutput &output) {
  const FlowKey key = keyOf(packet);
  Flows.try_emplace(key, FlowEntry{toTimestamp(now)});
  HandOvers.erase(key);
  ++Counters.Accepted;
  handleKnownFlow(packet, true, now, output);
}

void AgentPlacement::handOverTo(ForwardedPacket packet, std::size_t index,
                                PlacementOutput &output) {
  HandOvers.set(keyOf(packet), {packet.Chain[index], packet.TableRevision});
  packet.ChainIndex = static_cast<std::uint8_t>(index);
  send(std::move(packet), output);
}

void AgentPlacement::forwardToNext(ForwardedPacket packet,
                                   PlacementOutput &output) {
  const std::size_t next = packet.ChainIndex + 1U;
  if (next < packet.Chain.size()) {
    const bool isHandOver = packet.Kind == ForwardKind::Ranked &&
                            hasFlag(packet, PacketFlag::First);
    if (isHandOver) {
      handOverTo(std::move(packet), next, output);
      return;
    }
    packet.ChainIndex = static_cast<std::uint8_t>(next);
    send(std::move(packet), output);
    return;
  }
  if (packet.EndsRanking) {
    handleRankingEnd(std::move(packet), output);
    return;
  }
  const Endpoint origin = packet.OriginBalancer;
  output.Datagrams.push_back({origin, ChainExhausted{std::move(packet)}});
}

void AgentPlacement::handleRankingEnd(ForwardedPacket packet,
                                      PlacementOutput &output) {
  if (packet.Kind == ForwardKind::Probe) {
    const Endpoint prober = packet.Prober.Address;
    output.Datagrams.push_back({prober, ProbeMissed{std::move(packet)}});
    return;
  }
  if (hasFlag(packet, PacketFlag::First)) {
    ++Counters.Refused;
    sendReply(packet, CallerReplyKind::Refused, output);
    return;
  }
  // The packet may have been sent before the accept and have overtaken the
  // first packet, or a suspect member that was not asked may hold the flow. In
  // both cases the flow may exist, so nothing is answered.
  if (!hasFlag(packet, PacketFlag::Established) || packet.SkippedSuspect)
    return;
  if (hasFlag(packet, PacketFlag::Last)) {
    sendReply(packet, CallerReplyKind::Closed, output);
    return;
  }
  ++Counters.Resets;
  sendReply(packet, CallerReplyKind::Reset, output);
}

void AgentPlacement::send(ForwardedPacket packet, PlacementOutput &output) {
  if (packet.HopCount + 1 >= MaxHops) {
    ++Counters.HopLimitExceeded;
    return;
  }
  ++packet.HopCount;
  const Endpoint to = packet.Chain[packet.ChainIndex].Address;
  output.Datagrams.push_back({to, std::move(packet)});
}

void AgentPlacement::storePeerLoad(UpstreamId upstream, std::uint16_t load,
                                   TimePoint now) {
  PeerLoad &it = Peers[upstream];
  it.LoadPermille = load;
  it.LearnedAt = now;
}

void AgentPlacement::sendLoadReport(const Candidate &to, TimePoint now,
                                    bool isReply, PlacementOutput &output) {
  PeerLoad &it = Peers[to.Upstream];
  if (!isReply && it.ReportedAt &&
      now - *it.ReportedAt < Options.LoadReportInterval)
    return;
  it.ReportedAt = now;
  output.Datagrams.push_back(
      {to.Address, LoadReport{Options.Upstream, reportedLoad()}});
}

void AgentPlacement::closeAllFlows(PlacementOutput &output) {
  // The reset is sent to every caller. Otherwise an idle caller would notice
  // the loss only when it sends its next request, and that request would end
  // with an unknown outcome.
  for (const auto &[key, entry] : Flows) {
    output.Closed.push_back(key);
    CallerReply reset;
    reset.Flow = key.Flow;
    reset.Kind = CallerReplyKind::Reset;
    output.Datagrams.push_back({key.Caller, std::move(reset)});
  }
  Counters.Resets += Flows.size();
  Flows.clear();
  HandOvers.clear();
}

void AgentPlacement::beginProbing(TimePoint now) {
  ProbingStartedAt = now;
  for (auto &[key, entry] : Flows)
    if (entry.State == FlowState::Unconfirmed)
      entry.State = FlowState::PossiblyDuplicated;
}

void AgentPlacement::applyEvent(LifecycleEvent event, TimePoint now,
                                PlacementOutput &output) {
  const Lifecycle previous = AgentLifecycle.state();
  AgentLifecycle.process(event);
  const Lifecycle current = AgentLifecycle.state();
  if (current == previous)
    return;
  if (current == Lifecycle::Active)
    beginProbing(now);
  if (current == Lifecycle::OutOfService)
    closeAllFlows(output);
}

void AgentPlacement::onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                                     PlacementOutput &output) {
  LifecycleEvent event = LifecycleEvent::AnnouncementAccepted;
  switch (reply.Result) {
  case AnnounceResult::Unavailable:
    return;
  case AnnounceResult::Rejected:
    applyEvent(LifecycleEvent::AnnouncementRejected, now, output);
    return;
  case AnnounceResult::Accepted:
    break;
  case AnnounceResult::Draining:
    event = LifecycleEvent::DrainRequested;
    break;
  case AnnounceResult::DataCentreOut:
    event = LifecycleEvent::DataCentreTakenOut;
    break;
  }
  if (reply.Service)
    Options.Service = reply.Service;
  if (reply.Upstream && reply.Upstream != Options.Upstream) {
    Options.Upstream = reply.Upstream;
    beginProbing(now);
  }
  if (now - LastAnnounceReplyAt > Options.AnnounceReplyTimeout)
    beginProbing(now);
  LastAnnounceReplyAt = now;
  applyEvent(event, now, output);
}

void AgentPlacement::beginShutdown(TimePoint now) {
  // No transition of a planned stop closes flows, so there is no output.
  PlacementOutput none;
  applyEvent(LifecycleEvent::StopRequested, now, none);
}

void AgentPlacement::tick(TimePoint now, PlacementOutput &output) {
  const std::uint32_t timestamp = toTimestamp(now);
  for (auto it = Flows.begin(); it != Flows.end();) {
    const Duration timeout = it->second.State == FlowState::PossiblyDuplicated
                                 ? Options.PossibleDuplicateTimeout
                                 : Options.IdleTimeout;
    if (timestamp - it->second.LastSeen < timeout.count()) {
      ++it;
      continue;
    }
    output.Closed.push_back(it->first);
    Flows.erase(it++);
  }
  if (now - HandOversRotatedAt >= Options.FirstPacketWindow) {
    HandOvers.rotate();
    HandOversRotatedAt = now;
  }
  // Removed members do not return, so expired entries are erased.
  absl::erase_if(Peers, [&](const auto &it) {
    const auto isExpired = [&](const std::optional<TimePoint> &at) {
      return !at || now - *at > Options.LoadReportLifetime;
    };
    return isExpired(it.second.LearnedAt) && isExpired(it.second.ReportedAt);
  });
  if (Flows.empty())
    applyEvent(LifecycleEvent::NoFlowsLeft, now, output);
}

OutgoingDatagram AgentPlacement::makeReply(const FlowKey &flow,
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
