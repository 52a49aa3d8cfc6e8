#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

class OutKind final : public RuleKind {
public:
  std::string_view name() const override { return "out"; }
  std::string_view usage() const override { return "out DATACENTRE"; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    std::string dataCentre = line.readName("data centre");
    if (line.ok()) {
      builder.addReference("data centre", dataCentre, line.position());
      builder.declare("'out' rule of data centre", dataCentre, line.position());
    }
    line.expectEnd();
    if (line.ok())
      builder.dataCentresOut().push_back(std::move(dataCentre));
  }

  void checkRuleSet(RuleSetBuilder &builder) const override {
    const auto &all = builder.dataCentres();
    const auto &out = builder.dataCentresOut();
    if (all.empty())
      return;
    const std::set<std::string_view> names(out.begin(), out.end());
    for (const std::string &it : all)
      if (!names.contains(it))
        return;
    builder.report(builder.lastDeclaredIn("'out' rule of data centre"),
                   "all data centres are out; one must remain in service");
  }
};

const RegisterRuleKind<OutKind> Registration;

} // namespace
} // namespace pistachio
