#include "RelayTestSupport.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

class QueryBatcherTest : public testing::Test {
protected:
  void add(std::uint16_t caller, std::uint32_t agent,
           const std::string &service = "a") {
    Batcher.add({callerEndpoint(caller), RouteAddress},
                {agentEndpoint(agent), hashServiceName(service)});
  }

  TimePoint Now{Duration(1000000)};
  QueryBatcher Batcher{{.BytesPerSecond = 10'000, .BurstBytes = 600}};
};

// Guards against a search that waits although few queries are sent.
TEST_F(QueryBatcherTest, QueriesAreSentAtOnceWithinTheBurst) {
  for (std::uint32_t agent = 1; agent <= 8; ++agent)
    add(1, agent);
  EXPECT_EQ(Batcher.take(Now).size(), 8U);
  EXPECT_TRUE(Batcher.isEmpty());
}

// Guards against exceeding the rate limit, and against queries that are lost
// beyond it or sent twice.
TEST_F(QueryBatcherTest, WaitingQueriesOfAnAgentShareADatagram) {
  for (std::uint16_t caller = 1; caller <= 20; ++caller)
    for (std::uint32_t agent = 1; agent <= 30; ++agent)
      add(caller, agent);
  add(1, 1);
  add(1, 1, "b");
  std::size_t datagrams = 0;
  std::size_t queries = 0;
  std::size_t bytes = 0;
  for (int step = 0; step < 1000 && !Batcher.isEmpty(); ++step) {
    for (const QueryBatcher::Batch &it : Batcher.take(Now)) {
      ++datagrams;
      queries += it.Query.Flows.size();
      Bytes buf;
      EXPECT_TRUE(encodeData(it.Query, buf).ok());
      bytes += buf.size();
    }
    EXPECT_LE(bytes, 600U + 300U + static_cast<std::size_t>(step) * 100);
    Now += Duration(10);
  }
  EXPECT_TRUE(Batcher.isEmpty());
  EXPECT_EQ(queries, 20U * 30U + 1);
  EXPECT_EQ(datagrams, 31U);
}

// Guards against a query with more flows than a message carries.
TEST_F(QueryBatcherTest, DatagramsAreBounded) {
  Batcher = QueryBatcher();
  constexpr std::uint16_t Flows = 2 * MaxFlowsInQuery + 1;
  for (std::uint16_t caller = 1; caller <= Flows; ++caller)
    add(caller, 1);
  const auto batches = Batcher.take(Now);
  ASSERT_EQ(batches.size(), 3U);
  EXPECT_EQ(batches[0].Query.Flows.size(), MaxFlowsInQuery);
  EXPECT_EQ(batches[2].Query.Flows.size(), 1U);
}

} // namespace
} // namespace pistachio
