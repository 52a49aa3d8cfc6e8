#include "ReturnedFlows.h"

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <algorithm>
#include <array>
#include <deque>

namespace pistachio {
namespace {

/// Number of delivered packets whose balancer is remembered in case the
/// upstream returns them. It is a power of two, so that successive tags use
/// successive entries of SentPackets also when the 32-bit tag wraps around.
constexpr std::uint32_t SentPacketCapacity = 4096;

/// A sequence number that is further ahead of the last known one of a flow than
/// this belongs to another connection with the same endpoints: two upstreams
/// that both accepted the first packet use different initial sequence numbers.
constexpr std::uint32_t SequenceWindowBytes = 16U * 1024 * 1024;

/// Sliding window in which first packets are counted against the rate limit of
/// a cold start: one second, plus a margin for differences in delay on the way
/// to the upstream.
constexpr Duration ColdWindow{1050};

/// How long a balancer should send no new flow to an upstream that accepts
/// none: one that drains, has ended or sends no reports, or of another service.
constexpr Duration UnavailableRetryDelay{2000};

/// How long a balancer should send no new flow to an upstream that has neither
/// reported nor sent a packet since its agent started. Either may happen at any
/// moment.
constexpr Duration FirstReportRetryDelay{250};

/// How long a balancer should send no new flow to an upstream whose slots are
/// all busy.
constexpr Duration BusyRetryDelay{20};

/// How long a balancer should send no new flow to an upstream that left a first
/// packet unanswered or returned it, or whose agent holds MaxFlows flows.
constexpr Duration OverloadRetryDelay{500};

/// An upstream with this many requests per slot gets no new flows: waiting in
/// its queue would take longer than opening the flow on another upstream.
constexpr double MaxRequestsPerSlot = 4;

/// Longest time that a new flow should wait for a slot of its upstream. It is
/// the shortest response-time goal of the deployments.
constexpr Duration MaxSlotWait{100};

/// Weight of the latest request in the average time that a slot takes for one.
constexpr double ServiceTimeWeight = 1.0 / 16;

/// A request without an answer for this long no longer counts as work, because
/// the caller has given up or the answer was lost.
constexpr Duration RequestTimeout{1000};

/// A newly opened flow counts as busy for this long while its first request is
/// expected. The value is a few round trips to callers.
constexpr Duration FirstRequestTimeout{50};

/// A flow that both ends have closed is kept for this long, because the ends
/// may retransmit their last packets. Both give up after about 10 s.
constexpr Duration ClosedFlowRetention{12000};

/// An agent that started at most this long after its upstream knows all flows
/// of the upstream: both start at the same time when their machine does, and
/// the upstream gets no packets without an agent.
constexpr std::uint64_t JointStartMs = 500;

/// The first report that an agent receives from an upstream that started with
/// it has at most this sequence number. It guards JointStartMs against a clock
/// that was set back between the two starts.
constexpr std::uint64_t MaxFirstSequence = 3;

/// A flow that opened this long before the first report of a new lifetime may
/// belong to that lifetime, also if a report of the earlier one arrived later:
/// an upstream accepts flows before its first report, and reports may be
/// delayed.
constexpr Duration FirstReportDelay{5000};

struct Flow {
  Endpoint Balancer;
  /// First sequence number of the upstream; 0 if the agent has not seen it.
  std::uint32_t FirstSequence = 0;
  /// The caller acknowledges this sequence number or one up to
  /// SequenceWindowBytes after it. It follows the data of the upstream, so that
  /// a long flow remains the same connection.
  std::uint32_t FirstAcknowledgement = 0;
  /// Sequence number of the caller's first packet, if the agent has seen it.
  /// Another one opens another connection with the same endpoints.
  std::optional<std::uint32_t> OpeningSequence;
  TimePoint LastPacketAt{};
  TimePoint BusySince{};
  /// Sequence number after the last data of the caller seen so far.
  std::uint32_t CallerDataEnd = 0;
  /// Requests per slot when the latest request of the flow arrived, at least 1.
  double RequestsPerSlot = 1;
  /// When the upstream sent its first packet of the flow.
  TimePoint AcceptedAt{};
  bool HasData = false;
  bool Busy = false;
  /// The upstream has sent a packet of the flow.
  bool AcceptedByUpstream = false;
  /// The balancer that forwards the flow's packets has been sent a FlowHeld
  /// message.
  bool HolderReported = false;
  bool CallerClosed = false;
  bool UpstreamClosed = false;
};

/// A first packet that the upstream has not answered yet.
struct PendingOpen {
  FlowEndpoints Endpoints;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
  Bytes Packet;
  TimePoint DeliveredAt{};
};

bool isClosed(const Flow &flow) {
  return flow.CallerClosed && flow.UpstreamClosed;
}

struct SentPacket {
  std::uint32_t Tag = 0;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
  /// The packet arrived in a ChainedPacket and goes on to NextAgents.
  bool IsChained = false;
  std::vector<Endpoint> NextAgents{};
};

template <typename Message>
void sendMessage(const Endpoint &to, Message message, RelayOutput &out) {
  RelayOutput::Datagram &it = out.Datagrams.emplace_back();
  it.To = to;
  it.Content.emplace<DataMessage>(std::move(message));
}

class UpstreamRelayImpl final : public UpstreamRelay {
public:
  UpstreamRelayImpl(UpstreamRelayOptions options, const PacketFormat &format)
      : Options(std::move(options)), Format(format),
        Service(hashServiceName(Options.Service)),
        SentPackets(SentPacketCapacity) {}

  void onRelayedPacket(RelayedPacket message, const Endpoint &balancer,
                       TimePoint now, RelayOutput &out) override;
  void onChainedPacket(ChainedPacket message, const Endpoint &sender,
                       TimePoint now, RelayOutput &out) override;
  void onFlowQuery(const FlowQuery &message, const Endpoint &balancer,
                   TimePoint now, RelayOutput &out) override;
  void onUpstreamPacket(std::span<const std::byte> buf, TimePoint now,
                        RelayOutput &out) override;
  void tick(TimePoint now, RelayOutput &out) override;
  void setUpstreamWithdrawn(bool withdrawn) override { Withdrawn = withdrawn; }

  ReportResult onReport(const UpstreamReport &report, TimePoint now) override;
  bool onUpstreamEnded(std::string_view id) override;

  LocalUpstreamState state(TimePoint now) const override;
  std::uint64_t startedAtMs() const override { return LastReport.StartedAtMs; }
  UpstreamLoad load() const override;
  const RelayCounters &counters() const override { return Counts; }

private:
  void onOpen(RelayedPacket message, const FlowPacket &packet,
              const Endpoint &balancer, TimePoint now, RelayOutput &out);
  /// Requests per slot that keep the wait for a slot within MaxSlotWait.
  double requestsPerSlotLimit() const;
  void recordAnswerTime(const Flow &flow, Duration elapsed);
  std::optional<Duration> declineDelay(std::uint8_t attempt, TimePoint now);
  /// Returns whether an upstream that has not reported since the agent started
  /// gets new flows. If all agents restart at once, all upstreams would decline
  /// for a report interval.
  bool acceptsBeforeReport(TimePoint now) const {
    return IsUpstreamSeen && RunningSince &&
           now - *RunningSince < Options.ReportTimeout;
  }
  /// Returns whether the upstream is in a cold start or may be, because it has
  /// not reported yet.
  bool mayBeCold(TimePoint now) const { return !HasReport || now < ColdUntil; }
  bool isWithinColdRateLimit(TimePoint now);
  /// Returns whether the packet belongs to another connection with the same
  /// endpoints than the one that the upstream holds.
  static bool isOtherConnection(const Flow &flow, const FlowPacket &packet);
  /// Records that the upstream has sent data up to \p dataEnd. Half of the
  /// window remains for data that the caller has not acknowledged.
  static void advanceAcknowledgement(Flow &flow, std::uint32_t dataEnd);
  /// Records a packet that is about to be delivered and does not open the flow.
  void recordCallerPacket(const FlowEndpoints &endpoints,
                          const FlowPacket &packet, const Endpoint &balancer,
                          bool wantsFlowHeld, TimePoint now, RelayOutput &out);
  /// Gives a packet to the upstream. \p origin says what becomes of the packet
  /// if the upstream returns it.
  void deliver(Bytes packet, SentPacket origin, RelayOutput &out);
  /// Tells the balancer that the upstream does not hold the flow, and sends the
  /// packet to the next agent of the chain, if there is one.
  void passOn(const FlowEndpoints &endpoints, ChainedPacket message,
              RelayOutput &out);
  void returnToBalancer(ReturnReason reason, std::uint8_t attempt,
                        Duration retryAfter, Bytes packet,
                        const Endpoint &balancer, RelayOutput &out);
  void onReturnedByUpstream(const FlowPacket &packet,
                            std::span<const std::byte> buf, TimePoint now,
                            RelayOutput &out);
  void recordUpstreamPacket(Flow &flow, const FlowEndpoints &endpoints,
                            const FlowPacket &packet, TimePoint now,
                            RelayOutput &out);
  void sendFlowHeld(Flow &flow, const FlowEndpoints &endpoints,
                    RelayOutput &out);
  void setBusy(Flow &flow, bool busy, TimePoint now);
  /// Stops counting flows as busy whose request or answer is overdue.
  void expireBusyFlows(TimePoint now);
  void recordRequest(Flow &flow, const FlowPacket &packet, TimePoint now);
  void erase(const FlowEndpoints &endpoints);
  void removePendingOpen(const FlowEndpoints &endpoints);
  /// Returns whether the upstream certainly does not hold a flow that is not in
  /// Flows.
  bool knowsAllFlows(const FlowEndpoints &endpoints, TimePoint now) const;
  /// Returns whether the flow, which opened before the first report of a new
  /// lifetime, may belong to that lifetime.
  bool mayBeOfNewLifetime(const Flow &flow, TimePoint now) const;
  void setClosed(Flow &flow, bool byCaller, bool byUpstream);
  Flow *find(const FlowEndpoints &endpoints);
  Flow &insert(const FlowEndpoints &endpoints, TimePoint now);

  UpstreamRelayOptions Options;
  const PacketFormat &Format;
  ServiceNameHash Service;

  UpstreamReport LastReport;
  bool HasReport = false;
  /// Sequence number of the first report that this agent has received.
  std::uint64_t FirstSequence = 0;
  /// The agent has run since before the upstream's lifetime began.
  bool IsLaterLifetime = false;
  bool Ended = false;
  bool Withdrawn = false;
  /// The upstream has sent or returned a packet since the agent started.
  bool IsUpstreamSeen = false;
  TimePoint LastReportAt{};
  TimePoint ColdUntil{};
  /// Cold-start rate from the latest first packet.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  std::deque<TimePoint> ColdOpens;
  /// The upstream left a first packet unanswered, so it gets no new flows until
  /// this time.
  TimePoint UnansweredUntil{};

  absl::flat_hash_map<FlowEndpoints, Flow, std::hash<FlowEndpoints>> Flows;
  /// Flows that were removed at the first report of a new lifetime, although
  /// they may belong to it.
  absl::flat_hash_set<FlowEndpoints, std::hash<FlowEndpoints>> UncertainFlows;
  ReturnedFlows NotHeldFlows;
  std::size_t ClosedFlows = 0;
  std::optional<TimePoint> RunningSince;
  std::deque<PendingOpen> PendingOpens;
  std::vector<SentPacket> SentPackets;
  std::uint32_t LastTag = 0;
  std::uint32_t BusyFlows = 0;
  /// Average time that a slot takes for a request, in milliseconds; 0 if no
  /// request has been answered yet.
  double ServiceTimeMs = 0;
  TimePoint LastSweep{};
  RelayCounters Counts;
};

Flow *UpstreamRelayImpl::find(const FlowEndpoints &endpoints) {
  const auto it = Flows.find(endpoints);
  return it == Flows.end() ? nullptr : &it->second;
}

Flow &UpstreamRelayImpl::insert(const FlowEndpoints &endpoints, TimePoint now) {
  Flow &flow = Flows[endpoints];
  flow.LastPacketAt = now;
  return flow;
}

void UpstreamRelayImpl::setBusy(Flow &flow, bool busy, TimePoint now) {
  if (busy)
    flow.BusySince = now;
  if (flow.Busy == busy)
    return;
  flow.Busy = busy;
  busy ? ++BusyFlows : --BusyFlows;
}

/// Marks the flow as busy if the packet carries new data. Retransmitted data is
/// not a new request.
void UpstreamRelayImpl::recordRequest(Flow &flow, const FlowPacket &packet,
                                      TimePoint now) {
  if (packet.DataBytes == 0)
    return;
  const std::uint32_t end = packet.Sequence + packet.DataBytes;
  const std::uint32_t ahead = end - flow.CallerDataEnd;
  if (flow.HasData && (ahead == 0 || ahead > SequenceWindowBytes))
    return;
  flow.HasData = true;
  flow.CallerDataEnd = end;
  setBusy(flow, true, now);
  flow.RequestsPerSlot = std::max(1.0, static_cast<double>(BusyFlows) /
                                           std::max(LastReport.Slots, 1U));
}

/// A request that finds all slots taken waits for those before it, so its
/// answer time is about the time of a request times the requests per slot.
void UpstreamRelayImpl::recordAnswerTime(const Flow &flow, Duration elapsed) {
  const double sample =
      static_cast<double>(elapsed.count()) / flow.RequestsPerSlot;
  ServiceTimeMs =
      ServiceTimeMs == 0
          ? sample
          : ServiceTimeMs + (sample - ServiceTimeMs) * ServiceTimeWeight;
}

double UpstreamRelayImpl::requestsPerSlotLimit() const {
  if (ServiceTimeMs <= 0)
    return MaxRequestsPerSlot;
  return std::min(MaxRequestsPerSlot,
                  1 + static_cast<double>(MaxSlotWait.count()) / ServiceTimeMs);
}

void UpstreamRelayImpl::erase(const FlowEndpoints &endpoints) {
  const auto it = Flows.find(endpoints);
  if (it == Flows.end())
    return;
  setBusy(it->second, false, {});
  ClosedFlows -= isClosed(it->second) ? 1 : 0;
  Flows.erase(it);
}

void UpstreamRelayImpl::removePendingOpen(const FlowEndpoints &endpoints) {
  std::erase_if(PendingOpens, [&](const PendingOpen &it) {
    return it.Endpoints == endpoints;
  });
}

void UpstreamRelayImpl::setClosed(Flow &flow, bool byCaller, bool byUpstream) {
  const bool wasClosed = isClosed(flow);
  flow.CallerClosed = flow.CallerClosed || byCaller;
  flow.UpstreamClosed = flow.UpstreamClosed || byUpstream;
  ClosedFlows += !wasClosed && isClosed(flow) ? 1 : 0;
}

bool UpstreamRelayImpl::knowsAllFlows(const FlowEndpoints &endpoints,
                                      TimePoint now) const {
  if (!HasReport || UncertainFlows.contains(endpoints))
    return false;
  if (Ended || IsLaterLifetime)
    return true;
  if (LastReport.StartedAtMs + JointStartMs >= Options.StartedAtMs &&
      FirstSequence <= MaxFirstSequence)
    return true;
  // Flows that have been idle for longer are forgotten anyway.
  return RunningSince && now - *RunningSince >= Options.FlowIdleTimeout;
}

void UpstreamRelayImpl::onFlowQuery(const FlowQuery &message,
                                    const Endpoint &balancer, TimePoint now,
                                    RelayOutput &out) {
  // If the service differs, the agent's address belonged to an upstream of that
  // service earlier, which has ended with all of its flows.
  const bool isSameService = message.ServiceName == Service;
  FlowsNotHeld negative;
  negative.Load = load();
  for (const FlowEndpoints &it : message.Flows) {
    const Flow *flow = find(it);
    if (isSameService && flow != nullptr && flow->AcceptedByUpstream) {
      sendMessage(balancer,
                  FlowHeld{it.Caller, it.Service, flow->FirstSequence, load()},
                  out);
      continue;
    }
    negative.Flows.push_back(
        {it, !isSameService ||
                 (flow == nullptr &&
                  (knowsAllFlows(it, now) || NotHeldFlows.contains(it, now)))});
  }
  if (!negative.Flows.empty())
    sendMessage(balancer, std::move(negative), out);
}

UpstreamLoad UpstreamRelayImpl::load() const {
  const auto clamp = [](std::size_t n) {
    return static_cast<std::uint16_t>(std::min<std::size_t>(n, 0xFFFF));
  };
  // A time below 1 ms is stated as 1 ms, because 0 means that it is not stated.
  const std::size_t serviceTimeMs =
      Options.ReportsServiceTime && ServiceTimeMs > 0
          ? static_cast<std::size_t>(std::max(ServiceTimeMs, 1.0))
          : 0;
  return {clamp(BusyFlows), clamp(Flows.size() - ClosedFlows),
          clamp(LastReport.Slots), clamp(serviceTimeMs)};
}

LocalUpstreamState UpstreamRelayImpl::state(TimePoint now) const {
  if (!HasReport)
    return LocalUpstreamState::Waiting;
  if (Ended)
    return LocalUpstreamState::Ended;
  if (LastReport.Draining)
    return LocalUpstreamState::Draining;
  if (now - LastReportAt >= Options.ReportTimeout)
    return LocalUpstreamState::Silent;
  return LocalUpstreamState::Accepting;
}

bool UpstreamRelayImpl::mayBeOfNewLifetime(const Flow &flow,
                                           TimePoint now) const {
  // No report of an earlier lifetime has arrived since the flow opened. The
  // first report of an overloaded upstream may be late by any time.
  if (!HasReport || flow.AcceptedAt >= LastReportAt)
    return true;
  return now - flow.AcceptedAt < FirstReportDelay;
}

ReportResult UpstreamRelayImpl::onReport(const UpstreamReport &report,
                                         TimePoint now) {
  if (report.Service != Options.Service || report.Address != Options.Upstream)
    return ReportResult::Mismatched;
  const bool isNew = !HasReport || report.StartedAtMs > LastReport.StartedAtMs;
  // A delayed report must not restore an earlier lifetime, nor the state before
  // a drain.
  if (!isNew &&
      (report.StartedAtMs < LastReport.StartedAtMs ||
       report.Id != LastReport.Id || report.Sequence <= LastReport.Sequence))
    return ReportResult::Outdated;
  if (isNew) {
    IsLaterLifetime = HasReport;
    if (!HasReport)
      FirstSequence = report.Sequence;
    UncertainFlows.clear();
    NotHeldFlows.clear();
    for (const auto &[endpoints, flow] : Flows)
      if (flow.AcceptedByUpstream && mayBeOfNewLifetime(flow, now))
        UncertainFlows.insert(endpoints);
    Flows.clear();
    ClosedFlows = 0;
    PendingOpens.clear();
    BusyFlows = 0;
    ServiceTimeMs = 0;
    Ended = false;
  }
  const bool drained = !isNew && LastReport.Draining;
  LastReport = report;
  LastReport.Draining = report.Draining || drained;
  HasReport = true;
  LastReportAt = now;
  UnansweredUntil = {};
  ColdUntil = now + report.ColdStartRemaining;
  return ReportResult::Accepted;
}

bool UpstreamRelayImpl::onUpstreamEnded(std::string_view id) {
  if (!HasReport || LastReport.Id != id)
    return false;
  Ended = true;
  return true;
}

/// Sliding-window rate limit: returns whether a cold upstream may get one more
/// first packet now.
bool UpstreamRelayImpl::isWithinColdRateLimit(TimePoint now) {
  if (!mayBeCold(now) || ColdMilliflowsPerSecond == UnlimitedColdRate)
    return true;
  while (!ColdOpens.empty() && now - ColdOpens.front() >= ColdWindow)
    ColdOpens.pop_front();
  const double flowLimit =
      ColdMilliflowsPerSecond / 1000.0 * Options.ColdOvershoot +
      Options.ColdSlack;
  return static_cast<double>(ColdOpens.size()) + 1 <= flowLimit;
}

void UpstreamRelayImpl::expireBusyFlows(TimePoint now) {
  for (auto &[endpoints, flow] : Flows) {
    const Duration limit = flow.HasData ? RequestTimeout : FirstRequestTimeout;
    if (flow.Busy && now - flow.BusySince >= limit)
      setBusy(flow, false, now);
  }
}

/// Returns how long balancers should send no new flow, or nullopt if the
/// upstream accepts a new flow now.
std::optional<Duration> UpstreamRelayImpl::declineDelay(std::uint8_t attempt,
                                                        TimePoint now) {
  const LocalUpstreamState current = state(now);
  const bool isWaiting = current == LocalUpstreamState::Waiting;
  if (isWaiting && !acceptsBeforeReport(now))
    return FirstReportRetryDelay;
  if ((current != LocalUpstreamState::Accepting && !isWaiting) || Withdrawn)
    return UnavailableRetryDelay;
  if (now < UnansweredUntil)
    return UnansweredUntil - now;
  if (Flows.size() >= Options.MaxFlows)
    return OverloadRetryDelay;
  if (!isWithinColdRateLimit(now)) {
    // If the limit is less than one flow, there is no earlier flow whose expiry
    // could be awaited.
    const TimePoint end = HasReport ? ColdUntil : now + FirstReportRetryDelay;
    const TimePoint free =
        ColdOpens.empty() ? end : ColdOpens.front() + ColdWindow;
    return std::min(free, end) - now;
  }
  // On its first attempt, a flow is declined as soon as it would have to wait
  // for a slot, because the balancer may find a less loaded upstream. On later
  // attempts the flow is accepted up to requestsPerSlotLimit().
  const double allowed =
      LastReport.Slots * (attempt == 0 ? 1 : requestsPerSlotLimit());
  if (BusyFlows >= allowed)
    expireBusyFlows(now);
  if (BusyFlows >= allowed)
    return BusyRetryDelay;
  return std::nullopt;
}

void UpstreamRelayImpl::returnToBalancer(ReturnReason reason,
                                         std::uint8_t attempt,
                                         Duration retryAfter, Bytes packet,
                                         const Endpoint &balancer,
                                         RelayOutput &out) {
  ++(reason == ReturnReason::NotHeld ? Counts.NotHeld : Counts.Declined);
  ReturnedPacket message;
  message.Reason = reason;
  message.Attempt = attempt;
  message.RetryAfterMs = static_cast<std::uint16_t>(
      std::clamp<Duration::rep>(retryAfter.count(), 0, 0xFFFF));
  message.Load = load();
  message.Packet = std::move(packet);
  sendMessage(balancer, std::move(message), out);
}

void UpstreamRelayImpl::deliver(Bytes packet, SentPacket origin,
                                RelayOutput &out) {
  // A tag of 0 marks a packet that no agent has tagged.
  if (++LastTag == 0)
    LastTag = 1;
  origin.Tag = LastTag;
  SentPackets[LastTag % SentPacketCapacity] = std::move(origin);
  Format.setTag(packet, LastTag);
  ++Counts.Delivered;
  out.Datagrams.push_back({Options.Upstream, std::move(packet)});
}

void UpstreamRelayImpl::passOn(const FlowEndpoints &endpoints,
                               ChainedPacket message, RelayOutput &out) {
  ++Counts.NotHeld;
  sendMessage(message.OriginBalancer, FlowsNotHeld{load(), {{endpoints, true}}},
              out);
  if (message.NextAgents.empty())
    return;
  const Endpoint next = message.NextAgents.front();
  message.NextAgents.erase(message.NextAgents.begin());
  sendMessage(next, std::move(message), out);
}

void UpstreamRelayImpl::onOpen(RelayedPacket message, const FlowPacket &packet,
                               const Endpoint &balancer, TimePoint now,
                               RelayOutput &out) {
  const FlowEndpoints endpoints{packet.Source, packet.Destination};
  Flow *known = find(endpoints);
  const bool isCopy =
      known != nullptr &&
      known->OpeningSequence.value_or(packet.Sequence) == packet.Sequence;
  if (isCopy) {
    // The upstream may open the flow, so what it returned before no longer
    // counts.
    NotHeldFlows.remove(endpoints);
    known->OpeningSequence = packet.Sequence;
    known->Balancer = balancer;
    known->LastPacketAt = now;
    known->HolderReported = false;
    return deliver(std::move(message.Packet),
                   {.Balancer = balancer, .Attempt = message.Attempt}, out);
  }
  ColdMilliflowsPerSecond = message.ColdMilliflowsPerSecond;
  if (const auto wait = declineDelay(message.Attempt, now))
    return returnToBalancer(ReturnReason::Declined, message.Attempt, *wait,
                            std::move(message.Packet), balancer, out);
  if (mayBeCold(now))
    ColdOpens.push_back(now);
  if (known != nullptr) {
    erase(endpoints);
    removePendingOpen(endpoints);
  }
  NotHeldFlows.remove(endpoints);
  Flow &flow = insert(endpoints, now);
  flow.OpeningSequence = packet.Sequence;
  flow.Balancer = balancer;
  // The flow counts as busy because its first request is expected.
  setBusy(flow, true, now);
  PendingOpens.push_back(
      {endpoints, balancer, message.Attempt, message.Packet, now});
  deliver(std::move(message.Packet),
          {.Balancer = balancer, .Attempt = message.Attempt}, out);
}

bool UpstreamRelayImpl::isOtherConnection(const Flow &flow,
                                          const FlowPacket &packet) {
  return packet.Acknowledges && flow.FirstSequence != 0 &&
         packet.Acknowledgement - flow.FirstAcknowledgement >
             SequenceWindowBytes;
}

void UpstreamRelayImpl::advanceAcknowledgement(Flow &flow,
                                               std::uint32_t dataEnd) {
  const std::uint32_t ahead = dataEnd - flow.FirstAcknowledgement;
  if (ahead > SequenceWindowBytes / 2 && ahead <= SequenceWindowBytes)
    flow.FirstAcknowledgement = dataEnd - SequenceWindowBytes / 2;
}

void UpstreamRelayImpl::recordCallerPacket(const FlowEndpoints &endpoints,
                                           const FlowPacket &packet,
                                           const Endpoint &balancer,
                                           bool wantsFlowHeld, TimePoint now,
                                           RelayOutput &out) {
  Flow *flow = find(endpoints);
  // After a restart, the agent does not know which flows its upstream holds.
  // The upstream returns packets of flows that it does not hold.
  if (flow == nullptr && !packet.Resets)
    flow = &insert(endpoints, now);
  if (flow != nullptr) {
    flow->LastPacketAt = now;
    if (flow->Balancer != balancer)
      flow->HolderReported = false;
    flow->Balancer = balancer;
    setClosed(*flow, packet.Ends, false);
    recordRequest(*flow, packet, now);
    // A restarted balancer has lost its record of the holder, and the upstream
    // may have no packet to send that would trigger a FlowHeld message.
    if (wantsFlowHeld && flow->AcceptedByUpstream)
      sendFlowHeld(*flow, endpoints, out);
    if (packet.Resets)
      erase(endpoints);
  }
  // The caller no longer waits for an answer to its first packet, so a missing
  // answer says nothing about the upstream.
  if (packet.Resets)
    removePendingOpen(endpoints);
}

void UpstreamRelayImpl::onRelayedPacket(RelayedPacket message,
                                        const Endpoint &balancer, TimePoint now,
                                        RelayOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(message.Packet);
  if (!packet) {
    ++Counts.Malformed;
    return;
  }
  // The agent's address may earlier have belonged to an upstream of another
  // service, and a balancer with an old table still uses it.
  if (message.Service != Service)
    return returnToBalancer(packet->Opens ? ReturnReason::Declined
                                          : ReturnReason::NotHeld,
                            message.Attempt, UnavailableRetryDelay,
                            std::move(message.Packet), balancer, out);
  if (packet->Opens)
    return onOpen(std::move(message), *packet, balancer, now, out);
  const FlowEndpoints endpoints{packet->Source, packet->Destination};
  if (const Flow *flow = find(endpoints);
      flow != nullptr && isOtherConnection(*flow, *packet))
    return returnToBalancer(ReturnReason::NotHeld, message.Attempt, {},
                            std::move(message.Packet), balancer, out);
  recordCallerPacket(endpoints, *packet, balancer, message.WantsFlowHeld, now,
                     out);
  deliver(std::move(message.Packet),
          {.Balancer = balancer, .Attempt = message.Attempt}, out);
}

void UpstreamRelayImpl::onChainedPacket(ChainedPacket message,
                                        const Endpoint &sender, TimePoint now,
                                        RelayOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(message.Packet);
  // Only an existing flow is searched for: a first packet in a chain would pass
  // the admission of new flows.
  if (!packet || packet->Opens) {
    ++Counts.Malformed;
    return;
  }
  if (message.OriginBalancer.Port == 0)
    message.OriginBalancer = sender;
  const FlowEndpoints endpoints{packet->Source, packet->Destination};
  const Flow *flow = find(endpoints);
  const bool isCertainlyNotHeld =
      message.Service != Service ||
      (flow == nullptr ? knowsAllFlows(endpoints, now) ||
                             NotHeldFlows.contains(endpoints, now)
                       : isOtherConnection(*flow, *packet));
  if (isCertainlyNotHeld)
    return passOn(endpoints, std::move(message), out);
  recordCallerPacket(endpoints, *packet, message.OriginBalancer, true, now,
                     out);
  deliver(std::move(message.Packet),
          {.Balancer = message.OriginBalancer,
           .IsChained = true,
           .NextAgents = std::move(message.NextAgents)},
          out);
}

void UpstreamRelayImpl::onReturnedByUpstream(const FlowPacket &packet,
                                             std::span<const std::byte> buf,
                                             TimePoint now, RelayOutput &out) {
  const FlowEndpoints endpoints{packet.Source, packet.Destination};
  SentPacket &sent = SentPackets[packet.Tag % SentPacketCapacity];
  if (packet.Tag == 0 || sent.Tag != packet.Tag) {
    // The entry of the tag has been reused, so the sender of the packet is
    // unknown. The caller will retransmit the packet.
    ++Counts.Malformed;
    return;
  }
  Bytes copy(buf.begin(), buf.end());
  Format.clearTagAndReturned(copy);
  // If the agent has seen the flow open or be accepted, the packet may belong
  // to an earlier connection with the same endpoints.
  const Flow *flow = find(endpoints);
  if (!packet.Opens && (flow == nullptr ||
                        (!flow->AcceptedByUpstream && !flow->OpeningSequence)))
    NotHeldFlows.add(endpoints, now);
  erase(endpoints);
  UncertainFlows.erase(endpoints);
  removePendingOpen(endpoints);
  if (packet.Opens)
    returnToBalancer(ReturnReason::Declined, sent.Attempt, OverloadRetryDelay,
                     std::move(copy), sent.Balancer, out);
  else if (sent.IsChained)
    passOn(
        endpoints,
        {Service, sent.Balancer, std::move(sent.NextAgents), std::move(copy)},
        out);
  else
    returnToBalancer(ReturnReason::NotHeld, sent.Attempt, {}, std::move(copy),
                     sent.Balancer, out);
}

void UpstreamRelayImpl::recordUpstreamPacket(Flow &flow,
                                             const FlowEndpoints &endpoints,
                                             const FlowPacket &packet,
                                             TimePoint now, RelayOutput &out) {
  using Kind = RelayOutput::Timing::Kind;
  flow.LastPacketAt = now;
  if (packet.Opens) {
    flow.FirstSequence = flow.FirstAcknowledgement = packet.Sequence;
    if (!flow.AcceptedByUpstream && flow.Busy)
      out.Timings.push_back({Kind::Open, now - flow.BusySince});
  }
  if (packet.DataBytes > 0) {
    advanceAcknowledgement(flow, packet.Sequence + packet.DataBytes);
    if (flow.Busy && flow.HasData) {
      out.Timings.push_back({Kind::Answer, now - flow.BusySince});
      recordAnswerTime(flow, now - flow.BusySince);
    }
    setBusy(flow, false, now);
  }
  setClosed(flow, false, packet.Ends);
  if (!flow.AcceptedByUpstream) {
    flow.AcceptedByUpstream = true;
    flow.AcceptedAt = now;
    removePendingOpen(endpoints);
  }
  if (!flow.HolderReported && flow.Balancer.Port != 0)
    sendFlowHeld(flow, endpoints, out);
}

void UpstreamRelayImpl::sendFlowHeld(Flow &flow, const FlowEndpoints &endpoints,
                                     RelayOutput &out) {
  flow.HolderReported = true;
  sendMessage(
      flow.Balancer,
      FlowHeld{endpoints.Caller, endpoints.Service, flow.FirstSequence, load()},
      out);
}

void UpstreamRelayImpl::onUpstreamPacket(std::span<const std::byte> buf,
                                         TimePoint now, RelayOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(buf);
  if (!packet) {
    ++Counts.Malformed;
    return;
  }
  IsUpstreamSeen = true;
  if (packet->Returned)
    return onReturnedByUpstream(*packet, buf, now, out);
  const FlowEndpoints endpoints{packet->Destination, packet->Source};
  NotHeldFlows.remove(endpoints);
  if (Flow *flow = find(endpoints))
    recordUpstreamPacket(*flow, endpoints, *packet, now, out);
  else if (!packet->Resets)
    recordUpstreamPacket(insert(endpoints, now), endpoints, *packet, now, out);
  if (packet->Resets)
    erase(endpoints);
  ++Counts.Answered;
  out.Datagrams.push_back({{packet->Destination.Address, Options.CallerPort},
                           Bytes(buf.begin(), buf.end())});
}

void UpstreamRelayImpl::tick(TimePoint now, RelayOutput &out) {
  if (!RunningSince)
    RunningSince = now;
  while (!PendingOpens.empty() &&
         now - PendingOpens.front().DeliveredAt >= Options.OpenTimeout) {
    PendingOpen it = std::move(PendingOpens.front());
    PendingOpens.pop_front();
    // The upstream has neither accepted nor returned the first packet, so it
    // may hang or have crashed. If it still answers later, the balancer may
    // have placed the flow on another upstream too; the caller then continues
    // with one of the two connections.
    UnansweredUntil = now + OverloadRetryDelay;
    erase(it.Endpoints);
    returnToBalancer(ReturnReason::Declined, it.Attempt, OverloadRetryDelay,
                     std::move(it.Packet), it.Balancer, out);
  }
  constexpr Duration SweepInterval{250};
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  expireBusyFlows(now);
  absl::erase_if(Flows, [&](auto &it) {
    Flow &flow = it.second;
    const Duration idle = now - flow.LastPacketAt;
    const bool isOver = idle >= Options.FlowIdleTimeout ||
                        (isClosed(flow) && idle >= ClosedFlowRetention);
    if (isOver) {
      setBusy(flow, false, now);
      ClosedFlows -= isClosed(flow) ? 1 : 0;
    }
    return isOver;
  });
}

} // namespace

std::unique_ptr<UpstreamRelay> makeUpstreamRelay(UpstreamRelayOptions options,
                                                 const PacketFormat &format) {
  return std::make_unique<UpstreamRelayImpl>(std::move(options), format);
}

std::string_view nameOf(LocalUpstreamState state) {
  switch (state) {
  case LocalUpstreamState::Waiting:
    return "waiting";
  case LocalUpstreamState::Accepting:
    return "accepting";
  case LocalUpstreamState::Draining:
    return "draining";
  case LocalUpstreamState::Silent:
    return "silent";
  case LocalUpstreamState::Ended:
    return "ended";
  }
  return "other";
}

} // namespace pistachio
