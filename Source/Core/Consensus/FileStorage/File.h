#pragma once

#include "Wire/Envelope.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <utility>

namespace pistachio {

/// An open file or folder. Errors name the path; a full disk is
/// ResourceExhausted, a missing file NotFound.
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
  /// FailedPrecondition if another process holds it.
  absl::Status lock();

private:
  File(std::string path, int fd) : Path(std::move(path)), Fd(fd) {}

  std::string Path;
  int Fd;
};

absl::Status syncFolder(const std::string &folder);
absl::Status removeFile(const std::string &path);
/// The file is complete or absent after a crash, also when it replaces one.
absl::Status writeFileAtomically(const std::string &folder,
                                 const std::string &name,
                                 std::span<const std::byte> buf);

} // namespace pistachio
