#pragma once

/// Public header of the Rules library: the operators' rules file.

#include "Common/Common.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

/// The team that may change all lines; it is not declared by a rule.
inline constexpr std::string_view OperatorsTeam = "operators";

/// One accepted line.
struct RuleLine {
  /// From 1; 0 for a line that was not read from a file.
  std::uint32_t Line = 0;
  /// First word: service, route, limit, objective, team, datacentre, out,
  /// drain.
  std::string Kind;
  /// The rule without its comment, words separated by one blank.
  std::string Text;
  /// Who asked for it, from the comment.
  std::string AskedBy;
  std::string Reason;
  friend bool operator==(const RuleLine &, const RuleLine &) = default;
};

struct ServiceRule {
  std::string Name;
  /// Port 0 if the service is reached by routes only.
  Endpoint Address;
  /// Requests that one upstream runs at the same time.
  std::uint32_t Slots = 1;
  /// Requests that an upstream in a cold start bears, per second; no bound if
  /// absent.
  std::optional<double> ColdStartRequestsPerSecond;
};

struct RouteTarget {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Flows to an address, split between services by weight.
struct RouteRule {
  std::string Name;
  Endpoint Address;
  std::vector<RouteTarget> Targets;
};

struct LimitRule {
  std::string Service;
  /// Requests in flight at all upstreams of the service together.
  std::uint32_t MaxInFlight = 0;
};

struct ObjectiveRule {
  std::string Service;
  std::string Indicator;
  /// In percent, below 100.
  double TargetPercent = 0;
  std::uint32_t WindowDays = 0;
};

struct TeamRule {
  std::string Name;
  std::vector<std::string> Services;
};

/// A checked set of rules: every name that a rule refers to is declared in the
/// same set.
class RuleSet {
public:
  /// Adds one finding for each fault (at most 1000, in the order of their
  /// places) and returns nothing if there is any. Columns count characters. The
  /// empty text is valid and has no rules.
  static std::optional<RuleSet>
  parse(std::string_view text, std::string_view fileName, Findings &findings);

  std::span<const RuleLine> lines() const { return Lines; }
  std::span<const ServiceRule> services() const { return Services; }
  std::span<const RouteRule> routes() const { return Routes; }
  std::span<const LimitRule> limits() const { return Limits; }
  std::span<const ObjectiveRule> objectives() const { return Objectives; }
  std::span<const TeamRule> teams() const { return Teams; }
  std::span<const std::string> dataCentres() const { return DataCentres; }
  /// Data centres that operators have taken out.
  std::span<const std::string> dataCentresOut() const { return DataCentresOut; }
  std::span<const UpstreamId> drainingUpstreams() const {
    return DrainingUpstreams;
  }

  /// The text that was parsed, with comments and empty lines.
  const std::string &text() const { return Text; }

private:
  friend class RuleSetBuilder;

  std::string Text;
  std::vector<RuleLine> Lines;
  std::vector<ServiceRule> Services;
  std::vector<RouteRule> Routes;
  std::vector<LimitRule> Limits;
  std::vector<ObjectiveRule> Objectives;
  std::vector<TeamRule> Teams;
  std::vector<std::string> DataCentres;
  std::vector<std::string> DataCentresOut;
  std::vector<UpstreamId> DrainingUpstreams;
};

struct RuleChange {
  enum class Kind : std::uint8_t { Added, Removed };
  Kind ChangeKind = Kind::Added;
  RuleLine Line;
};

/// Lines of \p after that are not in \p before and the other way round; order
/// and place of a line do not count.
std::vector<RuleChange> diffRules(const RuleSet &before, const RuleSet &after);

/// "+ TEXT # asked by NAME: REASON" or "- ...", one line for each change.
std::string formatChanges(std::span<const RuleChange> changes);

/// The rules text with the line "out NAME" (or "drain upstream ID") added or
/// removed. InvalidArgument if the line is there already, or is not there, or
/// if the resulting text has findings, which are then the message.
absl::StatusOr<std::string> addRule(const RuleSet &rules, std::string_view rule,
                                    std::string_view askedBy,
                                    std::string_view reason);
absl::StatusOr<std::string> removeRule(const RuleSet &rules,
                                       std::string_view rule);

/// The rules text without the lines of \p kinds, followed by \p lines. Comments
/// and empty lines stay. The result is not checked.
std::string replaceRules(const RuleSet &rules,
                         std::span<const std::string_view> kinds,
                         std::string_view lines);

/// The lines of services and routes, each ended by a line feed.
std::string formatRouting(std::span<const ServiceRule> services,
                          std::span<const RouteRule> routes,
                          std::string_view askedBy);

/// PermissionDenied if \p team may not make all of \p changes. The team
/// "operators" may make any; other teams may change service, limit and
/// objective lines of their own services.
absl::Status checkTeamMayApply(std::string_view team, const RuleSet &before,
                               std::span<const RuleChange> changes);

} // namespace pistachio
