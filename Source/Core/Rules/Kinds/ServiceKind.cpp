#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

constexpr std::uint32_t MaxSlots = 10000;
/// Requests per second; far above what one upstream can handle.
constexpr double MaxColdRatePerSecond = 1e6;

class ServiceKind final : public RuleKind {
public:
  std::string_view name() const override { return "service"; }
  std::string_view usage() const override {
    return "service NAME [address A.B.C.D:PORT] slots N [cold-rate R]";
  }
  bool belongsToService() const override { return true; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    ServiceRule rule;
    rule.Name = line.readName("service");
    // The service is declared even if the rest of the line is invalid, so that
    // lines that refer to it do not cause findings of their own.
    if (line.ok())
      builder.declare("service", rule.Name, line.position());
    if (line.tryKeyword("address")) {
      rule.Address = line.readEndpoint();
      if (line.ok())
        builder.declare("address", toString(rule.Address), line.position());
    }
    line.expectKeyword("slots");
    rule.Slots = line.readNumber("slots", 1, MaxSlots);
    if (line.tryKeyword("cold-rate"))
      rule.ColdStartRequestsPerSecond =
          line.readDecimal("cold rate", MaxColdRatePerSecond);
    line.expectEnd();
    if (line.ok())
      builder.services().push_back(std::move(rule));
  }
};

const RegisterRuleKind<ServiceKind> Registration;

} // namespace
} // namespace pistachio
