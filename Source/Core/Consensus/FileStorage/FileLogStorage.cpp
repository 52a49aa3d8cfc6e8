#include "Consensus/FileStorage/HardStateFile.h"
#include "Consensus/FileStorage/SegmentLog.h"
#include "Consensus/MemoryStorage/MemoryLogStorage.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <random>

namespace pistachio {
namespace {

constexpr const char *IdentityFileName = "identity";
constexpr const char *LockFileName = "lock";
/// Contains an index (8 bytes) and a checksum (4 bytes), little endian.
/// Overwritten in place.
constexpr const char *CommitIndexFileName = "committed";
constexpr std::size_t CommitIndexFileBytes = 12;
constexpr std::size_t IdentityFileBytes = 12;

std::string snapshotName(std::uint64_t lastIndex) {
  char buf[40];
  std::snprintf(buf, sizeof(buf), "snapshot-%020llu",
                static_cast<unsigned long long>(lastIndex));
  return buf;
}

/// Parses the index in a file name such as log-00000000000000000017.
std::optional<std::uint64_t> parseFileIndex(std::string_view name,
                                            std::string_view prefix) {
  constexpr std::size_t Digits = 20;
  if (!name.starts_with(prefix) || name.size() != prefix.size() + Digits)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : name.substr(prefix.size())) {
    if (c < '0' || c > '9')
      return std::nullopt;
    value = value * 10 + static_cast<std::uint64_t>(c - '0');
  }
  return value;
}

struct FolderContent {
  std::vector<std::uint64_t> Segments;
  std::vector<std::uint64_t> Snapshots;
  bool HasIdentity = false;
};

absl::StatusOr<FolderContent> listFolder(const std::string &folder) {
  FolderContent out;
  std::error_code ec;
  std::filesystem::directory_iterator it(folder, ec);
  for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
    const std::string name = it->path().filename().string();
    if (const auto segment = parseFileIndex(name, "log-"))
      out.Segments.push_back(*segment);
    else if (const auto snapshot = parseFileIndex(name, "snapshot-"))
      out.Snapshots.push_back(*snapshot);
    else if (name == IdentityFileName)
      out.HasIdentity = true;
    else if (name.ends_with(".tmp"))
      if (absl::Status status = removeFile(it->path().string()); !status.ok())
        return status;
  }
  if (ec)
    return absl::UnavailableError(folder +
                                  ": cannot list the folder: " + ec.message());
  std::ranges::sort(out.Segments);
  std::ranges::sort(out.Snapshots);
  return out;
}

absl::Status createFolder(const std::string &folder) {
  std::error_code ec;
  if (!std::filesystem::create_directories(folder, ec))
    return ec ? absl::UnavailableError(
                    folder + ": cannot create the folder: " + ec.message())
              : absl::OkStatus();
  const auto parent = std::filesystem::path(folder).parent_path().string();
  return syncFolder(parent.empty() ? "." : parent);
}

absl::Status writeIdentity(const std::string &folder) {
  std::random_device random;
  std::uint64_t id = 0;
  while (id == 0)
    id = (std::uint64_t{random()} << 32) | random();
  Bytes buf(IdentityFileBytes);
  storeLittleEndian(buf.data(), id, 8);
  storeLittleEndian(buf.data() + 8, checksum32(std::span(buf).first(8)), 4);
  return writeFileAtomically(folder, IdentityFileName, buf);
}

absl::StatusOr<MemberId> readIdentity(const std::string &folder) {
  auto file = File::open(folder + "/" + IdentityFileName, O_RDONLY);
  if (!file.ok())
    return file.status();
  const auto buf = file->readAll();
  if (!buf.ok())
    return buf.status();
  if (buf->size() != IdentityFileBytes ||
      loadLittleEndian(buf->data() + 8, 4) !=
          checksum32(std::span(*buf).first(8)))
    return absl::DataLossError(file->path() + ": identity file is corrupt");
  return MemberId{loadLittleEndian(buf->data(), 8)};
}

/// Creates the files of a new folder. The log and the votes belong to the
/// identity, so a folder that contains only some of these files is an error.
/// The identity is written last: if it is missing, the first initialisation was
/// interrupted.
absl::Status initialiseFolder(const std::string &folder,
                              FolderContent &content) {
  if (content.HasIdentity) {
    if (content.Segments.empty() && content.Snapshots.empty())
      return absl::DataLossError(
          folder + ": the folder contains an identity but no log");
    return absl::OkStatus();
  }
  for (const std::uint64_t it : content.Segments) {
    std::error_code ec;
    const auto size =
        std::filesystem::file_size(folder + "/" + SegmentLog::name(it), ec);
    if (ec || size != 0)
      return absl::DataLossError(folder +
                                 ": the folder contains a log but no identity");
  }
  if (!content.Snapshots.empty())
    return absl::DataLossError(
        folder + ": the folder contains a snapshot but no identity");
  if (absl::Status status = HardStateFile::create(folder); !status.ok())
    return status;
  SegmentLog log(folder);
  if (absl::Status status = log.create(1); !status.ok())
    return status;
  content.Segments = {1};
  return writeIdentity(folder);
}

class FileLogStorage final : public LogStorage {
public:
  FileLogStorage(std::string folder, MemberId identity, File lock,
                 HardStateFile state)
      : Folder(std::move(folder)), Lock(std::move(lock)),
        State(std::move(state)), Log(Folder), InMemoryLog(identity) {}

  absl::Status load(const FolderContent &content);

  MemberId identity() const override { return InMemoryLog.identity(); }
  HardState hardState() const override { return State.state(); }
  std::optional<Snapshot> snapshot() const override {
    return InMemoryLog.snapshot();
  }
  std::uint64_t firstIndex() const override { return InMemoryLog.firstIndex(); }
  std::uint64_t lastIndex() const override { return InMemoryLog.lastIndex(); }
  std::uint64_t term(std::uint64_t index) const override {
    return InMemoryLog.term(index);
  }
  std::vector<LogEntry> entries(std::uint64_t first, std::size_t maxEntries,
                                std::size_t maxBytes) const override {
    return InMemoryLog.entries(first, maxEntries, maxBytes);
  }

  absl::Status append(std::span<const LogEntry> entries) override;
  absl::Status truncateFrom(std::uint64_t index) override;
  absl::Status saveHardState(const HardState &state) override {
    return State.save(state);
  }
  absl::Status saveSnapshot(const Snapshot &snapshot) override;
  absl::Status sync() override;
  std::uint64_t savedCommitIndex() const override { return LoadedCommitIndex; }
  absl::Status saveCommitIndex(std::uint64_t index) override;

private:
  void loadCommitIndex();
  absl::Status loadSnapshot(std::span<const std::uint64_t> indexes);

  const std::string Folder;
  File Lock;
  HardStateFile State;
  SegmentLog Log;
  /// A copy of the log that serves all reads.
  MemoryLogStorage InMemoryLog;
  /// Opened when the commit index is first saved.
  std::optional<File> CommitIndexFile;
  std::uint64_t LoadedCommitIndex = 0;
  bool IsCommitIndexSynced = true;
};

absl::Status
FileLogStorage::loadSnapshot(std::span<const std::uint64_t> indexes) {
  if (indexes.empty())
    return absl::OkStatus();
  auto file = File::open(Folder + "/" + snapshotName(indexes.back()), O_RDONLY);
  if (!file.ok())
    return file.status();
  const auto buf = file->readAll();
  if (!buf.ok())
    return buf.status();
  const auto snapshot = decodeSnapshotFile(*buf, file->path());
  if (!snapshot.ok())
    return snapshot.status();
  for (const std::uint64_t it : indexes.first(indexes.size() - 1)) {
    absl::Status status = removeFile(Folder + "/" + snapshotName(it));
    if (!status.ok())
      return status;
  }
  return InMemoryLog.saveSnapshot(*snapshot);
}

absl::Status FileLogStorage::load(const FolderContent &content) {
  loadCommitIndex();
  if (absl::Status status = loadSnapshot(content.Snapshots); !status.ok())
    return status;
  const auto entries = Log.open(content.Segments);
  if (!entries.ok())
    return entries.status();
  const std::uint64_t next = InMemoryLog.firstIndex();
  if (!content.Segments.empty() && content.Segments.front() > next)
    return absl::DataLossError(Folder + ": the log begins at index " +
                               std::to_string(content.Segments.front()) +
                               " instead of " + std::to_string(next));
  const std::span<const LogEntry> allEntries = *entries;
  const auto covers = [&](const LogEntry &it) { return it.Index < next; };
  const auto firstUncovered = std::ranges::find_if_not(allEntries, covers);
  const auto covered =
      static_cast<std::size_t>(firstUncovered - allEntries.begin());
  // If the log does not extend to the end of the snapshot, or diverges from it,
  // the process was stopped before it could remove that log.
  const bool continues =
      covered == 0
          ? !content.Segments.empty() && content.Segments.back() == next
          : allEntries[covered - 1].Index + 1 == next &&
                allEntries[covered - 1].Term == InMemoryLog.term(next - 1);
  if (!continues && !(covered == 0 && !allEntries.empty()))
    return Log.dropAll();
  return InMemoryLog.append(allEntries.subspan(covered));
}

absl::Status FileLogStorage::append(std::span<const LogEntry> entries) {
  std::uint64_t next = lastIndex() + 1;
  for (const LogEntry &it : entries) {
    if (it.Index != next++)
      return absl::InvalidArgumentError("log entries are not contiguous");
    if (it.Payload.size() > MaxEntryBytes)
      return absl::InvalidArgumentError("log entry is too large");
  }
  if (absl::Status status = Log.append(entries); !status.ok())
    return status;
  return InMemoryLog.append(entries);
}

absl::Status FileLogStorage::truncateFrom(std::uint64_t index) {
  if (index > lastIndex())
    return absl::OkStatus();
  if (absl::Status status = InMemoryLog.truncateFrom(index); !status.ok())
    return status;
  return Log.truncateFrom(index);
}

absl::Status FileLogStorage::saveSnapshot(const Snapshot &snapshot) {
  const std::uint64_t previousIndex = firstIndex() - 1;
  if (snapshot.LastIndex <= previousIndex)
    return absl::InvalidArgumentError(
        "snapshot is not newer than the stored one");
  // The log must be durable before a snapshot that covers a part of it.
  if (absl::Status status = sync(); !status.ok())
    return status;
  absl::Status status = writeFileAtomically(
      Folder, snapshotName(snapshot.LastIndex), encodeSnapshotFile(snapshot));
  if (!status.ok())
    return status;
  const bool continues = term(snapshot.LastIndex) == snapshot.LastTerm;
  status = continues ? Log.dropUpTo(snapshot.LastIndex) : Log.dropAll();
  if (status.ok() && previousIndex != 0)
    status = removeFile(Folder + "/" + snapshotName(previousIndex));
  return status.ok() ? InMemoryLog.saveSnapshot(snapshot) : status;
}

/// A missing or corrupt file is ignored.
void FileLogStorage::loadCommitIndex() {
  const auto file = File::open(Folder + "/" + CommitIndexFileName, O_RDONLY);
  const auto buf = file.ok() ? file->readAll() : file.status();
  if (!buf.ok() || buf->size() != CommitIndexFileBytes)
    return;
  if (loadLittleEndian(buf->data() + 8, 4) ==
      checksum32(std::span(*buf).first(8)))
    LoadedCommitIndex = loadLittleEndian(buf->data(), 8);
}

absl::Status FileLogStorage::saveCommitIndex(std::uint64_t index) {
  if (!CommitIndexFile) {
    auto file =
        File::open(Folder + "/" + CommitIndexFileName, O_RDWR | O_CREAT);
    if (!file.ok())
      return file.status();
    CommitIndexFile = *std::move(file);
  }
  Bytes buf(CommitIndexFileBytes);
  storeLittleEndian(buf.data(), index, 8);
  storeLittleEndian(buf.data() + 8, checksum32(std::span(buf).first(8)), 4);
  IsCommitIndexSynced = false;
  return CommitIndexFile->writeAt(0, buf);
}

absl::Status FileLogStorage::sync() {
  if (absl::Status status = Log.sync(); !status.ok())
    return status;
  if (!IsCommitIndexSynced) {
    if (absl::Status status = CommitIndexFile->sync(); !status.ok())
      return status;
    IsCommitIndexSynced = true;
  }
  return State.sync();
}

} // namespace

absl::StatusOr<std::unique_ptr<LogStorage>>
openFileLogStorage(const std::string &folder) {
  if (absl::Status status = createFolder(folder); !status.ok())
    return status;
  auto lock = File::open(folder + "/" + LockFileName, O_RDWR | O_CREAT);
  if (!lock.ok())
    return lock.status();
  if (absl::Status status = lock->lock(); !status.ok())
    return status;
  auto content = listFolder(folder);
  if (!content.ok())
    return content.status();
  if (absl::Status status = initialiseFolder(folder, *content); !status.ok())
    return status;
  const auto identity = readIdentity(folder);
  if (!identity.ok())
    return identity.status();
  auto state = HardStateFile::open(folder);
  if (!state.ok())
    return state.status();
  auto storage = std::make_unique<FileLogStorage>(
      folder, *identity, *std::move(lock), *std::move(state));
  if (absl::Status status = storage->load(*content); !status.ok())
    return status;
  return storage;
}

} // namespace pistachio
