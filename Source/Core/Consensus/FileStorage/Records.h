#pragma once

#include "Consensus/Consensus.h"

namespace pistachio {

/// Size of the header of a log record. The fields of a record, little endian
/// with their sizes in bytes: payload length (4), checksum of the length and of
/// everything after the checksum (4), synced offset (8), term (8), index (8),
/// kind (1), payload. The synced offset is the length of the part of the
/// segment that had been synced before the record was written. It distinguishes
/// a torn write from corruption: everything before the synced offset of a later
/// record was durable once.
inline constexpr std::size_t RecordHeaderBytes = 33;

void encodeRecord(const LogEntry &entry, std::uint64_t syncedOffset,
                  Bytes &out);

struct Record {
  LogEntry Entry;
  std::uint64_t SyncedOffset = 0;
  std::size_t Bytes = 0;
};

/// Returns none if there is no complete and valid record at \p offset.
std::optional<Record> decodeRecord(std::span<const std::byte> buf,
                                   std::size_t offset);

/// Returns true if a record after \p offset proves that the bytes at \p offset
/// had been synced.
bool wasSynced(std::span<const std::byte> buf, std::size_t offset);

/// Layout of a snapshot file, with sizes in bytes: checksum of the rest (4),
/// last index (8), last term (8), length of the member list (4), member list,
/// content.
Bytes encodeSnapshotFile(const Snapshot &snapshot);
absl::StatusOr<Snapshot> decodeSnapshotFile(std::span<const std::byte> buf,
                                            const std::string &path);

/// Size of one slot of the hard state file, which contains, with sizes in
/// bytes: checksum of the rest (4), sequence number (8), term (8), vote (8).
inline constexpr std::size_t HardStateSlotBytes = 28;

struct HardStateSlot {
  std::uint64_t Sequence = 0;
  HardState State;
};

Bytes encodeHardState(const HardStateSlot &slot);
std::optional<HardStateSlot> decodeHardState(std::span<const std::byte> buf);

} // namespace pistachio
