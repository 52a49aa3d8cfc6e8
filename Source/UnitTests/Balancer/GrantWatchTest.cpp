#include "GrantWatch.h"

#include <gtest/gtest.h>

#include <vector>

namespace pistachio {
namespace {

enum class Arrival { Part, Table, Grant, Refusal };

struct GrantCase {
  const char *Name;
  Duration ConnectTime;
  /// Times since the connection was opened.
  std::vector<std::pair<Duration, Arrival>> Arrivals;
  Duration KeptAt;
  Duration LeftAt;
};

class GrantWatchTest : public testing::TestWithParam<GrantCase> {};

TEST_P(GrantWatchTest, LeavesAnInstanceWithoutGrants) {
  const GrantCase &row = GetParam();
  const TimePoint start{Duration(5000)};
  GrantWatch watch;
  watch.onOpen(start, row.ConnectTime);
  for (const auto &[time, arrival] : row.Arrivals) {
    const TimePoint now = start + time;
    if (arrival == Arrival::Part || arrival == Arrival::Table)
      watch.onTablePart(now, arrival == Arrival::Table);
    else
      watch.onReply(now, arrival == Arrival::Grant);
  }
  EXPECT_FALSE(watch.isOverdue(start + row.KeptAt));
  EXPECT_TRUE(watch.isOverdue(start + row.LeftAt));
}

std::vector<std::pair<Duration, Arrival>> partsOfASlowTable() {
  std::vector<std::pair<Duration, Arrival>> parts;
  for (int i = 1; i <= 8; ++i)
    parts.emplace_back(500 * i, Arrival::Part);
  return parts;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, GrantWatchTest,
    testing::Values(
        // Guards against a balancer that stays with an instance that stands
        // still or is cut off from the leader.
        GrantCase{"Silent", Duration(1), {}, Duration(800), Duration(803)},
        GrantCase{"CutOffFromTheLeader",
                  Duration(500),
                  {{Duration(600), Arrival::Refusal}},
                  Duration(800),
                  Duration(801)},
        GrantCase{"NoMoreGrants",
                  Duration(500),
                  {{Duration(1000), Arrival::Grant}},
                  Duration(1800),
                  Duration(1801)},
        GrantCase{"UpdatesWithoutGrants",
                  Duration(1),
                  {{Duration(300), Arrival::Table},
                   {Duration(700), Arrival::Part},
                   {Duration(1100), Arrival::Table}},
                  Duration(1100),
                  Duration(1101)},
        // Guards against a balancer on a congested link that leaves every
        // instance before its first reply can arrive.
        GrantCase{
            "SlowHandshake", Duration(500), {}, Duration(1800), Duration(1801)},
        GrantCase{"VerySlowHandshake",
                  Duration(2500),
                  {},
                  Duration(2000),
                  Duration(2001)},
        // Guards against a first table that is requested from one instance
        // after the other, because the grant comes after it.
        GrantCase{"SlowTable", Duration(1), partsOfASlowTable(), Duration(4800),
                  Duration(4801)}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace pistachio
