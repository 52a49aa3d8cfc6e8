#include "RelayTestSupport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>

namespace pistachio {
namespace {

constexpr std::size_t PacketHeaderBytes = 45;
constexpr std::size_t LinkHeaderBytes = PacketHeaderBytes + 28;
constexpr std::uint16_t MaxDataBytes = 1200;
constexpr std::uint32_t FirstCaller = 0x64400000;
constexpr std::size_t SendWindow = 8;
constexpr Duration RoundTrip{10};
constexpr Duration FirstTimeout{200};
constexpr Duration LastTimeout{1600};

struct LoadCase {
  std::string_view Name;
  /// Real rate of the link, and the factor by which the setting differs.
  double MbitPerSecond = 2;
  double SettingFactor = 1;
  /// Uploads of 40 kB before and during the burst, and requests of 1 kB, in
  /// parts of the link.
  double UsualUploads = 0.3;
  double BurstUploads = 2.6;
  double Requests = 0.1;
  Duration BurstTime{6000};
  bool RestartsInBurst = false;
  Duration TimeAfterBurst{2000};
};

struct LinkUse {
  /// Part of what requests leave over that carries data of uploads.
  double UploadShare = 0;
  /// Longest time from the sending of a packet of a request to its delivery.
  Duration LongestRequestWait{0};
  std::size_t Copies = 0;
};

/// Callers that open flows through a balancer, a link that sends in order, and
/// upstreams that acknowledge each packet. Time passes in steps of 1 ms.
class LinkLoad {
public:
  explicit LinkLoad(const LoadCase &load)
      : Load(load), LinkBytesPerMs(load.MbitPerSecond * 125) {
    restart();
  }

  /// Plays the usual load, the burst and the time after it.
  LinkUse runBurst() {
    run(Duration(8000), Load.UsualUploads);
    const double requests = RequestBytes;
    const double uploads = UploadBytes;
    run(Load.BurstTime / 2, Load.BurstUploads);
    if (Load.RestartsInBurst)
      restart();
    run(Load.BurstTime / 2, Load.BurstUploads);
    const double sendable = LinkBytesPerMs *
                            std::min(1.0, 0.95 * Load.SettingFactor) *
                            double(Load.BurstTime.count());
    Use.UploadShare =
        (UploadBytes - uploads) / (sendable - (RequestBytes - requests));
    run(Load.TimeAfterBurst, 0);
    return Use;
  }

  std::unique_ptr<LinkScheduler> Link;
  std::size_t FinishedUploads = 0;

private:
  struct Segment {
    bool IsDelivered = false;
    TimePoint FirstSentAt{};
    TimePoint RetryAt{};
    Duration Timeout = FirstTimeout;
  };
  struct Flow {
    FlowEndpoints Endpoints;
    std::uint32_t Bytes = 0;
    /// The first packet and those with data.
    std::vector<Segment> Segments;
    std::size_t Acknowledged = 0;
    TimePoint OpenedAt = TimePoint::max();
  };

  static bool isUpload(const FlowEndpoints &flow) {
    return flow.Service == OtherRoute;
  }

  void restart() {
    Link = makeLinkScheduler(Load.MbitPerSecond * Load.SettingFactor);
  }

  void run(Duration time, double uploads) {
    for (const TimePoint end = Now + time; Now < end; Now += Duration(1)) {
      open(OtherRoute, uploads, 40'000, UploadCredit);
      open(RouteAddress, Load.Requests, 1'000, RequestCredit);
      for (auto &[caller, it] : Flows)
        sendFrom(it);
      for (const OutgoingPacket &it : Link->take(Now))
        Wire.emplace_back(it.Info, it.Data.size() + 28);
      deliver();
      std::erase_if(Flows, [&](auto &it) {
        const Flow &flow = it.second;
        const bool isFinished = flow.Acknowledged == flow.Segments.size();
        FinishedUploads += isFinished && isUpload(flow.Endpoints) ? 1 : 0;
        return isFinished;
      });
    }
  }

  void open(const Endpoint &service, double share, std::uint32_t bytes,
            double &credit) {
    const std::size_t n = 1 + (bytes + MaxDataBytes - 1) / MaxDataBytes;
    const double cost = bytes + double(n) * LinkHeaderBytes;
    for (credit += share * LinkBytesPerMs; credit >= cost; credit -= cost)
      if (++Callers; Link->admits(service, Now))
        Flows[Callers] = {{{FirstCaller + Callers, 1000}, service},
                          bytes,
                          std::vector<Segment>(n)};
  }

  void sendFrom(Flow &flow) {
    std::size_t inFlight = 0;
    for (std::size_t i = 0; i < flow.Segments.size(); ++i) {
      Segment &it = flow.Segments[i];
      if (it.IsDelivered)
        continue;
      if (++inFlight > SendWindow || (i > 0 && Now < flow.OpenedAt))
        return;
      if (Now < it.RetryAt)
        continue;
      if (it.FirstSentAt == TimePoint{})
        it.FirstSentAt = Now;
      else
        it.Timeout = std::min(2 * it.Timeout, LastTimeout);
      it.RetryAt = Now + it.Timeout;
      send(flow, i);
    }
  }

  void send(const Flow &flow, std::size_t i) {
    const auto begin =
        static_cast<std::uint32_t>(i == 0 ? 0 : (i - 1) * MaxDataBytes);
    DatagramInfo info{.To = agentEndpoint(1),
                      .Flow = flow.Endpoints,
                      .Sequence = begin,
                      .Opens = i == 0,
                      .Ends = i + 1 == flow.Segments.size()};
    if (i > 0)
      info.DataBytes = static_cast<std::uint16_t>(
          std::min<std::uint32_t>(MaxDataBytes, flow.Bytes - begin));
    const Bytes data(PacketHeaderBytes + info.DataBytes);
    if (Link->add(info, data, Now))
      Wire.emplace_back(info, data.size() + 28);
  }

  void deliver() {
    WireCredit = std::min(WireCredit + LinkBytesPerMs, LinkBytesPerMs);
    for (; !Wire.empty() && WireCredit > 0; Wire.pop_front()) {
      const auto &[info, bytes] = Wire.front();
      WireCredit -= double(bytes);
      receive(info, double(bytes));
    }
  }

  void receive(const DatagramInfo &info, double bytes) {
    if (!isUpload(info.Flow))
      RequestBytes += bytes;
    const auto it = Flows.find(info.Flow.Caller.Address - FirstCaller);
    Segment *segment =
        it == Flows.end()
            ? nullptr
            : &it->second
                   .Segments[info.Opens ? 0 : 1 + info.Sequence / MaxDataBytes];
    if (segment == nullptr || std::exchange(segment->IsDelivered, true)) {
      ++Use.Copies;
      return;
    }
    ++it->second.Acknowledged;
    if (info.Opens)
      it->second.OpenedAt = Now + RoundTrip;
    if (isUpload(info.Flow))
      UploadBytes += bytes;
    else
      Use.LongestRequestWait =
          std::max(Use.LongestRequestWait, Now - segment->FirstSentAt);
  }

  LoadCase Load;
  double LinkBytesPerMs;
  LinkUse Use;
  TimePoint Now{Duration(1'000'000)};
  /// Bytes of delivered packets; those of uploads without copies.
  double RequestBytes = 0;
  double UploadBytes = 0;
  std::map<std::uint32_t, Flow> Flows;
  std::deque<std::pair<DatagramInfo, std::size_t>> Wire;
  double WireCredit = 0;
  double UploadCredit = 0;
  double RequestCredit = 0;
  std::uint32_t Callers = 0;
};

class LinkLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against a link that carries duplicates long after a burst of uploads,
// requests that wait behind uploads, and a link that is idle while uploads are
// refused.
TEST_P(LinkLoadTest, CarriesRequestsAtOnceAndUploadsWithTheRest) {
  LinkLoad load(GetParam());
  const LinkUse use = load.runBurst();
  EXPECT_GE(use.UploadShare, 0.85);
  EXPECT_LT(use.LongestRequestWait, Duration(50));
  EXPECT_EQ(use.Copies, 0U);
  EXPECT_GT(load.FinishedUploads, 15U);
  EXPECT_EQ(load.Link->queueLength(), 0U);
}

const LoadCase LoadCases[] = {
    // Cause of the late requests: uploads fill the queue of the link.
    {.Name = "Burst"},
    {.Name = "BurstOn9Mbit", .MbitPerSecond = 9},
    {.Name = "BurstOn100Mbit", .MbitPerSecond = 100},
    // The new process does not know which flows and routes are bulk.
    {.Name = "RestartInBurst", .RestartsInBurst = true},
    {.Name = "AllCallersUpload", .Requests = 0},
    {.Name = "AllCallersUploadAfterRestart",
     .Requests = 0,
     .RestartsInBurst = true},
    // Only uploads become slower.
    {.Name = "RateTooLow", .SettingFactor = 0.5},
    // Requests leave a ninth of the link over.
    {.Name = "RequestsFillTheLink",
     .Requests = 0.8,
     .BurstTime = Duration(30'000),
     .TimeAfterBurst = Duration(4000)},
};

INSTANTIATE_TEST_SUITE_P(All, LinkLoadTest, testing::ValuesIn(LoadCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against a scheduler that makes the link worse if the configured rate
// is too high: the queue then remains in the link, as without a scheduler.
TEST(LinkRateTest, RateThatIsTooHighIsNoWorseThanNoScheduler) {
  const LinkUse tooHigh =
      LinkLoad({.Name = "", .SettingFactor = 1.5}).runBurst();
  const LinkUse none = LinkLoad({.Name = "", .SettingFactor = 1000}).runBurst();
  EXPECT_GE(tooHigh.UploadShare, none.UploadShare);
  EXPECT_LE(tooHigh.LongestRequestWait, none.LongestRequestWait);
  EXPECT_LE(tooHigh.Copies, none.Copies);
}

class LinkSchedulerTest : public testing::Test {
protected:
  bool add(std::uint32_t caller, std::uint32_t sequence,
           std::uint16_t dataBytes = MaxDataBytes, bool opens = false,
           const Endpoint &service = RouteAddress) {
    return Link->add({.To = agentEndpoint(1),
                      .Flow = {{caller, 1000}, service},
                      .Sequence = sequence,
                      .DataBytes = dataBytes,
                      .Opens = opens},
                     Bytes(PacketHeaderBytes + dataBytes), Now);
  }
  /// Makes the flow bulk, at a rate that the link can carry.
  void carry(std::uint32_t caller, std::uint32_t packets,
             const Endpoint &service = RouteAddress) {
    for (std::uint32_t i = 0; i < packets; ++i, Now += Duration(20))
      EXPECT_TRUE(add(caller, i * MaxDataBytes, MaxDataBytes, false, service));
  }

  TimePoint Now{Duration(1'000'000)};
  /// 237.5 bytes per millisecond.
  std::unique_ptr<LinkScheduler> Link = makeLinkScheduler(2);
};

// Guards against bulk that starves while other packets exceed the rate, and
// against more bytes than the link can carry.
TEST_F(LinkSchedulerTest, BulkKeepsATenthOfTheRate) {
  carry(1, 8);
  std::uint32_t callers = 1;
  for (std::uint32_t second = 0; second < 30; ++second) {
    const auto before = Link->counters().SentBytes;
    for (std::uint32_t ms = 0; ms < 1000; ++ms, Now += Duration(1)) {
      if (ms % 3 == 0)
        add(++callers, 0);
      if (ms % 10 == 0)
        add(1, (8 + second * 100 + ms / 10) * MaxDataBytes);
      Link->take(Now);
    }
    const auto after = Link->counters().SentBytes;
    const auto sent = double(std::reduce(after.begin(), after.end()) -
                             std::reduce(before.begin(), before.end()));
    // The first second includes the burst of the token bucket.
    EXPECT_NEAR(sent, 237'500, second == 0 ? 4200 : 1300);
    EXPECT_GT(double(after.back() - before.back()), 0.095 * sent);
  }
}

// Guards against a first packet or a reset that waits behind data, and against
// unequal shares of bulk flows.
TEST_F(LinkSchedulerTest, SendsUrgentPacketsFirstAndBulkInTurn) {
  carry(1, 8);
  carry(2, 8);
  for (std::uint32_t i = 8; i < 14; ++i)
    add(1, i * MaxDataBytes);
  add(2, 8 * MaxDataBytes);
  add(2, 9 * MaxDataBytes);
  add(3, 0, 100);
  add(4, 0, 0, true);
  Link->add({.Content = DatagramInfo::Kind::Reset,
             .To = {5, 1000},
             .Flow = {{5, 1000}, RouteAddress}},
            Bytes(PacketHeaderBytes), Now);
  std::vector<std::uint32_t> order;
  for (int ms = 0; ms < 100; ++ms, Now += Duration(1))
    for (const OutgoingPacket &it : Link->take(Now))
      order.push_back(it.Info.Flow.Caller.Address);
  // The first three packets were sent at once.
  EXPECT_EQ(order, (std::vector<std::uint32_t>{4, 5, 3, 1, 2, 1, 2, 1}));
  EXPECT_EQ(Link->waitTime(Now), std::nullopt);
}

// Guards against a link that carries copies of packets that are still waiting,
// and against the loss of an acknowledgement that only looks like a copy.
TEST_F(LinkSchedulerTest, DropsCopiesOfWaitingPackets) {
  for (const std::uint32_t i : {0, 1, 2, 3, 3})
    add(1, i * MaxDataBytes);
  EXPECT_EQ(Link->counters().Copies, 1U);
  for (const int acknowledgement : {1, 2, 2})
    Link->add({.To = agentEndpoint(1), .Flow = {{1, 1000}, RouteAddress}},
              Bytes(PacketHeaderBytes, static_cast<std::byte>(acknowledgement)),
              Now);
  EXPECT_EQ(Link->counters().Copies, 2U);
}

// Guards against packets that are sent after their sender has given them up,
// and against memory that grows with the load.
TEST_F(LinkSchedulerTest, BoundsTimeAndMemory) {
  carry(1, 8);
  for (std::uint32_t i = 8; i < 10'000; ++i)
    add(1, i * MaxDataBytes);
  EXPECT_LT(Link->queueLength(), 5000U);
  for (std::uint32_t caller = 2; caller < 100'000; ++caller)
    add(caller, 0, 0, true);
  EXPECT_EQ(Link->flowCount(), 65'536U);
  EXPECT_LT(Link->queueLength(), 30'000U);
  Now += Duration(401);
  EXPECT_TRUE(Link->take(Now).empty());
  EXPECT_EQ(Link->queueLength(), 0U);
}

// Guards against refusals on routes of small requests or while the link has
// room, and against a refusal that lasts after the uploads have ended.
TEST_F(LinkSchedulerTest, RefusesOnlyBulkRoutesAndOnlyWhileBusy) {
  add(1, 0, 0, true, OtherRoute);
  carry(1, 100, OtherRoute);
  Now += Duration(2500);
  // Each flow of about 120 kB takes the link for half a second, but they have
  // not sent yet.
  for (std::uint32_t caller = 2; caller < 6; ++caller) {
    EXPECT_TRUE(Link->admits(OtherRoute, Now)) << caller;
    add(caller, 0, 0, true, OtherRoute);
  }
  for (std::uint32_t i = 0; i < 120; ++i, Now += Duration(1)) {
    add(2, i * MaxDataBytes, MaxDataBytes, false, OtherRoute);
    Link->take(Now);
  }
  EXPECT_FALSE(Link->admits(OtherRoute, Now));
  EXPECT_TRUE(Link->admits(RouteAddress, Now));
  EXPECT_EQ(Link->counters().Refused, 1U);
  Now += Duration(2500);
  EXPECT_TRUE(Link->admits(OtherRoute, Now));
}

// Guards against small requests that become bulk because they use one flow for
// a long time.
TEST_F(LinkSchedulerTest, RequestsOnALongFlowStaySmall) {
  add(1, 0, 0, true);
  for (std::uint32_t i = 0; i < 60; ++i, Now += Duration(1000))
    EXPECT_TRUE(add(1, i * 1000, 1000));
  EXPECT_EQ(Link->counters().SentBytes[std::size_t(LinkClass::Bulk)], 0U);
  EXPECT_EQ(Link->counters().SentBytes[std::size_t(LinkClass::Medium)], 0U);
}

// Guards against a congestion that is reported for each packet, or never ends.
TEST_F(LinkSchedulerTest, ReportsTheBeginAndTheEndOfCongestion) {
  carry(1, 8);
  EXPECT_FALSE(Link->takeReport(Now));
  std::vector<bool> reports;
  for (std::uint32_t ms = 0; ms < 4000; ++ms, Now += Duration(1)) {
    if (ms < 2200)
      add(1, (8 + ms) * MaxDataBytes);
    Link->take(Now);
    if (const auto it = Link->takeReport(Now))
      reports.push_back(it->IsCongested);
  }
  EXPECT_EQ(reports, (std::vector<bool>{true, true, true, true, false}));
}

} // namespace
} // namespace pistachio
