#include "Placement/HandOverTable.h"
#include "Placement/LifecycleMachine.h"
#include "Placement/Placement.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::uint32_t FullLoadPermille = 1000;

/// A new flow goes to the second candidate only if that one's load is lower by
/// a thirty-second and this much (permille); without a margin, equal loads
/// would hand on half of all flows.
constexpr std::uint32_t LoadMarginPermille = 5;
constexpr std::uint32_t LoadMarginDivisor = 32;

/// Refused callers wait for 250 ms and up to as much again, spread by flow.
constexpr std::uint32_t MinRefusedRetryMs = 250;

bool hasFlag(const ForwardedPacket &packet, std::uint8_t flag) {
  return (packet.Packet.Flags & flag) != 0;
}

FlowKey keyOf(const ForwardedPacket &packet) {
  return {packet.Packet.Caller, packet.Packet.Flow};
}

bool isSameMember(const Candidate &a, const Candidate &b) {
  return a.Upstream == b.Upstream && a.Run == b.Run;
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

/// RankingPosition of a member relative to the entry of the chain that is asked
/// now.
enum class RankingPosition : std::uint8_t {
  /// Was asked already.
  AlreadyAsked,
  /// Will be asked.
  LaterInChain,
  /// In a part of the ranking that follows the chain.
  AfterChain,
  /// Joined after the table of the packet.
  NewerThanTable,
  /// Was in the ranking and hasFlag left it, or is suspect.
  NotInRanking
};

RankingPosition positionInRanking(const ForwardedPacket &packet,
                                  const HandOver &handOver) {
  if (const auto it = findInChain(packet, handOver.Target))
    return *it <= packet.ChainIndex ? RankingPosition::AlreadyAsked
                                    : RankingPosition::LaterInChain;
  // Every node computes the same weights. They tell where in the ranking a
  // member stands that the chain does not hold.
  const std::uint64_t weight =
      rankWeight(packet.Bucket, handOver.Target.Upstream);
  if (hasFlag(packet, PacketFlag::First) && packet.FirstRank > 0 &&
      weight > rankWeight(packet.Bucket, packet.Chain.front().Upstream))
    return RankingPosition::AlreadyAsked;
  if (packet.TableRevision < handOver.TableRevision)
    return RankingPosition::NewerThanTable;
  if (!packet.EndsRanking &&
      weight < rankWeight(packet.Bucket, packet.Chain.back().Upstream))
    return RankingPosition::AfterChain;
  return RankingPosition::NotInRanking;
}

enum class FlowState : std::uint8_t {
  /// The caller may not have seen the accept.
  Unconfirmed,
  /// Unconfirmed, and this agent may have been suspect since: another one may
  /// have accepted the repeated first packet.
  PossiblyDuplicated,
  /// The caller hasFlag sent packets of the open flow here.
  Confirmed
};

class AgentPlacement final : public FlowPlacement {
public:
  AgentPlacement(PlacementOptions options, TimePoint now)
      : Options(options), StartedAt(now), HandOversRotatedAt(now),
        MembershipStartedAt(now), LastAnnounceReplyAt(now) {}

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
  OutgoingDatagram makeAnswer(const FlowKey &flow,
                              Bytes payload) const override;
  void setRequestLoad(std::uint16_t permille) override {
    RequestLoad = permille;
  }

  Lifecycle lifecycle() const override { return Membership.state(); }
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

  struct PeerLoad {
    std::uint16_t Load = 0;
    std::optional<TimePoint> LearnedAt;
    std::optional<TimePoint> ReportedAt;
  };

  Candidate self() const {
    return {Options.Upstream, Options.Run, Options.Address,
            CandidateState::Accepting};
  }
  bool isCurrentTarget(const ForwardedPacket &packet) const {
    return Options.Upstream &&
           isSameMember(packet.Chain[packet.ChainIndex], self());
  }
  bool mayHaveMissedFlows(TimePoint now) const {
    return now - MembershipStartedAt < Options.FirstPacketWindow ||
           now - LastAnnounceReplyAt > Options.AnnounceReplyTimeout;
  }
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

  bool checkDestination(const ForwardedPacket &packet);
  /// \p wereOthersProbed: no nextLoad agent holds the flow.
  bool handleKnownFlow(ForwardedPacket &packet, bool wereOthersProbed,
                       TimePoint now, PlacementOutput &output);
  void startProbe(ForwardedPacket packet, PlacementOutput &output);
  void beginMembership(TimePoint now);
  void handleFirstPacket(ForwardedPacket packet, TimePoint now,
                         PlacementOutput &output);
  void handleProbe(ForwardedPacket packet, TimePoint now,
                   PlacementOutput &output);
  bool followHandOver(ForwardedPacket &packet, PlacementOutput &output);
  void acceptOrHandOver(ForwardedPacket packet, TimePoint now,
                        PlacementOutput &output);
  void acceptFlow(ForwardedPacket packet, TimePoint now,
                  PlacementOutput &output);
  void handOverTo(ForwardedPacket packet, std::size_t index,
                  PlacementOutput &output);
  void forwardToNext(ForwardedPacket packet, PlacementOutput &output);
  void handleRankingEnd(ForwardedPacket packet, PlacementOutput &output);
  void send(ForwardedPacket packet, PlacementOutput &output);
  void sendAnswer(const ForwardedPacket &packet, AnswerKind kind,
                  PlacementOutput &output) const;
  void storePeerLoad(UpstreamId upstream, std::uint16_t load, TimePoint now);
  void sendLoadReport(const Candidate &to, TimePoint now, bool isAnswer,
                      PlacementOutput &output);
  void closeAllFlows(PlacementOutput &output);
  void applyEvent(LifecycleEvent event, TimePoint now, PlacementOutput &output);

  PlacementOptions Options;
  TimePoint StartedAt;
  TimePoint HandOversRotatedAt;
  /// StartedAt of the time in which first packets are probed.
  TimePoint MembershipStartedAt;
  TimePoint LastAnnounceReplyAt;
  LifecycleMachine Membership;
  FlowMap Flows;
  HandOverTable HandOvers;
  absl::flat_hash_map<UpstreamId, PeerLoad, std::hash<UpstreamId>> Peers;
  std::uint16_t RequestLoad = 0;
  PlacementCounters Counters;
};

bool AgentPlacement::checkDestination(const ForwardedPacket &packet) {
  if (Membership.state() == Lifecycle::OutOfService) {
    ++Counters.DroppedOutOfService;
    return false;
  }
  if (packet.Service != Options.Service || !Options.Service) {
    ++Counters.WrongService;
    return false;
  }
  return packet.ChainIndex < packet.Chain.size();
}

void AgentPlacement::sendAnswer(const ForwardedPacket &packet, AnswerKind kind,
                                PlacementOutput &output) const {
  CallerAnswer out;
  out.Flow = packet.Packet.Flow;
  out.Kind = kind;
  if (kind == AnswerKind::Accept)
    out.Token = {Options.Upstream, Options.Run};
  if (kind == AnswerKind::Refused)
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
  // The flow is looked up whatever member the chain names: after a restart or a
  // new membership, older tables name a previous member at this address. A
  // token of another run belongs to a session that this one does not hold.
  const auto it = Flows.find(key);
  if (it != Flows.end() &&
      (isFirst || !token.Upstream || token.Run == Options.Run)) {
    FlowEntry &entry = it->second;
    const bool isLast =
        packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
    const bool isNamedByToken = !isFirst && token.Upstream;
    if (isPossiblyDuplicated(entry, now) && !isNamedByToken &&
        !wereOthersProbed && !isLast) {
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
      HandOvers.set(key, {});
      output.Closed.push_back(key);
      sendAnswer(packet, AnswerKind::Closed, output);
    } else if (isFirst) {
      sendAnswer(packet, AnswerKind::Accept, output);
    }
    return true;
  }
  const HandOver *handOver = HandOvers.find(key);
  if (handOver == nullptr || !handOver->isClosed())
    return false;
  if (isFirst || hasFlag(packet, PacketFlag::Established | PacketFlag::Last))
    sendAnswer(packet, AnswerKind::Closed, output);
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
  case RankingPosition::AlreadyAsked:
  case RankingPosition::NotInRanking:
    // The target was asked and left the decision to this agent, or there is
    // nobody left to acceptOrHandOver.
    if (isFirst)
      HandOvers.erase(key);
    return false;
  case RankingPosition::LaterInChain:
    // Other packets walk the ranking in order, so that its end still means that
    // everybody was asked.
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
    // Takes the position of this agent, so that the rest of the walk stays the
    // same.
    packet.Chain[packet.ChainIndex] = handOver->Target;
    break;
  }
  send(std::move(packet), output);
  return true;
}

void AgentPlacement::handleFirstPacket(ForwardedPacket packet, TimePoint now,
                                       PlacementOutput &output) {
  if (Membership.state() != Lifecycle::Active) {
    forwardToNext(std::move(packet), output);
    return;
  }
  const bool isLast =
      packet.EndsRanking && packet.ChainIndex + 1U == packet.Chain.size();
  if (!mayHaveMissedFlows(now) || isLast) {
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
    if (position != RankingPosition::AlreadyAsked &&
        position != RankingPosition::NotInRanking) {
      // The target may hold the flow.
      if (position == RankingPosition::LaterInChain)
        packet.ChainIndex =
            static_cast<std::uint8_t>(*findInChain(packet, handOver->Target));
      else
        packet.Chain[packet.ChainIndex] = handOver->Target;
      // A target that the table does not have yet may be probing too. It gets
      // the first packet itself: if each of the two were told that the nextLoad
      // decides, neither would accept, or both.
      if (position == RankingPosition::NewerThanTable) {
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
  const bool endsHere = handOver == nullptr && isCurrentTarget(packet) &&
                        !mayHaveMissedFlows(now) &&
                        Membership.state() == Lifecycle::Active;
  // From here on the prober decides about the flow: a repeat of the first
  // packet through a balancer that does not know the prober yet is sent to it.
  HandOvers.set(key, {packet.Prober, packet.TableRevision});
  if (endsHere)
    handleRankingEnd(std::move(packet), output);
  else
    forwardToNext(std::move(packet), output);
}

void AgentPlacement::onProbeMissed(ForwardedPacket packet, TimePoint now,
                                   PlacementOutput &output) {
  if (!checkDestination(packet) || packet.Prober.Run != Options.Run)
    return;
  if (handleKnownFlow(packet, true, now, output))
    return;
  packet.Kind = ForwardKind::Ranked;
  if (const auto it = findInChain(packet, packet.Prober)) {
    packet.ChainIndex = static_cast<std::uint8_t>(*it);
  } else {
    // The probe went on beyond the first chain. The balancer hasFlag the rest
    // of the ranking.
    packet.Chain = {packet.Prober};
    packet.ChainIndex = 0;
    packet.FirstRank = 0;
    packet.EndsRanking = false;
  }
  if (followHandOver(packet, output))
    return;
  if (Membership.state() == Lifecycle::Active)
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

  // Sender is set by a hand-over for load: the second candidate takes the flow
  // or refuses it.
  if (!packet.Sender && hasNext) {
    const auto peer = Peers.find(packet.Chain[next].Upstream);
    const bool isKnown =
        peer != Peers.end() && peer->second.LearnedAt &&
        now - *peer->second.LearnedAt <= Options.LoadReportLifetime;
    const std::uint32_t nextLoad = isKnown ? peer->second.Load : 0;
    const bool isNextPreferred =
        isFull
            ? nextLoad < FullLoadPermille
            : isKnown && ownLoad > nextLoad + (nextLoad / LoadMarginDivisor) +
                                       LoadMarginPermille;
    if (isNextPreferred) {
      ++Counters.HandedOn;
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
    sendAnswer(packet, AnswerKind::Refused, output);
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
    sendAnswer(packet, AnswerKind::Refused, output);
    return;
  }
  // A packet from before the accept may have overtaken the first packet, and a
  // member that was not asked may hold the flow: no answer is right then.
  if (!hasFlag(packet, PacketFlag::Established) || packet.SkippedSuspect)
    return;
  if (hasFlag(packet, PacketFlag::Last)) {
    sendAnswer(packet, AnswerKind::Closed, output);
    return;
  }
  ++Counters.Resets;
  sendAnswer(packet, AnswerKind::Reset, output);
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
  it.Load = load;
  it.LearnedAt = now;
}

void AgentPlacement::sendLoadReport(const Candidate &to, TimePoint now,
                                    bool isAnswer, PlacementOutput &output) {
  PeerLoad &it = Peers[to.Upstream];
  if (!isAnswer && it.ReportedAt &&
      now - *it.ReportedAt < Options.LoadReportInterval)
    return;
  it.ReportedAt = now;
  output.Datagrams.push_back(
      {to.Address, LoadReport{Options.Upstream, reportedLoad()}});
}

void AgentPlacement::closeAllFlows(PlacementOutput &output) {
  // An idle caller would otherwise learn of it by its next packet only, and a
  // request in that packet would end with an unknown outcome.
  for (const auto &[key, entry] : Flows) {
    output.Closed.push_back(key);
    CallerAnswer reset;
    reset.Flow = key.Flow;
    reset.Kind = AnswerKind::Reset;
    output.Datagrams.push_back({key.Caller, std::move(reset)});
  }
  Counters.Resets += Flows.size();
  Flows.clear();
  HandOvers.clear();
}

void AgentPlacement::beginMembership(TimePoint now) {
  MembershipStartedAt = now;
  for (auto &[key, entry] : Flows)
    if (entry.State == FlowState::Unconfirmed)
      entry.State = FlowState::PossiblyDuplicated;
}

void AgentPlacement::applyEvent(LifecycleEvent event, TimePoint now,
                                PlacementOutput &output) {
  const Lifecycle previous = Membership.state();
  Membership.process(event);
  const Lifecycle present = Membership.state();
  if (present == previous)
    return;
  if (present == Lifecycle::Active)
    beginMembership(now);
  if (present == Lifecycle::OutOfService)
    closeAllFlows(output);
}

void AgentPlacement::onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                                     PlacementOutput &output) {
  LifecycleEvent event = LifecycleEvent::Accepted;
  switch (reply.Result) {
  case AnnounceResult::Unavailable:
    return;
  case AnnounceResult::Rejected:
    applyEvent(LifecycleEvent::Rejected, now, output);
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
    beginMembership(now);
  }
  if (now - LastAnnounceReplyAt > Options.AnnounceReplyTimeout)
    beginMembership(now);
  LastAnnounceReplyAt = now;
  applyEvent(event, now, output);
}

void AgentPlacement::beginShutdown(TimePoint now) {
  // A stop leads to no state in which flows are closed.
  PlacementOutput none;
  applyEvent(LifecycleEvent::StopRequested, now, none);
}

void AgentPlacement::tick(TimePoint now, PlacementOutput &output) {
  const std::uint32_t present = toTimestamp(now);
  for (auto it = Flows.begin(); it != Flows.end();) {
    const Duration timeout = it->second.State == FlowState::PossiblyDuplicated
                                 ? Options.PossibleDuplicateTimeout
                                 : Options.IdleTimeout;
    if (present - it->second.LastSeen < timeout.count()) {
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
  // Members leave for good, so entries that no longer count are dropped.
  absl::erase_if(Peers, [&](const auto &it) {
    const auto isExpired = [&](const std::optional<TimePoint> &at) {
      return !at || now - *at > Options.LoadReportLifetime;
    };
    return isExpired(it.second.LearnedAt) && isExpired(it.second.ReportedAt);
  });
  if (Flows.empty())
    applyEvent(LifecycleEvent::NoFlowsLeft, now, output);
}

OutgoingDatagram AgentPlacement::makeAnswer(const FlowKey &flow,
                                            Bytes payload) const {
  CallerAnswer out;
  out.Flow = flow.Flow;
  out.Kind = AnswerKind::Data;
  out.Token = {Options.Upstream, Options.Run};
  out.Payload = std::move(payload);
  return {flow.Caller, std::move(out)};
}

} // namespace

std::unique_ptr<FlowPlacement> makeFlowPlacement(PlacementOptions options,
                                                 TimePoint now) {
  return std::make_unique<AgentPlacement>(options, now);
}

} // namespace pistachio
