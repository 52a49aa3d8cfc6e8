#pragma once

#include "Consensus/Consensus.h"

#include <deque>

namespace pistachio {

/// Keeps the whole log in memory. The file storage uses it to serve reads.
class MemoryLogStorage : public LogStorage {
public:
  explicit MemoryLogStorage(MemberId identity) : Identity(identity) {}

  MemberId identity() const override { return Identity; }
  HardState hardState() const override { return State; }
  std::optional<Snapshot> snapshot() const override { return BaseSnapshot; }
  std::uint64_t firstIndex() const override { return baseIndex() + 1; }
  std::uint64_t lastIndex() const override { return baseIndex() + Log.size(); }
  std::uint64_t term(std::uint64_t index) const override;
  std::vector<LogEntry> entries(std::uint64_t first, std::size_t maxEntries,
                                std::size_t maxBytes) const override;

  absl::Status append(std::span<const LogEntry> entries) override;
  absl::Status truncateFrom(std::uint64_t index) override;
  absl::Status saveHardState(const HardState &state) override;
  absl::Status saveSnapshot(const Snapshot &snapshot) override;
  absl::Status sync() override { return absl::OkStatus(); }

private:
  std::uint64_t baseIndex() const {
    return BaseSnapshot ? BaseSnapshot->LastIndex : 0;
  }

  MemberId Identity;
  HardState State;
  std::optional<Snapshot> BaseSnapshot;
  /// Entries after the snapshot.
  std::deque<LogEntry> Log;
};

} // namespace pistachio
