#include "ControlDaemonHarness.h"

#include "Runtime/RunUntil.h"

namespace pistachio {
namespace {

// Guards against a single instance that cannot start, publish a table, grant
// leases or keep its rules across a restart, and against initialising a folder
// twice.
TEST_F(ControlDaemonTest, SingleInstance) {
  makeInstances(1);
  ASSERT_TRUE(Instances[0]->start(true).ok());
  const auto outcome = apply(0, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(outcome.ok()) << outcome.status();
  {
    NodeClient node(Instances[0]->Settings.Nodes);
    EXPECT_TRUE(node.waitFor([&] {
      return node.isLeased() && node.Table.find(upstreamAddress(1)) &&
             node.Reply.Result == AnnounceResult::Accepted &&
             node.Reply.Upstream;
    }));
    EXPECT_EQ(node.Table.Services.size(), 2U);
  }
  Instances[0]->stop();
  EXPECT_TRUE(Instances[0]->ExitStatus.ok()) << Instances[0]->ExitStatus;
  EXPECT_EQ(Instances[0]->start(true).code(),
            absl::StatusCode::kFailedPrecondition);
  ASSERT_TRUE(Instances[0]->start(false).ok());
  const auto again = apply(0, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(again.ok()) << again.status();
  EXPECT_TRUE(again->Repeated);
  EXPECT_EQ(again->RulesRevision, outcome->RulesRevision);
  EXPECT_EQ(client(0)->readRules()->Rules, BaseRules);
}

// Guards against a group that does not form, members that do not forward
// requests to the leader, and changes that are lost together with the leader.
TEST_F(ControlDaemonTest, GroupOfThreeLosesItsLeader) {
  makeInstances(3);
  ASSERT_TRUE(Instances[0]->start(true).ok());
  ASSERT_TRUE(Instances[1]->start(false).ok());
  ASSERT_TRUE(Instances[2]->start(false).ok());
  const auto hasThreeVoters = [](const ControlStatus &it) {
    return std::count_if(it.Members.begin(), it.Members.end(),
                         [](const MemberStatus &m) { return m.Voter; }) == 3;
  };
  for (std::size_t i = 0; i < 3; ++i)
    waitForStatus(i, hasThreeVoters);
  const auto first = apply(1, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(first.ok()) << first.status();

  NodeClient node(Instances[2]->Settings.Nodes);
  const auto isServed = [&] {
    return node.isLeased() && node.Table.find(upstreamAddress(1)) &&
           node.Table.Balancers.contains("balancer-1");
  };
  EXPECT_TRUE(node.waitFor(isServed));
  EXPECT_EQ(client(2)->readRules()->Rules, BaseRules);

  Instances[0]->stop();
  const std::string second = BaseRules + "out ee-north-b # asked by Tiina\n";
  const auto change = apply(1, "op-2", first->RulesRevision, second);
  ASSERT_TRUE(change.ok()) << change.status();
  const auto resent = apply(2, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(resent.ok()) << resent.status();
  EXPECT_EQ(resent->RulesRevision, first->RulesRevision);
  EXPECT_TRUE(node.waitFor([&] {
    return isServed() && node.Table.AppliedRevision >= change->RulesRevision;
  }));

  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForStatus(0, [&](const ControlStatus &it) {
    return it.RulesRevision == change->RulesRevision;
  });
  EXPECT_EQ(client(0)->readRules()->Rules, second);
}

// Guards against the creation of two groups at the first start, and of none if
// the instance at the lowest seed address has no data folder.
TEST_F(SeededGroupTest, FormsOneGroup) {
  for (const std::size_t relays : {0, 1, 2}) {
    Instances.clear();
    makeSeededInstances(relays + 3, relays);
    startAll();
    waitForGroup(3, relays + 3);
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
  }
}

// Guards against relays that are the only seeds and know only each other after
// a power failure, so that nodes cannot reach the group through them.
TEST_F(SeededGroupTest, RelaysAreFoundAgainWhenTheyAreTheOnlySeeds) {
  makeSeededInstances(6, 3);
  startAll();
  waitForGroup(3, 6);
  for (const auto &it : Instances)
    it->stop();
  for (const auto &it : Instances)
    it->Settings.FoundGroup = false;
  startAll();
  waitForGroup(3, 6);
  NodeClient node(Instances[0]->Settings.Nodes);
  EXPECT_TRUE(node.waitFor([&] { return node.isLeased(); }));
}

// Guards against a control instance of a deployment that does not start, and
// thus does not serve the operator's API and its nodes, because its metrics
// port is in use.
TEST_F(SeededGroupTest, StartsWithoutItsMetricsPort) {
  makeSeededInstances(1, 0);
  ControlSettings &settings = Instances[0]->Settings;
  settings.Metrics = settings.Nodes;
  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForGroup(1, 1);
}

// Guards against a group that stays one member short after a member has lost
// its disk.
TEST_F(SeededGroupTest, MemberWithAnEmptyDiskIsReplaced) {
  makeSeededInstances(3, 0);
  startAll();
  waitForGroup(3, 3);
  Instances[0]->stop();
  std::filesystem::remove_all(Instances[0]->Settings.DataFolder);
  Instances[0]->Settings.FoundGroup = false;
  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForGroup(3, 3);
}

// Guards against nodes that have no table while there is no leader, because the
// seeds have lost their state and do not refer them to an instance that has a
// table.
TEST_F(SeededGroupTest, SeedThatLostItsStateNamesAMemberWithATable) {
  makeSeededInstances(4, 1);
  startAll();
  waitForGroup(3, 4);
  const auto hasTable = [](const NodeClient &it) {
    return it.Table.DataCentres.size() == 2;
  };
  {
    NodeClient node(Instances[1]->Settings.Nodes);
    ASSERT_TRUE(
        node.waitFor([&] { return hasTable(node) && node.isLeased(); }));
  }
  for (const auto &it : Instances)
    it->stop();
  // One of three voters cannot elect a leader.
  for (const std::size_t i : {0, 1}) {
    Instances[i]->Settings.FoundGroup = false;
    Instances[i]->Settings.Seeds = {Instances[0]->Settings.Peers};
    ASSERT_TRUE(Instances[i]->start(false).ok());
  }
  NodeClient node(Instances[0]->Settings.Nodes);
  EXPECT_TRUE(node.waitFor([&] { return hasTable(node); }));
  EXPECT_FALSE(node.isLeased());
}

// Guards against the fault of review/3: an instance that has just started
// publishes the state of its disk, and nothing tells a balancer that later
// revisions have been committed.
TEST_F(SeededGroupTest, ConfirmsTablesOnlyWhileThereIsALeader) {
  makeSeededInstances(3, 0);
  startAll();
  waitForGroup(3, 3);
  std::uint32_t query = 0;
  const auto isConfirmed = [&](NodeClient &node) {
    node.send(TableQuery{++query});
    return node.Confirmation.Query > 0 &&
           node.Confirmation.CommittedRevision == node.Table.AppliedRevision;
  };
  for (const auto &it : Instances) {
    NodeClient node(it->Settings.Nodes);
    EXPECT_TRUE(node.waitFor([&] { return isConfirmed(node); }));
  }
  for (const auto &it : Instances)
    it->stop();
  // One of three voters cannot elect a leader.
  Instances[0]->Settings.FoundGroup = false;
  Instances[0]->Settings.Seeds = {Instances[0]->Settings.Peers};
  ASSERT_TRUE(Instances[0]->start(false).ok());
  NodeClient node(Instances[0]->Settings.Nodes);
  int answers = 0;
  EXPECT_TRUE(node.waitFor([&] {
    node.send(TableQuery{++query});
    answers += node.Table.DataCentres.size() == 2 ? 1 : 0;
    return answers >= 20;
  }));
  EXPECT_EQ(node.Confirmation.Query, 0U);
}

/// Accepts connections at an address and counts them.
class ConnectionCounter {
public:
  ConnectionCounter(
      boost::asio::io_context &context, const Endpoint &local,
      std::function<void()> onOpen = [] {}) {
    TcpHandlers handlers;
    handlers.OnOpen = [this, onOpen = std::move(onOpen)](ConnectionId) {
      ++Opened;
      onOpen();
    };
    handlers.OnClose = [](ConnectionId) {};
    handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
    auto server = listenTcp(context, local, std::move(handlers));
    if (!server.ok())
      throw std::runtime_error(server.status().ToString());
    Server = *std::move(server);
  }

  int Opened = 0;

private:
  std::unique_ptr<TcpServer> Server;
};

// Guards against vote requests that are lost because connections are only
// opened when they are sent. After a power failure this made the first election
// of each member fail.
TEST_F(SeededGroupTest, RestartedMemberConnectsToTheOthersBeforeItsElection) {
  makeSeededInstances(3, 0);
  startAll();
  waitForGroup(3, 3);
  for (const auto &it : Instances)
    it->stop();
  boost::asio::io_context context(1);
  ConnectionCounter first(context, Instances[1]->Settings.Peers);
  ConnectionCounter second(context, Instances[2]->Settings.Peers);
  // Seeds are contacted one after the other, and the second one before any
  // election starts.
  ControlSettings &settings = Instances[0]->Settings;
  settings.FoundGroup = false;
  settings.Seeds.clear();
  std::deque<ConnectionCounter> seeds;
  for (const std::size_t i : {10, 11, 12}) {
    settings.Seeds.push_back(endpointOf(i, settings.Peers.Port));
    seeds.emplace_back(context, settings.Seeds.back());
  }
  ASSERT_TRUE(Instances[0]->start(false).ok());
  ASSERT_TRUE(runUntil(context, [&] { return seeds[1].Opened > 0; }));
  EXPECT_EQ(first.Opened, 1);
  EXPECT_EQ(second.Opened, 1);
}

// Guards against an instance that has lost its state and delays its join
// request to the leader that has contacted it, because requests to seeds use up
// a shared rate limit. This delayed its return by 0.9 s.
TEST_F(SeededGroupTest, InstanceThatLostItsStateAnswersTheLeaderAtOnce) {
  makeSeededInstances(1, 1);
  boost::asio::io_context context(1);
  ControlSettings &settings = Instances[0]->Settings;
  settings.FoundGroup = false;
  settings.Seeds.clear();
  int answers = 0;
  TcpHandlers handlers;
  handlers.OnOpen = handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [&](ConnectionId, std::span<const std::byte> frame) {
    const auto message = decodeConsensus(frame);
    answers += message.ok() && std::holds_alternative<JoinRequest>(*message);
  };
  const auto leader = connectTcp(context, {settings.Peers}, handlers);
  // The heartbeat is sent immediately after a join request to a seed, when a
  // shared rate limit would delay the join request to the leader.
  AppendRequest heartbeat;
  heartbeat.From = MemberId{5};
  heartbeat.Term = 1;
  Bytes append;
  ASSERT_TRUE(encodeConsensus(heartbeat, append).ok());
  std::deque<ConnectionCounter> seeds;
  int contactedSeeds = 0;
  constexpr int Seeds = 10;
  for (std::size_t i = 10; i < 10 + Seeds; ++i) {
    settings.Seeds.push_back(endpointOf(i, settings.Peers.Port));
    seeds.emplace_back(context, settings.Seeds.back(), [&] {
      ++contactedSeeds;
      leader->send(append);
    });
  }
  ASSERT_TRUE(Instances[0]->start(false).ok());
  ASSERT_TRUE(runUntil(context,
                       [&] { return answers > 0 || contactedSeeds == Seeds; }));
  EXPECT_GT(answers, 0);
}

} // namespace
} // namespace pistachio
