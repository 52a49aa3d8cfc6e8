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

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    RouteRule rule;
    rule.Name = line.readName("route");
    if (line.ok())
      builder.declare("route", rule.Name, line.position());
    line.expectKeyword("address");
    rule.Address = line.readEndpoint();
    if (line.ok())
      builder.declare("address", toString(rule.Address), line.position());
    line.expectKeyword("to");
    do {
      RouteTarget target;
      target.Service = line.readName("service");
      if (line.ok())
        builder.addReference("service", target.Service, line.position());
      line.expectKeyword("weight");
      target.Weight = line.readNumber("weight", 0, MaxWeight);
      rule.Targets.push_back(std::move(target));
    } while (line.tryKeyword("and"));
    line.expectEnd();
    const bool hasWeight = std::ranges::any_of(
        rule.Targets, [](const RouteTarget &it) { return it.Weight > 0; });
    if (line.ok() && !hasWeight)
      line.reportFinding(
          "all weights of the route are 0; at least one must be above 0");
    if (line.ok())
      builder.routes().push_back(std::move(rule));
  }
};

const RegisterRuleKind<RouteKind> Registration;

} // namespace
} // namespace pistachio
