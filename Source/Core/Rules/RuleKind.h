#pragma once

/// Internal header of the Rules library: the interface that every kind of rule
/// implements, and the helpers for parsing lines.

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

/// A word of a line; the offset counts bytes from the start of the line.
struct Word {
  std::string_view Text;
  std::size_t Offset = 0;
};

/// Line and column of a name or number in the rules file; both start at 1.
/// 0 means that the finding concerns the whole file.
struct TextPosition {
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// Splits at blanks and tabs.
std::vector<Word> splitWords(std::string_view text);

/// Parses an unsigned decimal number. Returns nothing for any other text,
/// including a number with leading zeros.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Collects the rules and findings of one file while it is parsed.
class RuleSetBuilder {
public:
  RuleSetBuilder(std::string_view fileName, Findings &findings)
      : FileName(fileName), ReportedFindings(findings) {}

  /// Further findings of a file are dropped, because the administration API
  /// returns all of them in one response of bounded size.
  static constexpr std::size_t MaxFindings = 1000;

  /// Sets the line to which positionOf() refers.
  void beginLine(std::string_view line, std::uint32_t number);
  TextPosition positionOf(std::size_t offset) const;
  void report(TextPosition position, std::string message);

  /// Declares a name in a scope such as "service". A second declaration of the
  /// same name in one scope is a finding.
  void declare(std::string_view nameScope, std::string_view name,
               TextPosition position);
  /// Records a reference to a name, which must be declared anywhere in the
  /// file.
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

  /// Returns the position of the last declaration in a scope.
  TextPosition lastDeclaredIn(std::string_view nameScope) const;

  /// Checks all references, reports the findings in the order of their
  /// positions, and returns the rules if there are no findings. \p text is the
  /// whole file, which the rules keep.
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

/// Reads the words of one rule in order. Only the first finding of a line is
/// reported; later reads of the same line return an empty value.
class LineReader {
public:
  LineReader(std::span<const Word> words, std::string_view usage,
             RuleSetBuilder &builder)
      : Words(words), Usage(usage), Builder(builder) {}

  /// Consumes the next word, which must be \p word.
  void expectKeyword(std::string_view word);
  /// Consumes the next word if it is \p word, and returns whether it was.
  bool tryKeyword(std::string_view word);
  /// Reads a name: at most 63 lower-case letters, digits and hyphens, starting
  /// with a letter. \p what names the expected item in findings.
  std::string readName(std::string_view what);
  /// Reads names separated by commas.
  std::vector<Word> readNames(std::string_view what);
  std::uint32_t readNumber(std::string_view what, std::uint32_t min,
                           std::uint32_t max);
  Endpoint readEndpoint();
  /// Reads a decimal number from 0 to \p max.
  double readDecimal(std::string_view what, double max);
  /// Reads a percentage above 0 and below 100.
  double readPercentage(std::string_view what);
  /// Reads a number of days from 1 to \p max, written for example as "30d".
  std::uint32_t readDays(std::string_view what, std::uint32_t max);
  /// Reports a finding if words are left.
  void expectEnd();

  /// Reports a finding at the word that was read last.
  void reportFinding(std::string message);
  bool ok() const { return Valid; }
  /// Returns the position of the word that was read last.
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

/// A kind of rule. The first word of a line selects the kind by its name.
class RuleKind {
public:
  virtual ~RuleKind() = default;
  virtual std::string_view name() const = 0;
  /// Returns the syntax of a line, which findings quote.
  virtual std::string_view usage() const = 0;
  /// Parses one line and adds its rule to \p builder.
  virtual void parse(LineReader &line, RuleSetBuilder &builder) const = 0;
  /// Checks conditions on the file as a whole. Called once after all lines have
  /// been parsed.
  virtual void checkRuleSet(RuleSetBuilder &) const {}
  /// Returns true if the second word of a line is a service and the teams of
  /// that service may change the line.
  virtual bool belongsToService() const { return false; }
};

/// All kinds of rules that are linked into the program, by name.
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

/// Registers a kind of rule when a namespace-scope object of this type is
/// constructed.
template <typename Kind> struct RegisterRuleKind {
  RegisterRuleKind() {
    RuleKindRegistry::instance().add(std::make_unique<Kind>());
  }
};

} // namespace pistachio
