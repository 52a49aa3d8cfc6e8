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
  Number = number;
}

Place RuleSetBuilder::placeOf(std::size_t offset) const {
  // Continuation bytes of UTF-8 have no column of their own.
  const auto column =
      std::ranges::count_if(Line.substr(0, offset),
                            [](char c) { return (c & 0xC0) != 0x80; }) +
      1;
  return {Number, static_cast<std::uint32_t>(column)};
}

void RuleSetBuilder::report(Place place, std::string message) {
  if (Collected.size() <= MaxFindings)
    Collected.push_back(
        {FileName, place.Line, place.Column, std::move(message)});
}

void RuleSetBuilder::declare(std::string_view space, std::string_view name,
                             Place place) {
  auto &names = Declared[std::string(space)];
  const auto [it, added] = names.emplace(std::string(name), place);
  if (!added) {
    report(place,
           concat("duplicate ", space, " '", name, "', first given in line ",
                  std::to_string(it->second.Line)));
    return;
  }
  Last[std::string(space)] = place;
}

void RuleSetBuilder::refer(std::string_view space, std::string_view name,
                           Place place) {
  References.push_back({std::string(space), std::string(name), place});
}

Place RuleSetBuilder::lastOf(std::string_view space) const {
  const auto it = Last.find(space);
  return it == Last.end() ? Place{} : it->second;
}

std::optional<RuleSet> RuleSetBuilder::finish(std::string_view text) {
  for (const Reference &it : References) {
    const auto names = Declared.find(it.Space);
    if (names == Declared.end() || !names->second.contains(it.Name))
      report(it.Where, concat("unknown ", it.Space, " '", it.Name, "'"));
  }
  if (Collected.empty()) {
    Rules.Text = text;
    return std::move(Rules);
  }
  const bool cut = Collected.size() > MaxFindings;
  if (cut)
    Collected.resize(MaxFindings);
  std::ranges::stable_sort(Collected, {}, [](const Finding &it) {
    return std::tuple(it.Line, it.Column);
  });
  for (Finding &it : Collected)
    Out.add(std::move(it));
  if (cut)
    Out.add({FileName, 0, 0,
             concat("only the first ", std::to_string(MaxFindings),
                    " findings are reported")});
  return std::nullopt;
}

std::string_view LineReader::next(std::string_view what) {
  if (!Good)
    return {};
  ++Next;
  if (Next <= Words.size())
    return Words[Next - 1].Text;
  const std::string message = concat("missing ", what, "; expected: ", Usage);
  fail(message);
  return {};
}

Place LineReader::place() const {
  if (Next <= Words.size())
    return Builder.placeOf(Words[Next - 1].Offset);
  const Word &last = Words.back();
  return Builder.placeOf(last.Offset + last.Text.size());
}

void LineReader::fail(std::string message) {
  if (!Good)
    return;
  Good = false;
  Builder.report(place(), std::move(message));
}

void LineReader::keyword(std::string_view word) {
  const std::string_view text = next(concat("'", word, "'"));
  if (Good && text != word)
    fail(concat("'", text, "' where '", word, "' belongs; expected: ", Usage));
}

void LineReader::checkName(const Word &word, std::string_view what) {
  if (!Good || isName(word.Text))
    return;
  Good = false;
  Builder.report(Builder.placeOf(word.Offset),
                 concat("'", word.Text, "' is not a name of a ", what,
                        ": lower-case letters, digits and hyphens, at most 63, "
                        "starting with a letter"));
}

std::string LineReader::name(std::string_view what) {
  const std::string_view text = next(what);
  if (Good)
    checkName(Words[Next - 1], what);
  return Good ? std::string(text) : std::string();
}

std::vector<Word> LineReader::names(std::string_view what) {
  std::vector<Word> items;
  const std::string_view text = next(what);
  if (!Good)
    return items;
  const std::size_t offset = Words[Next - 1].Offset;
  std::size_t begin = 0;
  while (Good) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    items.push_back({text.substr(begin, end - begin), offset + begin});
    checkName(items.back(), what);
    if (end == text.size())
      break;
    begin = end + 1;
  }
  return items;
}

std::uint32_t LineReader::number(std::string_view what, std::uint32_t min,
                                 std::uint32_t max) {
  const std::string_view text = next(what);
  if (!Good)
    return 0;
  const auto value = parseNumber(text);
  if (value && *value >= min && *value <= max)
    return static_cast<std::uint32_t>(*value);
  fail(concat(what, " '", text, "' is not a number from ", std::to_string(min),
              " to ", std::to_string(max)));
  return 0;
}

Endpoint LineReader::endpoint() {
  const std::string_view text = next("address");
  if (!Good)
    return {};
  const auto value = parseEndpoint(text);
  if (value.ok())
    return *value;
  fail(messageOf(value.status()));
  return {};
}

bool LineReader::optionalKeyword(std::string_view word) {
  if (!Good || Next >= Words.size() || Words[Next].Text != word)
    return false;
  ++Next;
  return true;
}

double LineReader::decimal(std::string_view what, double max) {
  const std::string_view text = next(what);
  if (!Good)
    return 0;
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(),
                                      value, std::chars_format::fixed);
  if (result.ec == std::errc() && result.ptr == text.data() + text.size() &&
      std::isfinite(value) && value >= 0 && value <= max)
    return value;
  fail(concat(what, " '", text, "' is not a number from 0 to ",
              std::to_string(static_cast<std::uint64_t>(max))));
  return 0;
}

double LineReader::percentage(std::string_view what) {
  const std::string_view text = next(what);
  if (!Good)
    return 0;
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(),
                                      value, std::chars_format::fixed);
  if (result.ec == std::errc() && result.ptr == text.data() + text.size() &&
      std::isfinite(value) && value > 0 && value < 100)
    return value;
  fail(concat(what, " '", text, "' is not a percentage above 0 and below 100"));
  return 0;
}

std::uint32_t LineReader::days(std::string_view what, std::uint32_t max) {
  const std::string_view text = next(what);
  if (!Good)
    return 0;
  if (text.ends_with('d')) {
    const auto value = parseNumber(text.substr(0, text.size() - 1));
    if (value && *value >= 1 && *value <= max)
      return static_cast<std::uint32_t>(*value);
  }
  fail(concat(what, " '", text, "' is not a number of days from 1d to ",
              std::to_string(max), "d"));
  return 0;
}

void LineReader::end() {
  if (!Good || Next >= Words.size())
    return;
  ++Next;
  fail(concat("unexpected '", Words[Next - 1].Text, "'; expected: ", Usage));
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
