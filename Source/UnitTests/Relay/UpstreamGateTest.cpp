#include "RelayWorld.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Endpoint Upstream{0x0A000001, 8080};
constexpr Endpoint Balancer{0x0A000009, 6000};
constexpr Endpoint OtherBalancer{0x0A00000A, 6000};
constexpr std::uint16_t CallerPort = 9000;

UpstreamReport makeReport(std::uint64_t sequence = 1, std::uint64_t born = 10) {
  UpstreamReport report;
  report.Id = "i-1";
  report.Service = "a";
  report.Address = Upstream;
  report.Slots = 2;
  report.Sequence = sequence;
  report.BornMs = born;
  return report;
}

struct Sent {
  Endpoint To;
  FlowPacket Packet;
};

class UpstreamGateTest : public testing::Test {
protected:
  UpstreamGateTest() {
    UpstreamGateOptions options;
    options.Service = "a";
    options.Upstream = Upstream;
    options.CallerPort = CallerPort;
    Gate = makeUpstreamGate(options, Format);
  }

  ReportResult report(const UpstreamReport &it) {
    return Gate->onReport(it, Now);
  }

  GateOutput relay(const FlowPacket &packet, std::uint8_t attempt = 1,
                   const Endpoint &balancer = Balancer,
                   const std::string &service = "a", bool asks = false) {
    GateOutput output;
    Gate->onRelayed({tagOfService(service), attempt, asks, ColdRate,
                     TestFormat::encode(packet)},
                    balancer, Now, output);
    return output;
  }
  GateOutput answer(const FlowPacket &packet) {
    GateOutput output;
    Gate->onUpstreamPacket(TestFormat::encode(packet), Now, output);
    return output;
  }
  GateOutput tick() {
    GateOutput output;
    Gate->tick(Now, output);
    return output;
  }

  /// The upstream's packet of a caller's flow.
  static FlowPacket fromUpstream(std::uint16_t caller, bool opens,
                                 std::uint32_t sequence,
                                 std::uint16_t dataBytes = 0) {
    FlowPacket packet;
    packet.Source = RouteAddress;
    packet.Destination = callerOf(caller);
    packet.Opens = opens;
    packet.Acknowledges = true;
    packet.Sequence = sequence;
    packet.DataBytes = dataBytes;
    return packet;
  }
  void open(std::uint16_t caller, std::uint32_t sequence = 500) {
    relay(firstPacket(caller));
    answer(fromUpstream(caller, true, sequence));
  }
  /// The upstream takes the flow and answers its first request.
  void serve(std::uint16_t caller) {
    answer(fromUpstream(caller, true, 500));
    answer(fromUpstream(caller, false, 501, 10));
  }

  std::optional<Sent> packetTo(const GateOutput &output) {
    for (const auto &it : output.Datagrams)
      if (const auto *buf = std::get_if<Bytes>(&it.Content))
        return Sent{it.To, *Format.decode(*buf)};
    return std::nullopt;
  }
  template <typename Message>
  static std::optional<Message> messageOf(const GateOutput &output) {
    for (const auto &it : output.Datagrams)
      if (const auto *message = std::get_if<DataMessage>(&it.Content))
        if (const auto *wanted = std::get_if<Message>(message))
          return *wanted;
    return std::nullopt;
  }
  bool isDeclined(const GateOutput &output) {
    const auto returned = messageOf<ReturnedPacket>(output);
    return returned && returned->Reason == ReturnReason::Declined;
  }

  TestFormat Format;
  std::uint32_t ColdRate = UnlimitedColdRate;
  TimePoint Now{Duration(1000000)};
  std::unique_ptr<UpstreamGate> Gate;
};

// Guards against a latency histogram that counts what is no answer, or counts
// an answer twice.
TEST_F(UpstreamGateTest, ReportsHowLongTheUpstreamTook) {
  using Kind = GateOutput::Timing::Kind;
  report(makeReport());
  relay(firstPacket(1));
  Now += Duration(3);
  const GateOutput opened = answer(fromUpstream(1, true, 500));
  ASSERT_EQ(opened.Timings.size(), 1U);
  EXPECT_EQ(opened.Timings[0].Measured, Kind::Open);
  EXPECT_EQ(opened.Timings[0].Time, Duration(3));
  EXPECT_TRUE(answer(fromUpstream(1, true, 500)).Timings.empty());
  FlowPacket request = dataPacket(1, 501);
  request.DataBytes = 20;
  EXPECT_TRUE(relay(request).Timings.empty());
  Now += Duration(40);
  EXPECT_TRUE(answer(fromUpstream(1, false, 501)).Timings.empty());
  const GateOutput answered = answer(fromUpstream(1, false, 501, 10));
  ASSERT_EQ(answered.Timings.size(), 1U);
  EXPECT_EQ(answered.Timings[0].Measured, Kind::Answer);
  EXPECT_EQ(answered.Timings[0].Time, Duration(40));
  EXPECT_TRUE(answer(fromUpstream(1, false, 511, 10)).Timings.empty());
}

// Guards against a flow that does not reach its upstream, an answer that does
// not reach its caller, and a balancer that is not told.
TEST_F(UpstreamGateTest, CarriesAFlow) {
  report(makeReport());
  const auto delivered = packetTo(relay(firstPacket(1)));
  ASSERT_TRUE(delivered);
  EXPECT_EQ(delivered->To, Upstream);
  const GateOutput accepted = answer(fromUpstream(1, true, 500));
  const auto toCaller = packetTo(accepted);
  ASSERT_TRUE(toCaller);
  EXPECT_EQ(toCaller->To, (Endpoint{callerOf(1).Address, CallerPort}));
  const auto held = messageOf<FlowHeld>(accepted);
  ASSERT_TRUE(held);
  EXPECT_EQ(held->Caller, callerOf(1));
  EXPECT_EQ(held->FirstSequence, 500U);
  // Told once for each balancer.
  EXPECT_FALSE(messageOf<FlowHeld>(answer(fromUpstream(1, false, 501, 10))));
  relay(dataPacket(1, 501), 0, OtherBalancer);
  EXPECT_TRUE(messageOf<FlowHeld>(answer(fromUpstream(1, false, 511, 10))));
}

// Guards against a balancer that was restarted, is never told again which agent
// holds a flow, and searches for it with every packet.
TEST_F(UpstreamGateTest, ABalancerThatAsksIsToldAgain) {
  report(makeReport());
  open(1);
  EXPECT_FALSE(messageOf<FlowHeld>(relay(dataPacket(1, 501))));
  const auto held =
      messageOf<FlowHeld>(relay(dataPacket(1, 501), 0, Balancer, "a", true));
  ASSERT_TRUE(held);
  EXPECT_EQ(held->FirstSequence, 500U);
}

struct RefusalCase {
  const char *Name;
  /// The failure that the row guards against.
  const char *Guards;
  void (*Prepare)(UpstreamGate &gate, TimePoint &now);
  bool Declines;
};

class RefusalTest : public UpstreamGateTest,
                    public testing::WithParamInterface<RefusalCase> {};

TEST_P(RefusalTest, OfAFirstPacket) {
  const RefusalCase &it = GetParam();
  it.Prepare(*Gate, Now);
  const GateOutput output = relay(firstPacket(1));
  EXPECT_EQ(isDeclined(output), it.Declines) << it.Guards;
  EXPECT_EQ(packetTo(output).has_value(), !it.Declines) << it.Guards;
}

UpstreamReport draining(UpstreamReport report) {
  report.Draining = true;
  return report;
}

const RefusalCase RefusalCases[] = {
    {"NoReport", "a flow for an upstream that is not there yet",
     [](UpstreamGate &, TimePoint &) {}, true},
    {"Ready", "an upstream that gets nothing",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
     },
     false},
    {"Draining", "a new flow after the drain was acknowledged",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
       gate.onReport(draining(makeReport(2)), now);
     },
     true},
    {"LateReportAfterDrain", "a delayed report that ends a drain",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(1), now);
       gate.onReport(draining(makeReport(3)), now);
       gate.onReport(makeReport(2), now);
     },
     true},
    {"ReadyAfterDrain", "a lifetime that drains and takes flows again",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(draining(makeReport(1)), now);
       gate.onReport(makeReport(2), now);
     },
     true},
    {"NewLifetime", "a new lifetime that is taken for the drained one",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(draining(makeReport(9, 10)), now);
       gate.onReport(makeReport(1, 11), now);
     },
     false},
    {"EarlierLifetime", "a delayed report that revives an ended lifetime",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(1, 11), now);
       gate.onLeft("i-1");
       gate.onReport(makeReport(99, 10), now);
     },
     true},
    {"Left", "a flow for an upstream that has ended",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
       gate.onLeft("i-1");
     },
     true},
    {"OtherLeft", "the end of one upstream that ends another",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
       gate.onLeft("i-2");
     },
     false},
    {"Silent", "a flow for an upstream that has crashed",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
       now += UpstreamGateOptions{}.ReportTimeout;
     },
     true},
    {"Withdrawn", "a flow for a data centre that is out",
     [](UpstreamGate &gate, TimePoint &now) {
       gate.onReport(makeReport(), now);
       gate.setWithdrawn(true);
     },
     true},
};

INSTANTIATE_TEST_SUITE_P(Table, RefusalTest, testing::ValuesIn(RefusalCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

// Guards against reports of another service or address, which come from an
// earlier user of the machine.
TEST_F(UpstreamGateTest, ForeignReportsChangeNothing) {
  UpstreamReport it = makeReport();
  it.Service = "b";
  EXPECT_EQ(report(it), ReportResult::Foreign);
  it = makeReport();
  it.Address.Port = 1;
  EXPECT_EQ(report(it), ReportResult::Foreign);
  EXPECT_EQ(Gate->state(Now), GateState::Waiting);
}

// Guards against packets that cross services when addresses are used again.
TEST_F(UpstreamGateTest, PacketsOfAnotherServiceGoBack) {
  report(makeReport());
  const GateOutput first = relay(firstPacket(1), 1, Balancer, "b");
  EXPECT_FALSE(packetTo(first));
  EXPECT_TRUE(isDeclined(first));
  const GateOutput data = relay(dataPacket(1), 1, Balancer, "b");
  EXPECT_FALSE(packetTo(data));
  EXPECT_EQ(messageOf<ReturnedPacket>(data)->Reason, ReturnReason::NotHeld);
}

// Guards against an agent that was restarted and drops the flows that its
// upstream still holds.
TEST_F(UpstreamGateTest, UnknownFlowsAreOfferedToTheUpstream) {
  report(makeReport());
  const auto delivered = packetTo(relay(dataPacket(1, 501)));
  ASSERT_TRUE(delivered);
  EXPECT_EQ(delivered->To, Upstream);
  EXPECT_TRUE(messageOf<FlowHeld>(answer(fromUpstream(1, false, 501, 5))));
}

// Guards against packets that do not find their way on, or that reach another
// upstream altered.
TEST_F(UpstreamGateTest, GivenBackPacketsReturnToTheirBalancerAsTheyCame) {
  report(makeReport());
  FlowPacket back = packetTo(relay(dataPacket(1), 3, OtherBalancer))->Packet;
  EXPECT_NE(back.Tag, 0U);
  back.Returned = true;
  const GateOutput output = answer(back);
  EXPECT_FALSE(packetTo(output));
  const auto returned = messageOf<ReturnedPacket>(output);
  ASSERT_TRUE(returned);
  EXPECT_EQ(output.Datagrams[0].To, OtherBalancer);
  EXPECT_EQ(returned->Reason, ReturnReason::NotHeld);
  EXPECT_EQ(returned->Attempt, 3);
  EXPECT_EQ(returned->Packet, TestFormat::encode(dataPacket(1)));
}

// Guards against packets for a flow that another upstream opened from a copy of
// the same first packet.
TEST_F(UpstreamGateTest, AnotherNumberingIsNotHeldHere) {
  report(makeReport());
  open(1, 500);
  EXPECT_TRUE(packetTo(relay(dataPacket(1, 501))));
  const GateOutput output = relay(dataPacket(1, 900'000'000));
  EXPECT_FALSE(packetTo(output));
  EXPECT_EQ(messageOf<ReturnedPacket>(output)->Reason, ReturnReason::NotHeld);
}

// Guards against an upstream that hangs and swallows first packets.
TEST_F(UpstreamGateTest, UnansweredFirstPacketsGoElsewhere) {
  report(makeReport());
  relay(firstPacket(1));
  Now += UpstreamGateOptions{}.OpenTimeout;
  EXPECT_TRUE(isDeclined(tick()));
  EXPECT_TRUE(isDeclined(relay(firstPacket(2))));
  // A report shows that it lives.
  report(makeReport(2));
  EXPECT_FALSE(isDeclined(relay(firstPacket(3))));
}

// Guards against an upstream in a cold start that gets more first packets in
// any second than it bears.
TEST_F(UpstreamGateTest, ColdUpstreamGetsWhatItBears) {
  ColdRate = 4000;
  UpstreamReport it = makeReport();
  it.ColdLeft = Duration(5000);
  report(it);
  std::vector<TimePoint> taken;
  for (std::uint16_t caller = 1; caller <= 500; ++caller) {
    Now += Duration(7);
    if (!isDeclined(relay(firstPacket(caller))))
      taken.push_back(Now);
    serve(caller);
  }
  // 4 a second times 1.5, and 5.
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
    EXPECT_FALSE(isDeclined(relay(firstPacket(caller))));
    serve(caller);
  }
}

// Guards against a rate of 0 that is taken for no bound.
TEST_F(UpstreamGateTest, ColdUpstreamThatBearsNothingGetsTheSlackOnly) {
  ColdRate = 0;
  UpstreamReport it = makeReport();
  it.ColdLeft = Duration(2000);
  report(it);
  int taken = 0;
  for (std::uint16_t caller = 1; caller <= 50; ++caller) {
    taken += isDeclined(relay(firstPacket(caller))) ? 0 : 1;
    serve(caller);
  }
  EXPECT_EQ(taken, 5);
}

// Guards against a cold bound below one flow a second, for which no earlier
// flow tells how long to wait.
TEST_F(UpstreamGateTest, ColdUpstreamThatMayGetNothingDeclines) {
  UpstreamGateOptions options;
  options.Service = "a";
  options.Upstream = Upstream;
  options.ColdSlack = 0;
  Gate = makeUpstreamGate(options, Format);
  ColdRate = 0;
  UpstreamReport it = makeReport();
  it.ColdLeft = Duration(2000);
  report(it);
  const auto returned = messageOf<ReturnedPacket>(relay(firstPacket(1)));
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->Reason, ReturnReason::Declined);
  EXPECT_GT(returned->RetryAfterMs, 0);
  EXPECT_LE(returned->RetryAfterMs, 2000);
  Now += Duration(2000);
  EXPECT_FALSE(isDeclined(relay(firstPacket(2))));
}

// Guards against the pattern of a request that waits behind others while
// another upstream is idle: the first agent asked passes it on as soon as its
// slots are taken, a later one takes it.
TEST_F(UpstreamGateTest, BusyUpstreamPassesNewFlowsOnOnce) {
  report(makeReport());
  open(1);
  EXPECT_EQ(Gate->load().BusyFlows, 1);
  EXPECT_FALSE(isDeclined(relay(firstPacket(2), 0)));
  EXPECT_EQ(Gate->load().BusyFlows, 2);
  EXPECT_TRUE(isDeclined(relay(firstPacket(3), 0)));
  EXPECT_FALSE(isDeclined(relay(firstPacket(3), 1)));
  EXPECT_FALSE(isDeclined(relay(firstPacket(4), 1)));
  for (std::uint16_t caller = 5; caller <= 8; ++caller)
    EXPECT_FALSE(isDeclined(relay(firstPacket(caller), 1)));
  EXPECT_TRUE(isDeclined(relay(firstPacket(9), 1)));
  for (std::uint16_t caller = 1; caller <= 7; ++caller)
    serve(caller);
  EXPECT_EQ(Gate->load().BusyFlows, 1);
  EXPECT_FALSE(isDeclined(relay(firstPacket(9), 0)));
}

// Guards against an upstream that stands idle because callers opened flows and
// went away before they sent a request.
TEST_F(UpstreamGateTest, FlowsWithoutARequestAreNoWorkForLong) {
  report(makeReport());
  for (std::uint16_t caller = 1; caller <= 8; ++caller)
    open(caller);
  EXPECT_TRUE(isDeclined(relay(firstPacket(9), 1)));
  Now += Duration(50);
  EXPECT_FALSE(isDeclined(relay(firstPacket(9), 0)));
}

// Guards against an upstream that counts as busy for seconds because callers
// have given up on requests or send them again; new flows were refused although
// it was idle.
TEST_F(UpstreamGateTest, RequestsSentAgainAreNoNewWork) {
  report(makeReport());
  open(1);
  serve(1);
  relay(dataPacket(1, 501, 100));
  answer(fromUpstream(1, false, 501, 10));
  EXPECT_EQ(Gate->load().BusyFlows, 0);
  relay(dataPacket(1, 501, 100));
  EXPECT_EQ(Gate->load().BusyFlows, 0);
  relay(dataPacket(1, 511, 110));
  EXPECT_EQ(Gate->load().BusyFlows, 1);
  for (int i = 0; i < 8; ++i) {
    Now += Duration(250);
    relay(dataPacket(1, 511, 110));
    tick();
  }
  EXPECT_EQ(Gate->load().BusyFlows, 0);
}

// Guards against flows that are counted for ever.
TEST_F(UpstreamGateTest, EndedFlowsAreForgotten) {
  report(makeReport());
  open(1);
  open(2);
  open(3);
  EXPECT_EQ(Gate->load().Flows, 3);
  FlowPacket reset = dataPacket(1, 501);
  reset.Resets = true;
  relay(reset);
  EXPECT_EQ(Gate->load().Flows, 2);
  FlowPacket upstreamReset = fromUpstream(2, false, 501);
  upstreamReset.Resets = true;
  answer(upstreamReset);
  EXPECT_EQ(Gate->load().Flows, 1);
  Now += UpstreamGateOptions{}.FlowIdle;
  tick();
  EXPECT_EQ(Gate->load().Flows, 0);
}

// Guards against the flows of an earlier lifetime that count as load of the
// new one.
TEST_F(UpstreamGateTest, NewLifetimeHoldsNothing) {
  report(makeReport(1, 10));
  open(1);
  relay(dataPacket(1, 501));
  report(makeReport(1, 11));
  EXPECT_EQ(Gate->load().Flows, 0);
  EXPECT_EQ(Gate->load().BusyFlows, 0);
}

} // namespace
} // namespace pistachio
