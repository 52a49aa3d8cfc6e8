#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

class TeamKind final : public RuleKind {
public:
  std::string_view name() const override { return "team"; }
  std::string_view usage() const override {
    return "team NAME services SERVICE[,SERVICE...]";
  }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    TeamRule rule;
    rule.Name = line.readName("team");
    if (line.ok() && rule.Name == OperatorsTeam)
      line.reportFinding(
          "the team 'operators' may change all lines and must not be declared");
    if (line.ok())
      builder.declare("team", rule.Name, line.position());
    line.expectKeyword("services");
    std::set<std::string_view> seen;
    for (const Word &it : line.readNames("service")) {
      if (!line.ok())
        break;
      const TextPosition position = builder.positionOf(it.Offset);
      if (!seen.insert(it.Text).second)
        builder.report(position, concat("service '", it.Text,
                                        "' is listed twice for the team"));
      else
        builder.addReference("service", it.Text, position);
      rule.Services.emplace_back(it.Text);
    }
    line.expectEnd();
    if (line.ok())
      builder.teams().push_back(std::move(rule));
  }
};

const RegisterRuleKind<TeamKind> Registration;

} // namespace
} // namespace pistachio
