#include "Consensus/FileStorage/SegmentLog.h"

#include <cstdio>
#include <fcntl.h>

namespace pistachio {
namespace {

/// A new segment is started once the current one has reached this size.
constexpr std::uint64_t SegmentRollBytes = 8 * 1024 * 1024;

} // namespace

std::string SegmentLog::name(std::uint64_t firstIndex) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "log-%020llu",
                static_cast<unsigned long long>(firstIndex));
  return buf;
}

absl::StatusOr<std::vector<LogEntry>>
SegmentLog::open(std::span<const std::uint64_t> firstIndexes) {
  std::vector<LogEntry> out;
  for (std::size_t i = 0; i < firstIndexes.size(); ++i) {
    auto file = File::open(Folder + "/" + name(firstIndexes[i]), O_RDWR);
    if (!file.ok())
      return file.status();
    const auto buf = file->readAll();
    if (!buf.ok())
      return buf.status();
    Segment segment{firstIndexes[i], *std::move(file), 0, 0, {}};
    const bool last = i + 1 == firstIndexes.size();
    if (absl::Status status = load(segment, *buf, last, out); !status.ok())
      return status;
    Segments.push_back(std::move(segment));
  }
  return out;
}

absl::Status SegmentLog::load(Segment &segment, std::span<const std::byte> buf,
                              bool last, std::vector<LogEntry> &out) {
  const auto corrupt = [&](const char *problem) {
    return absl::DataLossError(segment.Handle.path() + ": record at offset " +
                               std::to_string(segment.Size) + problem);
  };
  while (segment.Size < buf.size()) {
    auto record = decodeRecord(buf, segment.Size);
    if (!record && (!last || wasSynced(buf, segment.Size)))
      return corrupt(" is corrupt");
    if (!record)
      break;
    const std::uint64_t index = segment.FirstIndex + segment.Offsets.size();
    if (record->Entry.Index != index ||
        (!out.empty() && out.back().Index + 1 != index))
      return corrupt(" does not continue the log");
    segment.Offsets.push_back(segment.Size);
    segment.Size += record->Bytes;
    out.push_back(std::move(record->Entry));
  }
  // The data that was read may not have been synced before the restart.
  if (absl::Status status = segment.Handle.truncate(segment.Size); !status.ok())
    return status;
  segment.SyncedBytes = segment.Size;
  return segment.Handle.sync();
}

absl::Status SegmentLog::create(std::uint64_t firstIndex) {
  auto file =
      File::open(Folder + "/" + name(firstIndex), O_RDWR | O_CREAT | O_TRUNC);
  if (!file.ok())
    return file.status();
  if (absl::Status status = syncFolder(Folder); !status.ok())
    return status;
  Segments.push_back({firstIndex, *std::move(file), 0, 0, {}});
  return absl::OkStatus();
}

absl::Status SegmentLog::append(std::span<const LogEntry> entries) {
  if (entries.empty())
    return absl::OkStatus();
  if (Segments.empty() || Segments.back().Size >= SegmentRollBytes) {
    // Only the last segment may contain data that is not synced.
    if (absl::Status status = sync(); !status.ok())
      return status;
    if (absl::Status status = create(entries[0].Index); !status.ok())
      return status;
  }
  Segment &segment = Segments.back();
  Bytes buf;
  std::vector<std::uint64_t> offsets;
  for (const LogEntry &it : entries) {
    offsets.push_back(segment.Size + buf.size());
    encodeRecord(it, segment.SyncedBytes, buf);
  }
  if (absl::Status status = segment.Handle.writeAt(segment.Size, buf);
      !status.ok()) {
    const absl::Status truncated = segment.Handle.truncate(segment.Size);
    return truncated.ok() ? status : truncated;
  }
  segment.Size += buf.size();
  segment.Offsets.insert(segment.Offsets.end(), offsets.begin(), offsets.end());
  return absl::OkStatus();
}

absl::Status SegmentLog::removeLastSegment() {
  const std::string path = Segments.back().Handle.path();
  Segments.pop_back();
  return removeFile(path);
}

// Segments are removed from the end, so that a crash leaves no gap. The
// truncation is synced immediately; otherwise removed records could reappear
// after a crash among the records that replace them.
absl::Status SegmentLog::truncateFrom(std::uint64_t index) {
  while (!Segments.empty() && Segments.back().FirstIndex > index) {
    if (absl::Status status = removeLastSegment(); !status.ok())
      return status;
  }
  if (Segments.empty())
    return absl::InternalError(Folder + ": no segment contains the index " +
                               std::to_string(index));
  Segment &segment = Segments.back();
  const std::size_t kept = index - segment.FirstIndex;
  if (kept < segment.Offsets.size()) {
    segment.Size = segment.Offsets[kept];
    segment.Offsets.resize(kept);
    if (absl::Status status = segment.Handle.truncate(segment.Size);
        !status.ok())
      return status;
  }
  segment.SyncedBytes = segment.Size;
  if (absl::Status status = segment.Handle.sync(); !status.ok())
    return status;
  return syncFolder(Folder);
}

absl::Status SegmentLog::dropUpTo(std::uint64_t index) {
  while (Segments.size() > 1 && Segments[1].FirstIndex <= index + 1) {
    const std::string path = Segments.front().Handle.path();
    Segments.pop_front();
    if (absl::Status status = removeFile(path); !status.ok())
      return status;
  }
  return syncFolder(Folder);
}

absl::Status SegmentLog::dropAll() {
  while (!Segments.empty()) {
    if (absl::Status status = removeLastSegment(); !status.ok())
      return status;
  }
  return syncFolder(Folder);
}

absl::Status SegmentLog::sync() {
  if (Segments.empty() || Segments.back().SyncedBytes == Segments.back().Size)
    return absl::OkStatus();
  Segment &segment = Segments.back();
  if (absl::Status status = segment.Handle.sync(); !status.ok())
    return status;
  segment.SyncedBytes = segment.Size;
  return absl::OkStatus();
}

} // namespace pistachio
