#pragma once

/// Public header of the Rules library: parsing, comparing and editing the rules
/// file in which operators configure services, routes, limits and data centres.

#include "Common/Common.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

/// The built-in team that may change every line. A team rule cannot declare it.
inline constexpr std::string_view OperatorsTeam = "operators";

/// One valid line of a rules file.
struct RuleLine {
  /// Line number, starting at 1; 0 for a line that was not read from a file.
  std::uint32_t Line = 0;
  /// The first word of the line, which names the kind of rule: service, route,
  /// limit, objective, team, datacentre, out or drain.
  std::string Kind;
  /// The rule without its comment, with single spaces between the words.
  std::string Text;
  /// The person who requested the rule, from the comment.
  std::string AskedBy;
  /// The optional reason in the comment.
  std::string Reason;
  friend bool operator==(const RuleLine &, const RuleLine &) = default;
};

struct ServiceRule {
  std::string Name;
  /// The port is 0 if only routes lead to the service.
  Endpoint Address;
  /// Number of requests that one upstream runs concurrently.
  std::uint32_t Slots = 1;
  /// Request rate that an upstream can handle during its cold start; unlimited
  /// if absent.
  std::optional<double> ColdStartRequestsPerSecond;
};

/// A service that receives part of the flows of a route.
struct RouteTarget {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Distributes the flows to one address over services in proportion to their
/// weights.
struct RouteRule {
  std::string Name;
  Endpoint Address;
  std::vector<RouteTarget> Targets;
  RouteTerms Terms{};
};

struct LimitRule {
  std::string Service;
  /// Limit on the requests in flight at all upstreams of the service together.
  std::uint32_t MaxInFlight = 0;
};

/// A service level objective.
struct ObjectiveRule {
  std::string Service;
  std::string Indicator;
  /// Above 0 and below 100.
  double TargetPercent = 0;
  std::uint32_t WindowDays = 0;
};

/// A team and the services whose rules it may change.
struct TeamRule {
  std::string Name;
  std::vector<std::string> Services;
};

/// A validated set of rules: every name that a rule refers to is declared in
/// the same set.
class RuleSet {
public:
  /// Parses and validates a rules file. Adds one finding for each error, at
  /// most 1000 in the order of their positions, and returns nothing if there is
  /// any. Columns count characters, not bytes. Empty text is valid and has no
  /// rules.
  static std::optional<RuleSet>
  parse(std::string_view text, std::string_view fileName, Findings &findings);

  std::span<const RuleLine> lines() const { return Lines; }
  std::span<const ServiceRule> services() const { return Services; }
  std::span<const RouteRule> routes() const { return Routes; }
  std::span<const LimitRule> limits() const { return Limits; }
  std::span<const ObjectiveRule> objectives() const { return Objectives; }
  std::span<const TeamRule> teams() const { return Teams; }
  std::span<const std::string> dataCentres() const { return DataCentres; }
  /// Data centres that operators have taken out of service.
  std::span<const std::string> dataCentresOut() const { return DataCentresOut; }
  std::span<const UpstreamId> drainingUpstreams() const {
    return DrainingUpstreams;
  }

  /// The parsed text, including comments and empty lines.
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

/// A line that differs between two rule sets.
struct RuleChange {
  enum class Kind : std::uint8_t { Added, Removed };
  Kind ChangeKind = Kind::Added;
  RuleLine Line;
};

/// Returns the lines that are in only one of \p before and \p after. The order
/// and position of a line are ignored.
std::vector<RuleChange> diffRules(const RuleSet &before, const RuleSet &after);

/// Formats one line for each change: "+ TEXT # asked by NAME: REASON" for an
/// added rule and "- ..." for a removed one.
std::string formatChanges(std::span<const RuleChange> changes);

/// addRule() and removeRule() return the rules text with one rule added or
/// removed, for example "out NAME" or "drain upstream ID". They return
/// InvalidArgument if the rule to add exists, if the rule to remove does not
/// exist, or if the resulting text has findings, which are then the message.
absl::StatusOr<std::string> addRule(const RuleSet &rules, std::string_view rule,
                                    std::string_view askedBy,
                                    std::string_view reason);
absl::StatusOr<std::string> removeRule(const RuleSet &rules,
                                       std::string_view rule);

/// Returns the rules text with all lines of the given kinds removed and \p
/// lines appended. Other comments and empty lines are kept. The result is not
/// validated.
std::string replaceRules(const RuleSet &rules,
                         std::span<const std::string_view> kinds,
                         std::string_view lines);

/// Formats services and routes as lines of a rules file, each terminated by a
/// line feed.
std::string formatRouting(std::span<const ServiceRule> services,
                          std::span<const RouteRule> routes,
                          std::string_view askedBy);

/// Returns PermissionDenied unless \p team may make all of \p changes. The team
/// "operators" may make any change. Other teams may change only the service,
/// limit and objective lines of the services that their team rule in \p before
/// lists.
absl::Status checkTeamMayApply(std::string_view team, const RuleSet &before,
                               std::span<const RuleChange> changes);

} // namespace pistachio
