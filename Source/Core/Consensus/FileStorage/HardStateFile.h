#pragma once

#include "Consensus/FileStorage/File.h"
#include "Consensus/FileStorage/Records.h"

namespace pistachio {

/// Stores the term and the vote alternately in two slots of one file.
/// Overwriting a slot in place also works on a full disk, and a torn write
/// leaves the other slot intact.
class HardStateFile {
public:
  static constexpr const char *Name = "hardstate";

  static absl::Status create(const std::string &folder);
  static absl::StatusOr<HardStateFile> open(const std::string &folder);

  const HardState &state() const { return Current.State; }
  absl::Status save(const HardState &state);
  absl::Status sync();

private:
  HardStateFile(File file, HardStateSlot slot)
      : Handle(std::move(file)), Current(slot) {}

  File Handle;
  HardStateSlot Current;
  bool HasUnsyncedWrite = false;
};

} // namespace pistachio
