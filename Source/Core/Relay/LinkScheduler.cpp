#include "Relay/LinkScheduler.h"

#include "FairQueue.h"
#include "RecentBytes.h"

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace pistachio {
namespace {

/// Share of the link that is used. The rest keeps the queue out of the link
/// although the rate of the link is not known exactly.
constexpr double UsedShare = 0.95;
/// Flows that have carried more data than this are bulk, and so are routes
/// whose flows carry more on average.
constexpr std::uint32_t BulkBytes = 8 * 1024;
/// Flows that have carried more than this are no longer small: a request of one
/// packet goes before the first packets of many uploads.
constexpr std::uint32_t SmallBytes = 2 * 1024;
/// What a flow has carried decreases by this much, so that small requests on a
/// flow that stays open do not add up to bulk. Uploads on a congested link are
/// faster.
constexpr std::uint32_t DecayBytesPerMs = 1;
/// Part of the rate that bulk gets while other classes fill the link.
constexpr double MinBulkShare = 0.1;
/// Bulk packets that wait longer are dropped, because their sender has
/// retransmitted them (callers do so after 200 ms).
constexpr Duration MaxBulkWait{400};
/// A flow without a packet for this long counts as ended. Callers retransmit
/// at least every 1.6 s.
constexpr Duration IdleTimeout{2000};
/// New flows are refused while those that have been admitted would occupy the
/// link for longer than this. Retransmission timers leave the link idle for a
/// part of the time, so it is less than the 2 s within which a burst must end.
constexpr Duration MaxAdmittedWork{1800};
/// Bytes on the link for each byte of data in full packets: 1,200 bytes of data
/// take about 1,290.
constexpr double LinkBytesPerDataByte = 1.08;
/// Time for which a balancer that was idle may exceed the rate. It covers the
/// delays of the timer that sends waiting packets.
constexpr Duration BurstTime{10};
/// At least two packets of the largest size.
constexpr double MinBurstBytes = 2800;
constexpr Duration CongestedWait{50};
/// Congestion ends after this long without a packet that waited for
/// CongestedWait. Answers to packets that waited arrive within this time.
constexpr Duration CongestionHold{500};
constexpr Duration ReportInterval{1000};
constexpr Duration SweepInterval{250};
constexpr std::size_t MaxFlows = 65536;
constexpr std::size_t MaxRoutes = 65536;
/// Limit of the memory of one class of waiting packets: what a link of 100
/// Mbit/s sends within MaxBulkWait.
constexpr std::size_t MaxQueueBytes = 6 * 1024 * 1024;
/// Weight of the latest flow in the average of its route.
constexpr double AverageWeight = 0.125;

/// Identifies copies of a packet. Packets without data may differ in what they
/// acknowledge, so their content is part of the key.
std::uint64_t keyOf(const DatagramInfo &info, std::span<const std::byte> data) {
  const std::uint64_t content =
      info.DataBytes > 0 || info.Opens ? info.Sequence : checksum32(data);
  const std::uint64_t kind = (std::uint64_t{info.DataBytes} << 16) |
                             (info.Opens ? 0x100U : 0U) |
                             static_cast<std::uint64_t>(info.Content);
  return mix64(mix64((std::uint64_t{info.To.Address} << 16) | info.To.Port) +
               hashFlowEndpoints(info.Flow)) ^
         mix64((kind << 32) + content);
}

struct FlowState {
  /// Data that the flow has carried, without retransmissions.
  std::uint32_t Carried = 0;
  /// The same, less DecayBytesPerMs. It decides the class.
  std::uint32_t CarriedLately = 0;
  bool HasBeenBulk = false;
  /// Sequence number after the last byte of data.
  std::uint32_t Furthest = 0;
  std::optional<std::uint32_t> OpeningSequence;
  /// Data that has been sent, including retransmissions.
  std::uint32_t Sent = 0;
  /// Data that the flow is still expected to carry. Above 0 only on bulk
  /// routes.
  std::uint32_t Expected = 0;
  bool IsOfBulkRoute = false;
  /// No more data is expected.
  bool HasEnded = false;
  TimePoint LastPacketAt{};
};

struct RouteState {
  /// Average data of the flows that have ended. Before the first one has ended,
  /// twice the most that an open flow has carried: after a restart amid uploads
  /// it takes long until one ends.
  double AverageBytes = 0;
  bool HasEndedFlow = false;
};

class LinkSchedulerImpl final : public LinkScheduler {
public:
  explicit LinkSchedulerImpl(double mbitPerSecond)
      : BytesPerSecond(mbitPerSecond * 1e6 / 8 * UsedShare),
        BurstBytes(
            std::max(MinBurstBytes, BytesPerSecond * toSeconds(BurstTime))),
        Tokens(BurstBytes) {}

  bool add(const DatagramInfo &info, std::span<const std::byte> data,
           TimePoint now) override;
  std::vector<OutgoingPacket> take(TimePoint now) override;
  std::optional<Duration> waitTime(TimePoint now) const override;
  bool admits(const Endpoint &serviceAddress, TimePoint now) override;
  bool isCongested(TimePoint now) const override {
    return LastLongWaitAt && now - *LastLongWaitAt < CongestionHold;
  }
  std::optional<LinkReport> takeReport(TimePoint now) override;
  const LinkCounters &counters() const override { return Counters; }
  std::size_t queueLength() const override;
  std::size_t flowCount() const override { return Flows.size(); }

private:
  /// Records the packet in the state of its flow and returns its class.
  LinkClass classify(const DatagramInfo &info, TimePoint now);
  FlowState &flowOf(const DatagramInfo &info, TimePoint now);
  /// Includes the data of an ended flow in the average of its route.
  void recordEnd(const FlowEndpoints &flow, FlowState &state);
  /// Forgets the flow that was added MaxFlows flows ago.
  void makeRoomForFlow(const FlowEndpoints &flow);
  /// Sets FlowState::Expected from the average of the route.
  void estimate(const FlowEndpoints &flow, FlowState &state);
  void setExpected(FlowState &state, std::uint32_t bytes);
  RouteState &routeOf(const Endpoint &serviceAddress);
  bool isBulkRoute(const Endpoint &serviceAddress) const;
  double tokensAt(TimePoint now) const;
  void refill(TimePoint now);
  void recordSent(LinkClass linkClass, const DatagramInfo &info,
                  std::size_t linkBytes, TimePoint now);
  void recordWait(Duration waited, TimePoint now);
  /// Returns whether a packet waits in one of the classes down to \p lowest.
  bool isAnyWaiting(LinkClass lowest) const;
  /// Returns whether it is the turn of bulk, in spite of its low priority.
  bool owesBulk();
  std::optional<LinkClass> nextClass();
  void dropExpired(TimePoint now);
  /// Removes idle flows and estimates the rest of the others anew.
  void updateFlows(TimePoint now);
  FairQueue &queueOf(LinkClass it) {
    return Queues[static_cast<std::size_t>(it)];
  }
  const FairQueue &queueOf(LinkClass it) const {
    return Queues[static_cast<std::size_t>(it)];
  }

  double BytesPerSecond;
  double BurstBytes;
  /// Bytes that may be sent now. Negative after a packet that was larger.
  double Tokens;
  TimePoint TokensAt{};
  std::array<FairQueue, LinkClassCount> Queues;
  /// Bytes that bulk may send before the other classes.
  double BulkCredit = 0;
  absl::flat_hash_map<FlowEndpoints, FlowState, std::hash<FlowEndpoints>> Flows;
  /// The flows that were added last, including some that have been removed
  /// again. Finding any flow in a full hash table took 10 us.
  std::deque<FlowEndpoints> LatestFlows;
  absl::flat_hash_map<Endpoint, RouteState, std::hash<Endpoint>> Routes;
  /// Sum of FlowState::Expected.
  std::uint64_t Expected = 0;
  /// Bytes of packets that belong neither to a bulk flow nor to a bulk route.
  RecentBytes OtherBytes;
  TimePoint LastSweep{};
  std::optional<TimePoint> LastLongWaitAt;
  bool IsReportedCongested = false;
  TimePoint LastReportAt{};
  /// LinkCounters::SentBytes at the latest report.
  std::array<std::uint64_t, LinkClassCount> ReportedBytes{};
  Duration LongestWait{0};
  LinkCounters Counters;
};

double LinkSchedulerImpl::tokensAt(TimePoint now) const {
  if (TokensAt == TimePoint{})
    return Tokens;
  return std::min(BurstBytes,
                  Tokens + toSeconds(now - TokensAt) * BytesPerSecond);
}

void LinkSchedulerImpl::refill(TimePoint now) {
  Tokens = tokensAt(now);
  TokensAt = now;
}

bool LinkSchedulerImpl::add(const DatagramInfo &info,
                            std::span<const std::byte> data, TimePoint now) {
  const LinkClass linkClass = classify(info, now);
  refill(now);
  if (Tokens > 0 && !isAnyWaiting(linkClass) && !owesBulk()) {
    recordSent(linkClass, info, data.size() + FairQueue::HeaderBytes, now);
    return true;
  }
  FairQueue &queue = queueOf(linkClass);
  const std::uint64_t key = keyOf(info, data);
  // A copy may belong to a lower class, because the flow has carried more
  // since.
  if (info.Content != DatagramInfo::Kind::Query &&
      std::ranges::any_of(
          Queues, [&](const FairQueue &it) { return it.contains(key); })) {
    ++Counters.Copies;
    return false;
  }
  queue.push({info, Bytes(data.begin(), data.end()), now, key});
  while (queue.memoryBytes() > MaxQueueBytes) {
    queue.dropOldest();
    ++Counters.Overflowed[static_cast<std::size_t>(linkClass)];
  }
  return false;
}

LinkClass LinkSchedulerImpl::classify(const DatagramInfo &info, TimePoint now) {
  updateFlows(now);
  if (info.Content != DatagramInfo::Kind::Relayed)
    return LinkClass::Urgent;
  FlowState &flow = flowOf(info, now);
  const auto decay =
      static_cast<std::uint64_t>((now - flow.LastPacketAt).count()) *
      DecayBytesPerMs;
  flow.CarriedLately -= static_cast<std::uint32_t>(
      std::min<std::uint64_t>(flow.CarriedLately, decay));
  flow.LastPacketAt = now;
  const std::uint32_t end = info.Sequence + info.DataBytes;
  if (const auto ahead = static_cast<std::int32_t>(end - flow.Furthest);
      ahead > 0) {
    const auto bytes = std::min<std::uint32_t>(ahead, info.DataBytes);
    flow.Carried += bytes;
    flow.CarriedLately += bytes;
    flow.Furthest = end;
  }
  if (flow.CarriedLately > BulkBytes && !flow.HasEnded) {
    flow.HasBeenBulk = true;
    RouteState &route = routeOf(info.Flow.Service);
    if (!route.HasEndedFlow)
      route.AverageBytes =
          std::max<double>(route.AverageBytes, 2.0 * flow.Carried);
  }
  if (info.Ends)
    recordEnd(info.Flow, flow);
  if (info.Opens)
    return LinkClass::Urgent;
  return flow.CarriedLately <= SmallBytes  ? LinkClass::Small
         : flow.CarriedLately <= BulkBytes ? LinkClass::Medium
                                           : LinkClass::Bulk;
}

FlowState &LinkSchedulerImpl::flowOf(const DatagramInfo &info, TimePoint now) {
  const auto it = Flows.find(info.Flow);
  const bool isKnown = it != Flows.end();
  if (isKnown && (!info.Opens || it->second.OpeningSequence == info.Sequence))
    return it->second;
  if (!isKnown)
    makeRoomForFlow(info.Flow);
  FlowState &flow = Flows[info.Flow];
  setExpected(flow, 0);
  flow = {};
  flow.Furthest = info.Sequence;
  flow.LastPacketAt = now;
  if (!info.Opens)
    return flow;
  flow.OpeningSequence = info.Sequence;
  estimate(info.Flow, flow);
  return flow;
}

void LinkSchedulerImpl::makeRoomForFlow(const FlowEndpoints &flow) {
  if (LatestFlows.size() >= MaxFlows) {
    if (const auto it = Flows.find(LatestFlows.front()); it != Flows.end()) {
      setExpected(it->second, 0);
      Flows.erase(it);
    }
    LatestFlows.pop_front();
  }
  LatestFlows.push_back(flow);
}

void LinkSchedulerImpl::estimate(const FlowEndpoints &flow, FlowState &state) {
  const auto route = Routes.find(flow.Service);
  const bool hasData = state.OpeningSequence || state.Carried > 0;
  state.IsOfBulkRoute =
      route != Routes.end() && route->second.AverageBytes > BulkBytes;
  const double rest = state.IsOfBulkRoute && hasData && !state.HasEnded
                          ? route->second.AverageBytes - state.Sent
                          : 0;
  setExpected(state, static_cast<std::uint32_t>(std::max(rest, 0.0)));
}

void LinkSchedulerImpl::setExpected(FlowState &state, std::uint32_t bytes) {
  Expected = Expected - state.Expected + bytes;
  state.Expected = bytes;
}

bool LinkSchedulerImpl::isBulkRoute(const Endpoint &serviceAddress) const {
  const auto it = Routes.find(serviceAddress);
  return it != Routes.end() && it->second.AverageBytes > BulkBytes;
}

void LinkSchedulerImpl::recordEnd(const FlowEndpoints &flow, FlowState &state) {
  setExpected(state, 0);
  if (std::exchange(state.HasEnded, true))
    return;
  // Of a flow that this process has not seen opening, or that is idle before
  // its first data, it knows only a part.
  if (!state.OpeningSequence || state.Carried == 0)
    return;
  const std::uint32_t data =
      state.HasBeenBulk ? state.Carried : state.CarriedLately;
  RouteState &route = routeOf(flow.Service);
  const double weight = route.HasEndedFlow ? AverageWeight : 1;
  route.AverageBytes += weight * (data - route.AverageBytes);
  route.HasEndedFlow = true;
}

RouteState &LinkSchedulerImpl::routeOf(const Endpoint &serviceAddress) {
  if (Routes.size() >= MaxRoutes && !Routes.contains(serviceAddress))
    Routes.erase(Routes.begin());
  return Routes[serviceAddress];
}

void LinkSchedulerImpl::updateFlows(TimePoint now) {
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  absl::erase_if(Flows, [&](auto &it) {
    if (now - it.second.LastPacketAt < IdleTimeout) {
      // The average may have changed since the flow opened.
      estimate(it.first, it.second);
      return false;
    }
    recordEnd(it.first, it.second);
    return true;
  });
}

bool LinkSchedulerImpl::isAnyWaiting(LinkClass lowest) const {
  for (std::size_t i = 0; i <= static_cast<std::size_t>(lowest); ++i)
    if (!Queues[i].isEmpty())
      return true;
  return false;
}

void LinkSchedulerImpl::recordSent(LinkClass linkClass,
                                   const DatagramInfo &info,
                                   std::size_t linkBytes, TimePoint now) {
  Tokens -= static_cast<double>(linkBytes);
  Counters.SentBytes[static_cast<std::size_t>(linkClass)] += linkBytes;
  const FairQueue &bulk = queueOf(LinkClass::Bulk);
  if (linkClass == LinkClass::Bulk || bulk.isEmpty())
    BulkCredit = 0;
  else
    BulkCredit +=
        static_cast<double>(linkBytes) * MinBulkShare / (1 - MinBulkShare);
  const auto flow = Flows.find(info.Flow);
  const bool isKnown = flow != Flows.end();
  if (linkClass != LinkClass::Bulk && !(isKnown && flow->second.IsOfBulkRoute))
    OtherBytes.add(linkBytes, now);
  if (!isKnown)
    return;
  FlowState &state = flow->second;
  state.Sent += info.DataBytes;
  setExpected(state, state.Expected - std::min<std::uint32_t>(state.Expected,
                                                              info.DataBytes));
}

void LinkSchedulerImpl::recordWait(Duration waited, TimePoint now) {
  LongestWait = std::max(LongestWait, waited);
  if (waited > CongestedWait)
    LastLongWaitAt = now;
}

bool LinkSchedulerImpl::owesBulk() {
  FairQueue &bulk = queueOf(LinkClass::Bulk);
  return !bulk.isEmpty() &&
         BulkCredit >= static_cast<double>(bulk.next().Data.size() +
                                           FairQueue::HeaderBytes);
}

std::optional<LinkClass> LinkSchedulerImpl::nextClass() {
  if (owesBulk())
    return LinkClass::Bulk;
  for (const LinkClass it : {LinkClass::Urgent, LinkClass::Small,
                             LinkClass::Medium, LinkClass::Bulk})
    if (!queueOf(it).isEmpty())
      return it;
  return std::nullopt;
}

void LinkSchedulerImpl::dropExpired(TimePoint now) {
  for (std::size_t i = 0; i < Queues.size(); ++i) {
    const Duration limit = static_cast<LinkClass>(i) == LinkClass::Bulk
                               ? MaxBulkWait
                               : MaxRequestWait;
    while (!Queues[i].isEmpty() && now - Queues[i].oldestArrival() > limit) {
      recordWait(now - Queues[i].oldestArrival(), now);
      Queues[i].dropOldest();
      ++Counters.Expired[i];
    }
  }
}

std::vector<OutgoingPacket> LinkSchedulerImpl::take(TimePoint now) {
  refill(now);
  dropExpired(now);
  std::vector<OutgoingPacket> packets;
  while (Tokens > 0) {
    const std::optional<LinkClass> linkClass = nextClass();
    if (!linkClass)
      break;
    FairQueue::Waiting it = queueOf(*linkClass).pop();
    const Duration waited = now - it.Arrived;
    recordWait(waited, now);
    recordSent(*linkClass, it.Info, it.Data.size() + FairQueue::HeaderBytes,
               now);
    packets.push_back({it.Info, std::move(it.Data), waited});
  }
  return packets;
}

std::optional<Duration> LinkSchedulerImpl::waitTime(TimePoint now) const {
  if (!isAnyWaiting(LinkClass::Max))
    return std::nullopt;
  const double tokens = tokensAt(now);
  if (tokens > 0)
    return Duration{0};
  return Duration{static_cast<Duration::rep>(-tokens / BytesPerSecond * 1000) +
                  1};
}

bool LinkSchedulerImpl::admits(const Endpoint &serviceAddress, TimePoint now) {
  updateFlows(now);
  // Without congestion the flows are slower than the link, whatever they are
  // expected to carry. A flow is also admitted if no other is expected to carry
  // data, however slow the link.
  if (!isBulkRoute(serviceAddress) || !isCongested(now) || Expected == 0)
    return true;
  const double leftOver =
      std::max(BytesPerSecond - static_cast<double>(OtherBytes.sum(now)),
               BytesPerSecond * MinBulkShare);
  // The queue is larger if flows carry more than the average, or opened before
  // the average of their route was known.
  const double expected = static_cast<double>(Expected) +
                          Routes.find(serviceAddress)->second.AverageBytes;
  const double work =
      std::max(expected * LinkBytesPerDataByte,
               static_cast<double>(queueOf(LinkClass::Bulk).linkBytes()));
  if (work <= leftOver * toSeconds(MaxAdmittedWork))
    return true;
  ++Counters.Refused;
  return false;
}

std::optional<LinkReport> LinkSchedulerImpl::takeReport(TimePoint now) {
  const bool congested = isCongested(now);
  if (congested == IsReportedCongested &&
      (!congested || now - LastReportAt < ReportInterval))
    return std::nullopt;
  // A link that becomes congested again within the interval is reported later.
  if (congested && !IsReportedCongested && LastReportAt != TimePoint{} &&
      now - LastReportAt < ReportInterval)
    return std::nullopt;
  LinkReport report{congested, Counters.SentBytes, LongestWait};
  for (std::size_t i = 0; i < LinkClassCount; ++i)
    report.SentBytes[i] -= ReportedBytes[i];
  IsReportedCongested = congested;
  LastReportAt = now;
  ReportedBytes = Counters.SentBytes;
  LongestWait = Duration{0};
  return report;
}

std::size_t LinkSchedulerImpl::queueLength() const {
  std::size_t n = 0;
  for (const FairQueue &it : Queues)
    n += it.length();
  return n;
}

} // namespace

std::unique_ptr<LinkScheduler> makeLinkScheduler(double mbitPerSecond) {
  return std::make_unique<LinkSchedulerImpl>(mbitPerSecond);
}

} // namespace pistachio
