#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>

namespace pistachio {
namespace {

constexpr ServiceId Service{1};
constexpr Duration Second{1000};
constexpr Endpoint Balancer{0x0A010000, 1};

Candidate member(std::uint32_t n) {
  return {{n}, {n}, {0x0A000000 + n, 1}, CandidateState::Accepting};
}

/// The agent is member 1 of the ranking 1, 2. Control has accepted it, and it
/// has been a member for long enough to accept flows without probing.
struct AgentFixture {
  explicit AgentFixture(std::uint32_t maxFlows = 4000) {
    PlacementOptions options;
    options.ProcessIncarnation = {1};
    options.Address = member(1).Address;
    options.MaxFlows = maxFlows;
    Placement = makeFlowPlacement(options, Now);
    // Longer than FirstPacketWindow.
    advance(41 * Second);
    Output = {};
  }

  /// Delivers the reply of control to an announcement.
  void announce(AnnounceResult result = AnnounceResult::Accepted) {
    Placement->onAnnounceReply({result, {1}, Service, ""}, Now, Output);
  }
  /// Advances the time with one announcement per second.
  void advance(Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      announce();
      Now += std::min<Duration>(Second, end - Now);
    }
  }
  /// Builds a packet as a balancer forwards it to member 1.
  static ForwardedPacket packet(std::uint64_t flow, std::uint8_t flags) {
    ForwardedPacket out;
    out.Packet.Caller = {0x0A020000, static_cast<std::uint16_t>(flow)};
    out.Packet.Flow = {flow};
    out.Packet.Flags = flags;
    out.Service = Service;
    out.EndsRanking = true;
    out.OriginBalancer = Balancer;
    out.TableRevision = {1};
    out.Chain = {member(1), member(2)};
    return out;
  }
  void receive(ForwardedPacket it) {
    Placement->onForwarded(std::move(it), Now, Output);
  }
  void openFlows(std::uint64_t count) {
    for (std::uint64_t n = 1; n <= count; ++n)
      receive(packet(n, PacketFlag::First));
    ASSERT_EQ(Placement->flowCount(), count);
    Output = {};
  }
  /// Kinds of the replies to callers.
  std::vector<CallerReplyKind> replies() const {
    std::vector<CallerReplyKind> out;
    for (const OutgoingDatagram &it : Output.Datagrams)
      if (const auto *reply = std::get_if<CallerReply>(&it.Message))
        out.push_back(reply->Kind);
    return out;
  }
  /// Addresses to which packets were forwarded.
  std::vector<Endpoint> forwarded() const {
    std::vector<Endpoint> out;
    for (const OutgoingDatagram &it : Output.Datagrams)
      if (std::holds_alternative<ForwardedPacket>(it.Message))
        out.push_back(it.To);
    return out;
  }

  TimePoint Now{Duration(1000000)};
  std::unique_ptr<FlowPlacement> Placement;
  PlacementOutput Output;
};

using Replies = std::vector<CallerReplyKind>;

struct DataCentreOutCase {
  const char *Name;
  bool IsStopping;
  std::uint64_t Flows;
};

class DataCentreTakenOut : public testing::TestWithParam<DataCentreOutCase> {};

// Guards against an idle caller that notices the loss of its flow only with its
// next request, and against a second reset for the same flow.
TEST_P(DataCentreTakenOut, EachOpenFlowIsResetOnce) {
  const auto &[name, isStopping, flows] = GetParam();
  AgentFixture agent;
  agent.openFlows(flows);
  if (isStopping)
    agent.Placement->beginShutdown(agent.Now);
  agent.announce(AnnounceResult::DataCentreOut);
  ASSERT_EQ(agent.Placement->lifecycle(), Lifecycle::OutOfService);
  std::set<FlowKey> reset;
  for (const OutgoingDatagram &it : agent.Output.Datagrams) {
    const auto *reply = std::get_if<CallerReply>(&it.Message);
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(reply->Kind, CallerReplyKind::Reset);
    reset.insert({it.To, reply->Flow});
  }
  const std::set<FlowKey> closed(agent.Output.Closed.begin(),
                                 agent.Output.Closed.end());
  EXPECT_EQ(agent.Output.Datagrams.size(), flows);
  EXPECT_EQ(closed.size(), flows);
  EXPECT_EQ(reset, closed);
  EXPECT_EQ(agent.Placement->counters().Resets, flows);
  EXPECT_EQ(agent.Placement->flowCount(), 0u);

  agent.Output = {};
  agent.announce(AnnounceResult::DataCentreOut);
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_TRUE(agent.Output.Datagrams.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, DataCentreTakenOut,
    testing::Values(DataCentreOutCase{"NoFlow", false, 0},
                    DataCentreOutCase{"OneFlow", false, 1},
                    DataCentreOutCase{"ManyFlows", false, 300},
                    DataCentreOutCase{"Stopping", true, 3}),
    [](const testing::TestParamInfo<DataCentreOutCase> &it) {
      return std::string(it.param.Name);
    });

struct ChoiceCase {
  const char *Name;
  std::uint16_t OwnLoad;
  /// Load that member 2 has reported, if any.
  std::optional<std::uint16_t> OtherLoad;
  Duration ReportAge;
  bool IsHandedOver;
};

class PowerOfTwoChoices : public testing::TestWithParam<ChoiceCase> {};

// Guards against a flow that stays with the more loaded of two candidates, and
// against flows that are handed over back and forth between candidates of equal
// load.
TEST_P(PowerOfTwoChoices, LessLoadedCandidateDecides) {
  const ChoiceCase &row = GetParam();
  AgentFixture agent;
  agent.Placement->setRequestLoad(row.OwnLoad);
  if (row.OtherLoad)
    agent.Placement->onLoadReport({{2}, *row.OtherLoad}, agent.Now);
  agent.advance(row.ReportAge);
  agent.receive(AgentFixture::packet(1, PacketFlag::First));
  if (row.IsHandedOver) {
    EXPECT_EQ(agent.forwarded(), std::vector{member(2).Address});
    EXPECT_EQ(agent.replies(), Replies{});
  } else {
    EXPECT_EQ(agent.forwarded(), std::vector<Endpoint>{});
    EXPECT_EQ(agent.replies(), Replies{CallerReplyKind::Accept});
  }
  const PlacementCounters counters = agent.Placement->counters();
  EXPECT_EQ(counters.HandedOverForLoad, row.IsHandedOver ? 1u : 0u);
  EXPECT_EQ(counters.Accepted, row.IsHandedOver ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, PowerOfTwoChoices,
    testing::Values(ChoiceCase{"OtherUnknown", 900, {}, Duration(0), false},
                    ChoiceCase{"Equal", 500, 500, Duration(0), false},
                    ChoiceCase{"WithinMargin", 520, 500, Duration(0), false},
                    ChoiceCase{"AboveMargin", 521, 500, Duration(0), true},
                    ChoiceCase{"OtherMoreLoaded", 100, 900, Duration(0), false},
                    ChoiceCase{"OtherEmpty", 100, 0, Duration(0), true},
                    ChoiceCase{"ReportStillValid", 900, 100, 5 * Second, true},
                    ChoiceCase{"ReportTooOld", 900, 100, Duration(5001),
                               false}),
    [](const testing::TestParamInfo<ChoiceCase> &it) {
      return std::string(it.param.Name);
    });

struct FullCase {
  const char *Name;
  /// The agent is full either because of its flows or because of the load of
  /// its requests.
  std::uint32_t MaxFlows;
  std::uint16_t OwnLoad;
  std::optional<std::uint16_t> OtherLoad;
  /// Member 2 handed the packet over because of its load.
  bool WasHandedOver;
  bool IsRefused;
};

class FullAgent : public testing::TestWithParam<FullCase> {};

// Guards against a full agent that accepts flows, against a refusal although
// another candidate has capacity, and against two full agents that hand a flow
// over back and forth.
TEST_P(FullAgent, HandsOverOrRefuses) {
  const FullCase &row = GetParam();
  AgentFixture agent(row.MaxFlows);
  agent.openFlows(2);
  agent.Placement->setRequestLoad(row.OwnLoad);
  if (row.OtherLoad)
    agent.Placement->onLoadReport({{2}, *row.OtherLoad}, agent.Now);
  ForwardedPacket packet = AgentFixture::packet(9, PacketFlag::First);
  if (row.WasHandedOver) {
    packet.Chain = {member(2), member(1), member(3)};
    packet.ChainIndex = 1;
    packet.Sender = {2};
    packet.SenderLoad = 1000;
  }
  agent.receive(packet);
  EXPECT_EQ(agent.Placement->flowCount(), 2u);
  EXPECT_EQ(agent.Placement->counters().Refused, row.IsRefused ? 1u : 0u);
  if (!row.IsRefused) {
    EXPECT_EQ(agent.forwarded(), std::vector{member(2).Address});
    return;
  }
  EXPECT_EQ(agent.forwarded(), std::vector<Endpoint>{});
  ASSERT_EQ(agent.replies(), Replies{CallerReplyKind::Refused});
  const auto &reply =
      std::get<CallerReply>(agent.Output.Datagrams.back().Message);
  EXPECT_GE(reply.RetryAfterMs, 250u);
  EXPECT_LT(reply.RetryAfterMs, 500u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FullAgent,
    testing::Values(FullCase{"FlowsOtherUnknown", 2, 0, {}, false, false},
                    FullCase{"FlowsOtherHasRoom", 2, 0, 999, false, false},
                    FullCase{"FlowsOtherFull", 2, 0, 1000, false, true},
                    FullCase{"FlowsHandedOver", 2, 0, {}, true, true},
                    FullCase{"RequestsOtherHasRoom", 9, 1000, 0, false, false},
                    FullCase{"RequestsOtherFull", 9, 1000, 1000, false, true}),
    [](const testing::TestParamInfo<FullCase> &it) {
      return std::string(it.param.Name);
    });

struct IdleCase {
  const char *Name;
  /// Age at which the flow receives another packet; zero if it receives none.
  Duration UsedAt;
  Duration Age;
  bool IsClosed;
};

class IdleFlow : public testing::TestWithParam<IdleCase> {};

// Guards against flows of callers that have disappeared and fill the table, and
// against closing a flow whose caller still sends packets.
TEST_P(IdleFlow, IsClosedAfterTimeout) {
  const IdleCase &row = GetParam();
  AgentFixture agent;
  agent.openFlows(1);
  if (row.UsedAt > Duration(0)) {
    agent.advance(row.UsedAt);
    agent.receive(AgentFixture::packet(1, PacketFlag::Established));
  }
  agent.advance(row.Age - row.UsedAt);
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Output.Closed.size(), row.IsClosed ? 1u : 0u);
  EXPECT_EQ(agent.Placement->flowCount(), row.IsClosed ? 0u : 1u);
}

// The ages are relative to IdleTimeout, which is 60000 ms.
INSTANTIATE_TEST_SUITE_P(
    Table, IdleFlow,
    testing::Values(
        IdleCase{"BeforeTimeout", Duration(0), Duration(59999), false},
        IdleCase{"AtTimeout", Duration(0), Duration(60000), true},
        IdleCase{"Used", Duration(59999), Duration(119998), false},
        IdleCase{"UsedLongAgo", Duration(1000), Duration(61000), true}),
    [](const testing::TestParamInfo<IdleCase> &it) {
      return std::string(it.param.Name);
    });

struct ClosedCase {
  const char *Name;
  std::uint8_t Flags;
  bool IsAnswered;
};

class ClosedFlow : public testing::TestWithParam<ClosedCase> {};

// Guards against a delayed or repeated packet that reopens a closed flow, and
// against a repeated close that is not answered.
TEST_P(ClosedFlow, StaysClosed) {
  const Replies expected =
      GetParam().IsAnswered ? Replies{CallerReplyKind::Closed} : Replies{};
  AgentFixture agent;
  agent.openFlows(1);
  agent.receive(
      AgentFixture::packet(1, PacketFlag::Established | PacketFlag::Last));
  EXPECT_EQ(agent.replies(), Replies{CallerReplyKind::Closed});
  EXPECT_EQ(agent.Output.Closed.size(), 1u);
  for (int n = 0; n < 3; ++n) {
    agent.Output = {};
    agent.receive(AgentFixture::packet(1, GetParam().Flags));
    EXPECT_EQ(agent.replies(), expected);
    EXPECT_EQ(agent.Output.Datagrams.size(), expected.size());
    EXPECT_TRUE(agent.Output.Closed.empty());
    EXPECT_TRUE(agent.Output.Delivered.empty());
  }
  EXPECT_EQ(agent.Placement->flowCount(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ClosedFlow,
    testing::Values(
        ClosedCase{"Last", PacketFlag::Established | PacketFlag::Last, true},
        ClosedCase{"First", PacketFlag::First, true},
        ClosedCase{"Established", PacketFlag::Established, true},
        ClosedCase{"BeforeAccept", 0, false}),
    [](const testing::TestParamInfo<ClosedCase> &it) {
      return std::string(it.param.Name);
    });

struct DropCase {
  const char *Name;
  void (*Alter)(ForwardedPacket &);
  bool IsOut;
  std::uint64_t PlacementCounters::*Counter;
};

class DroppedPacket : public testing::TestWithParam<DropCase> {};

// Guards against packets that are handled by an upstream of another service or
// of a data centre that is out of service, and against forwarding loops between
// agents.
TEST_P(DroppedPacket, IsCountedAndNotAnswered) {
  AgentFixture agent;
  agent.openFlows(1);
  if (GetParam().IsOut)
    agent.announce(AnnounceResult::DataCentreOut);
  agent.Output = {};
  // The agent holds the first flow and does not hold the second one.
  for (const std::uint64_t flow : {1, 2}) {
    ForwardedPacket it = AgentFixture::packet(flow, PacketFlag::Established);
    it.Packet.Payload = {std::byte{1}};
    GetParam().Alter(it);
    agent.receive(std::move(it));
  }
  EXPECT_TRUE(agent.Output.Datagrams.empty());
  const bool isHopCase =
      GetParam().Counter == &PlacementCounters::HopLimitExceeded;
  EXPECT_EQ(agent.Placement->counters().*GetParam().Counter,
            isHopCase ? 1u : 2u);
  // A packet of a flow held here is delivered whatever its hop count.
  EXPECT_EQ(agent.Output.Delivered.size(), isHopCase ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, DroppedPacket,
    testing::Values(
        DropCase{"HopLimit",
                 [](ForwardedPacket &it) { it.HopCount = MaxHops - 1; }, false,
                 &PlacementCounters::HopLimitExceeded},
        DropCase{"WrongService", [](ForwardedPacket &it) { it.Service = {2}; },
                 false, &PlacementCounters::WrongService},
        DropCase{"NoService", [](ForwardedPacket &it) { it.Service = {}; },
                 false, &PlacementCounters::WrongService},
        DropCase{"Out", [](ForwardedPacket &) {}, true,
                 &PlacementCounters::DroppedOutOfService}),
    [](const testing::TestParamInfo<DropCase> &it) {
      return std::string(it.param.Name);
    });

// Guards against a hop limit that drops packets one hop too early.
TEST(FlowPlacementTest, LastAllowedHopIsTaken) {
  AgentFixture agent;
  ForwardedPacket it = AgentFixture::packet(1, PacketFlag::Established);
  it.HopCount = MaxHops - 2;
  agent.receive(std::move(it));
  EXPECT_EQ(agent.forwarded(), std::vector{member(2).Address});
  EXPECT_EQ(agent.Placement->counters().HopLimitExceeded, 0u);
}

struct PossibleDuplicateCase {
  const char *Name;
  /// The caller has sent a packet of the established flow before the gap.
  bool IsConfirmed;
  /// Time without an announce reply.
  Duration Gap;
  std::uint8_t Flags;
  bool HasToken;
  bool IsProbed;
};

class PossiblyDuplicatedFlow
    : public testing::TestWithParam<PossibleDuplicateCase> {};

// Guards against a second session of a flow. While this agent was suspect,
// another agent may have accepted a flow whose accept from this agent was lost.
// Guards also against losing a flow only because this agent was suspect.
TEST_P(PossiblyDuplicatedFlow, IsProbedFirst) {
  const PossibleDuplicateCase &row = GetParam();
  AgentFixture agent;
  agent.openFlows(1);
  agent.announce();
  if (row.IsConfirmed)
    agent.receive(AgentFixture::packet(1, PacketFlag::Established));
  agent.Now += row.Gap;
  agent.announce();
  agent.Output = {};
  ForwardedPacket packet = AgentFixture::packet(1, row.Flags);
  packet.Packet.Payload = {std::byte{1}};
  if (row.HasToken)
    packet.Packet.Token = {{1}, {1}};
  agent.receive(packet);
  EXPECT_EQ(agent.Output.Delivered.size(), row.IsProbed ? 0u : 1u);
  if (!row.IsProbed)
    return;
  ASSERT_EQ(agent.forwarded(), std::vector{member(2).Address});
  const auto probe =
      std::get<ForwardedPacket>(agent.Output.Datagrams.front().Message);
  EXPECT_EQ(probe.Kind, ForwardKind::Probe);
  EXPECT_EQ(agent.replies(), Replies{});

  // No other agent holds the flow.
  agent.Output = {};
  agent.Placement->onProbeMissed(probe, agent.Now, agent.Output);
  EXPECT_EQ(agent.Output.Delivered.size(), 1u);
  agent.Output = {};
  agent.receive(packet);
  EXPECT_EQ(agent.Output.Delivered.size(), 1u);
  EXPECT_EQ(agent.Placement->flowCount(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, PossiblyDuplicatedFlow,
    testing::Values(PossibleDuplicateCase{"First", false, 4 * Second,
                                          PacketFlag::First, false, true},
                    PossibleDuplicateCase{"Established", false, 4 * Second,
                                          PacketFlag::Established, false, true},
                    PossibleDuplicateCase{"Token", false, 4 * Second,
                                          PacketFlag::Established, true, false},
                    PossibleDuplicateCase{"ConfirmedBefore", true, 4 * Second,
                                          PacketFlag::Established, false,
                                          false},
                    PossibleDuplicateCase{"GapTooShort", false, Duration(2500),
                                          PacketFlag::First, false, false}),
    [](const testing::TestParamInfo<PossibleDuplicateCase> &it) {
      return std::string(it.param.Name);
    });

// Guards against a flow that this agent keeps although another agent accepted
// it, and against closing such a flow while its caller still waits for a
// reply.
TEST(FlowPlacementTest, PossiblyDuplicatedFlowIsClosedEarly) {
  AgentFixture agent;
  agent.openFlows(1);
  agent.announce();
  agent.Now += 4 * Second;
  agent.announce();
  // With the gap of 4 s, this is 1 ms less than PossibleDuplicateTimeout.
  agent.advance(Duration(15999));
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Placement->flowCount(), 1u);
  agent.advance(Duration(1));
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Placement->flowCount(), 0u);
  EXPECT_EQ(agent.Output.Closed.size(), 1u);
}

} // namespace
} // namespace pistachio
