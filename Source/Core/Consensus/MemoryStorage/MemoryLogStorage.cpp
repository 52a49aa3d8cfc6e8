#include "Consensus/MemoryStorage/MemoryLogStorage.h"

#include <algorithm>

namespace pistachio {

std::uint64_t MemoryLogStorage::term(std::uint64_t index) const {
  if (BaseSnapshot && index == BaseSnapshot->LastIndex)
    return BaseSnapshot->LastTerm;
  if (index < firstIndex() || index > lastIndex())
    return 0;
  return Log[index - firstIndex()].Term;
}

std::vector<LogEntry> MemoryLogStorage::entries(std::uint64_t first,
                                                std::size_t maxEntries,
                                                std::size_t maxBytes) const {
  std::vector<LogEntry> out;
  std::size_t used = 0;
  for (std::uint64_t i = std::max(first, firstIndex());
       i <= lastIndex() && out.size() < maxEntries; ++i) {
    const LogEntry &it = Log[i - firstIndex()];
    used += it.Payload.size();
    if (!out.empty() && used > maxBytes)
      break;
    out.push_back(it);
  }
  return out;
}

absl::Status MemoryLogStorage::append(std::span<const LogEntry> entries) {
  std::uint64_t next = lastIndex() + 1;
  for (const LogEntry &it : entries) {
    if (it.Index != next++)
      return absl::InvalidArgumentError("log entries are not contiguous");
  }
  Log.insert(Log.end(), entries.begin(), entries.end());
  return absl::OkStatus();
}

absl::Status MemoryLogStorage::truncateFrom(std::uint64_t index) {
  if (index < firstIndex())
    return absl::InvalidArgumentError(
        "entries covered by the snapshot cannot be removed");
  if (index <= lastIndex())
    Log.resize(index - firstIndex());
  return absl::OkStatus();
}

absl::Status MemoryLogStorage::saveHardState(const HardState &state) {
  State = state;
  return absl::OkStatus();
}

absl::Status MemoryLogStorage::saveSnapshot(const Snapshot &snapshot) {
  if (snapshot.LastIndex < baseIndex())
    return absl::InvalidArgumentError("snapshot is older than the stored one");
  // A log that does not contain the last entry of the snapshot has diverged
  // from the snapshot, so all of its entries are removed.
  if (term(snapshot.LastIndex) != snapshot.LastTerm)
    Log.clear();
  else
    Log.erase(Log.begin(), Log.begin() + static_cast<std::ptrdiff_t>(
                                             snapshot.LastIndex - baseIndex()));
  BaseSnapshot = snapshot;
  return absl::OkStatus();
}

std::unique_ptr<LogStorage> makeMemoryLogStorage(MemberId identity) {
  return std::make_unique<MemoryLogStorage>(identity);
}

} // namespace pistachio
