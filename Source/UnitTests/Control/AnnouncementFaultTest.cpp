#include "AnnouncementTimeline.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class AnnouncementFaultTest : public testing::TestWithParam<Timeline> {};

// Each row states the failure that it guards against in GuardedFailure.
TEST_P(AnnouncementFaultTest, NodeTableMatchesExpectation) {
  const std::vector<std::string> violations = runTimeline(GetParam(), {});
  for (const std::string &it : violations)
    ADD_FAILURE() << GetParam().GuardedFailure << ": " << it;
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
          upstreamAddress(1),
          Incarnation{processIncarnation},
          slots};
}

class RejectionTest : public testing::TestWithParam<RejectionCase> {};

// Guards against upstreams that join although no rule covers them, and against
// rejections whose reason does not name what the operator has to correct.
TEST_P(RejectionTest, IsRejectedWithReason) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  harness.commit(makeUpstreamJoined(1, 5));
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const AnnounceReply reply = tracker->onAnnounce(
      GetParam().Sent, *harness.State, TimePoint{}, proposals);
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

struct AnnounceReplyCase {
  const char *Name;
  std::string Rule;
  AnnounceResult Expected;
};

class AnnounceReplyTest : public testing::TestWithParam<AnnounceReplyCase> {};

// Guards against an agent that keeps accepting flows because the reply does not
// tell it that a rule drains its upstream or takes its data centre out.
TEST_P(AnnounceReplyTest, ReplyReflectsOperatorRules) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  harness.commit(makeUpstreamJoined(1, 5));
  harness.apply(BaseRules + GetParam().Rule);
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const AnnounceReply reply =
      tracker->onAnnounce(announceOf("workshop-api", "ee-north-a", 5, 5),
                          *harness.State, TimePoint{}, proposals);
  EXPECT_EQ(reply.Result, GetParam().Expected);
  EXPECT_EQ(reply.Upstream, UpstreamId{1});
  EXPECT_TRUE(proposals.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AnnounceReplyTest,
    testing::Values(AnnounceReplyCase{"NoRule", "", AnnounceResult::Accepted},
                    AnnounceReplyCase{"Drain",
                                      "drain upstream 1 # asked by Tiina\n",
                                      AnnounceResult::Draining},
                    AnnounceReplyCase{"Out",
                                      "out ee-north-a # asked by Tiina\n",
                                      AnnounceResult::DataCentreOut}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a stopped balancer that stays listed as a peer, and against
// the removal of a balancer that still requests leases.
TEST(BalancerTest, RemovedAfterSilenceOnly) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  const auto tracker = makeAnnouncementTracker({});
  std::vector<LogCommand> proposals;
  const Subscribe subscribe{"balancer-1", "ee-north-a", upstreamAddress(9), {}};
  for (int i = 0; i < 2; ++i)
    tracker->onSubscribe(subscribe, *harness.State, TimePoint{}, proposals);
  ASSERT_EQ(proposals.size(), 1U);
  harness.commit(proposals[0]);
  proposals.clear();
  tracker->onLeaseRequest({"balancer-1", Revision{2}},
                          TimePoint{Duration(50000)});
  tracker->tick(*harness.State, TimePoint{Duration(109900)}, proposals);
  EXPECT_TRUE(proposals.empty());
  EXPECT_EQ(tracker->balancers(TimePoint{Duration(60000)})[0].InForce,
            Revision{2});
  tracker->tick(*harness.State, TimePoint{Duration(110000)}, proposals);
  ASSERT_EQ(proposals.size(), 1U);
  harness.commit(proposals[0]);
  EXPECT_TRUE(harness.State->balancers().empty());
}

// Guards against an upstream that has left and returns with a delayed
// announcement. The group had no majority, so the removal was proposed for so
// long that it was taken for one by timeout, after which upstreams may return.
TEST(LeftUpstreamTest, StaysOutWhenItsRemovalWasDelayed) {
  ControlStateHarness harness;
  harness.apply(BaseRules);
  harness.commit(makeUpstreamJoined(1, 5));
  const AnnouncementOptions options;
  const auto tracker = makeAnnouncementTracker(options);
  std::vector<LogCommand> proposals;
  TimePoint now{Duration(1000)};
  Announce leaving = announceOf("workshop-api", "ee-north-a", 5, 5);
  leaving.Leaving = true;
  tracker->onAnnounce(leaving, *harness.State, now, proposals);
  ASSERT_FALSE(proposals.empty());
  for (const TimePoint end = now + 2 * options.RemoveAfter; now < end;
       now += Duration(1000))
    tracker->tick(*harness.State, now, proposals);
  harness.commit(proposals.front());
  tracker->tick(*harness.State, now, proposals);
  proposals.clear();
  const AnnounceReply reply =
      tracker->onAnnounce(announceOf("workshop-api", "ee-north-a", 5, 5),
                          *harness.State, now, proposals);
  EXPECT_EQ(reply.Result, AnnounceResult::Rejected);
  EXPECT_TRUE(proposals.empty());
}

} // namespace
} // namespace pistachio
