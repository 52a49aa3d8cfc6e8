#include "Rules/RuleKind.h"

#include <limits>

namespace pistachio {
namespace {

class DrainKind final : public RuleKind {
public:
  std::string_view name() const override { return "drain"; }
  std::string_view usage() const override { return "drain upstream ID"; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    line.expectKeyword("upstream");
    const std::uint32_t id = line.readNumber(
        "upstream id", 1, std::numeric_limits<std::uint32_t>::max());
    if (line.ok())
      builder.declare("'drain' rule of upstream", std::to_string(id),
                      line.position());
    line.expectEnd();
    if (line.ok())
      builder.drainingUpstreams().push_back({id});
  }
};

const RegisterRuleKind<DrainKind> Registration;

} // namespace
} // namespace pistachio
