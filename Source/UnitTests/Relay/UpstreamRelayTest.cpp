#include "RelayTestSupport.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Endpoint Upstream{0x0A000001, 8080};
constexpr Endpoint Balancer{0x0A000009, 6000};
constexpr Endpoint OtherBalancer{0x0A00000A, 6000};
constexpr Endpoint NextAgent{0x0A000002, 7000};
constexpr Endpoint LastAgent{0x0A000003, 7000};
constexpr std::uint16_t CallerPort = 9000;

UpstreamReport makeReport(std::uint64_t sequence = 1,
                          std::uint64_t startedAtMs = 10) {
  UpstreamReport report;
  report.Id = "i-1";
  report.Service = "a";
  report.Address = Upstream;
  report.Slots = 2;
  report.Sequence = sequence;
  report.StartedAtMs = startedAtMs;
  return report;
}

struct SentPacket {
  Endpoint To;
  FlowPacket Packet;
};

class UpstreamRelayTest : public testing::Test {
protected:
  UpstreamRelayTest() { startAgent(0); }

  /// Starts an agent process, which knows nothing of an earlier one.
  void startAgent(std::uint64_t startedAtMs) {
    UpstreamRelayOptions options;
    options.Service = "a";
    options.Upstream = Upstream;
    options.CallerPort = CallerPort;
    options.StartedAtMs = startedAtMs;
    options.ReportsServiceTime = true;
    Relay = makeUpstreamRelay(options, Format);
  }

  ReportResult report(const UpstreamReport &it) {
    return Relay->onReport(it, Now);
  }

  RelayOutput relayPacket(const FlowPacket &packet, std::uint8_t attempt = 1,
                          const Endpoint &balancer = Balancer,
                          const std::string &service = "a", bool asks = false) {
    RelayOutput output;
    Relay->onRelayedPacket({hashServiceName(service), attempt, asks, ColdRate,
                            TestPacketFormat::encode(packet)},
                           balancer, Now, output);
    return output;
  }
  RelayOutput sendFromUpstream(const FlowPacket &packet) {
    RelayOutput output;
    Relay->onUpstreamPacket(TestPacketFormat::encode(packet), Now, output);
    return output;
  }
  RelayOutput chainPacket(const FlowPacket &packet,
                          std::vector<Endpoint> next = {NextAgent, LastAgent},
                          const Endpoint &origin = OtherBalancer,
                          const std::string &service = "a") {
    RelayOutput output;
    Relay->onChainedPacket({hashServiceName(service), origin, std::move(next),
                            TestPacketFormat::encode(packet)},
                           Balancer, Now, output);
    return output;
  }
  /// The upstream returns a packet that it was given.
  RelayOutput sendBack(const RelayOutput &delivered) {
    FlowPacket back = packetTo(delivered)->Packet;
    back.Returned = true;
    return sendFromUpstream(back);
  }
  RelayOutput query(std::uint16_t caller, const std::string &service = "a") {
    RelayOutput output;
    Relay->onFlowQuery(
        {hashServiceName(service), {{callerEndpoint(caller), RouteAddress}}},
        OtherBalancer, Now, output);
    return output;
  }
  RelayOutput tick() {
    RelayOutput output;
    Relay->tick(Now, output);
    return output;
  }

  /// A packet from the upstream to the caller of a flow.
  static FlowPacket fromUpstream(std::uint16_t caller, bool opens,
                                 std::uint32_t sequence,
                                 std::uint16_t dataBytes = 0) {
    FlowPacket packet;
    packet.Source = RouteAddress;
    packet.Destination = callerEndpoint(caller);
    packet.Opens = opens;
    packet.Acknowledges = true;
    packet.Sequence = sequence;
    packet.DataBytes = dataBytes;
    return packet;
  }
  void open(std::uint16_t caller, std::uint32_t sequence = 500) {
    relayPacket(firstPacket(caller));
    sendFromUpstream(fromUpstream(caller, true, sequence));
  }
  /// The upstream accepts the flow and answers its first request.
  void answerRequest(std::uint16_t caller) {
    sendFromUpstream(fromUpstream(caller, true, 500));
    sendFromUpstream(fromUpstream(caller, false, 501, 10));
  }

  std::optional<SentPacket> packetTo(const RelayOutput &output) {
    for (const auto &it : output.Datagrams)
      if (const auto *buf = std::get_if<Bytes>(&it.Content))
        return SentPacket{it.To, *Format.decode(*buf)};
    return std::nullopt;
  }
  template <typename Message>
  static std::optional<Message> messageOf(const RelayOutput &output) {
    for (const auto &it : output.Datagrams)
      if (const auto *message = std::get_if<DataMessage>(&it.Content))
        if (const auto *wanted = std::get_if<Message>(message))
          return *wanted;
    return std::nullopt;
  }
  bool isDeclined(const RelayOutput &output) {
    const auto returned = messageOf<ReturnedPacket>(output);
    return returned && returned->Reason == ReturnReason::Declined;
  }

  /// Returns whether the agent is certain that its upstream does not hold the
  /// flow, or nullopt if it says that the upstream does.
  std::optional<bool> isCertainlyNotHeld(std::uint16_t caller) {
    const RelayOutput output = query(caller);
    EXPECT_FALSE(packetTo(output)) << "a query reached the upstream";
    EXPECT_EQ(output.Datagrams.size(), 1U);
    EXPECT_EQ(output.Datagrams[0].To, OtherBalancer);
    if (const auto reply = messageOf<FlowsNotHeld>(output)) {
      EXPECT_EQ(reply->Flows.size(), 1U);
      EXPECT_EQ(reply->Flows.at(0).Flow,
                (FlowEndpoints{callerEndpoint(caller), RouteAddress}));
      return reply->Flows.at(0).IsCertain;
    }
    EXPECT_TRUE(messageOf<FlowHeld>(output));
    return std::nullopt;
  }
  FlowPacket endOf(FlowPacket packet) {
    packet.Ends = true;
    return packet;
  }

  TestPacketFormat Format;
  std::uint32_t ColdRate = UnlimitedColdRate;
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<UpstreamRelay> Relay;
};

// Guards against latency histograms that count packets which answer nothing, or
// count an answer twice.
TEST_F(UpstreamRelayTest, ReportsOpenAndAnswerTimes) {
  using Kind = RelayOutput::Timing::Kind;
  report(makeReport());
  relayPacket(firstPacket(1));
  Now += Duration(3);
  const RelayOutput opened = sendFromUpstream(fromUpstream(1, true, 500));
  ASSERT_EQ(opened.Timings.size(), 1U);
  EXPECT_EQ(opened.Timings[0].Interval, Kind::Open);
  EXPECT_EQ(opened.Timings[0].Elapsed, Duration(3));
  EXPECT_TRUE(sendFromUpstream(fromUpstream(1, true, 500)).Timings.empty());
  FlowPacket request = dataPacket(1, 501);
  request.DataBytes = 20;
  EXPECT_TRUE(relayPacket(request).Timings.empty());
  Now += Duration(40);
  EXPECT_TRUE(sendFromUpstream(fromUpstream(1, false, 501)).Timings.empty());
  const RelayOutput answered =
      sendFromUpstream(fromUpstream(1, false, 501, 10));
  ASSERT_EQ(answered.Timings.size(), 1U);
  EXPECT_EQ(answered.Timings[0].Interval, Kind::Answer);
  EXPECT_EQ(answered.Timings[0].Elapsed, Duration(40));
  EXPECT_TRUE(
      sendFromUpstream(fromUpstream(1, false, 511, 10)).Timings.empty());
}

// Guards against losing packets in either direction, and against not informing
// the balancer of the holder.
TEST_F(UpstreamRelayTest, ForwardsPacketsInBothDirections) {
  report(makeReport());
  const auto delivered = packetTo(relayPacket(firstPacket(1)));
  ASSERT_TRUE(delivered);
  EXPECT_EQ(delivered->To, Upstream);
  const RelayOutput accepted = sendFromUpstream(fromUpstream(1, true, 500));
  const auto toCaller = packetTo(accepted);
  ASSERT_TRUE(toCaller);
  EXPECT_EQ(toCaller->To, (Endpoint{callerEndpoint(1).Address, CallerPort}));
  const auto held = messageOf<FlowHeld>(accepted);
  ASSERT_TRUE(held);
  EXPECT_EQ(held->Caller, callerEndpoint(1));
  EXPECT_EQ(held->FirstSequence, 500U);
  // FlowHeld is sent once to each balancer.
  EXPECT_FALSE(
      messageOf<FlowHeld>(sendFromUpstream(fromUpstream(1, false, 501, 10))));
  relayPacket(dataPacket(1, 501), 0, OtherBalancer);
  EXPECT_TRUE(
      messageOf<FlowHeld>(sendFromUpstream(fromUpstream(1, false, 511, 10))));
}

// Guards against a restarted balancer that is not told again which agent holds
// a flow, and therefore searches for the holder with every packet.
TEST_F(UpstreamRelayTest, FlowHeldIsRepeatedOnRequest) {
  report(makeReport());
  open(1);
  EXPECT_FALSE(messageOf<FlowHeld>(relayPacket(dataPacket(1, 501))));
  const auto held = messageOf<FlowHeld>(
      relayPacket(dataPacket(1, 501), 0, Balancer, "a", true));
  ASSERT_TRUE(held);
  EXPECT_EQ(held->FirstSequence, 500U);
}

struct DeclineCase {
  const char *Name;
  /// The failure that the row guards against, printed when the row fails.
  const char *Guards;
  void (*Prepare)(UpstreamRelay &relay, TimePoint &now);
  bool Declines;
};

class DeclineTest : public UpstreamRelayTest,
                    public testing::WithParamInterface<DeclineCase> {};

TEST_P(DeclineTest, DecidesOnAFirstPacket) {
  const DeclineCase &it = GetParam();
  it.Prepare(*Relay, Now);
  const RelayOutput output = relayPacket(firstPacket(1));
  EXPECT_EQ(isDeclined(output), it.Declines) << it.Guards;
  EXPECT_EQ(packetTo(output).has_value(), !it.Declines) << it.Guards;
}

UpstreamReport draining(UpstreamReport report) {
  report.Draining = true;
  return report;
}

/// The agent has restarted, and its upstream sends a packet of a flow.
void restartBesideALiveUpstream(UpstreamRelay &relay, TimePoint &now) {
  RelayOutput output;
  relay.tick(now, output);
  FlowPacket packet;
  packet.Source = RouteAddress;
  packet.Destination = callerEndpoint(900);
  packet.Acknowledges = true;
  packet.DataBytes = 10;
  relay.onUpstreamPacket(TestPacketFormat::encode(packet), now, output);
}

const DeclineCase DeclineCases[] = {
    {"RestartedBesideALiveUpstream",
     "no new flows for a report interval after all agents have restarted",
     restartBesideALiveUpstream, false},
    {"NoReportInTime", "a flow for an upstream that never reports",
     [](UpstreamRelay &relay, TimePoint &now) {
       restartBesideALiveUpstream(relay, now);
       now += UpstreamRelayOptions{}.ReportTimeout;
     },
     true},
    {"RestartedAndWithdrawn",
     "a flow for a data centre that is out of service, after a restart",
     [](UpstreamRelay &relay, TimePoint &now) {
       restartBesideALiveUpstream(relay, now);
       relay.setUpstreamWithdrawn(true);
     },
     true},
    {"NoReport", "a flow for an upstream that has not reported yet",
     [](UpstreamRelay &, TimePoint &) {}, true},
    {"Ready", "an accepting upstream that gets no flow",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
     },
     false},
    {"Draining", "a new flow after the drain was acknowledged",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
       relay.onReport(draining(makeReport(2)), now);
     },
     true},
    {"LateReportAfterDrain", "a delayed report that ends a drain",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(1), now);
       relay.onReport(draining(makeReport(3)), now);
       relay.onReport(makeReport(2), now);
     },
     true},
    {"ReadyAfterDrain", "a lifetime that drains and accepts flows again",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(draining(makeReport(1)), now);
       relay.onReport(makeReport(2), now);
     },
     true},
    {"NewLifetime", "a new lifetime that is mistaken for the drained one",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(draining(makeReport(9, 10)), now);
       relay.onReport(makeReport(1, 11), now);
     },
     false},
    {"EarlierLifetime", "a delayed report that revives an ended lifetime",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(1, 11), now);
       relay.onUpstreamEnded("i-1");
       relay.onReport(makeReport(99, 10), now);
     },
     true},
    {"Ended", "a flow for an upstream that has ended",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
       relay.onUpstreamEnded("i-1");
     },
     true},
    {"OtherUpstreamEnded",
     "the end of another upstream that is applied to this one",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
       relay.onUpstreamEnded("i-2");
     },
     false},
    {"Silent", "a flow for an upstream that has crashed",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
       now += UpstreamRelayOptions{}.ReportTimeout;
     },
     true},
    {"Withdrawn", "a flow for a data centre that is out of service",
     [](UpstreamRelay &relay, TimePoint &now) {
       relay.onReport(makeReport(), now);
       relay.setUpstreamWithdrawn(true);
     },
     true},
};

INSTANTIATE_TEST_SUITE_P(Table, DeclineTest, testing::ValuesIn(DeclineCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against accepting reports of another service or address, which come
// from an earlier user of the machine.
TEST_F(UpstreamRelayTest, MismatchedReportsChangeNothing) {
  UpstreamReport it = makeReport();
  it.Service = "b";
  EXPECT_EQ(report(it), ReportResult::Mismatched);
  it = makeReport();
  it.Address.Port = 1;
  EXPECT_EQ(report(it), ReportResult::Mismatched);
  EXPECT_EQ(Relay->state(Now), LocalUpstreamState::Waiting);
}

// Guards against delivering packets to an upstream of another service when an
// address is reused.
TEST_F(UpstreamRelayTest, PacketsOfAnotherServiceAreReturned) {
  report(makeReport());
  const RelayOutput first = relayPacket(firstPacket(1), 1, Balancer, "b");
  EXPECT_FALSE(packetTo(first));
  EXPECT_TRUE(isDeclined(first));
  const RelayOutput data = relayPacket(dataPacket(1), 1, Balancer, "b");
  EXPECT_FALSE(packetTo(data));
  EXPECT_EQ(messageOf<ReturnedPacket>(data)->Reason, ReturnReason::NotHeld);
}

// Guards against a restarted agent that drops the flows which its upstream
// still holds.
TEST_F(UpstreamRelayTest, UnknownFlowsAreForwardedToTheUpstream) {
  report(makeReport());
  const auto delivered = packetTo(relayPacket(dataPacket(1, 501)));
  ASSERT_TRUE(delivered);
  EXPECT_EQ(delivered->To, Upstream);
  EXPECT_TRUE(
      messageOf<FlowHeld>(sendFromUpstream(fromUpstream(1, false, 501, 5))));
}

// Guards against returned packets that do not reach their balancer, or that are
// forwarded to another upstream with the tag and return mark still set.
TEST_F(UpstreamRelayTest, ReturnedPacketsReachTheirBalancerUnchanged) {
  report(makeReport());
  FlowPacket back =
      packetTo(relayPacket(dataPacket(1), 3, OtherBalancer))->Packet;
  EXPECT_NE(back.Tag, 0U);
  back.Returned = true;
  const RelayOutput output = sendFromUpstream(back);
  EXPECT_FALSE(packetTo(output));
  const auto returned = messageOf<ReturnedPacket>(output);
  ASSERT_TRUE(returned);
  EXPECT_EQ(output.Datagrams[0].To, OtherBalancer);
  EXPECT_EQ(returned->Reason, ReturnReason::NotHeld);
  EXPECT_EQ(returned->Attempt, 3);
  EXPECT_EQ(returned->Packet, TestPacketFormat::encode(dataPacket(1)));
}

// Guards against delivering packets of a flow that another upstream opened from
// a copy of the same first packet.
TEST_F(UpstreamRelayTest, PacketsOfAnotherConnectionAreReturned) {
  report(makeReport());
  open(1, 500);
  EXPECT_TRUE(packetTo(relayPacket(dataPacket(1, 501))));
  const RelayOutput output = relayPacket(dataPacket(1, 900'000'000));
  EXPECT_FALSE(packetTo(output));
  EXPECT_EQ(messageOf<ReturnedPacket>(output)->Reason, ReturnReason::NotHeld);
}

// Guards against a reset of a long download: its agent took the packets of the
// caller for those of another connection after 16 MB, and the sequence numbers
// of a longer one start again at 0.
TEST_F(UpstreamRelayTest, LongFlowsRemainTheSameConnection) {
  constexpr std::uint16_t DataBytes = 50'000;
  constexpr std::uint64_t TotalBytes = 5'000'000'000;
  report(makeReport());
  open(1, 500);
  std::uint32_t sequence = 501;
  for (std::uint64_t sent = 0; sent < TotalBytes; sent += DataBytes) {
    sendFromUpstream(fromUpstream(1, false, sequence, DataBytes));
    sequence += DataBytes;
    if (sent % 1'000'000 == 0) {
      ASSERT_TRUE(packetTo(relayPacket(dataPacket(1, sequence))))
          << "after " << sent << " bytes";
    }
  }
  EXPECT_FALSE(packetTo(relayPacket(dataPacket(1, sequence + 900'000'000))));
}

// Guards against new flows for an upstream that accepts none any more, because
// its agent remembers a connection with the same endpoints.
TEST_F(UpstreamRelayTest, NewConnectionOfAKnownFlowIsAdmittedAnew) {
  report(makeReport());
  relayPacket(firstPacket(1, RouteAddress, 100));
  sendFromUpstream(fromUpstream(1, true, 500));
  UpstreamReport draining = makeReport(2);
  draining.Draining = true;
  report(draining);
  EXPECT_TRUE(packetTo(relayPacket(firstPacket(1, RouteAddress, 100))));
  const auto returned =
      messageOf<ReturnedPacket>(relayPacket(firstPacket(1, RouteAddress, 900)));
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->Reason, ReturnReason::Declined);
  // The flow that the upstream may still hold is not forgotten.
  EXPECT_TRUE(messageOf<FlowHeld>(query(1)));
}

// Guards against losing first packets at an upstream that hangs.
TEST_F(UpstreamRelayTest, UnansweredFirstPacketsAreReturned) {
  report(makeReport());
  relayPacket(firstPacket(1));
  Now += UpstreamRelayOptions{}.OpenTimeout;
  EXPECT_TRUE(isDeclined(tick()));
  EXPECT_TRUE(isDeclined(relayPacket(firstPacket(2))));
  // A new report shows that the upstream is running.
  report(makeReport(2));
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(3))));
}

// Guards against exceeding the cold-start bound on first packets in any second.
TEST_F(UpstreamRelayTest, ColdStartBoundsTheRateOfNewFlows) {
  ColdRate = 4000;
  UpstreamReport it = makeReport();
  it.ColdStartRemaining = Duration(5000);
  report(it);
  std::vector<TimePoint> taken;
  for (std::uint16_t caller = 1; caller <= 500; ++caller) {
    Now += Duration(7);
    if (!isDeclined(relayPacket(firstPacket(caller))))
      taken.push_back(Now);
    answerRequest(caller);
  }
  // 4 flows per second times ColdOvershoot (1.5) plus ColdSlack (5).
  constexpr std::ptrdiff_t Bound = 11;
  EXPECT_GE(taken.size(), 30U);
  for (const TimePoint from : taken)
    EXPECT_LE(std::ranges::count_if(taken,
                                    [&](TimePoint at) {
                                      return at >= from &&
                                             at < from + Duration(1000);
                                    }),
              Bound);
  Now += Duration(5000);
  report(makeReport(2));
  for (std::uint16_t caller = 600; caller <= 640; ++caller) {
    EXPECT_FALSE(isDeclined(relayPacket(firstPacket(caller))));
    answerRequest(caller);
  }
}

// Guards against a restarted agent that does not know that its upstream is in
// a cold start.
TEST_F(UpstreamRelayTest, ColdBoundHoldsBeforeTheFirstReport) {
  ColdRate = 0;
  restartBesideALiveUpstream(*Relay, Now);
  int taken = 0;
  for (std::uint16_t caller = 1; caller <= 50; ++caller) {
    const RelayOutput output = relayPacket(firstPacket(caller));
    taken += isDeclined(output) ? 0 : 1;
    if (const auto returned = messageOf<ReturnedPacket>(output)) {
      EXPECT_GT(returned->RetryAfterMs, 0);
    }
    answerRequest(caller);
  }
  EXPECT_EQ(taken, 5);
}

// Guards against balancers that avoid an agent for seconds after it has
// restarted, although the first report of its upstream is due any moment.
TEST_F(UpstreamRelayTest, RestartedAgentIsAskedAgainSoon) {
  const auto returned = messageOf<ReturnedPacket>(relayPacket(firstPacket(1)));
  ASSERT_TRUE(returned);
  EXPECT_LE(returned->RetryAfterMs, 250);
}

// Guards against treating a cold-start rate of 0 as no bound.
TEST_F(UpstreamRelayTest, ColdRateOfZeroAllowsTheSlackOnly) {
  ColdRate = 0;
  UpstreamReport it = makeReport();
  it.ColdStartRemaining = Duration(2000);
  report(it);
  int taken = 0;
  for (std::uint16_t caller = 1; caller <= 50; ++caller) {
    taken += isDeclined(relayPacket(firstPacket(caller))) ? 0 : 1;
    answerRequest(caller);
  }
  EXPECT_EQ(taken, 5);
}

// Guards against a fault with a cold-start bound below one flow per second:
// there is then no earlier flow from which the retry delay could be computed.
TEST_F(UpstreamRelayTest, ColdBoundBelowOneFlowDeclines) {
  UpstreamRelayOptions options;
  options.Service = "a";
  options.Upstream = Upstream;
  options.ColdSlack = 0;
  Relay = makeUpstreamRelay(options, Format);
  ColdRate = 0;
  UpstreamReport it = makeReport();
  it.ColdStartRemaining = Duration(2000);
  report(it);
  const auto returned = messageOf<ReturnedPacket>(relayPacket(firstPacket(1)));
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->Reason, ReturnReason::Declined);
  EXPECT_GT(returned->RetryAfterMs, 0);
  EXPECT_LE(returned->RetryAfterMs, 2000);
  Now += Duration(2000);
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(2))));
}

// Guards against a request that queues at one upstream while another is idle.
// The first agent declines a new flow as soon as its slots are in use; later
// agents accept it.
TEST_F(UpstreamRelayTest, BusyUpstreamDeclinesOnFirstAttemptOnly) {
  report(makeReport());
  open(1);
  EXPECT_EQ(Relay->load().BusyFlows, 1);
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(2), 0)));
  EXPECT_EQ(Relay->load().BusyFlows, 2);
  EXPECT_TRUE(isDeclined(relayPacket(firstPacket(3), 0)));
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(3), 1)));
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(4), 1)));
  for (std::uint16_t caller = 5; caller <= 8; ++caller)
    EXPECT_FALSE(isDeclined(relayPacket(firstPacket(caller), 1)));
  EXPECT_TRUE(isDeclined(relayPacket(firstPacket(9), 1)));
  for (std::uint16_t caller = 1; caller <= 7; ++caller)
    answerRequest(caller);
  EXPECT_EQ(Relay->load().BusyFlows, 1);
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(9), 0)));
}

struct SlotWaitCase {
  const char *Name;
  Duration ServiceTime;
  /// Flows that two slots take on a later attempt.
  int Accepted;
};

class SlotWaitTest : public UpstreamRelayTest,
                     public testing::WithParamInterface<SlotWaitCase> {};

// Load pattern: the backlog after a loss of power, where every upstream is full
// and work takes 55 to 90 ms. Guards against a queue at the upstream in which
// every request waits until all of them miss a goal of 250 ms: eight requests
// on two slots waited 0.35 s.
TEST_P(SlotWaitTest, QueueAtTheUpstreamIsBoundedInTime) {
  report(makeReport());
  std::uint16_t caller = 1;
  for (; caller <= 60; ++caller) {
    open(caller);
    relayPacket(dataPacket(caller, 501));
    Now += GetParam().ServiceTime;
    sendFromUpstream(fromUpstream(caller, false, 501, 10));
  }
  report(makeReport(2));
  int accepted = 0;
  for (int i = 0; i < 12; ++i, ++caller) {
    if (isDeclined(relayPacket(firstPacket(caller), 1)))
      continue;
    ++accepted;
    sendFromUpstream(fromUpstream(caller, true, 500));
    relayPacket(dataPacket(caller, 501));
  }
  EXPECT_EQ(accepted, GetParam().Accepted);
  // Guards against balancers that are told another time for a request.
  EXPECT_EQ(Relay->load().ServiceTimeMs, GetParam().ServiceTime.count());
}

// Guards against a service time that is stated although the settings do not
// ask for it: balancers of the previous release could be in use.
TEST_F(UpstreamRelayTest, StatesNoServiceTimeByDefault) {
  UpstreamRelayOptions options;
  options.Service = "a";
  options.Upstream = Upstream;
  options.CallerPort = CallerPort;
  Relay = makeUpstreamRelay(options, Format);
  report(makeReport());
  open(1);
  relayPacket(dataPacket(1, 501));
  Now += Duration(20);
  sendFromUpstream(fromUpstream(1, false, 501, 10));
  EXPECT_EQ(Relay->load().ServiceTimeMs, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SlotWaitTest,
    testing::Values(SlotWaitCase{"Short", Duration(15), 8},
                    SlotWaitCase{"Medium", Duration(50), 6},
                    SlotWaitCase{"Long", Duration(100), 4},
                    SlotWaitCase{"VeryLong", Duration(400), 3}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against an idle upstream that gets no new flows because callers opened
// flows and disappeared before they sent a request.
TEST_F(UpstreamRelayTest, FlowsWithoutARequestStopCountingAsBusy) {
  report(makeReport());
  for (std::uint16_t caller = 1; caller <= 8; ++caller)
    open(caller);
  EXPECT_TRUE(isDeclined(relayPacket(firstPacket(9), 1)));
  Now += Duration(50);
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(9), 0)));
}

// Guards against an upstream that counts as busy for seconds because callers
// have given up on requests or retransmit them. New flows were refused although
// the upstream was idle.
TEST_F(UpstreamRelayTest, RepeatedRequestsDoNotCountAsNewWork) {
  report(makeReport());
  open(1);
  answerRequest(1);
  relayPacket(dataPacket(1, 501, 100));
  sendFromUpstream(fromUpstream(1, false, 501, 10));
  EXPECT_EQ(Relay->load().BusyFlows, 0);
  relayPacket(dataPacket(1, 501, 100));
  EXPECT_EQ(Relay->load().BusyFlows, 0);
  relayPacket(dataPacket(1, 511, 110));
  EXPECT_EQ(Relay->load().BusyFlows, 1);
  for (int i = 0; i < 8; ++i) {
    Now += Duration(250);
    relayPacket(dataPacket(1, 511, 110));
    tick();
  }
  EXPECT_EQ(Relay->load().BusyFlows, 0);
}

// Guards against counting ended flows indefinitely.
TEST_F(UpstreamRelayTest, EndedFlowsAreRemoved) {
  report(makeReport());
  open(1);
  open(2);
  open(3);
  EXPECT_EQ(Relay->load().Flows, 3);
  FlowPacket reset = dataPacket(1, 501);
  reset.Resets = true;
  relayPacket(reset);
  EXPECT_EQ(Relay->load().Flows, 2);
  FlowPacket upstreamReset = fromUpstream(2, false, 501);
  upstreamReset.Resets = true;
  sendFromUpstream(upstreamReset);
  EXPECT_EQ(Relay->load().Flows, 1);
  Now += UpstreamRelayOptions{}.FlowIdleTimeout;
  tick();
  EXPECT_EQ(Relay->load().Flows, 0);
}

// Guards against counting the flows of an earlier lifetime as load of the new
// one.
TEST_F(UpstreamRelayTest, NewLifetimeStartsWithoutFlows) {
  report(makeReport(1, 10));
  open(1);
  relayPacket(dataPacket(1, 501));
  report(makeReport(1, 11));
  EXPECT_EQ(Relay->load().Flows, 0);
  EXPECT_EQ(Relay->load().BusyFlows, 0);
}

// Guards against declining flows for half a second at a healthy upstream,
// because a caller gave up before the upstream had answered its first packet.
TEST_F(UpstreamRelayTest, ResetOfAPendingFlowDoesNotBlameTheUpstream) {
  report(makeReport());
  relayPacket(firstPacket(1));
  FlowPacket reset = dataPacket(1);
  reset.Acknowledges = false;
  reset.Resets = true;
  relayPacket(reset);
  Now += UpstreamRelayOptions{}.OpenTimeout;
  EXPECT_FALSE(messageOf<ReturnedPacket>(tick()));
  EXPECT_FALSE(isDeclined(relayPacket(firstPacket(2))));
}

// Guards against searches that do not find the holder, and against answers of
// an agent whose address belonged to an upstream of another service.
TEST_F(UpstreamRelayTest, QueriesAreAnsweredFromTheFlowTable) {
  report(makeReport());
  open(1);
  const auto held = messageOf<FlowHeld>(query(1));
  ASSERT_TRUE(held);
  EXPECT_EQ(held->Caller, callerEndpoint(1));
  EXPECT_EQ(held->Service, RouteAddress);
  EXPECT_EQ(held->FirstSequence, 500U);
  EXPECT_EQ(isCertainlyNotHeld(2), true);
  const auto other = messageOf<FlowsNotHeld>(query(1, "b"));
  ASSERT_TRUE(other);
  EXPECT_TRUE(other->Flows.at(0).IsCertain);
  // Several flows in one query.
  open(3);
  RelayOutput output;
  Relay->onFlowQuery({hashServiceName("a"),
                      {{callerEndpoint(3), RouteAddress},
                       {callerEndpoint(4), RouteAddress},
                       {callerEndpoint(5), RouteAddress}}},
                     OtherBalancer, Now, output);
  ASSERT_EQ(output.Datagrams.size(), 2U);
  EXPECT_EQ(messageOf<FlowHeld>(output)->Caller, callerEndpoint(3));
  EXPECT_EQ(messageOf<FlowsNotHeld>(output)->Flows.size(), 2U);
}

// Guards against a reset of an open flow: an agent that says "not held"
// although it does not know the flow, or does not know whether the upstream
// accepted it.
TEST_F(UpstreamRelayTest, UnansweredFirstPacketIsNotCertainlyNotHeld) {
  report(makeReport());
  relayPacket(firstPacket(1));
  EXPECT_EQ(isCertainlyNotHeld(1), false);
  FlowPacket back = packetTo(relayPacket(dataPacket(2)))->Packet;
  EXPECT_EQ(isCertainlyNotHeld(2), false);
  back.Returned = true;
  sendFromUpstream(back);
  EXPECT_EQ(isCertainlyNotHeld(2), true);
}

struct RestartCase {
  const char *Name;
  /// Start of the agent and of the upstream, in milliseconds.
  std::uint64_t AgentStart;
  std::uint64_t UpstreamStart;
  /// Sequence number of the first report.
  std::uint64_t Sequence;
  Duration RunningFor;
  bool IsCertain;
};

class RestartedAgentTest : public UpstreamRelayTest,
                           public testing::WithParamInterface<RestartCase> {};

// Guards against a restarted agent that denies flows which its upstream has
// opened before, and against agents that send packets to their upstream
// although both started together, after a loss of power.
TEST_P(RestartedAgentTest, KnowsAllFlowsOnlyIfItSawThemOpen) {
  const RestartCase &it = GetParam();
  startAgent(it.AgentStart);
  tick();
  EXPECT_EQ(isCertainlyNotHeld(1), false) << "before the first report";
  Now += it.RunningFor;
  report(makeReport(it.Sequence, it.UpstreamStart));
  EXPECT_EQ(isCertainlyNotHeld(1), it.IsCertain);
}

const RestartCase RestartCases[] = {
    {"UpstreamStartedLater", 50'000, 60'000, 1, Duration(0), true},
    {"StartedTogether", 50'300, 50'000, 1, Duration(0), true},
    {"AgentRestarted", 60'000, 50'000, 9, Duration(0), false},
    {"AgentRestartedSoon", 50'600, 50'000, 1, Duration(0), false},
    {"ClockSetBackBeforeTheRestart", 40'000, 50'000, 9, Duration(0), false},
    {"RunningLongerThanAnyIdleFlow", 60'000, 50'000, 9,
     UpstreamRelayOptions{}.FlowIdleTimeout, true},
};

INSTANTIATE_TEST_SUITE_P(Table, RestartedAgentTest,
                         testing::ValuesIn(RestartCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against denying a flow that the new process of an upstream accepted
// before its first report.
TEST_F(UpstreamRelayTest, FlowsBeforeTheFirstReportOfALifetimeAreUncertain) {
  report(makeReport(7, 10));
  open(1);
  Now += Duration(6000);
  report(makeReport(8, 10));
  open(2);
  Now += Duration(2000);
  report(makeReport(1, 11));
  EXPECT_EQ(isCertainlyNotHeld(1), true);
  EXPECT_EQ(isCertainlyNotHeld(2), false);
  // The upstream tells, by returning a packet or by answering it.
  FlowPacket back = packetTo(relayPacket(dataPacket(2, 501)))->Packet;
  back.Returned = true;
  sendFromUpstream(back);
  EXPECT_EQ(isCertainlyNotHeld(2), true);
}

// Guards against denying open flows of an upstream whose first report is late,
// for example because its machine is overloaded.
TEST_F(UpstreamRelayTest, FlowsBeforeALateFirstReportAreUncertain) {
  constexpr Duration Delay{10'000};
  startAgent(50'000);
  tick();
  sendFromUpstream(fromUpstream(1, true, 500));
  Now += Delay;
  report(makeReport(1, 50'000));
  EXPECT_EQ(isCertainlyNotHeld(1), false);
  EXPECT_EQ(isCertainlyNotHeld(3), true);
  // The same for a later lifetime.
  Now += Duration(1000);
  open(2);
  Now += Delay;
  report(makeReport(1, 60'000));
  EXPECT_EQ(isCertainlyNotHeld(2), false);
  EXPECT_EQ(isCertainlyNotHeld(3), true);
}

// Guards against a reset for a caller that retransmits its last packet, and
// against counting closed flows as load.
TEST_F(UpstreamRelayTest, ClosedFlowsAreKnownForAWhileButAreNoLoad) {
  report(makeReport());
  open(1);
  sendFromUpstream(endOf(fromUpstream(1, false, 501)));
  EXPECT_EQ(Relay->load().Flows, 1);
  relayPacket(endOf(dataPacket(1, 502)));
  EXPECT_EQ(Relay->load().Flows, 0);
  Now += Duration(10000);
  report(makeReport(2));
  tick();
  EXPECT_EQ(isCertainlyNotHeld(1), std::nullopt);
  Now += Duration(2000);
  tick();
  EXPECT_EQ(isCertainlyNotHeld(1), true);
  EXPECT_EQ(Relay->load().Flows, 0);
}

struct ChainCase {
  const char *Name;
  /// The failure that the row guards against, printed when the row fails.
  const char *Guards;
  /// Service that the message names.
  const char *NamedService;
  /// The agent started after its upstream and does not know all flows.
  bool IsRestarted;
  bool IsOpen;
  std::uint32_t Acknowledgement;
  /// The upstream has returned another packet of the flow this long before.
  std::optional<Duration> ReturnedBefore;
  bool IsDelivered;
};

class ChainedPacketTest : public UpstreamRelayTest,
                          public testing::WithParamInterface<ChainCase> {};

TEST_P(ChainedPacketTest, IsDeliveredOrPassedOn) {
  const ChainCase &it = GetParam();
  startAgent(it.IsRestarted ? 60'000 : 0);
  report(makeReport(it.IsRestarted ? 9 : 1));
  if (it.IsOpen)
    open(1);
  if (it.ReturnedBefore) {
    sendBack(relayPacket(dataPacket(1)));
    Now += *it.ReturnedBefore;
  }
  const FlowPacket packet = dataPacket(1, it.Acknowledgement);
  const RelayOutput output = chainPacket(packet, {NextAgent, LastAgent},
                                         OtherBalancer, it.NamedService);
  EXPECT_EQ(packetTo(output).has_value(), it.IsDelivered) << it.Guards;
  EXPECT_EQ(messageOf<FlowHeld>(output).has_value(), it.IsOpen) << it.Guards;
  EXPECT_EQ(messageOf<FlowsNotHeld>(output).has_value(), !it.IsDelivered)
      << it.Guards;
  EXPECT_EQ(messageOf<ChainedPacket>(output).has_value(), !it.IsDelivered)
      << it.Guards;
}

const ChainCase ChainCases[] = {
    {"HeldFlow", "a holder that is not confirmed", "a", false, true, 501,
     std::nullopt, true},
    {"KnownNotHeld", "a delivery to an upstream that lacks the flow", "a",
     false, false, 501, std::nullopt, false},
    {"Uncertain", "a flow that is denied without asking the upstream", "a",
     true, false, 501, std::nullopt, true},
    {"OtherService", "a packet for the upstream of another service", "b", true,
     false, 501, std::nullopt, false},
    {"ReturnedBefore", "a second delivery of what the upstream has returned",
     "a", true, false, 501, Duration(9000), false},
    {"ReturnedLongAgo", "a denial from memory that has expired", "a", true,
     false, 501, Duration(10000), true},
};

INSTANTIATE_TEST_SUITE_P(Table, ChainedPacketTest,
                         testing::ValuesIn(ChainCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against a chain that ends at an upstream which returns the packet, and
// against a negative reply that does not reach the balancer.
TEST_F(UpstreamRelayTest, ReturnedChainedPacketCarriesOn) {
  startAgent(60'000);
  report(makeReport(9));
  const FlowPacket packet = dataPacket(1, 501);
  const RelayOutput delivered = chainPacket(packet);
  ASSERT_TRUE(packetTo(delivered));
  const RelayOutput output = sendBack(delivered);
  ASSERT_EQ(output.Datagrams.size(), 2U);
  EXPECT_EQ(output.Datagrams[0].To, OtherBalancer);
  const auto negative = messageOf<FlowsNotHeld>(output);
  ASSERT_TRUE(negative);
  EXPECT_EQ(negative->Flows, (std::vector<FlowNotHeld>{
                                 {{callerEndpoint(1), RouteAddress}, true}}));
  EXPECT_EQ(output.Datagrams[1].To, NextAgent);
  const auto chained = messageOf<ChainedPacket>(output);
  ASSERT_TRUE(chained);
  EXPECT_EQ(chained->Service, hashServiceName("a"));
  EXPECT_EQ(chained->OriginBalancer, OtherBalancer);
  EXPECT_EQ(chained->NextAgents, std::vector<Endpoint>{LastAgent});
  const auto passedOn = Format.decode(chained->Packet);
  ASSERT_TRUE(passedOn);
  EXPECT_EQ(passedOn->Acknowledgement, 501U);
  EXPECT_EQ(passedOn->Tag, 0U);
  EXPECT_FALSE(passedOn->Returned);
  // A second copy of the returned packet starts no second chain.
  EXPECT_FALSE(messageOf<ChainedPacket>(sendBack(delivered)));
  // The last agent of a chain sends only the reply.
  EXPECT_EQ(sendBack(chainPacket(dataPacket(2), {})).Datagrams.size(), 1U);
}

// Guards against replies to the previous agent instead of the balancer that
// searches, and against a holder that does not report to that balancer.
TEST_F(UpstreamRelayTest, FirstAgentOfAChainSetsTheOrigin) {
  startAgent(60'000);
  report(makeReport(9));
  const RelayOutput output =
      sendBack(chainPacket(dataPacket(1), {NextAgent}, {}));
  EXPECT_EQ(output.Datagrams.at(0).To, Balancer);
  EXPECT_EQ(messageOf<ChainedPacket>(output)->OriginBalancer, Balancer);
  chainPacket(dataPacket(2));
  const RelayOutput answer = sendFromUpstream(fromUpstream(2, false, 501, 10));
  ASSERT_TRUE(messageOf<FlowHeld>(answer));
  EXPECT_EQ(answer.Datagrams.at(0).To, OtherBalancer);
}

// Guards against a first packet that reaches the upstream without admission.
TEST_F(UpstreamRelayTest, FirstPacketInAChainIsDropped) {
  report(makeReport());
  EXPECT_TRUE(chainPacket(firstPacket(1)).Datagrams.empty());
  EXPECT_EQ(Relay->counters().Malformed, 1U);
}

// Guards against denying an open flow because the upstream returned a packet
// before the flow opened there, or a packet of an earlier connection.
TEST_F(UpstreamRelayTest, ReturnedPacketsSayNothingOfLaterFlows) {
  startAgent(60'000);
  report(makeReport(9));
  const auto giveBack = [&](std::uint16_t caller) {
    return sendBack(relayPacket(dataPacket(caller)));
  };
  giveBack(1);
  EXPECT_EQ(isCertainlyNotHeld(1), true);
  relayPacket(firstPacket(1));
  EXPECT_EQ(isCertainlyNotHeld(1), false);
  // A packet that was given to the upstream before the flow opened.
  const RelayOutput early = relayPacket(dataPacket(2));
  relayPacket(firstPacket(2));
  sendBack(early);
  EXPECT_EQ(isCertainlyNotHeld(2), false);
  // The upstream sends a packet of the flow.
  giveBack(3);
  sendFromUpstream(fromUpstream(3, false, 501, 10));
  EXPECT_EQ(isCertainlyNotHeld(3), std::nullopt);
}

// Guards against a memory of returned flows that grows without limit.
TEST_F(UpstreamRelayTest, ReturnedFlowsAreBounded) {
  startAgent(60'000);
  report(makeReport(9));
  for (std::uint16_t caller = 1; caller <= 5000; ++caller)
    sendBack(relayPacket(dataPacket(caller)));
  EXPECT_EQ(isCertainlyNotHeld(1), false);
  EXPECT_EQ(isCertainlyNotHeld(5000), true);
}

} // namespace
} // namespace pistachio
