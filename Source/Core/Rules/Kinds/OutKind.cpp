#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

class OutKind final : public RuleKind {
public:
  std::string_view name() const override { return "out"; }
  std::string_view usage() const override { return "out DATACENTRE"; }

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    std::string dataCentre = line.name("data centre");
    if (line.ok()) {
      builder.refer("data centre", dataCentre, line.place());
      builder.declare("out of data centre", dataCentre, line.place());
    }
    line.end();
    if (line.ok())
      builder.out().push_back(std::move(dataCentre));
  }

  void check(RuleSetBuilder &builder) const override {
    const auto &all = builder.dataCentres();
    const auto &out = builder.out();
    if (all.empty())
      return;
    const std::set<std::string_view> names(out.begin(), out.end());
    for (const std::string &it : all)
      if (!names.contains(it))
        return;
    builder.report(builder.lastOf("out of data centre"),
                   "all data centres are out; one must remain in service");
  }
};

const RegisterRuleKind<OutKind> Registration;

} // namespace
} // namespace pistachio
