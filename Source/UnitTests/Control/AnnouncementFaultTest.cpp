#include "AnnouncementTimeline.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class AnnouncementFaultTest : public testing::TestWithParam<Timeline> {};

// Each row names the failure that it guards against.
TEST_P(AnnouncementFaultTest, NodeHoldsWhatIsExpected) {
  const std::vector<std::string> violations = runTimeline(GetParam(), {});
  for (const std::string &it : violations)
    ADD_FAILURE() << GetParam().Guards << ": " << it;
}

INSTANTIATE_TEST_SUITE_P(Timelines, AnnouncementFaultTest,
                         testing::ValuesIn(timelines()), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

struct RejectionCase {
  const char *Name;
  Announce Sent;
  const char *Reason;
};

Announce announceOf(std::string service, std::string dataCentre,
                    std::uint64_t processIncarnation, std::uint32_t slots) {
  return {std::move(service),
          std::move(dataCentre),
          "zone-1",
          "machine-1",
          addressOf(1),
          Incarnation{processIncarnation},
          slots};
}

class RejectionTest : public testing::TestWithParam<RejectionCase> {};

// Guards against upstreams that join without a rule, and against a refusal that
// does not tell the operator what to correct.
TEST_P(RejectionTest, IsRejectedWithReason) {
  ControlScript script;
  script.apply(BaseRules);
  script.commit(makeJoin(1, 5));
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const AnnounceReply reply = tracker->onAnnounce(
      GetParam().Sent, *script.State, TimePoint{}, proposals);
  EXPECT_EQ(reply.Result, AnnounceResult::Rejected);
  EXPECT_NE(reply.Reason.find(GetParam().Reason), std::string::npos)
      << reply.Reason;
  EXPECT_TRUE(proposals.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RejectionTest,
    testing::Values(
        RejectionCase{"UnknownService",
                      announceOf("letra-store", "ee-north-a", 6, 5),
                      "letra-store"},
        RejectionCase{"UnknownDataCentre",
                      announceOf("workshop-api", "sul-br-a", 6, 5), "sul-br-a"},
        RejectionCase{"NoSlots", announceOf("workshop-api", "ee-north-a", 6, 0),
                      "slots"},
        RejectionCase{"EarlierIncarnation",
                      announceOf("workshop-api", "ee-north-a", 4, 5), "later"},
        RejectionCase{"OtherServiceInOneIncarnation",
                      announceOf("intake-api", "ee-north-a", 5, 5), "another"}),
    [](const auto &it) { return std::string(it.param.Name); });

struct VerdictCase {
  const char *Name;
  std::string Rule;
  AnnounceResult Expected;
};

class VerdictTest : public testing::TestWithParam<VerdictCase> {};

// Guards against an agent that is not told of the operators' rule, and goes on
// to take work.
TEST_P(VerdictTest, AgentLearnsItsState) {
  ControlScript script;
  script.apply(BaseRules);
  script.commit(makeJoin(1, 5));
  script.apply(BaseRules + GetParam().Rule);
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const AnnounceReply reply =
      tracker->onAnnounce(announceOf("workshop-api", "ee-north-a", 5, 5),
                          *script.State, TimePoint{}, proposals);
  EXPECT_EQ(reply.Result, GetParam().Expected);
  EXPECT_EQ(reply.Upstream, UpstreamId{1});
  EXPECT_TRUE(proposals.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, VerdictTest,
    testing::Values(VerdictCase{"NoRule", "", AnnounceResult::Accepted},
                    VerdictCase{"Drain", "drain upstream 1 # asked by Tiina\n",
                                AnnounceResult::Draining},
                    VerdictCase{"Out", "out ee-north-a # asked by Tiina\n",
                                AnnounceResult::DataCentreOut}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a balancer that is listed as a peer after it has gone, or that
// is removed although it still asks for leases.
TEST(BalancerTest, RemovedAfterSilenceOnly) {
  ControlScript script;
  script.apply(BaseRules);
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const Subscribe subscribe{"balancer-1", "ee-north-a", addressOf(9), {}};
  for (int i = 0; i < 2; ++i)
    tracker->onSubscribe(subscribe, *script.State, TimePoint{}, proposals);
  ASSERT_EQ(proposals.size(), 1U);
  script.commit(proposals[0]);
  proposals.clear();
  tracker->onLeaseRequest({"balancer-1", Revision{2}},
                          TimePoint{Duration(50000)});
  tracker->tick(*script.State, TimePoint{Duration(109900)}, proposals);
  EXPECT_TRUE(proposals.empty());
  EXPECT_EQ(tracker->nodes(TimePoint{Duration(60000)})[0].InForce, Revision{2});
  tracker->tick(*script.State, TimePoint{Duration(110000)}, proposals);
  ASSERT_EQ(proposals.size(), 1U);
  script.commit(proposals[0]);
  EXPECT_TRUE(script.State->balancers().empty());
}

} // namespace
} // namespace pistachio
