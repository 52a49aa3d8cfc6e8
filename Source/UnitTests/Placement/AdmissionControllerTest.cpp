#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachio {
namespace {

using Outcome = AdmissionController::Outcome;

constexpr Duration MinLatency{100};
/// Longer than the minimum time between two decreases.
constexpr Duration DecreaseSpacing{250};

/// The cold start hold is zero by default, so that tests can observe the growth
/// of the limit. Tests of the hold set it.
AdmissionOptions optionsWithSlots(std::uint32_t count, double initial = 1,
                                  Duration coldStartHold = Duration(0)) {
  AdmissionOptions out;
  out.ColdStartHold = coldStartHold;
  out.Slots = count;
  out.InitialLimit = initial;
  return out;
}

struct ControllerFixture {
  explicit ControllerFixture(AdmissionOptions options) : Controller(options) {}
  /// Starts \p count requests at the same time.
  void startRequests(std::uint32_t count) {
    for (std::uint32_t n = 0; n < count; ++n)
      ASSERT_TRUE(Controller.tryStart(Now));
  }
  void finishRequest(Outcome outcome, Duration latency = MinLatency) {
    Controller.finish(outcome, latency, Now);
  }
  /// In each round, serves as many concurrent requests as the limit allows.
  void serveAtLimit(int rounds, Duration latency = MinLatency) {
    for (int n = 0; n < rounds; ++n) {
      const std::uint32_t count = Controller.limit();
      startRequests(count);
      EXPECT_FALSE(Controller.tryStart(Now));
      Now += DecreaseSpacing;
      for (std::uint32_t it = 0; it < count; ++it)
        finishRequest(Outcome::Served, latency);
    }
  }

  TimePoint Now{Duration(1000000)};
  AdmissionController Controller;
};

struct LimitCase {
  const char *Name;
  AdmissionOptions Options;
  void (*Run)(ControllerFixture &);
  std::uint32_t Expected;
};

const LimitCase LimitCases[] = {
    {"StartsAtOne", optionsWithSlots(8), [](ControllerFixture &) {}, 1},
    {"DoesNotGrowDuringColdStartHold",
     optionsWithSlots(8, 1, DecreaseSpacing * 10),
     [](ControllerFixture &fixture) { fixture.serveAtLimit(9); }, 1},
    {"GrowsAfterColdStartHold", optionsWithSlots(8, 1, DecreaseSpacing * 10),
     [](ControllerFixture &fixture) { fixture.serveAtLimit(11); }, 2},
    {"RestartStartsColdStartHold", optionsWithSlots(8, 1, DecreaseSpacing * 10),
     [](ControllerFixture &fixture) {
       fixture.serveAtLimit(11);
       fixture.Controller.restart(fixture.Now);
       fixture.serveAtLimit(9);
     },
     1},
    {"InitialLimitIsAtMostSlots", optionsWithSlots(2, 8),
     [](ControllerFixture &) {}, 2},
    {"InitialLimitIsAtLeastOne", optionsWithSlots(2, 0),
     [](ControllerFixture &) {}, 1},
    {"NoSlotsCountAsOne", optionsWithSlots(0), [](ControllerFixture &) {}, 1},
    {"GrowsWhenFull", optionsWithSlots(8),
     [](ControllerFixture &it) { it.serveAtLimit(1); }, 2},
    {"GrowsAtTwiceTheMinLatency", optionsWithSlots(8),
     [](ControllerFixture &it) {
       it.serveAtLimit(1);
       it.serveAtLimit(3, 2 * MinLatency);
     },
     3},
    {"NeverAboveSlots", optionsWithSlots(3),
     [](ControllerFixture &it) { it.serveAtLimit(50); }, 3},
    {"NoGrowthWhileNotFull", optionsWithSlots(8, 4),
     [](ControllerFixture &it) {
       for (int n = 0; n < 50; ++n) {
         it.startRequests(3);
         for (int k = 0; k < 3; ++k)
           it.finishRequest(Outcome::Served);
       }
     },
     4},
    {"NoGrowthOnCancel", optionsWithSlots(8),
     [](ControllerFixture &it) {
       for (int n = 0; n < 50; ++n) {
         it.startRequests(1);
         it.finishRequest(Outcome::Cancelled);
       }
     },
     1},
    {"DropsAboveTwiceTheMinLatency", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       it.startRequests(2);
       it.finishRequest(Outcome::Served);
       it.finishRequest(Outcome::Served, (2 * MinLatency) + Duration(1));
     },
     4},
    {"DropsOnShed", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       it.startRequests(1);
       it.finishRequest(Outcome::Shed);
     },
     4},
    {"DropsOnFailure", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       it.startRequests(1);
       it.finishRequest(Outcome::Failed);
     },
     4},
    {"DropsOnceInTheInterval", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       it.startRequests(5);
       it.finishRequest(Outcome::Served);
       it.finishRequest(Outcome::Shed);
       it.Now += Duration(199);
       it.finishRequest(Outcome::Shed);
       it.finishRequest(Outcome::Failed);
       it.finishRequest(Outcome::Served, 50 * MinLatency);
     },
     4},
    {"DropsAgainAfterTheInterval", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       it.startRequests(2);
       it.finishRequest(Outcome::Shed);
       it.Now += Duration(200);
       it.finishRequest(Outcome::Shed);
     },
     2},
    {"NeverBelowOne", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       for (int n = 0; n < 20; ++n) {
         it.startRequests(1);
         it.finishRequest(Outcome::Failed);
         it.Now += DecreaseSpacing;
       }
     },
     1},
    {"MinLatencyExpires", optionsWithSlots(8, 8),
     [](ControllerFixture &it) {
       // One fast response is followed by slow ones only. The first slow
       // response lowers the limit. After a window, the slow latency is the
       // minimum.
       it.startRequests(1);
       it.finishRequest(Outcome::Served, Duration(10));
       for (int n = 0; n < 3; ++n) {
         it.Now += Duration(30000);
         it.startRequests(1);
         it.finishRequest(Outcome::Served);
       }
     },
     4},
    {"FewerSlotsLowerTheLimit", optionsWithSlots(8, 8),
     [](ControllerFixture &it) { it.Controller.setSlots(3); }, 3},
    {"MoreSlotsDoNotRaiseTheLimit", optionsWithSlots(2, 2),
     [](ControllerFixture &it) { it.Controller.setSlots(8); }, 2},
    {"MoreSlotsAllowGrowth", optionsWithSlots(2, 2),
     [](ControllerFixture &it) {
       it.Controller.setSlots(4);
       it.serveAtLimit(20);
     },
     4},
    {"SlotsOfZeroCountAsOne", optionsWithSlots(8, 8),
     [](ControllerFixture &it) { it.Controller.setSlots(0); }, 1},
    {"RestartGoesBackToTheInitialLimit", optionsWithSlots(8),
     [](ControllerFixture &it) {
       it.serveAtLimit(50);
       EXPECT_EQ(it.Controller.limit(), 8u);
       it.Controller.restart(it.Now);
     },
     1},
    {"RestartResetsTheMinLatency", optionsWithSlots(8),
     [](ControllerFixture &it) {
       it.serveAtLimit(50);
       it.Controller.restart(it.Now);
       // A cold back end is slower, and its first responses set the new
       // minimum.
       it.Now += DecreaseSpacing;
       it.serveAtLimit(1, 5 * MinLatency);
     },
     2},
};

class AdmissionLimit : public testing::TestWithParam<LimitCase> {};

// Guards against a limit above the capacity of the back end, because it grew
// without evidence or was kept after an overload, and against a limit that
// stays low permanently.
TEST_P(AdmissionLimit, FollowsTheBackEnd) {
  ControllerFixture fixture(GetParam().Options);
  GetParam().Run(fixture);
  EXPECT_EQ(fixture.Controller.limit(), GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(Table, AdmissionLimit, testing::ValuesIn(LimitCases),
                         [](const testing::TestParamInfo<LimitCase> &it) {
                           return std::string(it.param.Name);
                         });

struct ShrinkCase {
  const char *Name;
  void (*LowerLimit)(ControllerFixture &);
  std::uint32_t Limit;
};

class LoweredAdmissionLimit : public testing::TestWithParam<ShrinkCase> {};

// Guards against granting a slot while more requests are running than a lowered
// limit allows.
TEST_P(LoweredAdmissionLimit, WaitsForRunningRequests) {
  ControllerFixture fixture(optionsWithSlots(4, 4));
  fixture.startRequests(4);
  GetParam().LowerLimit(fixture);
  ASSERT_EQ(fixture.Controller.limit(), GetParam().Limit);
  while (fixture.Controller.inFlight() > GetParam().Limit) {
    EXPECT_FALSE(fixture.Controller.tryStart(fixture.Now));
    fixture.finishRequest(Outcome::Cancelled);
  }
  EXPECT_FALSE(fixture.Controller.tryStart(fixture.Now));
  fixture.finishRequest(Outcome::Cancelled);
  EXPECT_TRUE(fixture.Controller.tryStart(fixture.Now));
}

INSTANTIATE_TEST_SUITE_P(
    Table, LoweredAdmissionLimit,
    testing::Values(
        ShrinkCase{"Slots",
                   [](ControllerFixture &it) { it.Controller.setSlots(2); }, 2},
        ShrinkCase{"Restart",
                   [](ControllerFixture &it) { it.Controller.restart(it.Now); },
                   4},
        ShrinkCase{
            "Shed",
            [](ControllerFixture &it) { it.finishRequest(Outcome::Shed); }, 2}),
    [](const testing::TestParamInfo<ShrinkCase> &it) {
      return std::string(it.param.Name);
    });

} // namespace
} // namespace pistachio
