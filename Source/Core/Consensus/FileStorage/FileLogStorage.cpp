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

constexpr const char *IdentityName = "identity";
constexpr const char *LockName = "lock";
/// Index (8) and checksum (4), little endian; overwritten in place.
constexpr const char *CommittedName = "committed";
constexpr std::size_t CommittedBytes = 12;
constexpr std::size_t IdentityBytes = 12;

std::string snapshotName(std::uint64_t lastIndex) {
  char buf[40];
  std::snprintf(buf, sizeof(buf), "snapshot-%020llu",
                static_cast<unsigned long long>(lastIndex));
  return buf;
}

/// The index in a name like log-00000000000000000017.
std::optional<std::uint64_t> indexOf(std::string_view name,
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
    if (const auto segment = indexOf(name, "log-"))
      out.Segments.push_back(*segment);
    else if (const auto snapshot = indexOf(name, "snapshot-"))
      out.Snapshots.push_back(*snapshot);
    else if (name == IdentityName)
      out.HasIdentity = true;
    else if (name.ends_with(".tmp"))
      if (absl::Status status = removeFile(it->path().string()); !status.ok())
        return status;
  }
  if (ec)
    return absl::UnavailableError(folder + ": cannot list: " + ec.message());
  std::ranges::sort(out.Segments);
  std::ranges::sort(out.Snapshots);
  return out;
}

absl::Status createFolder(const std::string &folder) {
  std::error_code ec;
  if (!std::filesystem::create_directories(folder, ec))
    return ec ? absl::UnavailableError(folder +
                                       ": cannot create: " + ec.message())
              : absl::OkStatus();
  const auto parent = std::filesystem::path(folder).parent_path().string();
  return syncFolder(parent.empty() ? "." : parent);
}

absl::Status writeIdentity(const std::string &folder) {
  std::random_device random;
  std::uint64_t id = 0;
  while (id == 0)
    id = (std::uint64_t{random()} << 32) | random();
  Bytes buf(IdentityBytes);
  storeLittleEndian(buf.data(), id, 8);
  storeLittleEndian(buf.data() + 8, checksum32(std::span(buf).first(8)), 4);
  return writeFileAtomically(folder, IdentityName, buf);
}

absl::StatusOr<MemberId> readIdentity(const std::string &folder) {
  auto file = File::open(folder + "/" + IdentityName, O_RDONLY);
  if (!file.ok())
    return file.status();
  const auto buf = file->readAll();
  if (!buf.ok())
    return buf.status();
  if (buf->size() != IdentityBytes || loadLittleEndian(buf->data() + 8, 4) !=
                                          checksum32(std::span(*buf).first(8)))
    return absl::DataLossError(file->path() + ": identity is damaged");
  return MemberId{loadLittleEndian(buf->data(), 8)};
}

/// Log and votes belong to one identity, so a part of them without the rest is
/// an error. The identity is written last: without it, the first use was not
/// completed.
absl::Status initialise(const std::string &folder, FolderContent &content) {
  if (content.HasIdentity) {
    if (content.Segments.empty() && content.Snapshots.empty())
      return absl::DataLossError(folder + ": identity without log");
    return absl::OkStatus();
  }
  for (const std::uint64_t it : content.Segments) {
    std::error_code ec;
    const auto size =
        std::filesystem::file_size(folder + "/" + SegmentLog::name(it), ec);
    if (ec || size != 0)
      return absl::DataLossError(folder + ": log without identity");
  }
  if (!content.Snapshots.empty())
    return absl::DataLossError(folder + ": snapshot without identity");
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
        State(std::move(state)), Log(Folder), Image(identity) {}

  absl::Status load(const FolderContent &content);

  MemberId identity() const override { return Image.identity(); }
  HardState hardState() const override { return State.state(); }
  std::optional<Snapshot> snapshot() const override { return Image.snapshot(); }
  std::uint64_t firstIndex() const override { return Image.firstIndex(); }
  std::uint64_t lastIndex() const override { return Image.lastIndex(); }
  std::uint64_t term(std::uint64_t index) const override {
    return Image.term(index);
  }
  std::vector<LogEntry> entries(std::uint64_t first, std::size_t maxEntries,
                                std::size_t maxBytes) const override {
    return Image.entries(first, maxEntries, maxBytes);
  }

  absl::Status append(std::span<const LogEntry> entries) override;
  absl::Status truncateFrom(std::uint64_t index) override;
  absl::Status saveHardState(const HardState &state) override {
    return State.save(state);
  }
  absl::Status saveSnapshot(const Snapshot &snapshot) override;
  absl::Status sync() override;
  std::uint64_t committedBound() const override { return Committed; }
  absl::Status noteCommitted(std::uint64_t index) override;

private:
  void loadCommitted();
  absl::Status loadSnapshot(std::span<const std::uint64_t> indexes);

  const std::string Folder;
  File Lock;
  HardStateFile State;
  SegmentLog Log;
  /// The whole log in memory; serves all reads.
  MemoryLogStorage Image;
  /// Open from the first note on.
  std::optional<File> CommittedFile;
  std::uint64_t Committed = 0;
  bool IsNoteSynced = true;
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
  return Image.saveSnapshot(*snapshot);
}

absl::Status FileLogStorage::load(const FolderContent &content) {
  loadCommitted();
  if (absl::Status status = loadSnapshot(content.Snapshots); !status.ok())
    return status;
  const auto entries = Log.open(content.Segments);
  if (!entries.ok())
    return entries.status();
  const std::uint64_t next = Image.firstIndex();
  if (!content.Segments.empty() && content.Segments.front() > next)
    return absl::DataLossError(Folder + ": the log begins at index " +
                               std::to_string(content.Segments.front()) +
                               " instead of " + std::to_string(next));
  const std::span<const LogEntry> all = *entries;
  const auto covers = [&](const LogEntry &it) { return it.Index < next; };
  const auto kept = std::ranges::find_if_not(all, covers);
  const auto covered = static_cast<std::size_t>(kept - all.begin());
  // A log that does not reach the snapshot, or differs from it, was about to be
  // removed when the process stopped.
  const bool continues =
      covered == 0
          ? !content.Segments.empty() && content.Segments.back() == next
          : all[covered - 1].Index + 1 == next &&
                all[covered - 1].Term == Image.term(next - 1);
  if (!continues && !(covered == 0 && !all.empty()))
    return Log.dropAll();
  return Image.append(all.subspan(covered));
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
  return Image.append(entries);
}

absl::Status FileLogStorage::truncateFrom(std::uint64_t index) {
  if (index > lastIndex())
    return absl::OkStatus();
  if (absl::Status status = Image.truncateFrom(index); !status.ok())
    return status;
  return Log.truncateFrom(index);
}

absl::Status FileLogStorage::saveSnapshot(const Snapshot &snapshot) {
  const std::uint64_t former = firstIndex() - 1;
  if (snapshot.LastIndex <= former)
    return absl::InvalidArgumentError("snapshot is not newer");
  // The log that the snapshot continues must not be younger on disk.
  if (absl::Status status = sync(); !status.ok())
    return status;
  absl::Status status = writeFileAtomically(
      Folder, snapshotName(snapshot.LastIndex), encodeSnapshotFile(snapshot));
  if (!status.ok())
    return status;
  const bool continues = term(snapshot.LastIndex) == snapshot.LastTerm;
  status = continues ? Log.dropUpTo(snapshot.LastIndex) : Log.dropAll();
  if (status.ok() && former != 0)
    status = removeFile(Folder + "/" + snapshotName(former));
  return status.ok() ? Image.saveSnapshot(snapshot) : status;
}

/// A missing or damaged note is none.
void FileLogStorage::loadCommitted() {
  const auto file = File::open(Folder + "/" + CommittedName, O_RDONLY);
  const auto buf = file.ok() ? file->readAll() : file.status();
  if (!buf.ok() || buf->size() != CommittedBytes)
    return;
  if (loadLittleEndian(buf->data() + 8, 4) ==
      checksum32(std::span(*buf).first(8)))
    Committed = loadLittleEndian(buf->data(), 8);
}

absl::Status FileLogStorage::noteCommitted(std::uint64_t index) {
  if (!CommittedFile) {
    auto file = File::open(Folder + "/" + CommittedName, O_RDWR | O_CREAT);
    if (!file.ok())
      return file.status();
    CommittedFile = *std::move(file);
  }
  Bytes buf(CommittedBytes);
  storeLittleEndian(buf.data(), index, 8);
  storeLittleEndian(buf.data() + 8, checksum32(std::span(buf).first(8)), 4);
  IsNoteSynced = false;
  return CommittedFile->writeAt(0, buf);
}

absl::Status FileLogStorage::sync() {
  if (absl::Status status = Log.sync(); !status.ok())
    return status;
  if (!IsNoteSynced) {
    if (absl::Status status = CommittedFile->sync(); !status.ok())
      return status;
    IsNoteSynced = true;
  }
  return State.sync();
}

} // namespace

absl::StatusOr<std::unique_ptr<LogStorage>>
openFileLogStorage(const std::string &folder) {
  if (absl::Status status = createFolder(folder); !status.ok())
    return status;
  auto lock = File::open(folder + "/" + LockName, O_RDWR | O_CREAT);
  if (!lock.ok())
    return lock.status();
  if (absl::Status status = lock->lock(); !status.ok())
    return status;
  auto content = listFolder(folder);
  if (!content.ok())
    return content.status();
  if (absl::Status status = initialise(folder, *content); !status.ok())
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
