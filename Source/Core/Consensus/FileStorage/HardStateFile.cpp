#include "Consensus/FileStorage/HardStateFile.h"

#include <fcntl.h>

namespace pistachio {
namespace {

/// Places the slots in different sectors, so that a torn write affects only one
/// of them.
constexpr std::size_t SlotStrideBytes = 4096;
constexpr std::size_t SlotCount = 2;

} // namespace

absl::Status HardStateFile::create(const std::string &folder) {
  Bytes buf(SlotStrideBytes * SlotCount);
  const Bytes slot = encodeHardState({});
  std::ranges::copy(slot, buf.begin());
  return writeFileAtomically(folder, Name, buf);
}

absl::StatusOr<HardStateFile> HardStateFile::open(const std::string &folder) {
  auto file = File::open(folder + "/" + Name, O_RDWR);
  if (!file.ok())
    return file.status();
  const auto buf = file->readAll();
  if (!buf.ok())
    return buf.status();
  std::optional<HardStateSlot> latest;
  for (std::size_t i = 0; i < SlotCount; ++i) {
    const std::size_t at = std::min(i * SlotStrideBytes, buf->size());
    const auto slot = decodeHardState(std::span(*buf).subspan(at));
    if (slot && (!latest || slot->Sequence > latest->Sequence))
      latest = slot;
  }
  if (!latest)
    return absl::DataLossError(file->path() +
                               ": both slots of the hard state are corrupt");
  return HardStateFile(*std::move(file), *latest);
}

absl::Status HardStateFile::save(const HardState &state) {
  // Until a sync succeeds, all writes go to the same slot, so that the slot
  // with the last synced state is not overwritten.
  if (!HasUnsyncedWrite)
    ++Current.Sequence;
  HasUnsyncedWrite = true;
  Current.State = state;
  return Handle.writeAt(Current.Sequence % SlotCount * SlotStrideBytes,
                        encodeHardState(Current));
}

absl::Status HardStateFile::sync() {
  if (!HasUnsyncedWrite)
    return absl::OkStatus();
  absl::Status status = Handle.sync();
  HasUnsyncedWrite = !status.ok();
  return status;
}

} // namespace pistachio
