#include "Rules/RuleKind.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::uint32_t MaxWeight = 1'000'000;

class RouteKind final : public RuleKind {
public:
  std::string_view name() const override { return "route"; }
  std::string_view usage() const override {
    return "route NAME address A.B.C.D:PORT to SERVICE weight N [and SERVICE "
           "weight N ...]";
  }

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    RouteRule rule;
    rule.Name = line.name("route");
    if (line.ok())
      builder.declare("route", rule.Name, line.place());
    line.keyword("address");
    rule.Address = line.endpoint();
    if (line.ok())
      builder.declare("address", toString(rule.Address), line.place());
    line.keyword("to");
    do {
      RouteTarget target;
      target.Service = line.name("service");
      if (line.ok())
        builder.refer("service", target.Service, line.place());
      line.keyword("weight");
      target.Weight = line.number("weight", 0, MaxWeight);
      rule.Targets.push_back(std::move(target));
    } while (line.optionalKeyword("and"));
    line.end();
    const bool hasWeight = std::ranges::any_of(
        rule.Targets, [](const RouteTarget &it) { return it.Weight > 0; });
    if (line.ok() && !hasWeight)
      line.fail("all weights of the route are 0");
    if (line.ok())
      builder.routes().push_back(std::move(rule));
  }
};

const RegisterRuleKind<RouteKind> Registration;

} // namespace
} // namespace pistachio
