#pragma once

#include "Consensus/FileStorage/File.h"
#include "Consensus/FileStorage/Records.h"

#include <deque>

namespace pistachio {

/// The log of one folder, stored in segment files. The names of the files sort
/// in the order of their entries, oldest first.
class SegmentLog {
public:
  explicit SegmentLog(std::string folder) : Folder(std::move(folder)) {}

  /// Opens the segments with the given first indexes, in order, and returns
  /// their entries.
  absl::StatusOr<std::vector<LogEntry>>
  open(std::span<const std::uint64_t> firstIndexes);
  /// Appends all of \p entries, or none of them if the disk is full.
  absl::Status append(std::span<const LogEntry> entries);
  absl::Status truncateFrom(std::uint64_t index);
  /// Removes the segments that contain only entries up to \p index.
  absl::Status dropUpTo(std::uint64_t index);
  absl::Status dropAll();
  absl::Status create(std::uint64_t firstIndex);
  absl::Status sync();

  static std::string name(std::uint64_t firstIndex);

private:
  struct Segment {
    std::uint64_t FirstIndex = 0;
    File Handle;
    std::uint64_t Size = 0;
    std::uint64_t SyncedBytes = 0;
    /// Offset of each record in the file.
    std::vector<std::uint64_t> Offsets;
  };

  absl::Status load(Segment &segment, std::span<const std::byte> buf, bool last,
                    std::vector<LogEntry> &out);
  absl::Status removeLastSegment();

  std::string Folder;
  std::deque<Segment> Segments;
};

} // namespace pistachio
