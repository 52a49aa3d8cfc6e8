#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachio {
namespace {

using Outcome = AdmissionController::Outcome;

constexpr Duration Floor{100};
/// Longer than the least time between two decreases.
constexpr Duration Apart{250};

/// Without a hold, so that the cases see the growth of the limit; those of the
/// hold set it.
AdmissionOptions slots(std::uint32_t count, double initial = 1,
                       Duration hold = Duration(0)) {
  AdmissionOptions out;
  out.ColdStartHold = hold;
  out.Slots = count;
  out.InitialLimit = initial;
  return out;
}

struct Gate {
  explicit Gate(AdmissionOptions options) : Controller(options) {}
  /// Requests that start together.
  void start(std::uint32_t count) {
    for (std::uint32_t n = 0; n < count; ++n)
      ASSERT_TRUE(Controller.tryStart(Now));
  }
  void finish(Outcome outcome, Duration latency = Floor) {
    Controller.finish(outcome, latency, Now);
  }
  /// Rounds in which as many requests as the limit allows are served.
  void serveFull(int rounds, Duration latency = Floor) {
    for (int n = 0; n < rounds; ++n) {
      const std::uint32_t count = Controller.limit();
      start(count);
      EXPECT_FALSE(Controller.tryStart(Now));
      Now += Apart;
      for (std::uint32_t it = 0; it < count; ++it)
        finish(Outcome::Served, latency);
    }
  }

  TimePoint Now{Duration(1000000)};
  AdmissionController Controller;
};

struct LimitCase {
  const char *Name;
  AdmissionOptions Options;
  void (*Run)(Gate &);
  std::uint32_t Expected;
};

const LimitCase LimitCases[] = {
    {"StartsAtOne", slots(8), [](Gate &) {}, 1},
    {"DoesNotGrowInTheHold", slots(8, 1, Apart * 10),
     [](Gate &gate) { gate.serveFull(9); }, 1},
    {"GrowsAfterTheHold", slots(8, 1, Apart * 10),
     [](Gate &gate) { gate.serveFull(11); }, 2},
    {"HoldsAgainAfterARestart", slots(8, 1, Apart * 10),
     [](Gate &gate) {
       gate.serveFull(11);
       gate.Controller.restart(gate.Now);
       gate.serveFull(9);
     },
     1},
    {"InitialLimitIsAtMostSlots", slots(2, 8), [](Gate &) {}, 2},
    {"InitialLimitIsAtLeastOne", slots(2, 0), [](Gate &) {}, 1},
    {"NoSlotsCountAsOne", slots(0), [](Gate &) {}, 1},
    {"GrowsWhenFull", slots(8), [](Gate &it) { it.serveFull(1); }, 2},
    {"GrowsAtTwiceTheFloor", slots(8),
     [](Gate &it) {
       it.serveFull(1);
       it.serveFull(3, 2 * Floor);
     },
     3},
    {"NeverAboveSlots", slots(3), [](Gate &it) { it.serveFull(50); }, 3},
    {"NoGrowthWhileNotFull", slots(8, 4),
     [](Gate &it) {
       for (int n = 0; n < 50; ++n) {
         it.start(3);
         for (int k = 0; k < 3; ++k)
           it.finish(Outcome::Served);
       }
     },
     4},
    {"NoGrowthOnCancel", slots(8),
     [](Gate &it) {
       for (int n = 0; n < 50; ++n) {
         it.start(1);
         it.finish(Outcome::Cancelled);
       }
     },
     1},
    {"DropsAboveTwiceTheFloor", slots(8, 8),
     [](Gate &it) {
       it.start(2);
       it.finish(Outcome::Served);
       it.finish(Outcome::Served, (2 * Floor) + Duration(1));
     },
     4},
    {"DropsOnShed", slots(8, 8),
     [](Gate &it) {
       it.start(1);
       it.finish(Outcome::Shed);
     },
     4},
    {"DropsOnFailure", slots(8, 8),
     [](Gate &it) {
       it.start(1);
       it.finish(Outcome::Failed);
     },
     4},
    {"DropsOnceInTheInterval", slots(8, 8),
     [](Gate &it) {
       it.start(5);
       it.finish(Outcome::Served);
       it.finish(Outcome::Shed);
       it.Now += Duration(199);
       it.finish(Outcome::Shed);
       it.finish(Outcome::Failed);
       it.finish(Outcome::Served, 50 * Floor);
     },
     4},
    {"DropsAgainAfterTheInterval", slots(8, 8),
     [](Gate &it) {
       it.start(2);
       it.finish(Outcome::Shed);
       it.Now += Duration(200);
       it.finish(Outcome::Shed);
     },
     2},
    {"NeverBelowOne", slots(8, 8),
     [](Gate &it) {
       for (int n = 0; n < 20; ++n) {
         it.start(1);
         it.finish(Outcome::Failed);
         it.Now += Apart;
       }
     },
     1},
    {"FormerFloorIsForgotten", slots(8, 8),
     [](Gate &it) {
       // One fast answer, then only slow ones. The first of them lowers the
       // limit; after a window they are the floor.
       it.start(1);
       it.finish(Outcome::Served, Duration(10));
       for (int n = 0; n < 3; ++n) {
         it.Now += Duration(30000);
         it.start(1);
         it.finish(Outcome::Served);
       }
     },
     4},
    {"FewerSlotsLowerTheLimit", slots(8, 8),
     [](Gate &it) { it.Controller.setSlots(3); }, 3},
    {"MoreSlotsDoNotRaiseTheLimit", slots(2, 2),
     [](Gate &it) { it.Controller.setSlots(8); }, 2},
    {"MoreSlotsAllowGrowth", slots(2, 2),
     [](Gate &it) {
       it.Controller.setSlots(4);
       it.serveFull(20);
     },
     4},
    {"SlotsOfZeroCountAsOne", slots(8, 8),
     [](Gate &it) { it.Controller.setSlots(0); }, 1},
    {"RestartGoesBackToTheInitialLimit", slots(8),
     [](Gate &it) {
       it.serveFull(50);
       EXPECT_EQ(it.Controller.limit(), 8u);
       it.Controller.restart(it.Now);
     },
     1},
    {"RestartLearnsTheFloorAnew", slots(8),
     [](Gate &it) {
       it.serveFull(50);
       it.Controller.restart(it.Now);
       // A cold back end is slower; its first answers are its floor.
       it.Now += Apart;
       it.serveFull(1, 5 * Floor);
     },
     2},
};

class AdmissionLimit : public testing::TestWithParam<LimitCase> {};

// Guards against a limit above what the back end can bear (grown without
// evidence, or held after an overload), and against one that stays low for
// good.
TEST_P(AdmissionLimit, FollowsTheBackEnd) {
  Gate gate(GetParam().Options);
  GetParam().Run(gate);
  EXPECT_EQ(gate.Controller.limit(), GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(Table, AdmissionLimit, testing::ValuesIn(LimitCases),
                         [](const testing::TestParamInfo<LimitCase> &it) {
                           return std::string(it.param.Name);
                         });

struct ShrinkCase {
  const char *Name;
  void (*Shrink)(Gate &);
  std::uint32_t Limit;
};

class AdmissionShrinks : public testing::TestWithParam<ShrinkCase> {};

// Guards against a slot that is given out while more requests than the lowered
// limit are still running.
TEST_P(AdmissionShrinks, WaitsForRunningRequests) {
  Gate gate(slots(4, 4));
  gate.start(4);
  GetParam().Shrink(gate);
  ASSERT_EQ(gate.Controller.limit(), GetParam().Limit);
  while (gate.Controller.inFlight() > GetParam().Limit) {
    EXPECT_FALSE(gate.Controller.tryStart(gate.Now));
    gate.finish(Outcome::Cancelled);
  }
  EXPECT_FALSE(gate.Controller.tryStart(gate.Now));
  gate.finish(Outcome::Cancelled);
  EXPECT_TRUE(gate.Controller.tryStart(gate.Now));
}

INSTANTIATE_TEST_SUITE_P(
    Table, AdmissionShrinks,
    testing::Values(
        ShrinkCase{"Slots", [](Gate &it) { it.Controller.setSlots(2); }, 2},
        ShrinkCase{"Restart", [](Gate &it) { it.Controller.restart(it.Now); },
                   4},
        ShrinkCase{"Shed", [](Gate &it) { it.finish(Outcome::Shed); }, 2}),
    [](const testing::TestParamInfo<ShrinkCase> &it) {
      return std::string(it.param.Name);
    });

} // namespace
} // namespace pistachio
