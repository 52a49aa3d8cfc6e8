#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

constexpr std::uint32_t MaxInFlightLimit = 100'000'000;

class LimitKind final : public RuleKind {
public:
  std::string_view name() const override { return "limit"; }
  std::string_view usage() const override { return "limit SERVICE inflight N"; }
  bool belongsToService() const override { return true; }

  void parse(LineReader &line, RuleSetBuilder &builder) const override {
    LimitRule rule;
    rule.Service = line.readName("service");
    if (line.ok()) {
      builder.addReference("service", rule.Service, line.position());
      builder.declare("'limit' rule of service", rule.Service, line.position());
    }
    line.expectKeyword("inflight");
    rule.MaxInFlight = line.readNumber("inflight", 1, MaxInFlightLimit);
    line.expectEnd();
    if (line.ok())
      builder.limits().push_back(std::move(rule));
  }
};

const RegisterRuleKind<LimitKind> Registration;

} // namespace
} // namespace pistachio
