#pragma once

#include "Consensus/Consensus.h"

#include <filesystem>
#include <string>
#include <unistd.h>

namespace pistachio {

/// The path of a folder that does not exist yet. The folder is removed in the
/// destructor.
class TemporaryFolder {
public:
  TemporaryFolder()
      : Path(std::filesystem::temp_directory_path() /
             ("pistachio-" + std::to_string(::getpid()) + "-" +
              std::to_string(++Count))) {
    std::filesystem::remove_all(Path);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }

  std::string path() const { return Path.string(); }
  std::string file(const std::string &name) const {
    return (Path / name).string();
  }

private:
  static inline int Count = 0;
  std::filesystem::path Path;
};

inline std::vector<LogEntry> makeLogEntries(std::uint64_t first, std::size_t n,
                                            std::uint64_t term,
                                            std::size_t payloadBytes = 20) {
  std::vector<LogEntry> out;
  for (std::uint64_t i = first; i < first + n; ++i)
    out.push_back({term, i, EntryKind::Command,
                   Bytes(payloadBytes, static_cast<std::byte>(i))});
  return out;
}

} // namespace pistachio
