#include "Session/SessionWorld.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Fault Faults[] = {Fault::Drop,
                            Fault::Repeat,
                            Fault::Delay,
                            Fault::LateCopy,
                            Fault::RestartBefore,
                            Fault::RestartAfter,
                            Fault::RestartAndReopen,
                            Fault::CancelNow,
                            Fault::FlowClosed};

std::string breaches(const LedgerTotals &totals) {
  std::string text;
  for (const std::string &line : totals.Violations)
    text += line + "\n";
  return text;
}

struct Shape {
  const char *Name;
  bool Idempotent;
  std::size_t BodyBytes;
  std::size_t AnswerBytes;
  const char *Script;
};

constexpr Shape Shapes[] = {{"update", false, 300, 100, ""},
                            {"upload", false, 3500, 0, ""},
                            {"bundle", true, 0, 4200, ""},
                            {"shedUpdate", false, 2500, 2500, "ss"},
                            {"unsentUpdate", false, 300, 100, "n"},
                            {"failedUpdate", false, 300, 100, "f"},
                            {"failedBundle", true, 0, 100, "f"}};

struct StepCase {
  Shape What;
  Fault First;
  friend std::ostream &operator<<(std::ostream &out, const StepCase &it) {
    return out << it.What.Name << ", fault " << static_cast<int>(it.First);
  }
};

WorldOptions worldFor(const Shape &shape) {
  WorldOptions options;
  options.AnswerBytes = shape.AnswerBytes;
  options.Script = shape.Script;
  return options;
}

class FaultAtEachStep : public testing::TestWithParam<StepCase> {};

// Guards against a step of the exchange at which one or two faults make a
// request run twice, end without a result, or end with a false one.
TEST_P(FaultAtEachStep, KeepsTheBooksEqual) {
  const StepCase &param = GetParam();
  std::size_t steps = 0;
  {
    SessionWorld world(worldFor(param.What));
    world.start(param.What.Idempotent, param.What.BodyBytes);
    world.run();
    const LedgerTotals totals = world.totals();
    ASSERT_TRUE(totals.isClean()) << breaches(totals);
    steps = world.packets();
  }
  for (std::size_t first = 0; first < steps; ++first) {
    for (std::size_t second = first; second < first + 6; ++second) {
      for (const Fault fault : {param.First, Fault::Drop, Fault::LateCopy}) {
        SessionWorld world(worldFor(param.What));
        world.plan(first, param.First);
        if (second != first)
          world.plan(second, fault);
        world.start(param.What.Idempotent, param.What.BodyBytes);
        world.run();
        const LedgerTotals totals = world.totals();
        ASSERT_TRUE(totals.isClean())
            << "faults at packets " << first << " and " << second << " ("
            << static_cast<int>(fault) << ")\n"
            << breaches(totals);
        if (second == first)
          break;
      }
    }
  }
}

std::vector<StepCase> stepCases() {
  std::vector<StepCase> cases;
  for (const Shape &shape : Shapes)
    for (const Fault fault : Faults)
      cases.push_back({shape, fault});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Table, FaultAtEachStep, testing::ValuesIn(stepCases()),
                         [](const testing::TestParamInfo<StepCase> &info) {
                           return std::string(info.param.What.Name) +
                                  std::to_string(
                                      static_cast<int>(info.param.First));
                         });

class NoisyLink : public testing::TestWithParam<std::uint64_t> {};

// Guards against answers that are lost, mixed up or from another request when
// many requests share a flow over a link with loss, repetition and reordering,
// while the agent restarts.
TEST_P(NoisyLink, KeepsTheBooksEqual) {
  WorldOptions options;
  options.Noise = 0.02 * static_cast<double>(GetParam() % 6);
  options.Seed = GetParam();
  options.Script = "aasanafaasaaaanaaf";
  SessionWorld world(options);
  if (GetParam() % 2 == 0)
    for (std::size_t n = 20; n < 1200; n += 300)
      world.plan(n + GetParam(), Fault::RestartBefore);
  for (std::size_t n = 0; n < 30; ++n) {
    const RequestId id = world.start(n % 3 == 0, n * 397 % 6000);
    if (n % 7 == 6)
      world.cancel(id);
    if (n % 2 == 0)
      world.run(Duration(100));
  }
  world.run();
  const LedgerTotals totals = world.totals();
  EXPECT_TRUE(totals.isClean()) << breaches(totals);
  EXPECT_EQ(totals.Requests, 30u);
  // The link is good enough for some answers; all refused would hide faults.
  EXPECT_GT(totals.Answered, 5u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, NoisyLink,
                         testing::Range<std::uint64_t>(1, 61));

class DeadlineAtEachStep : public testing::TestWithParam<int> {};

// Guards against a false report when the deadline passes at any step.
TEST_P(DeadlineAtEachStep, KeepsTheBooksEqual) {
  for (std::uint64_t seed = 1; seed < 5; ++seed) {
    WorldOptions options;
    options.Seed = seed;
    options.Noise = seed % 2 == 0 ? 0.1 : 0;
    options.Slots = 1;
    SessionWorld world(options);
    for (int n = 0; n < 4; ++n)
      world.start(n % 2 == 0, 2500, Duration(GetParam()));
    world.run();
    const LedgerTotals totals = world.totals();
    EXPECT_TRUE(totals.isClean()) << breaches(totals);
  }
}

INSTANTIATE_TEST_SUITE_P(Deadlines, DeadlineAtEachStep,
                         testing::Range(0, 200, 4));

// Guards against an answer that was altered on the agent's side, behind the
// envelope's checksum, and is taken for the answer.
TEST(AlteredAnswer, IsNeverReported) {
  for (const bool always : {true, false}) {
    WorldOptions options;
    int altered = 0;
    options.AlterAnswer = [&](SessionMessage &message) {
      if (auto *it = std::get_if<AnswerSegment>(&message);
          it && it->Offset == 1000 && (always || altered == 0)) {
        it->Content[10] ^= std::byte{1};
        ++altered;
      }
    };
    SessionWorld world(options);
    world.start(false, 100);
    world.run();
    const LedgerTotals totals = world.totals();
    EXPECT_TRUE(totals.isClean()) << breaches(totals);
    EXPECT_GT(altered, 0);
    EXPECT_EQ(totals.Answered, always ? 0u : 1u);
  }
}

// Guards against a request that stays open for good on a flow that went silent
// while new flows work.
TEST(SilentFlow, IsReplacedAfterThreeKeepAlives) {
  WorldOptions options;
  options.Caller.KeepAliveInterval = Duration(500);
  SessionWorld world(options);
  world.start(true, 100);
  world.run();
  world.silenceFlows();
  world.start(true, 100);
  world.start(false, 100);
  world.run();
  const LedgerTotals totals = world.totals();
  EXPECT_TRUE(totals.isClean()) << breaches(totals);
  EXPECT_EQ(totals.Answered, 2u);
  EXPECT_EQ(totals.Unknown, 1u);
  EXPECT_EQ(world.counters().FlowsBroken, 1u);
}

} // namespace
} // namespace pistachio
