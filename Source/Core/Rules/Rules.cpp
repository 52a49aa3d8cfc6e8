#include "Rules/Rules.h"

#include "Rules/RuleKind.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pistachio {
namespace {

/// Limits the work for one line. A team rule with thousands of services fits.
constexpr std::size_t MaxLineBytes = 64 * 1024;
constexpr std::string_view AskedByPrefix = "asked by ";
constexpr std::string_view Whitespace = " \t";

std::string_view trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(Whitespace);
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(Whitespace) - begin + 1);
}

/// Returns the offset of the first byte that is neither a tab nor part of a
/// valid, printable UTF-8 sequence.
std::optional<std::size_t> findInvalidByte(std::string_view text) {
  std::size_t i = 0;
  const auto byteAt = [&](std::size_t k) {
    return k < text.size() ? static_cast<unsigned char>(text[k]) : 0U;
  };
  while (i < text.size()) {
    const unsigned leadByte = byteAt(i);
    if (leadByte < 0x80) {
      if ((leadByte < 0x20 && leadByte != '\t') || leadByte == 0x7F)
        return i;
      ++i;
      continue;
    }
    std::size_t length = 0;
    if (leadByte >= 0xC2 && leadByte <= 0xDF)
      length = 2;
    else if (leadByte >= 0xE0 && leadByte <= 0xEF)
      length = 3;
    else if (leadByte >= 0xF0 && leadByte <= 0xF4)
      length = 4;
    else
      return i;
    for (std::size_t k = 1; k < length; ++k)
      if ((byteAt(i + k) & 0xC0) != 0x80)
        return i;
    // Reject overlong encodings, surrogates and code points above U+10FFFF.
    const unsigned secondByte = byteAt(i + 1);
    if ((leadByte == 0xE0 && secondByte < 0xA0) ||
        (leadByte == 0xED && secondByte > 0x9F) ||
        (leadByte == 0xF0 && secondByte < 0x90) ||
        (leadByte == 0xF4 && secondByte > 0x8F))
      return i;
    i += length;
  }
  return std::nullopt;
}

std::string joinWords(std::span<const Word> words) {
  std::string text;
  for (const Word &it : words) {
    if (!text.empty())
      text += ' ';
    text += it.Text;
  }
  return text;
}

/// The comment that every rule has: "asked by NAME[: REASON]".
struct Comment {
  std::string AskedBy;
  std::string Reason;
};

std::optional<Comment> parseComment(std::string_view comment) {
  comment = trim(comment);
  if (!comment.starts_with(AskedByPrefix))
    return std::nullopt;
  comment.remove_prefix(AskedByPrefix.size());
  const std::size_t colon = comment.find(':');
  Comment result;
  result.AskedBy = trim(comment.substr(0, colon));
  if (result.AskedBy.empty())
    return std::nullopt;
  if (colon != std::string_view::npos)
    result.Reason = trim(comment.substr(colon + 1));
  return result;
}

void parseLine(std::string_view line, std::uint32_t number,
               RuleSetBuilder &builder) {
  builder.beginLine(line, number);
  if (line.size() > MaxLineBytes) {
    builder.report({number, 1}, concat("line is longer than ",
                                       std::to_string(MaxLineBytes), " bytes"));
    return;
  }
  if (const auto offset = findInvalidByte(line)) {
    builder.report(builder.positionOf(*offset),
                   "control character or invalid UTF-8; expected printable "
                   "UTF-8 text and tabs");
    return;
  }
  const std::size_t hash = line.find('#');
  const std::string_view rule = line.substr(0, hash);
  const std::vector<Word> words = splitWords(rule);
  if (words.empty())
    return;

  std::optional<Comment> comment;
  if (hash == std::string_view::npos) {
    const Word &last = words.back();
    builder.report(builder.positionOf(last.Offset + last.Text.size()),
                   "the comment '# asked by NAME' is missing");
  } else {
    comment = parseComment(line.substr(hash + 1));
    if (!comment)
      builder.report(
          builder.positionOf(hash),
          "the comment does not have the form '# asked by NAME[: reason]'");
  }

  const RuleKind *kind = RuleKindRegistry::instance().find(words[0].Text);
  if (kind == nullptr) {
    std::string known;
    for (const auto &[name, it] : RuleKindRegistry::instance().kinds())
      known += concat(known.empty() ? "" : ", ", name);
    builder.report(
        builder.positionOf(words[0].Offset),
        concat("unknown kind of rule '", words[0].Text, "'; known: ", known));
    return;
  }
  LineReader reader(words, kind->usage(), builder);
  kind->parse(reader, builder);
  if (!comment)
    return;
  builder.addLine({number, std::string(words[0].Text), joinWords(words),
                   std::move(comment->AskedBy), std::move(comment->Reason)});
}

/// Calls \p visit with every line, without its line ending, and the line
/// number.
template <typename Visit> void forEachLine(std::string_view text, Visit visit) {
  std::uint32_t number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    visit(line, ++number);
  }
}

std::string formatLine(const RuleLine &line) {
  return concat(line.Text, " # ", AskedByPrefix, line.AskedBy,
                line.Reason.empty() ? "" : ": ", line.Reason);
}

/// Formats the stated terms as the words that follow the services of a route.
std::string formatTerms(const RouteTerms &terms) {
  std::string text;
  const auto number = [&](std::string_view name, std::int64_t value) {
    text += concat(" ", name, " ", std::to_string(value));
  };
  if (terms.Urgency)
    number("urgency", *terms.Urgency);
  if (terms.Objective)
    number("objective", terms.Objective->count());
  if (terms.Timeout)
    number("timeout", terms.Timeout->count());
  if (terms.Repeatable)
    text += *terms.Repeatable ? " repeatable" : " once";
  return text;
}

const RuleLine *findLine(const RuleSet &rules, std::string_view text) {
  const auto it = std::ranges::find(rules.lines(), text, &RuleLine::Text);
  return it == rules.lines().end() ? nullptr : &*it;
}

absl::StatusOr<std::string> validated(std::string text) {
  Findings findings;
  if (!RuleSet::parse(text, "rules", findings))
    return findings.toStatus();
  return text;
}

} // namespace

std::optional<RuleSet> RuleSet::parse(std::string_view text,
                                      std::string_view fileName,
                                      Findings &findings) {
  RuleSetBuilder builder(fileName, findings);
  forEachLine(text, [&](std::string_view line, std::uint32_t number) {
    parseLine(line, number, builder);
  });
  for (const auto &[name, kind] : RuleKindRegistry::instance().kinds())
    kind->checkRuleSet(builder);
  return builder.finish(text);
}

std::vector<RuleChange> diffRules(const RuleSet &before, const RuleSet &after) {
  const auto key = [](const RuleLine &it) {
    return std::tuple<std::string_view, std::string_view, std::string_view>(
        it.Text, it.AskedBy, it.Reason);
  };
  using KeySet = std::set<
      std::tuple<std::string_view, std::string_view, std::string_view>>;
  const auto keysOf = [&](const RuleSet &rules) {
    KeySet keys;
    for (const RuleLine &it : rules.lines())
      keys.insert(key(it));
    return keys;
  };
  const KeySet old = keysOf(before);
  const KeySet current = keysOf(after);
  std::vector<RuleChange> changes;
  for (const RuleLine &it : before.lines())
    if (!current.contains(key(it)))
      changes.push_back({RuleChange::Kind::Removed, it});
  for (const RuleLine &it : after.lines())
    if (!old.contains(key(it)))
      changes.push_back({RuleChange::Kind::Added, it});
  return changes;
}

std::string formatChanges(std::span<const RuleChange> changes) {
  std::string text;
  for (const RuleChange &it : changes)
    text += concat(it.ChangeKind == RuleChange::Kind::Added ? "+ " : "- ",
                   formatLine(it.Line), "\n");
  return text;
}

absl::StatusOr<std::string> addRule(const RuleSet &rules, std::string_view rule,
                                    std::string_view askedBy,
                                    std::string_view reason) {
  const std::string line = joinWords(splitWords(rule));
  askedBy = trim(askedBy);
  reason = trim(reason);
  if (line.empty() || line.find('#') != std::string::npos)
    return absl::InvalidArgumentError(
        "the rule must not be empty and must be given without comment");
  if (askedBy.empty() || askedBy.find(':') != std::string_view::npos)
    return absl::InvalidArgumentError(
        concat("'", askedBy, "' is not a name without ':'"));
  // A line feed in one of these would inject a second rule.
  if (findInvalidByte(line) || findInvalidByte(askedBy) ||
      findInvalidByte(reason))
    return absl::InvalidArgumentError(
        "control character or invalid UTF-8 in a rule, name or reason");
  if (findLine(rules, line) != nullptr)
    return absl::InvalidArgumentError(
        concat("the rule '", line, "' is there already"));

  std::string text = rules.text();
  if (!text.empty() && !text.ends_with('\n'))
    text += '\n';
  text += concat(
      formatLine({0, "", line, std::string(askedBy), std::string(reason)}),
      "\n");
  return validated(std::move(text));
}

absl::StatusOr<std::string> removeRule(const RuleSet &rules,
                                       std::string_view rule) {
  const std::string text = joinWords(splitWords(rule));
  const RuleLine *line = findLine(rules, text);
  if (line == nullptr)
    return absl::InvalidArgumentError(concat("there is no rule '", text, "'"));
  std::string result;
  forEachLine(rules.text(), [&](std::string_view it, std::uint32_t number) {
    if (number != line->Line)
      result += concat(it, "\n");
  });
  return validated(std::move(result));
}

std::string replaceRules(const RuleSet &rules,
                         std::span<const std::string_view> kinds,
                         std::string_view lines) {
  std::set<std::uint32_t> removedLines;
  for (const RuleLine &it : rules.lines())
    if (std::ranges::find(kinds, it.Kind) != kinds.end())
      removedLines.insert(it.Line);
  std::string text;
  forEachLine(rules.text(), [&](std::string_view it, std::uint32_t number) {
    if (!removedLines.contains(number))
      text += concat(it, "\n");
  });
  return text + std::string(lines);
}

std::string formatRouting(std::span<const ServiceRule> services,
                          std::span<const RouteRule> routes,
                          std::string_view askedBy) {
  std::string text;
  const std::string comment = concat(" # ", AskedByPrefix, askedBy, "\n");
  for (const ServiceRule &it : services) {
    text += concat("service ", it.Name);
    if (it.Address.Port != 0)
      text += concat(" address ", toString(it.Address));
    text += concat(" slots ", std::to_string(it.Slots));
    if (it.ColdStartRequestsPerSecond)
      text +=
          concat(" cold-rate ", std::to_string(*it.ColdStartRequestsPerSecond));
    text += comment;
  }
  for (const RouteRule &it : routes) {
    text += concat("route ", it.Name, " address ", toString(it.Address));
    std::string_view before = " to ";
    for (const RouteTarget &target : it.Targets) {
      text += concat(before, target.Service, " weight ",
                     std::to_string(target.Weight));
      before = " and ";
    }
    text += formatTerms(it.Terms) + comment;
  }
  return text;
}

absl::Status checkTeamMayApply(std::string_view team, const RuleSet &before,
                               std::span<const RuleChange> changes) {
  if (team == OperatorsTeam)
    return absl::OkStatus();
  const auto rule = std::ranges::find(before.teams(), team, &TeamRule::Name);
  std::string rejectedLines;
  for (const RuleChange &it : changes) {
    const RuleKind *kind = RuleKindRegistry::instance().find(it.Line.Kind);
    const std::vector<Word> words = splitWords(it.Line.Text);
    const bool isOwnService =
        kind != nullptr && kind->belongsToService() && words.size() > 1 &&
        rule != before.teams().end() &&
        std::ranges::find(rule->Services, words[1].Text) !=
            rule->Services.end();
    if (!isOwnService)
      rejectedLines += concat(rejectedLines.empty() ? "" : "; ", it.Line.Text);
  }
  if (rejectedLines.empty())
    return absl::OkStatus();
  return absl::PermissionDeniedError(
      concat("team '", team, "' may not change: ", rejectedLines));
}

} // namespace pistachio
