#include "Fakes/LedgerCheck.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

struct LedgerCase {
  const char *Name;
  /// Ledger entries, one character for each:
  /// S: start of a request that is not idempotent
  /// s: start of an idempotent request
  /// R: run of the request
  /// r: run that gives another answer
  /// O: run by another service
  /// C: run with another request body
  /// a: result "answered"
  /// n: result "not run"
  /// u: result "unknown"
  const char *Events;
  std::size_t Wrong;
  std::size_t Lost;
  std::size_t Doubled;
  friend std::ostream &operator<<(std::ostream &out, const LedgerCase &it) {
    return out << it.Name;
  }
};

class LedgerCheckTotalsTest : public testing::TestWithParam<LedgerCase> {};

// Guards against a check that misses a kind of violation, or reports one that
// does not exist.
TEST_P(LedgerCheckTotalsTest, MatchExpectedTotals) {
  const std::map<char, std::string> lines = {
      {'S', R"("event":"start","service":"a","idempotent":false,"checksum":4)"},
      {'s', R"("event":"start","service":"a","idempotent":true,"checksum":4)"},
      {'R', R"("event":"run","service":"a","checksum":4,"answer":5)"},
      {'r', R"("event":"run","service":"a","checksum":4,"answer":6)"},
      {'O', R"("event":"run","service":"b","checksum":4,"answer":5)"},
      {'C', R"("event":"run","service":"a","checksum":9,"answer":5)"},
      {'a', R"("event":"result","result":"answered","answer":5)"},
      {'n', R"("event":"result","result":"not_run","answer":0)"},
      {'u', R"("event":"result","result":"unknown","answer":0)"}};
  LedgerCheck check;
  for (const char it : std::string_view(GetParam().Events))
    ASSERT_TRUE(check.addLine(R"({"id":"x",)" + lines.at(it) + "}"));
  const LedgerTotals totals = check.totals();
  EXPECT_EQ(totals.Requests, 1u);
  EXPECT_EQ(totals.Wrong, GetParam().Wrong);
  EXPECT_EQ(totals.Lost, GetParam().Lost);
  EXPECT_EQ(totals.Doubled, GetParam().Doubled);
  EXPECT_FALSE(check.addLine(R"({"event":"start","id":"x"})"));
  EXPECT_FALSE(check.addLine("{"));
}

INSTANTIATE_TEST_SUITE_P(
    Table, LedgerCheckTotalsTest,
    testing::Values(LedgerCase{"answered", "SRa", 0, 0, 0},
                    LedgerCase{"runReadBeforeStart", "RaS", 0, 0, 0},
                    LedgerCase{"refused", "Sn", 0, 0, 0},
                    LedgerCase{"unknownAndRun", "SRu", 0, 0, 0},
                    LedgerCase{"unknownAndNotRun", "Su", 0, 0, 0},
                    LedgerCase{"idempotentTwice", "sRRa", 0, 0, 0},
                    LedgerCase{"idempotentOtherAnswer", "srRa", 0, 0, 0},
                    LedgerCase{"twice", "SRRa", 0, 0, 1},
                    LedgerCase{"twiceUnknown", "SRRu", 0, 0, 1},
                    LedgerCase{"reportedNotRunButRun", "SRn", 0, 1, 0},
                    LedgerCase{"answeredButNotRun", "Sa", 0, 1, 0},
                    LedgerCase{"noResult", "SR", 0, 1, 0},
                    LedgerCase{"twoResults", "SRau", 0, 1, 0},
                    LedgerCase{"otherAnswer", "Sra", 1, 0, 0},
                    LedgerCase{"otherService", "SOa", 1, 0, 0},
                    LedgerCase{"otherBody", "SCa", 1, 0, 0}),
    [](const testing::TestParamInfo<LedgerCase> &info) {
      return std::string(info.param.Name);
    });

// Guards against a run that no caller requested and that the check does
// not report.
TEST(LedgerCheckTest, ReportsRunWithoutStart) {
  LedgerCheck check;
  check.addRun("y", {"a", 1, 2});
  EXPECT_EQ(check.totals().Wrong, 1u);
}

} // namespace
} // namespace pistachio
