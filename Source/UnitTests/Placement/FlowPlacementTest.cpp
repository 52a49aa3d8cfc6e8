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

/// Member 1 of the ranking 1, 2. Control has accepted it, and it is no longer
/// new.
struct Agent {
  explicit Agent(std::uint32_t maxFlows = 4000) {
    PlacementOptions options;
    options.ProcessIncarnation = {1};
    options.Address = member(1).Address;
    options.MaxFlows = maxFlows;
    Placement = makeFlowPlacement(options, Now);
    pass(41 * Second);
    Output = {};
  }

  void announce(AnnounceResult result = AnnounceResult::Accepted) {
    Placement->onAnnounceReply({result, {1}, Service, ""}, Now, Output);
  }
  void pass(Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      announce();
      Now += std::min<Duration>(Second, end - Now);
    }
  }
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
  void open(std::uint64_t count) {
    for (std::uint64_t n = 1; n <= count; ++n)
      receive(packet(n, PacketFlag::First));
    ASSERT_EQ(Placement->flowCount(), count);
    Output = {};
  }
  std::vector<CallerReplyKind> answers() const {
    std::vector<CallerReplyKind> out;
    for (const OutgoingDatagram &it : Output.Datagrams)
      if (const auto *answer = std::get_if<CallerReply>(&it.Message))
        out.push_back(answer->Kind);
    return out;
  }
  /// Addresses that packets were forwarded to.
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

using Answers = std::vector<CallerReplyKind>;

struct OutCase {
  const char *Name;
  bool IsStopping;
  std::uint64_t Flows;
};

class TakenOut : public testing::TestWithParam<OutCase> {};

// Guards against an idle caller that learns only by its next request that its
// flow is gone, and against a second Reset for the same flow.
TEST_P(TakenOut, EachOpenFlowIsResetOnce) {
  const auto &[name, isStopping, flows] = GetParam();
  Agent agent;
  agent.open(flows);
  if (isStopping)
    agent.Placement->beginDrain(agent.Now);
  agent.announce(AnnounceResult::DataCentreOut);
  ASSERT_EQ(agent.Placement->lifecycle(), Lifecycle::Out);
  std::set<FlowKey> reset;
  for (const OutgoingDatagram &it : agent.Output.Datagrams) {
    const auto *answer = std::get_if<CallerReply>(&it.Message);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->Kind, CallerReplyKind::Reset);
    reset.insert({it.To, answer->Flow});
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

INSTANTIATE_TEST_SUITE_P(Table, TakenOut,
                         testing::Values(OutCase{"NoFlow", false, 0},
                                         OutCase{"OneFlow", false, 1},
                                         OutCase{"ManyFlows", false, 300},
                                         OutCase{"Stopping", true, 3}),
                         [](const testing::TestParamInfo<OutCase> &it) {
                           return std::string(it.param.Name);
                         });

struct ChoiceCase {
  const char *Name;
  std::uint16_t Own;
  /// Load that member 2 has reported, if any.
  std::optional<std::uint16_t> Other;
  Duration ReportAge;
  bool IsHandedOn;
};

class ChoiceOfTwo : public testing::TestWithParam<ChoiceCase> {};

// Guards against a flow that stays with the more loaded of two candidates, and
// against flows that are handed to and fro between equal ones.
TEST_P(ChoiceOfTwo, LessLoadedCandidateDecides) {
  const ChoiceCase &row = GetParam();
  Agent agent;
  agent.Placement->setLoad(row.Own);
  if (row.Other)
    agent.Placement->onLoadReport({{2}, *row.Other}, agent.Now);
  agent.pass(row.ReportAge);
  agent.receive(Agent::packet(1, PacketFlag::First));
  if (row.IsHandedOn) {
    EXPECT_EQ(agent.forwarded(), std::vector{member(2).Address});
    EXPECT_EQ(agent.answers(), Answers{});
  } else {
    EXPECT_EQ(agent.forwarded(), std::vector<Endpoint>{});
    EXPECT_EQ(agent.answers(), Answers{CallerReplyKind::Accept});
  }
  const PlacementCounters counters = agent.Placement->counters();
  EXPECT_EQ(counters.HandedOn, row.IsHandedOn ? 1u : 0u);
  EXPECT_EQ(counters.Accepted, row.IsHandedOn ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ChoiceOfTwo,
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
  /// Full by flows, or by the load of its requests.
  std::uint32_t MaxFlows;
  std::uint16_t Own;
  std::optional<std::uint16_t> Other;
  /// The packet was handed here by member 2 for its load.
  bool IsHandedHere;
  bool IsRefused;
};

class FullAgent : public testing::TestWithParam<FullCase> {};

// Guards against a full agent that accepts, against a refusal although another
// candidate has room, and against two full agents that hand a flow to and fro.
TEST_P(FullAgent, HandsOnOrRefuses) {
  const FullCase &row = GetParam();
  Agent agent(row.MaxFlows);
  agent.open(2);
  agent.Placement->setLoad(row.Own);
  if (row.Other)
    agent.Placement->onLoadReport({{2}, *row.Other}, agent.Now);
  ForwardedPacket packet = Agent::packet(9, PacketFlag::First);
  if (row.IsHandedHere) {
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
  ASSERT_EQ(agent.answers(), Answers{CallerReplyKind::Refused});
  const auto &answer =
      std::get<CallerReply>(agent.Output.Datagrams.back().Message);
  EXPECT_GE(answer.RetryAfterMs, 250u);
  EXPECT_LT(answer.RetryAfterMs, 500u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FullAgent,
    testing::Values(FullCase{"FlowsOtherUnknown", 2, 0, {}, false, false},
                    FullCase{"FlowsOtherHasRoom", 2, 0, 999, false, false},
                    FullCase{"FlowsOtherFull", 2, 0, 1000, false, true},
                    FullCase{"FlowsHandedHere", 2, 0, {}, true, true},
                    FullCase{"RequestsOtherHasRoom", 9, 1000, 0, false, false},
                    FullCase{"RequestsOtherFull", 9, 1000, 1000, false, true}),
    [](const testing::TestParamInfo<FullCase> &it) {
      return std::string(it.param.Name);
    });

struct IdleCase {
  const char *Name;
  /// Age at which the flow has a packet again; none if zero.
  Duration UsedAt;
  Duration Age;
  bool IsClosed;
};

class IdleFlow : public testing::TestWithParam<IdleCase> {};

// Guards against flows of vanished callers that fill the table, and against a
// flow that is closed although its caller sends.
TEST_P(IdleFlow, IsClosedAfterTimeout) {
  const IdleCase &row = GetParam();
  Agent agent;
  agent.open(1);
  if (row.UsedAt > Duration(0)) {
    agent.pass(row.UsedAt);
    agent.receive(Agent::packet(1, PacketFlag::Established));
  }
  agent.pass(row.Age - row.UsedAt);
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Output.Closed.size(), row.IsClosed ? 1u : 0u);
  EXPECT_EQ(agent.Placement->flowCount(), row.IsClosed ? 0u : 1u);
}

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

// Guards against a late or repeated packet that reopens a closed flow, and
// against a repeated close that is left without an answer.
TEST_P(ClosedFlow, StaysClosed) {
  const Answers expected =
      GetParam().IsAnswered ? Answers{CallerReplyKind::Closed} : Answers{};
  Agent agent;
  agent.open(1);
  agent.receive(Agent::packet(1, PacketFlag::Established | PacketFlag::Last));
  EXPECT_EQ(agent.answers(), Answers{CallerReplyKind::Closed});
  EXPECT_EQ(agent.Output.Closed.size(), 1u);
  for (int n = 0; n < 3; ++n) {
    agent.Output = {};
    agent.receive(Agent::packet(1, GetParam().Flags));
    EXPECT_EQ(agent.answers(), expected);
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

// Guards against a packet that reaches an upstream of another service or of a
// data centre that is out, and against packets that circle between agents.
TEST_P(DroppedPacket, IsCountedAndNotAnswered) {
  Agent agent;
  agent.open(1);
  if (GetParam().IsOut)
    agent.announce(AnnounceResult::DataCentreOut);
  agent.Output = {};
  // A flow that is held here, and one that is not.
  for (const std::uint64_t flow : {1, 2}) {
    ForwardedPacket it = Agent::packet(flow, PacketFlag::Established);
    it.Packet.Payload = {std::byte{1}};
    GetParam().Alter(it);
    agent.receive(std::move(it));
  }
  EXPECT_TRUE(agent.Output.Datagrams.empty());
  const bool isHopCase = GetParam().Counter == &PlacementCounters::HopLimit;
  EXPECT_EQ(agent.Placement->counters().*GetParam().Counter,
            isHopCase ? 1u : 2u);
  // Whatever the hop count, a held flow gets its packets.
  EXPECT_EQ(agent.Output.Delivered.size(), isHopCase ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, DroppedPacket,
    testing::Values(
        DropCase{"HopLimit",
                 [](ForwardedPacket &it) { it.HopCount = MaxHops - 1; }, false,
                 &PlacementCounters::HopLimit},
        DropCase{"WrongService", [](ForwardedPacket &it) { it.Service = {2}; },
                 false, &PlacementCounters::WrongService},
        DropCase{"NoService", [](ForwardedPacket &it) { it.Service = {}; },
                 false, &PlacementCounters::WrongService},
        DropCase{"Out", [](ForwardedPacket &) {}, true,
                 &PlacementCounters::DroppedWhileOut}),
    [](const testing::TestParamInfo<DropCase> &it) {
      return std::string(it.param.Name);
    });

// Guards against a limit that ends a walk too early.
TEST(FlowPlacementTest, HopBeforeTheLimitIsTaken) {
  Agent agent;
  ForwardedPacket it = Agent::packet(1, PacketFlag::Established);
  it.HopCount = MaxHops - 2;
  agent.receive(std::move(it));
  EXPECT_EQ(agent.forwarded(), std::vector{member(2).Address});
  EXPECT_EQ(agent.Placement->counters().HopLimit, 0u);
}

struct DoubtCase {
  const char *Name;
  /// The caller has sent a packet of the open flow before the gap.
  bool IsConfirmed;
  /// Time without an announce reply.
  Duration Gap;
  std::uint8_t Flags;
  bool HasToken;
  bool IsProbed;
};

class DoubtfulFlow : public testing::TestWithParam<DoubtCase> {};

// Guards against a second session: while this agent was suspect, another one
// may have accepted a flow whose accept from here was lost. Guards also against
// a flow that is lost because this agent was suspect.
TEST_P(DoubtfulFlow, OthersAreAskedFirst) {
  const DoubtCase &row = GetParam();
  Agent agent;
  agent.open(1);
  agent.announce();
  if (row.IsConfirmed)
    agent.receive(Agent::packet(1, PacketFlag::Established));
  agent.Now += row.Gap;
  agent.announce();
  agent.Output = {};
  ForwardedPacket packet = Agent::packet(1, row.Flags);
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
  EXPECT_EQ(agent.answers(), Answers{});

  // Nobody else holds it.
  agent.Output = {};
  agent.Placement->onProbeMissed(probe, agent.Now, agent.Output);
  EXPECT_EQ(agent.Output.Delivered.size(), 1u);
  agent.Output = {};
  agent.receive(packet);
  EXPECT_EQ(agent.Output.Delivered.size(), 1u);
  EXPECT_EQ(agent.Placement->flowCount(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, DoubtfulFlow,
    testing::Values(DoubtCase{"First", false, 4 * Second, PacketFlag::First,
                              false, true},
                    DoubtCase{"Established", false, 4 * Second,
                              PacketFlag::Established, false, true},
                    DoubtCase{"Token", false, 4 * Second,
                              PacketFlag::Established, true, false},
                    DoubtCase{"ConfirmedBefore", true, 4 * Second,
                              PacketFlag::Established, false, false},
                    DoubtCase{"GapTooShort", false, Duration(2500),
                              PacketFlag::First, false, false}),
    [](const testing::TestParamInfo<DoubtCase> &it) {
      return std::string(it.param.Name);
    });

// Guards against a doubtful flow that stays beside the one at another agent,
// and against one that is closed while its caller still waits for an answer.
TEST(FlowPlacementTest, DoubtfulFlowIsClosedEarly) {
  Agent agent;
  agent.open(1);
  agent.announce();
  agent.Now += 4 * Second;
  agent.announce();
  agent.pass(Duration(15999));
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Placement->flowCount(), 1u);
  agent.pass(Duration(1));
  agent.Placement->tick(agent.Now, agent.Output);
  EXPECT_EQ(agent.Placement->flowCount(), 0u);
  EXPECT_EQ(agent.Output.Closed.size(), 1u);
}

} // namespace
} // namespace pistachio
