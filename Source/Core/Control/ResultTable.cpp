#include "Control/ResultTable.h"

#include <algorithm>

namespace pistachio {

void ResultTable::advanceLogTime(std::uint64_t proposedAtMs) {
  LogTimeMs = std::max(LogTimeMs, proposedAtMs);
  while (!Stored.empty() && Stored.front().StoredAtMs + RetentionMs < LogTimeMs)
    dropOldest();
}

const ApplyResult *ResultTable::find(std::string_view operationId) const {
  const auto it = Positions.find(operationId);
  return it == Positions.end() ? nullptr
                               : &Stored[it->second - DroppedCount].Result;
}

void ResultTable::add(std::string operationId, ApplyResult result) {
  if (Stored.size() >= MaxResults)
    dropOldest();
  Positions.emplace(operationId, DroppedCount + Stored.size());
  Stored.push_back({std::move(operationId), LogTimeMs, std::move(result)});
}

void ResultTable::dropOldest() {
  Positions.erase(Stored.front().OperationId);
  Stored.pop_front();
  ++DroppedCount;
}

void ResultTable::restore(std::uint64_t logTimeMs,
                          std::deque<StoredResult> stored) {
  LogTimeMs = logTimeMs;
  Stored = std::move(stored);
  Positions.clear();
  DroppedCount = 0;
  for (const StoredResult &it : Stored)
    Positions.emplace(it.OperationId, Positions.size());
}

} // namespace pistachio
