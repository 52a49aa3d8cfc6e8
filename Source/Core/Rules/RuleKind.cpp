#include "Rules/RuleKind.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>

namespace pistachio {
namespace {

bool isDigit(char c) { return c >= '0' && c <= '9'; }

} // namespace

std::vector<Word> splitWords(std::string_view text) {
  std::vector<Word> words;
  std::size_t i = 0;
  while (true) {
    i = text.find_first_not_of(" \t", i);
    if (i == std::string_view::npos)
      return words;
    const std::size_t end = std::min(text.find_first_of(" \t", i), text.size());
    words.push_back({text.substr(i, end - i), i});
    i = end;
  }
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  if (text.empty() || !std::ranges::all_of(text, isDigit) ||
      (text.size() > 1 && text[0] == '0'))
    return std::nullopt;
  std::uint64_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc())
    return std::nullopt;
  return value;
}

void RuleSetBuilder::beginLine(std::string_view line, std::uint32_t number) {
  Line = line;
  LineNumber = number;
}

TextPosition RuleSetBuilder::positionOf(std::size_t offset) const {
  // A column is a character, so the continuation bytes of UTF-8 are not
  // counted.
  const auto column =
      std::ranges::count_if(Line.substr(0, offset),
                            [](char c) { return (c & 0xC0) != 0x80; }) +
      1;
  return {LineNumber, static_cast<std::uint32_t>(column)};
}

void RuleSetBuilder::report(TextPosition position, std::string message) {
  if (CollectedFindings.size() <= MaxFindings)
    CollectedFindings.push_back(
        {FileName, position.Line, position.Column, std::move(message)});
}

void RuleSetBuilder::declare(std::string_view nameScope, std::string_view name,
                             TextPosition position) {
  auto &names = Declared[std::string(nameScope)];
  const auto [it, added] = names.emplace(std::string(name), position);
  if (!added) {
    report(position,
           concat("duplicate ", nameScope, " '", name,
                  "', first given in line ", std::to_string(it->second.Line)));
    return;
  }
  LastDeclarations[std::string(nameScope)] = position;
}

void RuleSetBuilder::addReference(std::string_view nameScope,
                                  std::string_view name,
                                  TextPosition position) {
  References.push_back({std::string(nameScope), std::string(name), position});
}

TextPosition RuleSetBuilder::lastDeclaredIn(std::string_view nameScope) const {
  const auto it = LastDeclarations.find(nameScope);
  return it == LastDeclarations.end() ? TextPosition{} : it->second;
}

std::optional<RuleSet> RuleSetBuilder::finish(std::string_view text) {
  for (const Reference &it : References) {
    const auto names = Declared.find(it.NameScope);
    if (names == Declared.end() || !names->second.contains(it.Name))
      report(it.Position, concat("unknown ", it.NameScope, " '", it.Name, "'"));
  }
  if (CollectedFindings.empty()) {
    Rules.Text = text;
    return std::move(Rules);
  }
  const bool isTruncated = CollectedFindings.size() > MaxFindings;
  if (isTruncated)
    CollectedFindings.resize(MaxFindings);
  std::ranges::stable_sort(CollectedFindings, {}, [](const Finding &it) {
    return std::tuple(it.Line, it.Column);
  });
  for (Finding &it : CollectedFindings)
    ReportedFindings.add(std::move(it));
  if (isTruncated)
    ReportedFindings.add({FileName, 0, 0,
                          concat("only the first ", std::to_string(MaxFindings),
                                 " findings are reported")});
  return std::nullopt;
}

std::string_view LineReader::nextWord(std::string_view what) {
  if (!Valid)
    return {};
  ++NextWord;
  if (NextWord <= Words.size())
    return Words[NextWord - 1].Text;
  const std::string message = concat("missing ", what, "; expected: ", Usage);
  reportFinding(message);
  return {};
}

TextPosition LineReader::position() const {
  if (NextWord <= Words.size())
    return Builder.positionOf(Words[NextWord - 1].Offset);
  const Word &last = Words.back();
  return Builder.positionOf(last.Offset + last.Text.size());
}

void LineReader::reportFinding(std::string message) {
  if (!Valid)
    return;
  Valid = false;
  Builder.report(position(), std::move(message));
}

void LineReader::expectKeyword(std::string_view word) {
  const std::string_view text = nextWord(concat("'", word, "'"));
  if (Valid && text != word)
    reportFinding(
        concat("'", text, "' where '", word, "' belongs; expected: ", Usage));
}

void LineReader::checkName(const Word &word, std::string_view what) {
  if (!Valid || isName(word.Text))
    return;
  Valid = false;
  Builder.report(Builder.positionOf(word.Offset),
                 concat("'", word.Text, "' is not a name of a ", what,
                        ": lower-case letters, digits and hyphens, at most 63, "
                        "starting with a letter"));
}

std::string LineReader::readName(std::string_view what) {
  const std::string_view text = nextWord(what);
  if (Valid)
    checkName(Words[NextWord - 1], what);
  return Valid ? std::string(text) : std::string();
}

std::vector<Word> LineReader::readNames(std::string_view what) {
  std::vector<Word> items;
  const std::string_view text = nextWord(what);
  if (!Valid)
    return items;
  const std::size_t offset = Words[NextWord - 1].Offset;
  std::size_t begin = 0;
  while (Valid) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    items.push_back({text.substr(begin, end - begin), offset + begin});
    checkName(items.back(), what);
    if (end == text.size())
      break;
    begin = end + 1;
  }
  return items;
}

std::uint32_t LineReader::readNumber(std::string_view what, std::uint32_t min,
                                     std::uint32_t max) {
  const std::string_view text = nextWord(what);
  if (!Valid)
    return 0;
  const auto value = parseNumber(text);
  if (value && *value >= min && *value <= max)
    return static_cast<std::uint32_t>(*value);
  reportFinding(concat(what, " '", text, "' is not a number from ",
                       std::to_string(min), " to ", std::to_string(max)));
  return 0;
}

Endpoint LineReader::readEndpoint() {
  const std::string_view text = nextWord("address");
  if (!Valid)
    return {};
  const auto value = parseEndpoint(text);
  if (value.ok())
    return *value;
  reportFinding(messageOf(value.status()));
  return {};
}

bool LineReader::tryKeyword(std::string_view word) {
  if (!Valid || NextWord >= Words.size() || Words[NextWord].Text != word)
    return false;
  ++NextWord;
  return true;
}

double LineReader::readDecimal(std::string_view what, double max) {
  const std::string_view text = nextWord(what);
  if (!Valid)
    return 0;
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(),
                                      value, std::chars_format::fixed);
  if (result.ec == std::errc() && result.ptr == text.data() + text.size() &&
      std::isfinite(value) && value >= 0 && value <= max)
    return value;
  reportFinding(concat(what, " '", text, "' is not a number from 0 to ",
                       std::to_string(static_cast<std::uint64_t>(max))));
  return 0;
}

double LineReader::readPercentage(std::string_view what) {
  const std::string_view text = nextWord(what);
  if (!Valid)
    return 0;
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(),
                                      value, std::chars_format::fixed);
  if (result.ec == std::errc() && result.ptr == text.data() + text.size() &&
      std::isfinite(value) && value > 0 && value < 100)
    return value;
  reportFinding(
      concat(what, " '", text, "' is not a percentage above 0 and below 100"));
  return 0;
}

std::uint32_t LineReader::readDays(std::string_view what, std::uint32_t max) {
  const std::string_view text = nextWord(what);
  if (!Valid)
    return 0;
  if (text.ends_with('d')) {
    const auto value = parseNumber(text.substr(0, text.size() - 1));
    if (value && *value >= 1 && *value <= max)
      return static_cast<std::uint32_t>(*value);
  }
  reportFinding(concat(what, " '", text,
                       "' is not a number of days from 1d to ",
                       std::to_string(max), "d"));
  return 0;
}

void LineReader::expectEnd() {
  if (!Valid || NextWord >= Words.size())
    return;
  ++NextWord;
  reportFinding(
      concat("unexpected '", Words[NextWord - 1].Text, "'; expected: ", Usage));
}

RuleKindRegistry &RuleKindRegistry::instance() {
  static RuleKindRegistry registry;
  return registry;
}

void RuleKindRegistry::add(std::unique_ptr<RuleKind> kind) {
  std::string name(kind->name());
  Kinds.emplace(std::move(name), std::move(kind));
}

const RuleKind *RuleKindRegistry::find(std::string_view name) const {
  const auto it = Kinds.find(name);
  return it == Kinds.end() ? nullptr : it->second.get();
}

} // namespace pistachio
