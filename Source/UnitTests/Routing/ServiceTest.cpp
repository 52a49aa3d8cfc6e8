#include "Routing/Routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace pistachio {
namespace {

std::vector<ServiceMember> makeMembers(std::uint32_t count) {
  std::vector<ServiceMember> out;
  for (std::uint32_t n = 1; n <= count; ++n)
    out.push_back({{n}, {n}, {n, 1}, CandidateState::Accepting});
  return out;
}

Service makeService(std::vector<ServiceMember> members) {
  return Service({1}, "s", {1, 1}, std::move(members));
}

/// Returns the ids in the order of the ranking, read in steps of \p step ranks.
std::vector<std::uint32_t> ranking(const Service &service, std::uint16_t bucket,
                                   std::size_t step = MaxChainEntries) {
  std::vector<std::uint32_t> out;
  std::vector<std::uint16_t> part(step);
  while (const std::size_t count =
             service.readRanking(bucket, out.size(), part)) {
    for (std::size_t n = 0; n < count; ++n)
      out.push_back(service.members()[part[n]].Id.Value);
  }
  return out;
}

class ServiceTest : public testing::TestWithParam<std::uint32_t> {};

// Guards against a ranking that depends on the step size in which it is read,
// or that contains a member twice or not at all.
TEST_P(ServiceTest, RankingIsCompleteForAnyStepSize) {
  const Service service = makeService(makeMembers(GetParam()));
  for (std::uint16_t bucket = 0; bucket < BucketCount; bucket += 97) {
    std::vector<std::uint32_t> all = ranking(service, bucket);
    EXPECT_EQ(all, ranking(service, bucket, 1));
    EXPECT_EQ(all, ranking(service, bucket, 7));
    std::ranges::sort(all);
    ASSERT_EQ(all.size(), GetParam());
    EXPECT_TRUE(std::ranges::adjacent_find(all) == all.end());
  }
}

// Guards against open flows that are lost after a change: when a member joins
// or leaves, the order of the others must not change. Also checks that
// incrementally updated chains equal newly computed ones.
TEST_P(ServiceTest, ChangesKeepTheOrderOfOthers) {
  std::mt19937_64 random(GetParam());
  std::vector<ServiceMember> members = makeMembers(GetParam());
  auto current = std::make_unique<Service>(makeService(members));
  for (int round = 0; round < 12; ++round) {
    const auto id = static_cast<std::uint32_t>(1000 + round);
    ServiceMember &changed = members[random() % members.size()];
    if (round % 3 == 0)
      changed.State = changed.State == CandidateState::Suspect
                          ? CandidateState::Accepting
                          : CandidateState::Suspect;
    else if (round % 3 == 1)
      members.push_back({{id}, {id}, {id, 1}, CandidateState::Accepting});
    else if (members.size() > 1)
      members.erase(members.begin() + (&changed - members.data()));
    auto next = std::make_unique<Service>(*current, "s", Endpoint{1, 1},
                                          members, Revision{1});
    const Service fresh = makeService(members);
    for (std::uint16_t bucket = 0; bucket < BucketCount; bucket += 61) {
      const auto after = ranking(*next, bucket);
      ASSERT_EQ(after, ranking(fresh, bucket)) << "round " << round;
      if (round % 3 == 0)
        continue;
      std::vector<std::uint32_t> before = ranking(*current, bucket);
      std::vector<std::uint32_t> common;
      std::ranges::copy_if(after, std::back_inserter(common), [&](auto it) {
        return std::ranges::find(before, it) != before.end();
      });
      std::erase_if(before, [&](auto it) {
        return std::ranges::find(after, it) == after.end();
      });
      ASSERT_EQ(common, before);
    }
    current = std::move(next);
  }
}

// Guards against an uneven distribution of buckets. The buckets of one member
// vary by about the square root of their mean; a deviation of six times that
// does not occur by chance.
TEST_P(ServiceTest, BucketsAreSpreadEvenly) {
  const Service service = makeService(makeMembers(GetParam()));
  std::vector<double> share(GetParam());
  for (std::size_t n = 0; n < BucketCount; ++n) {
    std::array<std::uint16_t, 1> top{};
    service.readRanking(static_cast<std::uint16_t>(n), 0, top);
    ++share[top[0]];
  }
  const double mean = static_cast<double>(BucketCount) / GetParam();
  for (const double it : share)
    EXPECT_NEAR(it, mean, 6 * std::sqrt(mean));
}

INSTANTIATE_TEST_SUITE_P(Members, ServiceTest,
                         testing::Values(1, 2, 3, 7, 31, 32, 33, 100));

} // namespace
} // namespace pistachio
