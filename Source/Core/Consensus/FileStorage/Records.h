#pragma once

#include "Consensus/Consensus.h"

namespace pistachio {

/// Record of a segment, little endian: payload length (4), checksum of what
/// follows and of the length (4), synced offset (8), term (8), index (8), kind
/// (1), payload. The synced offset is the part of the segment that was synced
/// before the record was written. It tells a torn write from damage: what lies
/// before the synced offset of a later record was durable once.
inline constexpr std::size_t RecordHeaderBytes = 33;

void encodeRecord(const LogEntry &entry, std::uint64_t syncedOffset,
                  Bytes &out);

struct Record {
  LogEntry Entry;
  std::uint64_t SyncedOffset = 0;
  std::size_t Bytes = 0;
};

/// None if there is no whole and intact record at \p offset.
std::optional<Record> decodeRecord(std::span<const std::byte> buf,
                                   std::size_t offset);

/// True if a record after \p offset proves that the bytes there were synced.
bool wasSynced(std::span<const std::byte> buf, std::size_t offset);

/// Snapshot file: checksum (4) of the rest, last index (8), last term (8),
/// length of the member list (4), member list, content.
Bytes encodeSnapshotFile(const Snapshot &snapshot);
absl::StatusOr<Snapshot> decodeSnapshotFile(std::span<const std::byte> buf,
                                            const std::string &path);

/// Slot of the hard state file: checksum (4) of the rest, sequence (8), term
/// (8), vote (8).
inline constexpr std::size_t HardStateSlotBytes = 28;

struct HardStateSlot {
  std::uint64_t Sequence = 0;
  HardState State;
};

Bytes encodeHardState(const HardStateSlot &slot);
std::optional<HardStateSlot> decodeHardState(std::span<const std::byte> buf);

} // namespace pistachio
