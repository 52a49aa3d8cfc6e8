#include "TemporaryFolder.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class StorageTest : public testing::TestWithParam<bool> {
protected:
  StorageTest() { reopen(); }
  /// Reopens the storage. A memory storage keeps its content and is not
  /// reopened.
  void reopen() {
    if (!GetParam()) {
      Storage = Storage ? std::move(Storage) : makeMemoryLogStorage({7});
      return;
    }
    Storage.reset();
    auto opened = openFileLogStorage(Folder.path());
    ASSERT_TRUE(opened.ok()) << opened.status();
    Storage = *std::move(opened);
  }
  TemporaryFolder Folder;
  std::unique_ptr<LogStorage> Storage;
};

// Guards against a storage that loses or reorders entries, or loses the term or
// the vote, before and after it is reopened.
TEST_P(StorageTest, KeepsEverythingInOrder) {
  ASSERT_TRUE(Storage->append(makeLogEntries(1, 10, 2)).ok());
  ASSERT_TRUE(Storage->truncateFrom(8).ok());
  ASSERT_TRUE(Storage->append(makeLogEntries(8, 3, 3)).ok());
  ASSERT_TRUE(Storage->saveHardState({3, MemberId{5}}).ok());
  ASSERT_TRUE(Storage->sync().ok());
  for (int round = 0; round < 2; ++round, reopen()) {
    EXPECT_EQ(Storage->lastIndex(), 10U);
    EXPECT_EQ(Storage->term(7), 2U);
    EXPECT_EQ(Storage->term(8), 3U);
    EXPECT_EQ(Storage->term(11), 0U);
    EXPECT_EQ(Storage->hardState(), (HardState{3, MemberId{5}}));
    EXPECT_EQ(Storage->entries(8, 9, 1 << 20), makeLogEntries(8, 3, 3));
    EXPECT_EQ(Storage->entries(8, 2, 1 << 20).size(), 2U);
    EXPECT_EQ(Storage->entries(8, 9, 1).size(), 1U);
  }
  EXPECT_FALSE(Storage->append(makeLogEntries(20, 1, 3)).ok());
}

// Guards against a snapshot that keeps entries that it covers or removes later
// ones, and against a diverged log that remains after a snapshot of the leader
// is stored.
TEST_P(StorageTest, SnapshotReplacesWhatItCovers) {
  const Snapshot own{8, 2, {{MemberId{5}, {1, 2}, true}}, Bytes(100)};
  const Snapshot diverged{9, 4, {}, Bytes(5)};
  ASSERT_TRUE(Storage->append(makeLogEntries(1, 10, 2)).ok());
  ASSERT_TRUE(Storage->saveSnapshot(own).ok());
  ASSERT_TRUE(Storage->append(makeLogEntries(11, 1, 2)).ok());
  ASSERT_TRUE(Storage->sync().ok());
  for (int round = 0; round < 2; ++round, reopen()) {
    EXPECT_EQ(Storage->firstIndex(), 9U);
    EXPECT_EQ(Storage->lastIndex(), 11U);
    EXPECT_EQ(Storage->term(8), 2U);
    EXPECT_EQ(Storage->snapshot()->Members, own.Members);
    EXPECT_EQ(Storage->snapshot()->Content, own.Content);
  }
  EXPECT_FALSE(Storage->truncateFrom(8).ok());
  ASSERT_TRUE(Storage->saveSnapshot(diverged).ok());
  for (int round = 0; round < 2; ++round, reopen())
    EXPECT_EQ(Storage->lastIndex(), 9U);
  ASSERT_TRUE(Storage->append(makeLogEntries(10, 2, 4)).ok());
  ASSERT_TRUE(Storage->sync().ok());
  reopen();
  EXPECT_EQ(Storage->lastIndex(), 11U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, StorageTest, testing::Bool(),
                         [](const auto &it) {
                           return it.param ? "File" : "Memory";
                         });

// Guards against a saved commit index that is lost at a restart, and against
// the use of a corrupt one.
TEST(FileStorageTest, KeepsTheSavedCommitIndex) {
  const TemporaryFolder folder;
  {
    auto storage = openFileLogStorage(folder.path());
    ASSERT_TRUE(storage.ok());
    EXPECT_EQ((*storage)->savedCommitIndex(), 0U);
    ASSERT_TRUE((*storage)->saveCommitIndex(300).ok());
    ASSERT_TRUE((*storage)->saveCommitIndex(70000).ok());
  }
  EXPECT_EQ((*openFileLogStorage(folder.path()))->savedCommitIndex(), 70000U);
  std::filesystem::resize_file(folder.file("committed"), 5);
  EXPECT_EQ((*openFileLogStorage(folder.path()))->savedCommitIndex(), 0U);
}

// Guards against two processes that write to the same folder.
TEST(FileStorageTest, FolderIsLocked) {
  TemporaryFolder folder;
  const auto first = openFileLogStorage(folder.path());
  ASSERT_TRUE(first.ok());
  EXPECT_EQ(openFileLogStorage(folder.path()).status().code(),
            absl::StatusCode::kFailedPrecondition);
}

} // namespace
} // namespace pistachio
