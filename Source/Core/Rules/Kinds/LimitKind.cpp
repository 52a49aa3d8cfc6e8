#include "Rules/RuleKind.h"

namespace pistachio {
namespace {

constexpr std::uint32_t MaxInFlight = 100'000'000;

class LimitKind final : public RuleKind {
public:
  std::string_view name() const override { return "limit"; }
  std::string_view usage() const override { return "limit SERVICE inflight N"; }
  bool belongsToService() const override { return true; }

  void read(LineReader &line, RuleSetBuilder &builder) const override {
    LimitRule rule;
    rule.Service = line.name("service");
    if (line.ok()) {
      builder.refer("service", rule.Service, line.place());
      builder.declare("limit of service", rule.Service, line.place());
    }
    line.keyword("inflight");
    rule.InFlight = line.number("inflight", 1, MaxInFlight);
    line.end();
    if (line.ok())
      builder.limits().push_back(std::move(rule));
  }
};

const RegisterRuleKind<LimitKind> Registration;

} // namespace
} // namespace pistachio
