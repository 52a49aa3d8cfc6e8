#pragma once

#include "Control/Control.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pistachio {

struct StoredResult {
  std::string OperationId;
  std::uint64_t StoredAtMs = 0;
  ApplyResult Result;
};

/// First results of operations, kept for 24 h of log time and at most 200,000
/// of them. Log time is the largest proposal time so far, so it never goes back
/// with a leader whose clock is behind.
class ResultTable {
public:
  static constexpr std::uint64_t RetentionMs =
      std::uint64_t{24} * 60 * 60 * 1000;
  static constexpr std::size_t MaxResults = 200000;

  void advanceLogTime(std::uint64_t proposedAtMs);
  const ApplyResult *find(std::string_view operationId) const;
  void add(std::string operationId, ApplyResult result);

  std::uint64_t logTimeMs() const { return LogTimeMs; }
  /// Oldest first.
  const std::deque<StoredResult> &stored() const { return Stored; }
  void restore(std::uint64_t logTimeMs, std::deque<StoredResult> stored);

private:
  void dropOldest();

  std::uint64_t LogTimeMs = 0;
  std::deque<StoredResult> Stored;
  /// Position in Stored, plus the number of results dropped so far.
  std::map<std::string, std::uint64_t, std::less<>> Positions;
  std::uint64_t DroppedCount = 0;
};

} // namespace pistachio
