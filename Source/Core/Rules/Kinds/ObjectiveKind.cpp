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

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    ObjectiveRule rule;
    rule.Service = line.name("service");
    const Place service = line.place();
    if (line.ok())
      builder.refer("service", rule.Service, service);
    rule.Indicator = line.name("indicator");
    if (line.ok() && rule.Indicator != Availability)
      line.fail(concat("unknown indicator '", rule.Indicator,
                       "'; known: ", Availability));
    if (line.ok())
      builder.declare("objective", concat(rule.Service, " ", rule.Indicator),
                      service);
    rule.Target = line.percentage("target");
    line.keyword("window");
    rule.WindowDays = line.days("window", MaxWindowDays);
    line.end();
    if (line.ok())
      builder.objectives().push_back(std::move(rule));
  }
};

const RegisterRuleKind<ObjectiveKind> Registration;

} // namespace
} // namespace pistachio
