#include "Consensus/FileStorage/Records.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

constexpr std::size_t ChecksumOffset = 4;
constexpr std::size_t ChecksumStart = 8;
constexpr std::size_t SnapshotHeaderBytes = 24;
constexpr std::size_t ChecksumBytes = 4;

std::uint32_t recordChecksum(std::span<const std::byte> record) {
  const auto length =
      static_cast<std::uint32_t>(loadLittleEndian(record.data(), 4));
  return checksum32(record.subspan(ChecksumStart)) ^
         static_cast<std::uint32_t>(mix64(length + 1));
}

} // namespace

void encodeRecord(const LogEntry &entry, std::uint64_t syncedOffset,
                  Bytes &out) {
  const std::size_t start = out.size();
  out.resize(start + RecordHeaderBytes);
  out.insert(out.end(), entry.Payload.begin(), entry.Payload.end());
  std::byte *at = out.data() + start;
  storeLittleEndian(at, entry.Payload.size(), 4);
  storeLittleEndian(at + 8, syncedOffset, 8);
  storeLittleEndian(at + 16, entry.Term, 8);
  storeLittleEndian(at + 24, entry.Index, 8);
  storeLittleEndian(at + 32, static_cast<std::uint64_t>(entry.Kind), 1);
  storeLittleEndian(at + ChecksumOffset,
                    recordChecksum(std::span(out).subspan(start)), 4);
}

std::optional<Record> decodeRecord(std::span<const std::byte> buf,
                                   std::size_t offset) {
  buf = buf.subspan(offset);
  if (buf.size() < RecordHeaderBytes)
    return std::nullopt;
  const std::byte *at = buf.data();
  const std::uint64_t n = loadLittleEndian(at, 4);
  const std::uint64_t kind = loadLittleEndian(at + 32, 1);
  if (n > MaxEntryBytes || n > buf.size() - RecordHeaderBytes ||
      kind > static_cast<std::uint64_t>(EntryKind::Max))
    return std::nullopt;
  buf = buf.first(RecordHeaderBytes + n);
  if (loadLittleEndian(at + ChecksumOffset, 4) != recordChecksum(buf))
    return std::nullopt;
  const auto payload = buf.subspan(RecordHeaderBytes);
  return Record{{loadLittleEndian(at + 16, 8),
                 loadLittleEndian(at + 24, 8),
                 static_cast<EntryKind>(kind),
                 {payload.begin(), payload.end()}},
                loadLittleEndian(at + 8, 8),
                buf.size()};
}

bool wasSynced(std::span<const std::byte> buf, std::size_t offset) {
  // The length field of a corrupt record is unreliable, so every later offset
  // is tried. The synced offset is compared first, because that is cheaper than
  // decoding a record.
  for (std::size_t i = offset + 1; i + RecordHeaderBytes <= buf.size(); ++i) {
    const std::uint64_t synced =
        loadLittleEndian(buf.data() + i + ChecksumStart, 8);
    if (synced > offset && synced <= i && decodeRecord(buf, i))
      return true;
  }
  return false;
}

Bytes encodeSnapshotFile(const Snapshot &snapshot) {
  const Bytes members = encodeMembers(snapshot.Members);
  Bytes out(SnapshotHeaderBytes);
  storeLittleEndian(out.data() + 4, snapshot.LastIndex, 8);
  storeLittleEndian(out.data() + 12, snapshot.LastTerm, 8);
  storeLittleEndian(out.data() + 20, members.size(), 4);
  out.insert(out.end(), members.begin(), members.end());
  out.insert(out.end(), snapshot.Content.begin(), snapshot.Content.end());
  storeLittleEndian(out.data(),
                    checksum32(std::span(out).subspan(ChecksumBytes)), 4);
  return out;
}

absl::StatusOr<Snapshot> decodeSnapshotFile(std::span<const std::byte> buf,
                                            const std::string &path) {
  const auto corrupt = absl::DataLossError(path + ": snapshot file is corrupt");
  if (buf.size() < SnapshotHeaderBytes ||
      loadLittleEndian(buf.data(), 4) != checksum32(buf.subspan(ChecksumBytes)))
    return corrupt;
  const std::uint64_t n = loadLittleEndian(buf.data() + 20, 4);
  const auto rest = buf.subspan(SnapshotHeaderBytes);
  if (n > rest.size())
    return corrupt;
  auto members = decodeMembers(rest.first(n));
  if (!members.ok())
    return corrupt;
  const auto content = rest.subspan(n);
  return Snapshot{loadLittleEndian(buf.data() + 4, 8),
                  loadLittleEndian(buf.data() + 12, 8),
                  *std::move(members),
                  {content.begin(), content.end()}};
}

Bytes encodeHardState(const HardStateSlot &slot) {
  Bytes out(HardStateSlotBytes);
  storeLittleEndian(out.data() + 4, slot.Sequence, 8);
  storeLittleEndian(out.data() + 12, slot.State.Term, 8);
  storeLittleEndian(out.data() + 20, slot.State.VotedFor.Value, 8);
  storeLittleEndian(out.data(),
                    checksum32(std::span(out).subspan(ChecksumBytes)), 4);
  return out;
}

std::optional<HardStateSlot> decodeHardState(std::span<const std::byte> buf) {
  if (buf.size() < HardStateSlotBytes)
    return std::nullopt;
  buf = buf.first(HardStateSlotBytes);
  if (loadLittleEndian(buf.data(), 4) != checksum32(buf.subspan(ChecksumBytes)))
    return std::nullopt;
  return HardStateSlot{loadLittleEndian(buf.data() + 4, 8),
                       {loadLittleEndian(buf.data() + 12, 8),
                        MemberId{loadLittleEndian(buf.data() + 20, 8)}}};
}

} // namespace pistachio
