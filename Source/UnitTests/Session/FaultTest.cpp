#include "Session/SessionSimulation.h"

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
                            Fault::Cancel,
                            Fault::FlowClosed};

/// Breaches that the ledger check found, one per line.
std::string breachLines(const LedgerTotals &totals) {
  std::string text;
  for (const std::string &line : totals.Violations)
    text += line + "\n";
  return text;
}

/// A request and the behaviour of the back end.
struct Exchange {
  const char *Name;
  bool Idempotent;
  std::size_t BodyBytes;
  std::size_t ResponseBytes;
  const char *BackEndOutcomes;
};

constexpr Exchange Exchanges[] = {{"update", false, 300, 100, ""},
                                  {"upload", false, 3500, 0, ""},
                                  {"bundle", true, 0, 4200, ""},
                                  {"shedUpdate", false, 2500, 2500, "ss"},
                                  {"unsentUpdate", false, 300, 100, "n"},
                                  {"failedUpdate", false, 300, 100, "f"},
                                  {"failedBundle", true, 0, 100, "f"}};

struct StepCase {
  Exchange TestedExchange;
  Fault FirstFault;
  friend std::ostream &operator<<(std::ostream &out, const StepCase &it) {
    return out << it.TestedExchange.Name << ", fault "
               << static_cast<int>(it.FirstFault);
  }
};

SimulationOptions optionsFor(const Exchange &exchange) {
  SimulationOptions options;
  options.ResponseBytes = exchange.ResponseBytes;
  options.BackEndOutcomes = exchange.BackEndOutcomes;
  return options;
}

class FaultAtEachStep : public testing::TestWithParam<StepCase> {};

// Guards against a step of the exchange at which one or two faults make a
// request run twice, end without a result or end with a false result.
TEST_P(FaultAtEachStep, KeepsLedgersConsistent) {
  const StepCase &param = GetParam();
  std::size_t steps = 0;
  {
    SessionSimulation simulation(optionsFor(param.TestedExchange));
    simulation.start(param.TestedExchange.Idempotent,
                     param.TestedExchange.BodyBytes);
    simulation.run();
    const LedgerTotals totals = simulation.totals();
    ASSERT_TRUE(totals.isClean()) << breachLines(totals);
    steps = simulation.packets();
  }
  for (std::size_t first = 0; first < steps; ++first) {
    for (std::size_t second = first; second < first + 6; ++second) {
      for (const Fault fault :
           {param.FirstFault, Fault::Drop, Fault::LateCopy}) {
        SessionSimulation simulation(optionsFor(param.TestedExchange));
        simulation.injectFault(first, param.FirstFault);
        if (second != first)
          simulation.injectFault(second, fault);
        simulation.start(param.TestedExchange.Idempotent,
                         param.TestedExchange.BodyBytes);
        simulation.run();
        const LedgerTotals totals = simulation.totals();
        ASSERT_TRUE(totals.isClean())
            << "faults at packets " << first << " and " << second << " ("
            << static_cast<int>(fault) << ")\n"
            << breachLines(totals);
        if (second == first)
          break;
      }
    }
  }
}

std::vector<StepCase> stepCases() {
  std::vector<StepCase> cases;
  for (const Exchange &exchange : Exchanges)
    for (const Fault fault : Faults)
      cases.push_back({exchange, fault});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Table, FaultAtEachStep, testing::ValuesIn(stepCases()),
                         [](const testing::TestParamInfo<StepCase> &info) {
                           return std::string(info.param.TestedExchange.Name) +
                                  std::to_string(
                                      static_cast<int>(info.param.FirstFault));
                         });

class UnreliableLink : public testing::TestWithParam<std::uint64_t> {};

// Guards against lost or mixed-up responses when many requests share a flow,
// the link loses, duplicates and reorders packets, and the agent restarts.
TEST_P(UnreliableLink, KeepsLedgersConsistent) {
  SimulationOptions options;
  options.FaultProbability = 0.02 * static_cast<double>(GetParam() % 6);
  options.Seed = GetParam();
  options.BackEndOutcomes = "aasanafaasaaaanaaf";
  SessionSimulation simulation(options);
  if (GetParam() % 2 == 0)
    for (std::size_t n = 20; n < 1200; n += 300)
      simulation.injectFault(n + GetParam(), Fault::RestartBefore);
  for (std::size_t n = 0; n < 30; ++n) {
    const RequestId id = simulation.start(n % 3 == 0, n * 397 % 6000);
    if (n % 7 == 6)
      simulation.cancel(id);
    if (n % 2 == 0)
      simulation.run(Duration(100));
  }
  simulation.run();
  const LedgerTotals totals = simulation.totals();
  EXPECT_TRUE(totals.isClean()) << breachLines(totals);
  EXPECT_EQ(totals.Requests, 30u);
  // Some requests have to be answered; the test would prove little if all were
  // refused.
  EXPECT_GT(totals.Answered, 5u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UnreliableLink,
                         testing::Range<std::uint64_t>(1, 61));

class DeadlineAtEachStep : public testing::TestWithParam<int> {};

// Guards against a false result when the deadline passes at any step of the
// exchange.
TEST_P(DeadlineAtEachStep, KeepsLedgersConsistent) {
  for (std::uint64_t seed = 1; seed < 5; ++seed) {
    SimulationOptions options;
    options.Seed = seed;
    options.FaultProbability = seed % 2 == 0 ? 0.1 : 0;
    options.Slots = 1;
    SessionSimulation simulation(options);
    for (int n = 0; n < 4; ++n)
      simulation.start(n % 2 == 0, 2500, Duration(GetParam()));
    simulation.run();
    const LedgerTotals totals = simulation.totals();
    EXPECT_TRUE(totals.isClean()) << breachLines(totals);
  }
}

INSTANTIATE_TEST_SUITE_P(Deadlines, DeadlineAtEachStep,
                         testing::Range(0, 200, 4));

// Guards against reporting a response that was altered at the agent before the
// checksum of the message envelope was computed.
TEST(AlteredResponse, IsNeverReported) {
  for (const bool always : {true, false}) {
    SimulationOptions options;
    int altered = 0;
    options.AlterReply = [&](SessionMessage &message) {
      if (auto *it = std::get_if<ResponseSegment>(&message);
          it && it->Offset == 1000 && (always || altered == 0)) {
        it->Content[10] ^= std::byte{1};
        ++altered;
      }
    };
    SessionSimulation simulation(options);
    simulation.start(false, 100);
    simulation.run();
    const LedgerTotals totals = simulation.totals();
    EXPECT_TRUE(totals.isClean()) << breachLines(totals);
    EXPECT_GT(altered, 0);
    EXPECT_EQ(totals.Answered, always ? 0u : 1u);
  }
}

// Guards against a request that never ends because its flow has stopped
// working, although new flows work.
TEST(SilentFlow, IsReplacedAfterThreeKeepAlives) {
  SimulationOptions options;
  options.Caller.KeepAliveInterval = Duration(500);
  SessionSimulation simulation(options);
  simulation.start(true, 100);
  simulation.run();
  simulation.dropFlowPackets();
  simulation.start(true, 100);
  simulation.start(false, 100);
  simulation.run();
  const LedgerTotals totals = simulation.totals();
  EXPECT_TRUE(totals.isClean()) << breachLines(totals);
  EXPECT_EQ(totals.Answered, 2u);
  EXPECT_EQ(totals.Unknown, 1u);
  EXPECT_EQ(simulation.counters().FlowsLost, 1u);
}

} // namespace
} // namespace pistachio
