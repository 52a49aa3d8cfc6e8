#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <array>
#include <deque>

namespace pistachio {
namespace {

/// Packets that may be with the upstream at the same time and still be traced
/// when it gives them back; a power of two below the 32 bits of a tag.
constexpr std::uint32_t ReturnTagSlots = 4096;

/// Sequence numbers further away belong to another numbering of the flow.
constexpr std::uint32_t SequenceWindow = 16U * 1024 * 1024;

/// Window of the cold bound, with a margin for the way to the upstream.
constexpr Duration ColdWindow{1050};

/// How long a balancer offers no new flow after a refusal.
constexpr Duration WithdrawnRetryDelay{2000};
constexpr Duration BusyRetryDelay{20};
constexpr Duration UnansweredRetryDelay{500};

/// An upstream that runs this many requests a slot gets no new flow; its queue
/// would delay the flow beyond the delay of another upstream.
constexpr std::uint32_t MaxRequestsPerSlot = 4;

/// A request without an answer for this long no longer counts as work; the
/// caller has given up or the answer was lost.
constexpr Duration RequestTimeout{1000};

/// A flow that has just opened counts as work for this long until its request
/// comes: some round trips to callers.
constexpr Duration FirstRequestTimeout{50};

/// A flow that both ends have closed is kept this long for packets sent again.
constexpr Duration ClosedFlowRetention{3000};

struct Flow {
  Endpoint Balancer;
  /// First sequence number of the upstream; 0 if not seen.
  std::uint32_t FirstSequence = 0;
  TimePoint LastPacketAt{};
  TimePoint BusySince{};
  /// End of the caller's data that has been seen.
  std::uint32_t CallerDataEnd = 0;
  bool HasData = false;
  bool Busy = false;
  /// The upstream has sent a packet of the flow.
  bool AcceptedByUpstream = false;
  /// The balancer that sends the flow's packets knows that it is held here.
  bool HolderReported = false;
  bool CallerClosed = false;
  bool UpstreamClosed = false;
};

/// A first packet that waits for the upstream's answer.
struct PendingOpen {
  FlowEndpoints Endpoints;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
  Bytes Packet;
  TimePoint DeliveredAt{};
};

struct SentPacket {
  std::uint32_t Tag = 0;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
};

class UpstreamRelayImpl final : public UpstreamRelay {
public:
  UpstreamRelayImpl(UpstreamRelayOptions options, const PacketFormat &format)
      : Options(std::move(options)), Format(format),
        Service(makeServiceTag(Options.Service)), SentPackets(ReturnTagSlots) {}

  void onRelayedPacket(RelayedPacket message, const Endpoint &balancer,
                       TimePoint now, UpstreamRelayOutput &out) override;
  void onUpstreamPacket(std::span<const std::byte> buf, TimePoint now,
                        UpstreamRelayOutput &out) override;
  void tick(TimePoint now, UpstreamRelayOutput &out) override;
  void setUpstreamWithdrawn(bool withdrawn) override { Withdrawn = withdrawn; }

  ReportResult onReport(const UpstreamReport &report, TimePoint now) override;
  bool onUpstreamEnded(std::string_view id) override;

  LocalUpstreamState state(TimePoint now) const override;
  std::uint64_t startedAtMs() const override { return LastReport.StartedAtMs; }
  UpstreamLoad load() const override;
  const UpstreamRelayCounters &counters() const override { return Counters; }

private:
  void onOpen(RelayedPacket message, const FlowPacket &packet,
              const Endpoint &balancer, TimePoint now,
              UpstreamRelayOutput &out);
  std::optional<Duration> refusalDelay(std::uint8_t attempt, TimePoint now);
  bool isWithinColdBound(TimePoint now);
  void deliverToUpstream(RelayedPacket &message, const Endpoint &balancer,
                         UpstreamRelayOutput &out);
  void returnToBalancer(ReturnReason reason, std::uint8_t attempt,
                        Duration retryAfter, Bytes packet,
                        const Endpoint &balancer, UpstreamRelayOutput &out);
  void onReturnedByUpstream(const FlowPacket &packet,
                            std::span<const std::byte> buf,
                            UpstreamRelayOutput &out);
  void recordUpstreamPacket(Flow &flow, const FlowEndpoints &endpoints,
                            const FlowPacket &packet, TimePoint now,
                            UpstreamRelayOutput &out);
  void sendFlowHeld(Flow &flow, const FlowEndpoints &endpoints,
                    UpstreamRelayOutput &out);
  void setBusy(Flow &flow, bool busy, TimePoint now);
  /// Work that nobody waits for any more.
  void expireBusyFlows(TimePoint now);
  void recordRequest(Flow &flow, const FlowPacket &packet, TimePoint now);
  void eraseFlow(const FlowEndpoints &endpoints);
  Flow *findFlow(const FlowEndpoints &endpoints);
  Flow &insertFlow(const FlowEndpoints &endpoints, TimePoint now);

  UpstreamRelayOptions Options;
  const PacketFormat &Format;
  ServiceTag Service;

  UpstreamReport LastReport;
  bool HasReport = false;
  bool Ended = false;
  bool Withdrawn = false;
  TimePoint LastReportAt{};
  TimePoint ColdUntil{};
  /// As the latest first packet states it.
  std::uint32_t ColdMilliPerSecond = NoColdBound;
  std::deque<TimePoint> ColdOpens;
  /// The upstream has left first packets without an answer.
  TimePoint UnansweredUntil{};

  absl::flat_hash_map<FlowEndpoints, Flow, std::hash<FlowEndpoints>> Flows;
  std::deque<PendingOpen> PendingOpens;
  std::vector<SentPacket> SentPackets;
  std::uint32_t LastTag = 0;
  std::uint32_t BusyFlows = 0;
  TimePoint LastSweep{};
  UpstreamRelayCounters Counters;
};

Flow *UpstreamRelayImpl::findFlow(const FlowEndpoints &endpoints) {
  const auto it = Flows.find(endpoints);
  return it == Flows.end() ? nullptr : &it->second;
}

Flow &UpstreamRelayImpl::insertFlow(const FlowEndpoints &endpoints,
                                    TimePoint now) {
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

/// Data that is sent again is no new work.
void UpstreamRelayImpl::recordRequest(Flow &flow, const FlowPacket &packet,
                                      TimePoint now) {
  if (packet.DataBytes == 0)
    return;
  const std::uint32_t end = packet.Sequence + packet.DataBytes;
  const std::uint32_t ahead = end - flow.CallerDataEnd;
  if (flow.HasData && (ahead == 0 || ahead > SequenceWindow))
    return;
  flow.HasData = true;
  flow.CallerDataEnd = end;
  setBusy(flow, true, now);
}

void UpstreamRelayImpl::eraseFlow(const FlowEndpoints &endpoints) {
  const auto it = Flows.find(endpoints);
  if (it == Flows.end())
    return;
  setBusy(it->second, false, {});
  Flows.erase(it);
}

UpstreamLoad UpstreamRelayImpl::load() const {
  const auto clamp = [](std::size_t n) {
    return static_cast<std::uint16_t>(std::min<std::size_t>(n, 0xFFFF));
  };
  return {clamp(BusyFlows), clamp(Flows.size()), clamp(LastReport.Slots)};
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

ReportResult UpstreamRelayImpl::onReport(const UpstreamReport &report,
                                         TimePoint now) {
  if (report.Service != Options.Service || report.Address != Options.Upstream)
    return ReportResult::Mismatched;
  const bool isNew = !HasReport || report.StartedAtMs > LastReport.StartedAtMs;
  // A report that was delayed must not bring back an earlier lifetime, nor the
  // state before a drain.
  if (!isNew &&
      (report.StartedAtMs < LastReport.StartedAtMs ||
       report.Id != LastReport.Id || report.Sequence <= LastReport.Sequence))
    return ReportResult::Outdated;
  if (isNew) {
    Flows.clear();
    PendingOpens.clear();
    BusyFlows = 0;
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

bool UpstreamRelayImpl::isWithinColdBound(TimePoint now) {
  if (now >= ColdUntil || ColdMilliPerSecond == NoColdBound)
    return true;
  while (!ColdOpens.empty() && now - ColdOpens.front() >= ColdWindow)
    ColdOpens.pop_front();
  const double bound =
      ColdMilliPerSecond / 1000.0 * Options.ColdOvershoot + Options.ColdSlack;
  return static_cast<double>(ColdOpens.size()) + 1 <= bound;
}

void UpstreamRelayImpl::expireBusyFlows(TimePoint now) {
  for (auto &[endpoints, flow] : Flows) {
    const Duration limit = flow.HasData ? RequestTimeout : FirstRequestTimeout;
    if (flow.Busy && now - flow.BusySince >= limit)
      setBusy(flow, false, now);
  }
}

/// How long balancers should offer nothing, or nothing if the upstream takes a
/// new flow.
std::optional<Duration> UpstreamRelayImpl::refusalDelay(std::uint8_t attempt,
                                                        TimePoint now) {
  if (state(now) != LocalUpstreamState::Accepting || Withdrawn)
    return WithdrawnRetryDelay;
  if (now < UnansweredUntil)
    return UnansweredUntil - now;
  if (Flows.size() >= Options.MaxFlows)
    return UnansweredRetryDelay;
  if (!isWithinColdBound(now)) {
    // A bound below one flow has no earlier flow to wait for.
    const TimePoint free =
        ColdOpens.empty() ? ColdUntil : ColdOpens.front() + ColdWindow;
    return std::min(free, ColdUntil) - now;
  }
  // The first agent asked passes a flow on as soon as it would wait; the
  // balancer may know a less loaded one. Later ones take it if they can.
  const std::uint32_t allowed = attempt == 0 ? 1 : MaxRequestsPerSlot;
  if (BusyFlows >= LastReport.Slots * allowed)
    expireBusyFlows(now);
  if (BusyFlows >= LastReport.Slots * allowed)
    return BusyRetryDelay;
  return std::nullopt;
}

void UpstreamRelayImpl::returnToBalancer(ReturnReason reason,
                                         std::uint8_t attempt,
                                         Duration retryAfter, Bytes packet,
                                         const Endpoint &balancer,
                                         UpstreamRelayOutput &out) {
  ++(reason == ReturnReason::NotHeld ? Counters.NotHeld : Counters.Declined);
  ReturnedPacket message;
  message.Reason = reason;
  message.Attempt = attempt;
  message.RetryAfterMs = static_cast<std::uint16_t>(
      std::clamp<Duration::rep>(retryAfter.count(), 0, 0xFFFF));
  message.Load = load();
  message.Packet = std::move(packet);
  out.Datagrams.push_back({balancer, DataMessage(std::move(message))});
}

void UpstreamRelayImpl::deliverToUpstream(RelayedPacket &message,
                                          const Endpoint &balancer,
                                          UpstreamRelayOutput &out) {
  // 0 marks a packet that no agent has touched.
  if (++LastTag == 0)
    LastTag = 1;
  SentPackets[LastTag % ReturnTagSlots] = {LastTag, balancer, message.Attempt};
  Format.setTag(message.Packet, LastTag);
  ++Counters.Delivered;
  out.Datagrams.push_back({Options.Upstream, std::move(message.Packet)});
}

void UpstreamRelayImpl::onOpen(RelayedPacket message, const FlowPacket &packet,
                               const Endpoint &balancer, TimePoint now,
                               UpstreamRelayOutput &out) {
  const FlowEndpoints endpoints{packet.Source, packet.Destination};
  if (Flow *flow = findFlow(endpoints)) {
    flow->Balancer = balancer;
    flow->LastPacketAt = now;
    flow->HolderReported = false;
    return deliverToUpstream(message, balancer, out);
  }
  ColdMilliPerSecond = message.ColdMilliPerSecond;
  if (const auto wait = refusalDelay(message.Attempt, now))
    return returnToBalancer(ReturnReason::Declined, message.Attempt, *wait,
                            std::move(message.Packet), balancer, out);
  if (now < ColdUntil)
    ColdOpens.push_back(now);
  Flow &flow = insertFlow(endpoints, now);
  flow.Balancer = balancer;
  // Its request is on the way.
  setBusy(flow, true, now);
  PendingOpens.push_back(
      {endpoints, balancer, message.Attempt, message.Packet, now});
  deliverToUpstream(message, balancer, out);
}

void UpstreamRelayImpl::onRelayedPacket(RelayedPacket message,
                                        const Endpoint &balancer, TimePoint now,
                                        UpstreamRelayOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(message.Packet);
  if (!packet) {
    ++Counters.Malformed;
    return;
  }
  // The address may have belonged to an upstream of another service.
  if (message.Service != Service)
    return returnToBalancer(packet->Opens ? ReturnReason::Declined
                                          : ReturnReason::NotHeld,
                            message.Attempt, WithdrawnRetryDelay,
                            std::move(message.Packet), balancer, out);
  if (packet->Opens)
    return onOpen(std::move(message), *packet, balancer, now, out);
  const FlowEndpoints endpoints{packet->Source, packet->Destination};
  Flow *flow = findFlow(endpoints);
  if (flow != nullptr) {
    const bool isOtherNumbering =
        packet->Acknowledges && flow->FirstSequence != 0 &&
        packet->Acknowledgement - flow->FirstSequence > SequenceWindow;
    if (isOtherNumbering)
      return returnToBalancer(ReturnReason::NotHeld, message.Attempt, {},
                              std::move(message.Packet), balancer, out);
  } else if (!packet->Resets) {
    // An agent that has been restarted does not know which flows its upstream
    // holds; the upstream itself gives back those that it does not.
    flow = &insertFlow(endpoints, now);
  }
  if (flow != nullptr) {
    flow->LastPacketAt = now;
    if (flow->Balancer != balancer)
      flow->HolderReported = false;
    flow->Balancer = balancer;
    flow->CallerClosed = flow->CallerClosed || packet->Ends;
    recordRequest(*flow, *packet, now);
    // A balancer that was restarted has forgotten what it was told, and the
    // upstream may have nothing to send.
    if (message.Asks && flow->AcceptedByUpstream)
      sendFlowHeld(*flow, endpoints, out);
    if (packet->Resets)
      eraseFlow(endpoints);
  }
  deliverToUpstream(message, balancer, out);
}

void UpstreamRelayImpl::onReturnedByUpstream(const FlowPacket &packet,
                                             std::span<const std::byte> buf,
                                             UpstreamRelayOutput &out) {
  const FlowEndpoints endpoints{packet.Source, packet.Destination};
  const SentPacket &sent = SentPackets[packet.Tag % ReturnTagSlots];
  if (packet.Tag == 0 || sent.Tag != packet.Tag) {
    // Too late to know where it came from; the caller sends it again.
    ++Counters.Malformed;
    return;
  }
  Bytes copy(buf.begin(), buf.end());
  Format.clearReturnMarks(copy);
  eraseFlow(endpoints);
  std::erase_if(PendingOpens, [&](const PendingOpen &it) {
    return it.Endpoints == endpoints;
  });
  if (packet.Opens)
    returnToBalancer(ReturnReason::Declined, sent.Attempt, UnansweredRetryDelay,
                     std::move(copy), sent.Balancer, out);
  else
    returnToBalancer(ReturnReason::NotHeld, sent.Attempt, {}, std::move(copy),
                     sent.Balancer, out);
}

void UpstreamRelayImpl::recordUpstreamPacket(Flow &flow,
                                             const FlowEndpoints &endpoints,
                                             const FlowPacket &packet,
                                             TimePoint now,
                                             UpstreamRelayOutput &out) {
  using Kind = UpstreamRelayOutput::Timing::Kind;
  flow.LastPacketAt = now;
  if (packet.Opens) {
    flow.FirstSequence = packet.Sequence;
    if (!flow.AcceptedByUpstream && flow.Busy)
      out.Timings.push_back({Kind::Open, now - flow.BusySince});
  }
  if (packet.DataBytes > 0) {
    if (flow.Busy && flow.HasData)
      out.Timings.push_back({Kind::Answer, now - flow.BusySince});
    setBusy(flow, false, now);
  }
  flow.UpstreamClosed = flow.UpstreamClosed || packet.Ends;
  if (!flow.AcceptedByUpstream) {
    flow.AcceptedByUpstream = true;
    std::erase_if(PendingOpens, [&](const PendingOpen &it) {
      return it.Endpoints == endpoints;
    });
  }
  if (!flow.HolderReported && flow.Balancer.Port != 0)
    sendFlowHeld(flow, endpoints, out);
}

void UpstreamRelayImpl::sendFlowHeld(Flow &flow, const FlowEndpoints &endpoints,
                                     UpstreamRelayOutput &out) {
  flow.HolderReported = true;
  out.Datagrams.push_back(
      {flow.Balancer, DataMessage(FlowHeld{endpoints.Caller, endpoints.Service,
                                           flow.FirstSequence, load()})});
}

void UpstreamRelayImpl::onUpstreamPacket(std::span<const std::byte> buf,
                                         TimePoint now,
                                         UpstreamRelayOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(buf);
  if (!packet) {
    ++Counters.Malformed;
    return;
  }
  if (packet->Returned)
    return onReturnedByUpstream(*packet, buf, out);
  const FlowEndpoints endpoints{packet->Destination, packet->Source};
  if (Flow *flow = findFlow(endpoints))
    recordUpstreamPacket(*flow, endpoints, *packet, now, out);
  else if (!packet->Resets)
    recordUpstreamPacket(insertFlow(endpoints, now), endpoints, *packet, now,
                         out);
  if (packet->Resets)
    eraseFlow(endpoints);
  ++Counters.Answered;
  out.Datagrams.push_back({{packet->Destination.Address, Options.CallerPort},
                           Bytes(buf.begin(), buf.end())});
}

void UpstreamRelayImpl::tick(TimePoint now, UpstreamRelayOutput &out) {
  while (!PendingOpens.empty() &&
         now - PendingOpens.front().DeliveredAt >= Options.OpenTimeout) {
    PendingOpen it = std::move(PendingOpens.front());
    PendingOpens.pop_front();
    // The upstream has neither taken the flow nor given it back: it hangs or
    // has crashed. It may still answer; the caller then chooses.
    UnansweredUntil = now + UnansweredRetryDelay;
    eraseFlow(it.Endpoints);
    returnToBalancer(ReturnReason::Declined, it.Attempt, UnansweredRetryDelay,
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
    const bool isClosed = flow.CallerClosed && flow.UpstreamClosed;
    const bool isOver = idle >= Options.FlowIdleTimeout ||
                        (isClosed && idle >= ClosedFlowRetention);
    if (isOver)
      setBusy(flow, false, now);
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
