#pragma once

#include "Common/Common.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

/// Result that a caller received for a request.
enum class Reported : std::uint8_t { Answered, NotRun, Unknown };

/// The ledger entries of a caller about one request.
struct CallerEntry {
  std::string Service;
  bool Idempotent = false;
  std::uint32_t RequestChecksum = 0;
  /// Number of results; exactly one is correct.
  int Results = 0;
  Reported Result = Reported::Unknown;
  std::uint32_t AnswerChecksum = 0;
};

/// The ledger entry of an upstream about one execution of a request.
struct RunEntry {
  std::string Service;
  std::uint32_t RequestChecksum = 0;
  std::uint32_t AnswerChecksum = 0;
};

/// Numbers of requests. `ledger-check --help` defines them.
struct LedgerTotals {
  std::size_t Requests = 0;
  std::size_t Answered = 0;
  /// Reported to the caller as not run.
  std::size_t Refused = 0;
  std::size_t Unknown = 0;
  /// Answered with a wrong body, or run by an upstream although they should
  /// not have been.
  std::size_t Wrong = 0;
  /// The reported result contradicts the upstreams, or is missing.
  std::size_t Lost = 0;
  /// Run more than once although they are not idempotent.
  std::size_t Doubled = 0;
  /// One line for each violation of the guarantees.
  std::vector<std::string> Violations;
  bool isClean() const { return Wrong == 0 && Lost == 0 && Doubled == 0; }
};

/// Compares the ledgers of callers and upstreams. It does not use any data of
/// the system between them.
class LedgerCheck {
public:
  void addStart(const std::string &id, CallerEntry entry);
  void addResult(const std::string &id, Reported result,
                 std::uint32_t answerChecksum);
  void addRun(const std::string &id, RunEntry entry);
  /// Adds one JSON line of any ledger. Returns false if it is malformed.
  bool addLine(std::string_view line);
  LedgerTotals totals() const;

private:
  std::map<std::string, CallerEntry> Started;
  std::map<std::string, std::vector<RunEntry>> Runs;
};

} // namespace pistachio
