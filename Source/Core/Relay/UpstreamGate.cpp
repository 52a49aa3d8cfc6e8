#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <array>
#include <deque>

namespace pistachio {
namespace {

/// Packets that may be with the upstream at the same time and still be traced
/// when it gives them back; a power of two below the 32 bits of a tag.
constexpr std::uint32_t TagSlots = 4096;

/// Sequence numbers further away belong to another numbering of the flow.
constexpr std::uint32_t SequenceWindow = 16U * 1024 * 1024;

/// Window of the cold bound, with a margin for the way to the upstream.
constexpr Duration ColdWindow{1050};

/// How long a balancer offers no new flow after a refusal.
constexpr Duration WithdrawnRetry{2000};
constexpr Duration BusyRetry{20};
constexpr Duration UnansweredRetry{500};

/// An upstream that runs this many requests a slot gets no new flow; its queue
/// would delay the flow beyond the delay of another upstream.
constexpr std::uint32_t MaxBusyPerSlot = 4;

/// A request without an answer for this long no longer counts as work; the
/// caller has given up or the answer was lost.
constexpr Duration BusyTimeout{1000};

/// A flow that has just opened counts as work for this long until its request
/// comes: some round trips to callers.
constexpr Duration OpenBusyTimeout{50};

/// A flow that both ends have closed is kept this long for packets sent again.
constexpr Duration ClosedLinger{3000};

struct Flow {
  Endpoint Balancer;
  /// First sequence number of the upstream; 0 if not seen.
  std::uint32_t FirstSequence = 0;
  TimePoint SeenAt{};
  TimePoint BusySince{};
  /// End of the caller's data that has been seen.
  std::uint32_t CallerEnd = 0;
  bool HasData = false;
  bool Busy = false;
  /// The upstream has sent a packet of the flow.
  bool Held = false;
  /// The balancer that sends the flow's packets knows that it is held here.
  bool Told = false;
  bool CallerEnded = false;
  bool UpstreamEnded = false;
};

/// A first packet that waits for the upstream's answer.
struct PendingOpen {
  FlowEnds Ends;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
  Bytes Packet;
  TimePoint At{};
};

struct SentPacket {
  std::uint32_t Tag = 0;
  Endpoint Balancer;
  std::uint8_t Attempt = 0;
};

class UpstreamGateImpl final : public UpstreamGate {
public:
  UpstreamGateImpl(UpstreamGateOptions options, const PacketFormat &format)
      : Options(std::move(options)), Format(format),
        Service(tagOfService(Options.Service)), Sent(TagSlots) {}

  void onRelayed(RelayedPacket message, const Endpoint &balancer, TimePoint now,
                 GateOutput &out) override;
  void onUpstreamPacket(std::span<const std::byte> buf, TimePoint now,
                        GateOutput &out) override;
  void tick(TimePoint now, GateOutput &out) override;
  void setWithdrawn(bool withdrawn) override { Withdrawn = withdrawn; }

  ReportResult onReport(const UpstreamReport &report, TimePoint now) override;
  bool onLeft(std::string_view id) override;

  GateState state(TimePoint now) const override;
  std::uint64_t bornMs() const override { return Last.BornMs; }
  UpstreamLoad load() const override;
  const GateCounters &counters() const override { return Counts; }

private:
  void onOpen(RelayedPacket message, const FlowPacket &packet,
              const Endpoint &balancer, TimePoint now, GateOutput &out);
  std::optional<Duration> refusal(std::uint8_t attempt, TimePoint now);
  bool isWithinColdBound(TimePoint now);
  void deliver(RelayedPacket &message, const Endpoint &balancer,
               GateOutput &out);
  void giveBack(ReturnReason reason, std::uint8_t attempt, Duration retryAfter,
                Bytes packet, const Endpoint &balancer, GateOutput &out);
  void onGivenBack(const FlowPacket &packet, std::span<const std::byte> buf,
                   GateOutput &out);
  void noteAnswer(Flow &flow, const FlowEnds &ends, const FlowPacket &packet,
                  TimePoint now, GateOutput &out);
  void tellHolder(Flow &flow, const FlowEnds &ends, GateOutput &out);
  void setBusy(Flow &flow, bool busy, TimePoint now);
  /// Work that nobody waits for any more.
  void expireBusy(TimePoint now);
  void noteRequest(Flow &flow, const FlowPacket &packet, TimePoint now);
  void erase(const FlowEnds &ends);
  Flow *find(const FlowEnds &ends);
  Flow &insert(const FlowEnds &ends, TimePoint now);

  UpstreamGateOptions Options;
  const PacketFormat &Format;
  ServiceNameHash Service;

  UpstreamReport Last;
  bool HasReport = false;
  bool Ended = false;
  bool Withdrawn = false;
  TimePoint ReportedAt{};
  TimePoint ColdUntil{};
  /// As the latest first packet states it.
  std::uint32_t ColdMilliPerSecond = UnlimitedColdRate;
  std::deque<TimePoint> ColdOpens;
  /// The upstream has left first packets without an answer.
  TimePoint UnansweredUntil{};

  absl::flat_hash_map<FlowEnds, Flow, std::hash<FlowEnds>> Flows;
  std::deque<PendingOpen> Opening;
  std::vector<SentPacket> Sent;
  std::uint32_t LastTag = 0;
  std::uint32_t BusyFlows = 0;
  TimePoint LastSweep{};
  GateCounters Counts;
};

Flow *UpstreamGateImpl::find(const FlowEnds &ends) {
  const auto it = Flows.find(ends);
  return it == Flows.end() ? nullptr : &it->second;
}

Flow &UpstreamGateImpl::insert(const FlowEnds &ends, TimePoint now) {
  Flow &flow = Flows[ends];
  flow.SeenAt = now;
  return flow;
}

void UpstreamGateImpl::setBusy(Flow &flow, bool busy, TimePoint now) {
  if (busy)
    flow.BusySince = now;
  if (flow.Busy == busy)
    return;
  flow.Busy = busy;
  busy ? ++BusyFlows : --BusyFlows;
}

/// Data that is sent again is no new work.
void UpstreamGateImpl::noteRequest(Flow &flow, const FlowPacket &packet,
                                   TimePoint now) {
  if (packet.DataBytes == 0)
    return;
  const std::uint32_t end = packet.Sequence + packet.DataBytes;
  const std::uint32_t ahead = end - flow.CallerEnd;
  if (flow.HasData && (ahead == 0 || ahead > SequenceWindow))
    return;
  flow.HasData = true;
  flow.CallerEnd = end;
  setBusy(flow, true, now);
}

void UpstreamGateImpl::erase(const FlowEnds &ends) {
  const auto it = Flows.find(ends);
  if (it == Flows.end())
    return;
  setBusy(it->second, false, {});
  Flows.erase(it);
}

UpstreamLoad UpstreamGateImpl::load() const {
  const auto clamp = [](std::size_t n) {
    return static_cast<std::uint16_t>(std::min<std::size_t>(n, 0xFFFF));
  };
  return {clamp(BusyFlows), clamp(Flows.size()), clamp(Last.Slots)};
}

GateState UpstreamGateImpl::state(TimePoint now) const {
  if (!HasReport)
    return GateState::Waiting;
  if (Ended)
    return GateState::Ended;
  if (Last.Draining)
    return GateState::Draining;
  if (now - ReportedAt >= Options.ReportTimeout)
    return GateState::Silent;
  return GateState::Accepting;
}

ReportResult UpstreamGateImpl::onReport(const UpstreamReport &report,
                                        TimePoint now) {
  if (report.Service != Options.Service || report.Address != Options.Upstream)
    return ReportResult::Foreign;
  const bool isNew = !HasReport || report.BornMs > Last.BornMs;
  // A report that was delayed must not bring back an earlier lifetime, nor the
  // state before a drain.
  if (!isNew && (report.BornMs < Last.BornMs || report.Id != Last.Id ||
                 report.Sequence <= Last.Sequence))
    return ReportResult::Outdated;
  if (isNew) {
    Flows.clear();
    Opening.clear();
    BusyFlows = 0;
    Ended = false;
  }
  const bool drained = !isNew && Last.Draining;
  Last = report;
  Last.Draining = report.Draining || drained;
  HasReport = true;
  ReportedAt = now;
  UnansweredUntil = {};
  ColdUntil = now + report.ColdLeft;
  return ReportResult::Accepted;
}

bool UpstreamGateImpl::onLeft(std::string_view id) {
  if (!HasReport || Last.Id != id)
    return false;
  Ended = true;
  return true;
}

bool UpstreamGateImpl::isWithinColdBound(TimePoint now) {
  if (now >= ColdUntil || ColdMilliPerSecond == UnlimitedColdRate)
    return true;
  while (!ColdOpens.empty() && now - ColdOpens.front() >= ColdWindow)
    ColdOpens.pop_front();
  const double bound =
      ColdMilliPerSecond / 1000.0 * Options.ColdOvershoot + Options.ColdSlack;
  return static_cast<double>(ColdOpens.size()) + 1 <= bound;
}

void UpstreamGateImpl::expireBusy(TimePoint now) {
  for (auto &[ends, flow] : Flows) {
    const Duration limit = flow.HasData ? BusyTimeout : OpenBusyTimeout;
    if (flow.Busy && now - flow.BusySince >= limit)
      setBusy(flow, false, now);
  }
}

/// How long balancers should offer nothing, or nothing if the upstream takes a
/// new flow.
std::optional<Duration> UpstreamGateImpl::refusal(std::uint8_t attempt,
                                                  TimePoint now) {
  if (state(now) != GateState::Accepting || Withdrawn)
    return WithdrawnRetry;
  if (now < UnansweredUntil)
    return UnansweredUntil - now;
  if (Flows.size() >= Options.MaxFlows)
    return UnansweredRetry;
  if (!isWithinColdBound(now)) {
    // A bound below one flow has no earlier flow to wait for.
    const TimePoint free =
        ColdOpens.empty() ? ColdUntil : ColdOpens.front() + ColdWindow;
    return std::min(free, ColdUntil) - now;
  }
  // The first agent asked passes a flow on as soon as it would wait; the
  // balancer may know a less loaded one. Later ones take it if they can.
  const std::uint32_t allowed = attempt == 0 ? 1 : MaxBusyPerSlot;
  if (BusyFlows >= Last.Slots * allowed)
    expireBusy(now);
  if (BusyFlows >= Last.Slots * allowed)
    return BusyRetry;
  return std::nullopt;
}

void UpstreamGateImpl::giveBack(ReturnReason reason, std::uint8_t attempt,
                                Duration retryAfter, Bytes packet,
                                const Endpoint &balancer, GateOutput &out) {
  ++(reason == ReturnReason::NotHeld ? Counts.NotHeld : Counts.Declined);
  ReturnedPacket message;
  message.Reason = reason;
  message.Attempt = attempt;
  message.RetryAfterMs = static_cast<std::uint16_t>(
      std::clamp<Duration::rep>(retryAfter.count(), 0, 0xFFFF));
  message.Load = load();
  message.Packet = std::move(packet);
  out.Datagrams.push_back({balancer, DataMessage(std::move(message))});
}

void UpstreamGateImpl::deliver(RelayedPacket &message, const Endpoint &balancer,
                               GateOutput &out) {
  // 0 marks a packet that no agent has touched.
  if (++LastTag == 0)
    LastTag = 1;
  Sent[LastTag % TagSlots] = {LastTag, balancer, message.Attempt};
  Format.setTag(message.Packet, LastTag);
  ++Counts.Delivered;
  out.Datagrams.push_back({Options.Upstream, std::move(message.Packet)});
}

void UpstreamGateImpl::onOpen(RelayedPacket message, const FlowPacket &packet,
                              const Endpoint &balancer, TimePoint now,
                              GateOutput &out) {
  const FlowEnds ends{packet.Source, packet.Destination};
  if (Flow *flow = find(ends)) {
    flow->Balancer = balancer;
    flow->SeenAt = now;
    flow->Told = false;
    return deliver(message, balancer, out);
  }
  ColdMilliPerSecond = message.ColdMilliflowsPerSecond;
  if (const auto wait = refusal(message.Attempt, now))
    return giveBack(ReturnReason::Declined, message.Attempt, *wait,
                    std::move(message.Packet), balancer, out);
  if (now < ColdUntil)
    ColdOpens.push_back(now);
  Flow &flow = insert(ends, now);
  flow.Balancer = balancer;
  // Its request is on the way.
  setBusy(flow, true, now);
  Opening.push_back({ends, balancer, message.Attempt, message.Packet, now});
  deliver(message, balancer, out);
}

void UpstreamGateImpl::onRelayed(RelayedPacket message,
                                 const Endpoint &balancer, TimePoint now,
                                 GateOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(message.Packet);
  if (!packet) {
    ++Counts.Bad;
    return;
  }
  // The address may have belonged to an upstream of another service.
  if (message.Service != Service)
    return giveBack(packet->Opens ? ReturnReason::Declined
                                  : ReturnReason::NotHeld,
                    message.Attempt, WithdrawnRetry, std::move(message.Packet),
                    balancer, out);
  if (packet->Opens)
    return onOpen(std::move(message), *packet, balancer, now, out);
  const FlowEnds ends{packet->Source, packet->Destination};
  Flow *flow = find(ends);
  if (flow != nullptr) {
    const bool isOther =
        packet->Acknowledges && flow->FirstSequence != 0 &&
        packet->Acknowledgement - flow->FirstSequence > SequenceWindow;
    if (isOther)
      return giveBack(ReturnReason::NotHeld, message.Attempt, {},
                      std::move(message.Packet), balancer, out);
  } else if (!packet->Resets) {
    // An agent that has been restarted does not know which flows its upstream
    // holds; the upstream itself gives back those that it does not.
    flow = &insert(ends, now);
  }
  if (flow != nullptr) {
    flow->SeenAt = now;
    if (flow->Balancer != balancer)
      flow->Told = false;
    flow->Balancer = balancer;
    flow->CallerEnded = flow->CallerEnded || packet->Ends;
    noteRequest(*flow, *packet, now);
    // A balancer that was restarted has forgotten what it was told, and the
    // upstream may have nothing to send.
    if (message.WantsFlowHeld && flow->Held)
      tellHolder(*flow, ends, out);
    if (packet->Resets)
      erase(ends);
  }
  deliver(message, balancer, out);
}

void UpstreamGateImpl::onGivenBack(const FlowPacket &packet,
                                   std::span<const std::byte> buf,
                                   GateOutput &out) {
  const FlowEnds ends{packet.Source, packet.Destination};
  const SentPacket &sent = Sent[packet.Tag % TagSlots];
  if (packet.Tag == 0 || sent.Tag != packet.Tag) {
    // Too late to know where it came from; the caller sends it again.
    ++Counts.Bad;
    return;
  }
  Bytes copy(buf.begin(), buf.end());
  Format.clearReturn(copy);
  erase(ends);
  std::erase_if(Opening,
                [&](const PendingOpen &it) { return it.Ends == ends; });
  if (packet.Opens)
    giveBack(ReturnReason::Declined, sent.Attempt, UnansweredRetry,
             std::move(copy), sent.Balancer, out);
  else
    giveBack(ReturnReason::NotHeld, sent.Attempt, {}, std::move(copy),
             sent.Balancer, out);
}

void UpstreamGateImpl::noteAnswer(Flow &flow, const FlowEnds &ends,
                                  const FlowPacket &packet, TimePoint now,
                                  GateOutput &out) {
  using Kind = GateOutput::Timing::Kind;
  flow.SeenAt = now;
  if (packet.Opens) {
    flow.FirstSequence = packet.Sequence;
    if (!flow.Held && flow.Busy)
      out.Timings.push_back({Kind::Open, now - flow.BusySince});
  }
  if (packet.DataBytes > 0) {
    if (flow.Busy && flow.HasData)
      out.Timings.push_back({Kind::Answer, now - flow.BusySince});
    setBusy(flow, false, now);
  }
  flow.UpstreamEnded = flow.UpstreamEnded || packet.Ends;
  if (!flow.Held) {
    flow.Held = true;
    std::erase_if(Opening,
                  [&](const PendingOpen &it) { return it.Ends == ends; });
  }
  if (!flow.Told && flow.Balancer.Port != 0)
    tellHolder(flow, ends, out);
}

void UpstreamGateImpl::tellHolder(Flow &flow, const FlowEnds &ends,
                                  GateOutput &out) {
  flow.Told = true;
  out.Datagrams.push_back(
      {flow.Balancer, DataMessage(FlowHeld{ends.Caller, ends.Service,
                                           flow.FirstSequence, load()})});
}

void UpstreamGateImpl::onUpstreamPacket(std::span<const std::byte> buf,
                                        TimePoint now, GateOutput &out) {
  const std::optional<FlowPacket> packet = Format.decode(buf);
  if (!packet) {
    ++Counts.Bad;
    return;
  }
  if (packet->Returned)
    return onGivenBack(*packet, buf, out);
  const FlowEnds ends{packet->Destination, packet->Source};
  if (Flow *flow = find(ends))
    noteAnswer(*flow, ends, *packet, now, out);
  else if (!packet->Resets)
    noteAnswer(insert(ends, now), ends, *packet, now, out);
  if (packet->Resets)
    erase(ends);
  ++Counts.Answered;
  out.Datagrams.push_back({{packet->Destination.Address, Options.CallerPort},
                           Bytes(buf.begin(), buf.end())});
}

void UpstreamGateImpl::tick(TimePoint now, GateOutput &out) {
  while (!Opening.empty() && now - Opening.front().At >= Options.OpenTimeout) {
    PendingOpen it = std::move(Opening.front());
    Opening.pop_front();
    // The upstream has neither taken the flow nor given it back: it hangs or
    // has crashed. It may still answer; the caller then chooses.
    UnansweredUntil = now + UnansweredRetry;
    erase(it.Ends);
    giveBack(ReturnReason::Declined, it.Attempt, UnansweredRetry,
             std::move(it.Packet), it.Balancer, out);
  }
  constexpr Duration SweepInterval{250};
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  expireBusy(now);
  absl::erase_if(Flows, [&](auto &it) {
    Flow &flow = it.second;
    const Duration idle = now - flow.SeenAt;
    const bool isClosed = flow.CallerEnded && flow.UpstreamEnded;
    const bool isOver =
        idle >= Options.FlowIdle || (isClosed && idle >= ClosedLinger);
    if (isOver)
      setBusy(flow, false, now);
    return isOver;
  });
}

} // namespace

std::unique_ptr<UpstreamGate> makeUpstreamGate(UpstreamGateOptions options,
                                               const PacketFormat &format) {
  return std::make_unique<UpstreamGateImpl>(std::move(options), format);
}

std::string_view nameOf(GateState state) {
  switch (state) {
  case GateState::Waiting:
    return "waiting";
  case GateState::Accepting:
    return "accepting";
  case GateState::Draining:
    return "draining";
  case GateState::Silent:
    return "silent";
  case GateState::Ended:
    return "ended";
  }
  return "other";
}

} // namespace pistachio
