#include "Placement/SimulatedSite.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

constexpr Duration Second{1000};

struct ControlCase {
  const char *Name;
  SiteOptions Options;
  void (*Run)(SimulatedSite &);
  int InvariantViolations::*Expected;
};

/// Options for an unreliable network, without tokens and with one mechanism
/// disabled.
SiteOptions without(bool SiteOptions::*mechanism) {
  SiteOptions out;
  out.Net = {"", 200, 300, 1, 90};
  out.UsesToken = false;
  out.*mechanism = false;
  return out;
}

const ControlCase Cases[] = {
    {"ModuloInsteadOfRanking", without(&SiteOptions::HasRanking),
     [](SimulatedSite &it) {
       it.openFlows(1, 100);
       it.run(3 * Second);
       it.join(1, 1);
       it.run(5 * Second);
     },
     &InvariantViolations::Broken},
    {"NoProbes", without(&SiteOptions::HasProbes),
     [](SimulatedSite &it) {
       for (int n = 0; n < 5; ++n) {
         it.join(1, 1);
         it.openFlows(1, 100);
         it.run(Second);
       }
     },
     &InvariantViolations::DuplicateSessions},
    {"NoLease", without(&SiteOptions::HasLease),
     [](SimulatedSite &it) {
       it.openFlows(1, 100);
       it.run(3 * Second);
       it.setBalancerPartitioned(1, true, false);
       it.setDataCentreOut(1, true);
       it.run(4 * Second);
       // The agents have reset the flows above, so only callers that open new
       // flows still send packets to them.
       it.openFlows(1, 100);
       it.run(2 * Second);
     },
     &InvariantViolations::ToRemovedDataCentre},
};

class SiteControlTest : public testing::TestWithParam<ControlCase> {};

// Guards against a simulation that reports no violation whatever happens: with
// a mechanism disabled, the violation that it prevents has to be reported.
TEST_P(SiteControlTest, ReportsViolation) {
  const ControlCase &it = GetParam();
  SimulatedSite site(it.Options, 7);
  for (const int lag : {0, 700, 2500})
    site.addBalancer(Duration(lag));
  for (int n = 0; n < 7; ++n)
    site.join(1, static_cast<std::uint16_t>(1 + (n % 3)));
  site.run(45 * Second);
  it.Run(site);
  EXPECT_GT(site.violations().*it.Expected, 0) << site.violations();
}

INSTANTIATE_TEST_SUITE_P(Mechanisms, SiteControlTest, testing::ValuesIn(Cases),
                         [](const testing::TestParamInfo<ControlCase> &it) {
                           return std::string(it.param.Name);
                         });

} // namespace
} // namespace pistachio
