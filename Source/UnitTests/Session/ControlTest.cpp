#include "Session/SessionWorld.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

struct OffCase {
  const char *Name;
  std::function<void(WorldOptions &)> TurnOff;
  Fault AtStep;
  bool Cancel;
  std::size_t LedgerTotals::*Breach;
  friend std::ostream &operator<<(std::ostream &out, const OffCase &it) {
    return out << it.Name;
  }
};

class MechanismOff : public testing::TestWithParam<OffCase> {};

// Guards against a ledger check that passes whatever happens: with one
// mechanism off, some step of the exchange must show the breach.
TEST_P(MechanismOff, IsReported) {
  const OffCase &param = GetParam();
  std::size_t seen = 0;
  for (std::size_t step = 0; step < 12; ++step) {
    WorldOptions options;
    options.AnswerBytes = 2500;
    param.TurnOff(options);
    SessionWorld world(options);
    world.plan(step, param.AtStep);
    const RequestId id = world.start(false, 300);
    if (param.Cancel) {
      world.run(Duration(10));
      world.cancel(id);
    }
    world.run();
    seen += world.totals().*param.Breach;
  }
  EXPECT_GT(seen, 0u);
}

const OffCase OffCases[] = {
    {"recordsClearedBetweenPackets",
     [](WorldOptions &it) { it.ClearRecordsBetweenPackets = true; },
     Fault::LateCopy, false, &LedgerTotals::Doubled},
    {"incarnationNotCompared",
     [](WorldOptions &it) { it.ForgetIncarnation = true; },
     Fault::RestartAndReopen, false, &LedgerTotals::Doubled},
    {"checksumNotChecked",
     [](WorldOptions &it) {
       it.AlterAnswer = [](SessionMessage &message) {
         if (auto *it = std::get_if<ResponseSegment>(&message)) {
           // The checksum of this alteration, so that it passes.
           Bytes body(2500);
           it->Checksum = checksum32(body);
           it->Content.assign(it->Content.size(), std::byte{0});
         }
       };
     },
     Fault::None, false, &LedgerTotals::Wrong},
    {"refusedAfterRunning",
     [](WorldOptions &it) {
       it.AlterAnswer = [](SessionMessage &message) {
         if (const auto *it = std::get_if<ResponseSegment>(&message))
           message = NotRun{it->Request, RefusalReason::Cancelled, 0, 100};
       };
     },
     Fault::None, false, &LedgerTotals::Lost},
    {"refusalNotRemembered",
     [](WorldOptions &it) {
       it.ClearRecordsBetweenPackets = true;
       it.Slots = 0;
       it.SlotsLater = 1;
     },
     Fault::LateCopy, true, &LedgerTotals::Lost},
};

INSTANTIATE_TEST_SUITE_P(Table, MechanismOff, testing::ValuesIn(OffCases),
                         [](const testing::TestParamInfo<OffCase> &info) {
                           return info.param.Name;
                         });

} // namespace
} // namespace pistachio
