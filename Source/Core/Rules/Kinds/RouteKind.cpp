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
           "weight N ...] [urgency N] [objective N] [timeout N] "
           "[repeatable|once]";
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
    rule.Terms = parseTerms(line);
    line.expectEnd();
    const bool hasWeight = std::ranges::any_of(
        rule.Targets, [](const RouteTarget &it) { return it.Weight > 0; });
    if (line.ok() && !hasWeight)
      line.reportFinding(
          "all weights of the route are 0; at least one must be above 0");
    if (line.ok())
      builder.routes().push_back(std::move(rule));
  }

private:
  static RouteTerms parseTerms(LineReader &line) {
    constexpr auto MaxMs = static_cast<std::uint32_t>(MaxRouteDuration.count());
    RouteTerms terms;
    if (line.tryKeyword("urgency"))
      terms.Urgency =
          static_cast<std::uint8_t>(line.readNumber("urgency", 0, MaxUrgency));
    if (line.tryKeyword("objective"))
      terms.Objective = Duration(line.readNumber("objective", 1, MaxMs));
    if (line.tryKeyword("timeout"))
      terms.Timeout = Duration(line.readNumber("timeout", 1, MaxMs));
    if (line.ok() && !isValid(terms))
      line.reportFinding(concat("timeout '",
                                std::to_string(terms.Timeout->count()),
                                "' is below the objective; a number from ",
                                std::to_string(terms.Objective->count()),
                                " to ", std::to_string(MaxMs), " is allowed"));
    if (line.tryKeyword("repeatable"))
      terms.Repeatable = true;
    else if (line.tryKeyword("once"))
      terms.Repeatable = false;
    return terms;
  }
};

const RegisterRuleKind<RouteKind> Registration;

} // namespace
} // namespace pistachio
