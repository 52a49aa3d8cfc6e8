#include "Consensus/FileStorage/File.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace pistachio {
namespace {

constexpr mode_t FileMode = 0640;

absl::Status errnoStatus(const std::string &path, const char *action) {
  const int ec = errno;
  const std::string text =
      path + ": cannot " + action + ": " + std::generic_category().message(ec);
  if (ec == ENOSPC || ec == EDQUOT || ec == EFBIG)
    return absl::ResourceExhaustedError(text);
  if (ec == ENOENT)
    return absl::NotFoundError(text);
  return absl::UnavailableError(text);
}

} // namespace

absl::StatusOr<File> File::open(const std::string &path, int flags) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC, FileMode);
  if (fd < 0)
    return errnoStatus(path, "open");
  return File(path, fd);
}

File::~File() {
  if (Fd >= 0)
    ::close(Fd);
}

absl::StatusOr<Bytes> File::readAll() const {
  struct stat info = {};
  if (::fstat(Fd, &info) != 0)
    return errnoStatus(Path, "read");
  Bytes buf(static_cast<std::size_t>(info.st_size));
  std::size_t done = 0;
  while (done < buf.size()) {
    const ssize_t n = ::pread(Fd, buf.data() + done, buf.size() - done,
                              static_cast<off_t>(done));
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errnoStatus(Path, "read");
    if (n == 0)
      break;
    done += static_cast<std::size_t>(n);
  }
  buf.resize(done);
  return buf;
}

absl::Status File::writeAt(std::uint64_t offset,
                           std::span<const std::byte> buf) {
  while (!buf.empty()) {
    const ssize_t n =
        ::pwrite(Fd, buf.data(), buf.size(), static_cast<off_t>(offset));
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errnoStatus(Path, "write");
    offset += static_cast<std::uint64_t>(n);
    buf = buf.subspan(static_cast<std::size_t>(n));
  }
  return absl::OkStatus();
}

absl::Status File::truncate(std::uint64_t size) {
  if (::ftruncate(Fd, static_cast<off_t>(size)) != 0)
    return errnoStatus(Path, "truncate");
  return absl::OkStatus();
}

absl::Status File::sync() {
  if (::fsync(Fd) != 0)
    return errnoStatus(Path, "sync");
  return absl::OkStatus();
}

absl::Status File::lock() {
  if (::flock(Fd, LOCK_EX | LOCK_NB) != 0)
    return absl::FailedPreconditionError(
        Path + ": another process uses this data folder");
  return absl::OkStatus();
}

absl::Status syncFolder(const std::string &folder) {
  auto file = File::open(folder, O_RDONLY | O_DIRECTORY);
  return file.ok() ? file->sync() : file.status();
}

absl::Status removeFile(const std::string &path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT)
    return errnoStatus(path, "remove");
  return absl::OkStatus();
}

absl::Status writeFileAtomically(const std::string &folder,
                                 const std::string &name,
                                 std::span<const std::byte> buf) {
  const std::string path = folder + "/" + name;
  const std::string temporaryPath = path + ".tmp";
  auto file = File::open(temporaryPath, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.ok())
    return file.status();
  absl::Status status = file->writeAt(0, buf);
  if (status.ok())
    status = file->sync();
  if (status.ok() && ::rename(temporaryPath.c_str(), path.c_str()) != 0)
    status = errnoStatus(path, "rename");
  if (!status.ok()) {
    // Removes the temporary file to free its disk space. The original error is
    // returned.
    ::unlink(temporaryPath.c_str());
    return status;
  }
  // The file has been renamed. A full disk must not be reported as
  // ResourceExhausted any more, because that would mean that nothing has
  // changed.
  status = syncFolder(folder);
  return status.ok() ? status : absl::UnavailableError(status.ToString());
}

} // namespace pistachio
