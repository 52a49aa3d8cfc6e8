#include "Session/SessionSimulation.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

struct DisabledMechanismCase {
  const char *Name;
  std::function<void(SimulationOptions &)> Disable;
  Fault InjectedFault;
  bool Cancel;
  std::size_t LedgerTotals::*Breach;
  friend std::ostream &operator<<(std::ostream &out,
                                  const DisabledMechanismCase &it) {
    return out << it.Name;
  }
};

class DisabledMechanism : public testing::TestWithParam<DisabledMechanismCase> {
};

// Guards against a ledger check that passes whatever happens. With one
// mechanism disabled, a fault at some step of the exchange has to cause a
// breach that the check reports.
TEST_P(DisabledMechanism, IsReportedByLedger) {
  const DisabledMechanismCase &param = GetParam();
  std::size_t seen = 0;
  for (std::size_t step = 0; step < 12; ++step) {
    SimulationOptions options;
    options.ResponseBytes = 2500;
    param.Disable(options);
    SessionSimulation simulation(options);
    simulation.injectFault(step, param.InjectedFault);
    const RequestId id = simulation.start(false, 300);
    if (param.Cancel) {
      simulation.run(Duration(10));
      simulation.cancel(id);
    }
    simulation.run();
    seen += simulation.totals().*param.Breach;
  }
  EXPECT_GT(seen, 0u);
}

const DisabledMechanismCase DisabledMechanismCases[] = {
    {"recordsClearedBetweenPackets",
     [](SimulationOptions &it) { it.ForgetsRecords = true; }, Fault::LateCopy,
     false, &LedgerTotals::Doubled},
    {"incarnationNotCompared",
     [](SimulationOptions &it) { it.KeepsIncarnation = true; },
     Fault::RestartAndReopen, false, &LedgerTotals::Doubled},
    {"checksumNotChecked",
     [](SimulationOptions &it) {
       it.AlterReply = [](SessionMessage &message) {
         if (auto *it = std::get_if<ResponseSegment>(&message)) {
           // The checksum matches the altered body, so that the caller does not
           // detect the alteration.
           Bytes body(2500);
           it->Checksum = checksum32(body);
           it->Content.assign(it->Content.size(), std::byte{0});
         }
       };
     },
     Fault::None, false, &LedgerTotals::Wrong},
    {"refusedAfterRunning",
     [](SimulationOptions &it) {
       it.AlterReply = [](SessionMessage &message) {
         if (const auto *it = std::get_if<ResponseSegment>(&message))
           message = NotRun{it->Request, RefusalReason::Cancelled, 0, 100};
       };
     },
     Fault::None, false, &LedgerTotals::Lost},
    {"refusalNotRemembered",
     [](SimulationOptions &it) {
       it.ForgetsRecords = true;
       it.Slots = 0;
       it.LaterSlots = 1;
     },
     Fault::LateCopy, true, &LedgerTotals::Lost},
};

INSTANTIATE_TEST_SUITE_P(
    Table, DisabledMechanism, testing::ValuesIn(DisabledMechanismCases),
    [](const testing::TestParamInfo<DisabledMechanismCase> &info) {
      return info.param.Name;
    });

} // namespace
} // namespace pistachio
