#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace pistachio {
namespace {

constexpr std::uint32_t Slots = 5;
/// What the cold back end bears.
constexpr std::size_t ColdCapacity = 1;
constexpr Duration ServiceTime{100};

/// A back end in a cold start: it serves one request at a time and sheds those
/// beyond.
struct ColdBackEnd {
  std::size_t Running = 0;
  std::size_t PeakOffered = 0;

  bool tryServe() {
    PeakOffered = std::max(PeakOffered, Running + 1);
    if (Running >= ColdCapacity)
      return false;
    ++Running;
    return true;
  }
};

struct ColdCase {
  const char *Name;
  bool HasAdmission;
  /// How long the back end stays cold.
  Duration ColdFor;
};

class AdmissionControlTest : public testing::TestWithParam<ColdCase> {};

// Guards against a cold back end that is offered more than it bears, and with
// admission off against a check that reports nothing whatever is offered.
TEST_P(AdmissionControlTest, ColdBackEndIsOfferedAtMostItsCapacity) {
  using Outcome = AdmissionController::Outcome;
  const auto &[name, hasAdmission, coldFor] = GetParam();
  AdmissionOptions options;
  options.Slots = Slots;
  AdmissionController admission(options);
  ColdBackEnd backEnd;
  TimePoint now{Duration(1000000)};
  TimePoint servedAt = TimePoint::max();
  int served = 0;
  // One request arrives every 10 ms, far more than the back end bears.
  for (const TimePoint end = now + coldFor; now < end; now += Duration(10)) {
    if (now >= servedAt) {
      servedAt = TimePoint::max();
      --backEnd.Running;
      ++served;
      if (hasAdmission)
        admission.finish(Outcome::Served, ServiceTime, now);
    }
    if (hasAdmission && !admission.tryStart(now))
      continue;
    if (backEnd.tryServe())
      servedAt = now + ServiceTime;
    else if (hasAdmission)
      admission.finish(Outcome::Shed, Duration(0), now);
  }
  EXPECT_EQ(served, (coldFor - Duration(10)) / ServiceTime);
  if (hasAdmission) {
    EXPECT_LE(backEnd.PeakOffered, ColdCapacity);
  } else {
    EXPECT_GT(backEnd.PeakOffered, ColdCapacity);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, AdmissionControlTest,
    testing::Values(ColdCase{"Off", false, ServiceTime},
                    ColdCase{"OnUntilFirstAnswer", true, ServiceTime},
                    ColdCase{"OffForThreeSeconds", false, Duration(3000)},
                    ColdCase{"OnForThreeSeconds", true, Duration(3000)}),
    [](const testing::TestParamInfo<ColdCase> &it) {
      return std::string(it.param.Name);
    });

} // namespace
} // namespace pistachio
