#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

constexpr std::uint32_t MaxWindowDays = 366;
constexpr std::string_view Availability = "availability";

class ObjectiveKind final : public RuleKind {
public:
  std::string_view name() const override { return "objective"; }
  std::string_view usage() const override {
    return "objective SERVICE availability PERCENT window DAYSd";
  }
  bool belongsToService() const override { return true; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    ObjectiveRule rule;
    rule.Service = line.readName("service");
    const TextPosition service = line.position();
    if (line.ok())
      builder.addReference("service", rule.Service, service);
    rule.Indicator = line.readName("indicator");
    if (line.ok() && rule.Indicator != Availability)
      line.reportFinding(concat("unknown indicator '", rule.Indicator,
                                "'; known: ", Availability));
    if (line.ok())
      builder.declare("objective", concat(rule.Service, " ", rule.Indicator),
                      service);
    rule.TargetPercent = line.readPercentage("target");
    line.expectKeyword("window");
    rule.WindowDays = line.readDays("window", MaxWindowDays);
    line.expectEnd();
    if (line.ok())
      builder.objectives().push_back(std::move(rule));
  }
};

const RegisterRuleKind<ObjectiveKind> Registration;

} // namespace
} // namespace pistachio
