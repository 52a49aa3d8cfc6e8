#include "Placement/Placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace pistachio {
namespace {

constexpr std::uint32_t Slots = 5;
/// Number of concurrent requests that the cold back end can serve.
constexpr std::size_t ColdCapacity = 1;
constexpr Duration ServiceTime{100};

/// A back end during its cold start. It serves one request at a time and sheds
/// the others.
struct ColdBackEnd {
  std::size_t Running = 0;
  std::size_t PeakOffered = 0;

  /// Returns false if the back end sheds the request.
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
  /// Time for which the back end stays cold.
  Duration ColdFor;
};

class AdmissionControlTest : public testing::TestWithParam<ColdCase> {};

// Guards against more concurrent requests than a cold back end can serve. With
// admission control disabled, the test has to observe the overload; otherwise
// the check itself would be ineffective.
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
  // One request arrives every 10 ms, far more than the back end can serve.
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
  // The last step of the loop is 10 ms before the end, so a response that is
  // due exactly at the end is not counted.
  EXPECT_EQ(served, (coldFor - Duration(10)) / ServiceTime);
  if (hasAdmission) {
    EXPECT_LE(backEnd.PeakOffered, ColdCapacity);
  } else {
    EXPECT_GT(backEnd.PeakOffered, ColdCapacity);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, AdmissionControlTest,
    testing::Values(ColdCase{"AdmissionDisabled", false, ServiceTime},
                    ColdCase{"AdmissionUntilFirstResponse", true, ServiceTime},
                    ColdCase{"AdmissionDisabledForThreeSeconds", false,
                             Duration(3000)},
                    ColdCase{"AdmissionForThreeSeconds", true, Duration(3000)}),
    [](const testing::TestParamInfo<ColdCase> &it) {
      return std::string(it.param.Name);
    });

} // namespace
} // namespace pistachio
