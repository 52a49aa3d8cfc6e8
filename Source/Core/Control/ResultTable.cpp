#include "Control/ResultTable.h"

#include <algorithm>

namespace pistachio {

void ResultTable::advance(std::uint64_t proposedAtMs) {
  LogTimeMs = std::max(LogTimeMs, proposedAtMs);
  while (!Stored.empty() && Stored.front().AtMs + KeepMs < LogTimeMs)
    dropOldest();
}

const ApplyResult *ResultTable::find(std::string_view operationId) const {
  const auto it = Places.find(operationId);
  return it == Places.end() ? nullptr : &Stored[it->second - Dropped].Result;
}

void ResultTable::add(std::string operationId, ApplyResult result) {
  if (Stored.size() >= MaxResults)
    dropOldest();
  Places.emplace(operationId, Dropped + Stored.size());
  Stored.push_back({std::move(operationId), LogTimeMs, std::move(result)});
}

void ResultTable::dropOldest() {
  Places.erase(Stored.front().OperationId);
  Stored.pop_front();
  ++Dropped;
}

void ResultTable::restore(std::uint64_t logTimeMs,
                          std::deque<StoredResult> stored) {
  LogTimeMs = logTimeMs;
  Stored = std::move(stored);
  Places.clear();
  Dropped = 0;
  for (const StoredResult &it : Stored)
    Places.emplace(it.OperationId, Places.size());
}

} // namespace pistachio
