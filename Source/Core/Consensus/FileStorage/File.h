#pragma once

#include "Wire/Envelope.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <utility>

namespace pistachio {

/// An open file or directory. Errors contain the path. A full disk is reported
/// as ResourceExhausted and a missing file as NotFound.
class File {
public:
  static absl::StatusOr<File> open(const std::string &path, int flags);

  File(File &&other) noexcept
      : Path(std::move(other.Path)), Fd(std::exchange(other.Fd, -1)) {}
  File &operator=(File &&other) noexcept {
    std::swap(Path, other.Path);
    std::swap(Fd, other.Fd);
    return *this;
  }
  ~File();

  const std::string &path() const { return Path; }
  absl::StatusOr<Bytes> readAll() const;
  absl::Status writeAt(std::uint64_t offset, std::span<const std::byte> buf);
  absl::Status truncate(std::uint64_t size);
  absl::Status sync();
  /// Locks the file exclusively. FailedPrecondition if another process holds
  /// the lock.
  absl::Status lock();

private:
  File(std::string path, int fd) : Path(std::move(path)), Fd(fd) {}

  std::string Path;
  int Fd;
};

absl::Status syncFolder(const std::string &folder);
absl::Status removeFile(const std::string &path);
/// Writes a new file, or replaces an existing one, through a temporary file.
/// After a crash the folder contains either the complete new file or its
/// previous state.
absl::Status writeFileAtomically(const std::string &folder,
                                 const std::string &name,
                                 std::span<const std::byte> buf);

} // namespace pistachio
