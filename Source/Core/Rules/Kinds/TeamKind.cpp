#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

class TeamKind final : public RuleKind {
public:
  std::string_view name() const override { return "team"; }
  std::string_view usage() const override {
    return "team NAME services SERVICE[,SERVICE...]";
  }

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    TeamRule rule;
    rule.Name = line.name("team");
    if (line.ok() && rule.Name == OperatorsTeam)
      line.fail(
          "the team 'operators' may change all lines and is not declared");
    if (line.ok())
      builder.declare("team", rule.Name, line.place());
    line.keyword("services");
    std::set<std::string_view> seen;
    for (const Word &it : line.names("service")) {
      if (!line.ok())
        break;
      const Place place = builder.placeOf(it.Offset);
      if (!seen.insert(it.Text).second)
        builder.report(place, concat("service '", it.Text,
                                     "' is listed twice for the team"));
      else
        builder.refer("service", it.Text, place);
      rule.Services.emplace_back(it.Text);
    }
    line.end();
    if (line.ok())
      builder.teams().push_back(std::move(rule));
  }
};

const RegisterRuleKind<TeamKind> Registration;

} // namespace
} // namespace pistachio
