#include "TemporaryFolder.h"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace pistachio {
namespace {

constexpr const char *FirstSegment = "log-00000000000000000001";
/// A header of 33 bytes and a payload of 20 bytes.
constexpr std::size_t RecordBytes = 53;

std::unique_ptr<LogStorage> openStorage(const TemporaryFolder &folder) {
  auto storage = openFileLogStorage(folder.path());
  EXPECT_TRUE(storage.ok()) << storage.status();
  return storage.ok() ? *std::move(storage) : nullptr;
}

/// Writes five records and syncs after each of them.
void writeFiveRecords(const TemporaryFolder &folder) {
  const auto storage = openStorage(folder);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    ASSERT_TRUE(storage->append(makeLogEntries(i, 1, 1)).ok());
    ASSERT_TRUE(storage->sync().ok());
  }
}

void flipBit(const std::string &path, std::size_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char c = static_cast<char>(file.get() ^ 0x40);
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(c);
}

class TornTailTest : public testing::TestWithParam<std::size_t> {};

// Guards against a start that fails, or keeps an incomplete record, after a
// crash in the middle of a write.
TEST_P(TornTailTest, LastRecordIsDropped) {
  TemporaryFolder folder;
  writeFiveRecords(folder);
  const std::string path = folder.file(FirstSegment);
  std::filesystem::resize_file(path, 5 * RecordBytes - GetParam());
  for (int round = 0; round < 2; ++round) {
    const auto storage = openStorage(folder);
    ASSERT_TRUE(storage);
    EXPECT_EQ(storage->lastIndex(), 4U + round);
    ASSERT_TRUE(
        storage->append(makeLogEntries(storage->lastIndex() + 1, 1, 2)).ok());
    ASSERT_TRUE(storage->sync().ok());
  }
}

INSTANTIATE_TEST_SUITE_P(Bytes, TornTailTest,
                         testing::Values(1, 19, 20, 21, 40, RecordBytes - 1));

class DamageTest : public testing::TestWithParam<std::size_t> {};

// Guards against a start that drops accepted entries because one of them is
// corrupt. The parameter is the offset of the corrupt byte in the record: in
// the length, checksum, synced offset, term, index, kind or payload.
TEST_P(DamageTest, EarlierRecordStopsTheStart) {
  TemporaryFolder folder;
  writeFiveRecords(folder);
  flipBit(folder.file(FirstSegment), 2 * RecordBytes + GetParam());
  const absl::Status status = openFileLogStorage(folder.path()).status();
  EXPECT_EQ(status.code(), absl::StatusCode::kDataLoss);
  EXPECT_NE(status.ToString().find(folder.file(FirstSegment) +
                                   ": record at offset 106"),
            std::string::npos)
      << status;
}

INSTANTIATE_TEST_SUITE_P(Places, DamageTest,
                         testing::Values(0, 3, 4, 8, 16, 24, 32, 33, 52));

// Guards against an unsynced batch that is reported as corruption because a
// crash preserved its last record but not its first.
TEST(FileStorageFaultTest, UnsyncedBatchMayBeTornAnywhere) {
  TemporaryFolder folder;
  writeFiveRecords(folder);
  ASSERT_TRUE(openStorage(folder)->append(makeLogEntries(6, 3, 1)).ok());
  flipBit(folder.file(FirstSegment), 5 * RecordBytes + 40);
  EXPECT_EQ(openStorage(folder)->lastIndex(), 5U);
}

// Guards against a rejected write on a full disk that leaves partial data
// behind or damages entries that were accepted earlier. A limit of
// 16384 bytes on the file size simulates the full disk; small writes still fit.
TEST(FileStorageFaultTest, FullDiskRejectsWritesAndKeepsTheLog) {
  TemporaryFolder folder;
  writeFiveRecords(folder);
  auto storage = openStorage(folder);
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit previousLimit = {};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &previousLimit), 0);
  const rlimit fileSizeLimit = {16384, previousLimit.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &fileSizeLimit), 0);
  const absl::Status append = storage->append(makeLogEntries(6, 400, 1));
  const absl::Status snapshot = storage->saveSnapshot({3, 1, {}, Bytes(20000)});
  const absl::Status stateSaved = storage->saveHardState({9, MemberId{4}});
  const absl::Status small = storage->append(makeLogEntries(6, 1, 2));
  const absl::Status synced = storage->sync();
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &previousLimit), 0);
  EXPECT_EQ(append.code(), absl::StatusCode::kResourceExhausted) << append;
  EXPECT_EQ(snapshot.code(), absl::StatusCode::kResourceExhausted) << snapshot;
  EXPECT_TRUE(stateSaved.ok() && small.ok() && synced.ok());
  storage.reset();
  storage = openStorage(folder);
  EXPECT_EQ(storage->lastIndex(), 6U);
  EXPECT_EQ(storage->term(6), 2U);
  EXPECT_EQ(storage->firstIndex(), 1U);
  EXPECT_EQ(storage->hardState().Term, 9U);
}

// Guards against the loss of the previous hard state (term and vote) when
// writing the next one is interrupted, and against a start without any valid
// hard state. The file has two slots, at offsets 0 and 4096, that are written
// in turn. Byte 14 of a slot belongs to the term.
TEST(FileStorageFaultTest, TornHardStateKeepsTheFormerOne) {
  TemporaryFolder folder;
  for (std::uint64_t term = 1; term <= 2; ++term) {
    const auto storage = openStorage(folder);
    ASSERT_TRUE(storage->saveHardState({term, MemberId{term}}).ok());
    ASSERT_TRUE(storage->sync().ok());
  }
  flipBit(folder.file("hardstate"), 14);
  EXPECT_EQ(openStorage(folder)->hardState(), (HardState{1, MemberId{1}}));
  flipBit(folder.file("hardstate"), 4096 + 14);
  EXPECT_EQ(openFileLogStorage(folder.path()).status().code(),
            absl::StatusCode::kDataLoss);
}

// Guards against a wiped folder that keeps its old identity, and against an
// identity that outlives its log.
TEST(FileStorageFaultTest, IdentityBelongsToTheLog) {
  TemporaryFolder folder;
  const MemberId first = openStorage(folder)->identity();
  EXPECT_EQ(openStorage(folder)->identity(), first);
  std::filesystem::remove_all(folder.path());
  EXPECT_NE(openStorage(folder)->identity(), first);
  std::filesystem::remove(folder.file(FirstSegment));
  EXPECT_EQ(openFileLogStorage(folder.path()).status().code(),
            absl::StatusCode::kDataLoss);
}

// Guards against entries that are lost at the boundary between two segments,
// and against segments that are never removed.
TEST(FileStorageFaultTest, SegmentsRollAndAreDropped) {
  TemporaryFolder folder;
  constexpr std::size_t LargePayloadBytes = 500000;
  {
    const auto storage = openStorage(folder);
    for (std::uint64_t i = 1; i <= 40; ++i)
      ASSERT_TRUE(
          storage->append(makeLogEntries(i, 1, 1, LargePayloadBytes)).ok());
    ASSERT_TRUE(storage->sync().ok());
  }
  auto storage = openStorage(folder);
  EXPECT_EQ(storage->entries(1, 40, 1 << 30),
            makeLogEntries(1, 40, 1, LargePayloadBytes));
  ASSERT_TRUE(storage->saveSnapshot({30, 1, {}, {}}).ok());
  EXPECT_FALSE(std::filesystem::exists(folder.file(FirstSegment)));
  ASSERT_TRUE(storage->truncateFrom(32).ok());
  ASSERT_TRUE(storage->append(makeLogEntries(32, 1, 2)).ok());
  storage.reset();
  storage = openStorage(folder);
  EXPECT_EQ(storage->lastIndex(), 32U);
  EXPECT_EQ(storage->term(32), 2U);
}

} // namespace
} // namespace pistachio
