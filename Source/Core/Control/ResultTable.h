#pragma once

#include "Control/Control.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pistachio {

/// The result of one operation and the log time at which it was stored.
struct StoredResult {
  std::string OperationId;
  /// Log time in milliseconds since the Unix epoch.
  std::uint64_t StoredAtMs = 0;
  ApplyResult Result;
};

/// Stores the first result of every operation for 24 h of log time, and at most
/// 200,000 results. Log time is the largest proposal time seen so far, so it
/// does not move backwards under a leader whose clock is behind.
class ResultTable {
public:
  static constexpr std::uint64_t RetentionMs =
      std::uint64_t{24} * 60 * 60 * 1000;
  static constexpr std::size_t MaxResults = 200000;

  /// Moves the log time forward and drops the results that have expired.
  void advanceLogTime(std::uint64_t proposedAtMs);
  const ApplyResult *find(std::string_view operationId) const;
  void add(std::string operationId, ApplyResult result);

  std::uint64_t logTimeMs() const { return LogTimeMs; }
  /// Oldest first.
  const std::deque<StoredResult> &stored() const { return Stored; }
  /// Replaces the content by that of a snapshot.
  void restore(std::uint64_t logTimeMs, std::deque<StoredResult> stored);

private:
  void dropOldest();

  std::uint64_t LogTimeMs = 0;
  std::deque<StoredResult> Stored;
  /// For each operation id, its index in Stored plus the number of results
  /// dropped so far. This sum stays valid when results are dropped from the
  /// front.
  std::map<std::string, std::uint64_t, std::less<>> Positions;
  std::uint64_t DroppedCount = 0;
};

} // namespace pistachio
