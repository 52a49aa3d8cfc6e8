#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

class DataCentreKind final : public RuleKind {
public:
  std::string_view name() const override { return "datacentre"; }
  std::string_view usage() const override { return "datacentre NAME"; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    std::string dataCentre = line.readName("data centre");
    if (line.ok())
      builder.declare("data centre", dataCentre, line.position());
    line.expectEnd();
    if (line.ok())
      builder.dataCentres().push_back(std::move(dataCentre));
  }
};

const RegisterRuleKind<DataCentreKind> Registration;

} // namespace
} // namespace pistachio
