#pragma once

/// Internal header of the Rules library: what a kind of rule is written
/// against.

#include "Rules/Rules.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachio {

/// A part of the text; the offset counts bytes from the start of its line.
struct Word {
  std::string_view Text;
  std::size_t Offset = 0;
};

/// Where a name or a number is stated.
struct TextPosition {
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// Splits at blanks and tabs.
std::vector<Word> splitWords(std::string_view text);

/// A decimal number without leading zeros, or nothing.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Collects the rules of one file and its findings.
class RuleSetBuilder {
public:
  RuleSetBuilder(std::string_view fileName, Findings &findings)
      : FileName(fileName), ReportedFindings(findings) {}

  /// Beyond this many findings the rest of a file is not reported: the
  /// administration API returns them in one bounded answer.
  static constexpr std::size_t MaxFindings = 1000;

  void beginLine(std::string_view line, std::uint32_t number);
  TextPosition positionOf(std::size_t offset) const;
  void report(TextPosition position, std::string message);

  /// Adds a name to a space such as "service"; a second declaration of the same
  /// name is a finding.
  void declare(std::string_view nameScope, std::string_view name,
               TextPosition position);
  /// The name must be declared somewhere in the file.
  void addReference(std::string_view nameScope, std::string_view name,
                    TextPosition position);

  RuleSet &rules() { return Rules; }
  void addLine(RuleLine line) { Rules.Lines.push_back(std::move(line)); }
  std::vector<ServiceRule> &services() { return Rules.Services; }
  std::vector<RouteRule> &routes() { return Rules.Routes; }
  std::vector<LimitRule> &limits() { return Rules.Limits; }
  std::vector<ObjectiveRule> &objectives() { return Rules.Objectives; }
  std::vector<TeamRule> &teams() { return Rules.Teams; }
  std::vector<std::string> &dataCentres() { return Rules.DataCentres; }
  std::vector<std::string> &dataCentresOut() { return Rules.DataCentresOut; }
  std::vector<UpstreamId> &drainingUpstreams() {
    return Rules.DrainingUpstreams;
  }

  /// The place of the last declaration in a space.
  TextPosition lastDeclaredIn(std::string_view nameScope) const;

  /// Checks references, reports all findings in the order of their places, and
  /// returns the rules if there were none.
  std::optional<RuleSet> finish(std::string_view text);

private:
  struct Reference {
    std::string NameScope;
    std::string Name;
    TextPosition Position;
  };

  std::string FileName;
  Findings &ReportedFindings;
  RuleSet Rules;
  std::string_view Line;
  std::uint32_t LineNumber = 0;
  std::map<std::string, std::map<std::string, TextPosition, std::less<>>,
           std::less<>>
      Declared;
  std::map<std::string, TextPosition, std::less<>> LastDeclarations;
  std::vector<Reference> References;
  std::vector<Finding> CollectedFindings;
};

/// Reads the words of one rule in turn. The first fault of a line is reported,
/// and the reads that follow it return nothing.
class LineReader {
public:
  LineReader(std::span<const Word> words, std::string_view usage,
             RuleSetBuilder &builder)
      : Words(words), Usage(usage), Builder(builder) {}

  /// The given word.
  void expectKeyword(std::string_view word);
  /// Consumes the next word if it is the given one.
  bool tryKeyword(std::string_view word);
  /// Lower-case letters, digits and hyphens, at most 63, from a letter on.
  std::string readName(std::string_view what);
  /// Names separated by commas.
  std::vector<Word> readNames(std::string_view what);
  std::uint32_t readNumber(std::string_view what, std::uint32_t min,
                           std::uint32_t max);
  Endpoint readEndpoint();
  /// A decimal number of at least 0 and at most \p max.
  double readDecimal(std::string_view what, double max);
  /// Between 0 and 100, without these.
  double readPercentage(std::string_view what);
  /// "30d".
  std::uint32_t readDays(std::string_view what, std::uint32_t max);
  /// Nothing may follow.
  void expectEnd();

  /// Marks the word read last as faulty.
  void reportFault(std::string message);
  bool ok() const { return Valid; }
  /// Place of the word read last.
  TextPosition position() const;

private:
  std::string_view nextWord(std::string_view what);
  void checkName(const Word &word, std::string_view what);

  std::span<const Word> Words;
  std::string_view Usage;
  RuleSetBuilder &Builder;
  std::size_t NextWord = 1;
  bool Valid = true;
};

/// One kind of rule, named after the first word of its lines.
class RuleKind {
public:
  virtual ~RuleKind() = default;
  virtual std::string_view name() const = 0;
  /// The syntax, for findings.
  virtual std::string_view usage() const = 0;
  virtual void parse(LineReader &line, RuleSetBuilder &builder) const = 0;
  /// Called once after all lines of a file have been read.
  virtual void checkRuleSet(RuleSetBuilder &) const {}
  /// True if the second word is a service whose team may change the line.
  virtual bool belongsToService() const { return false; }
};

/// All kinds that are linked into the program, by name.
class RuleKindRegistry {
public:
  static RuleKindRegistry &instance();
  void add(std::unique_ptr<RuleKind> kind);
  const RuleKind *find(std::string_view name) const;
  const std::map<std::string, std::unique_ptr<RuleKind>, std::less<>> &
  kinds() const {
    return Kinds;
  }

private:
  std::map<std::string, std::unique_ptr<RuleKind>, std::less<>> Kinds;
};

/// A namespace-scope object of this type adds a kind to the registry.
template <typename Kind> struct RegisterRuleKind {
  RegisterRuleKind() {
    RuleKindRegistry::instance().add(std::make_unique<Kind>());
  }
};

} // namespace pistachio
