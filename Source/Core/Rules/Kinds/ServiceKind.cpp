#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

constexpr std::uint32_t MaxSlots = 10000;
/// Per second; far above what one upstream bears.
constexpr double MaxColdRate = 1e6;

class ServiceKind final : public RuleKind {
public:
  std::string_view name() const override { return "service"; }
  std::string_view usage() const override {
    return "service NAME [address A.B.C.D:PORT] slots N [cold-rate R]";
  }
  bool belongsToService() const override { return true; }

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    ServiceRule rule;
    rule.Name = line.name("service");
    // Declared even if the rest of the line is faulty, so that lines that refer
    // to the service cause no findings of their own.
    if (line.ok())
      builder.declare("service", rule.Name, line.place());
    if (line.optionalKeyword("address")) {
      rule.Address = line.endpoint();
      if (line.ok())
        builder.declare("address", toString(rule.Address), line.place());
    }
    line.keyword("slots");
    rule.Slots = line.number("slots", 1, MaxSlots);
    if (line.optionalKeyword("cold-rate"))
      rule.ColdPerSecond = line.decimal("cold rate", MaxColdRate);
    line.end();
    if (line.ok())
      builder.services().push_back(std::move(rule));
  }
};

const RegisterRuleKind<ServiceKind> Registration;

} // namespace
} // namespace pistachio
