#include "Routing/Routing.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

TableUpdate makeUpdate(std::uint64_t from, std::uint64_t to) {
  TableUpdate out;
  out.From = {from};
  out.To = {to};
  return out;
}

UpstreamRecord makeUpstream(std::uint32_t id, std::uint32_t service,
                            std::uint16_t dataCentre) {
  return {{id}, {service}, {dataCentre}, {id, 1}, {id}, UpstreamState::Active};
}

/// Applies revision 1: services 1 and 2 and upstreams 1 to 4, half of them in
/// data centre 2.
void fillTable(TableReplica &replica) {
  TableUpdate update = makeUpdate(0, 1);
  update.Services = {{{1}, "a", {1, 443}}, {{2}, "b", {2, 443}}};
  update.DataCentres = {{{1}, "x", false}, {{2}, "y", false}};
  update.Upstreams = {makeUpstream(1, 1, 1), makeUpstream(2, 1, 2),
                      makeUpstream(3, 2, 1), makeUpstream(4, 2, 2)};
  ASSERT_TRUE(replica.apply(update).value());
}

struct OrderCase {
  const char *Name;
  std::uint64_t From;
  std::uint64_t To;
  bool Reset;
  std::uint32_t Parts;
  absl::StatusCode Code;
  bool Applies;
};

class TableOrderTest : public testing::TestWithParam<OrderCase> {};

// Guards against a table that returns to an earlier revision or skips a change.
TEST_P(TableOrderTest, OnlyTheNextRevisionOrAResetApplies) {
  const OrderCase &it = GetParam();
  TableReplica replica;
  fillTable(replica);
  TableUpdate update = makeUpdate(it.From, it.To);
  update.Reset = it.Reset;
  update.Parts = it.Parts;
  const auto result = replica.apply(update);
  EXPECT_EQ(result.status().code(), it.Code);
  EXPECT_EQ(result.ok() && *result, it.Applies);
  EXPECT_EQ(replica.table()->revision().Value, it.Applies ? it.To : 1);
}

INSTANTIATE_TEST_SUITE_P(
    Table, TableOrderTest,
    testing::Values(
        OrderCase{"Next", 1, 2, false, 1, absl::StatusCode::kOk, true},
        OrderCase{"Old", 0, 1, false, 1, absl::StatusCode::kOk, false},
        OrderCase{"OldReset", 0, 1, true, 1, absl::StatusCode::kOk, false},
        OrderCase{"Gap", 2, 3, false, 1, absl::StatusCode::kFailedPrecondition,
                  false},
        OrderCase{"Reset", 0, 9, true, 1, absl::StatusCode::kOk, true},
        OrderCase{"FirstOfTwoParts", 1, 2, false, 2, absl::StatusCode::kOk,
                  false},
        OrderCase{"NoParts", 1, 2, false, 0, absl::StatusCode::kInvalidArgument,
                  false}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against applying an update before all its parts have arrived.
TEST(TableReplicaTest, PartsTakeEffectTogether) {
  TableReplica replica;
  fillTable(replica);
  TableUpdate update = makeUpdate(1, 2);
  update.Parts = 2;
  update.RemovedUpstreams = {{1}};
  EXPECT_FALSE(replica.apply(update).value());
  EXPECT_EQ(replica.table()->upstreamCount(), 4U);
  update.Part = 1;
  update.RemovedUpstreams = {{3}};
  EXPECT_TRUE(replica.apply(update).value());
  EXPECT_EQ(replica.table()->upstreamCount(), 2U);
}

// Guards against routing packets to a withdrawn data centre, and against losing
// its members while it is withdrawn. Also checks that unchanged services are
// shared.
TEST(TableReplicaTest, WithdrawnDataCentreReturns) {
  TableReplica replica;
  fillTable(replica);
  TableUpdate withdrawal = makeUpdate(1, 2);
  withdrawal.DataCentres = {{{2}, "y", true}};
  ASSERT_TRUE(replica.apply(withdrawal).value());
  const ServiceTablePtr withoutDataCentre = replica.table();
  EXPECT_EQ(withoutDataCentre->upstreamCount(), 2U);
  EXPECT_FALSE(withoutDataCentre->find({1})->find({2}));

  TableUpdate join = makeUpdate(2, 3);
  join.Upstreams = {makeUpstream(5, 1, 2), makeUpstream(6, 2, 1)};
  ASSERT_TRUE(replica.apply(join).value());
  EXPECT_EQ(replica.table()->find({1}), withoutDataCentre->find({1}));
  EXPECT_NE(replica.table()->find({2}), withoutDataCentre->find({2}));

  TableUpdate restoration = makeUpdate(3, 4);
  restoration.DataCentres = {{{2}, "y", false}};
  ASSERT_TRUE(replica.apply(restoration).value());
  EXPECT_EQ(replica.table()->upstreamCount(), 6U);
  EXPECT_TRUE(replica.table()->find({1})->find({5}));
}

// Guards against a service that can still be reached at its previous address.
TEST(TableReplicaTest, AddressesMoveBetweenServices) {
  TableReplica replica;
  fillTable(replica);
  TableUpdate update = makeUpdate(1, 2);
  update.Services = {{{1}, "a", {2, 443}}, {{2}, "b", {3, 443}}};
  ASSERT_TRUE(replica.apply(update).value());
  EXPECT_EQ(replica.table()->findByAddress({1, 443}), nullptr);
  EXPECT_EQ(replica.table()->findByAddress({2, 443})->id().Value, 1U);
  EXPECT_EQ(replica.table()->findByAddress({3, 443})->id().Value, 2U);
}

} // namespace
} // namespace pistachio
