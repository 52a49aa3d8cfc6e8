#include "ControlStateHarness.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr const char *Rules =
    "datacentre ee-north-a # asked by Maarja\n"
    "datacentre ee-north-b # asked by Maarja\n"
    "service workshop-api address 10.20.0.1:443 slots 5 # asked by Maarja\n";

struct BoundCase {
  const char *Name;
  const char *MoreRules;
  std::uint32_t Upstreams;
  std::uint32_t Expected;
};

class SlotBoundsTest : public testing::TestWithParam<BoundCase> {};

Announce announceOf(std::uint32_t n) {
  Announce announce;
  announce.Service = "workshop-api";
  announce.DataCentre = n % 2 == 0 ? "ee-north-a" : "ee-north-b";
  announce.Zone = "zone-1";
  announce.Machine = "machine";
  announce.Address = {0x7F000001, static_cast<std::uint16_t>(7000 + n)};
  announce.ProcessIncarnation = Incarnation{1};
  announce.Slots = 9;
  return announce;
}

// Guards against a limit or slots rule that is accepted but not sent to the
// agents.
TEST_P(SlotBoundsTest, AnnounceReplyCarriesSlotBound) {
  const BoundCase &it = GetParam();
  ControlStateHarness harness;
  harness.apply(std::string(Rules) + it.MoreRules);
  const auto tracker = makeAnnouncementTracker({});
  for (std::uint32_t i = 0; i < it.Upstreams; ++i) {
    std::vector<LogCommand> proposals;
    tracker->onAnnounce(announceOf(i), *harness.State, TimePoint{}, proposals);
    for (const LogCommand &command : proposals)
      harness.commit(command);
  }
  std::vector<LogCommand> none;
  const AnnounceReply reply = tracker->onAnnounce(
      announceOf(0), *harness.State, TimePoint{Duration(1000)}, none);
  EXPECT_EQ(reply.Slots, it.Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SlotBoundsTest,
    testing::Values(
        BoundCase{"SlotsOnly", "", 4, 5},
        BoundCase{"ShareOfLimit",
                  "limit workshop-api inflight 12 # asked by Jaan\n", 4, 3},
        BoundCase{"ShareIsRoundedDown",
                  "limit workshop-api inflight 11 # asked by Jaan\n", 4, 2},
        BoundCase{"AtLeastOne",
                  "limit workshop-api inflight 2 # asked by Jaan\n", 4, 1},
        BoundCase{"LimitAboveSlots",
                  "limit workshop-api inflight 400 # asked by Jaan\n", 4, 5},
        BoundCase{"UpstreamsOfOutDataCentreDoNotCount",
                  "limit workshop-api inflight 8 # asked by Jaan\n"
                  "out ee-north-b # asked by Jaan\n",
                  4, 4}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace pistachio
