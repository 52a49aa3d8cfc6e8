#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

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
    options.Run = {1};
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
    for (const TimePoint end = Now + time; Now < end; Now += Second)
      announce();
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
  std::vector<AnswerKind> answers() const {
    std::vector<AnswerKind> out;
    for (const OutgoingDatagram &it : Output.Datagrams)
      if (const auto *answer = std::get_if<CallerAnswer>(&it.Message))
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

using Answers = std::vector<AnswerKind>;

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
    const auto *answer = std::get_if<CallerAnswer>(&it.Message);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->Kind, AnswerKind::Reset);
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

} // namespace
} // namespace pistachio
