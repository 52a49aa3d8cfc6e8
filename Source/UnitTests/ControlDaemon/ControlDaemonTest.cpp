#include "ControlDaemon/ControlDaemon.h"
#include "Control/ControlScript.h"
#include "Runtime/RunUntil.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include <filesystem>
#include <thread>
#include <unistd.h>

namespace pistachio {
namespace {

constexpr const char *Secret = "operators-secret-for-tests";
constexpr Duration CallDeadline{8000};
/// Ends a test that would hang; nothing is asserted about time.
constexpr int MaxPolls = 600;
constexpr Duration PollInterval{50};

/// Ports below the range from which the system takes those of outgoing
/// connections; one of that range could be taken before it is bound again.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t PortCount = 10000;

Endpoint freeEndpoint(boost::asio::io_context &context) {
  static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 32;
  TcpHandlers handlers;
  handlers.OnOpen = handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
  for (int i = 0; i < PortCount; ++i) {
    const auto port =
        static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
    if (const auto server = listenTcp(context, {0x7F000001, port}, handlers);
        server.ok())
      return (*server)->endpoint();
  }
  throw std::runtime_error("no free port");
}

/// One control instance on a thread of its own.
class Instance {
public:
  explicit Instance(ControlSettings settings) : Settings(std::move(settings)) {}
  ~Instance() { stop(); }
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  absl::Status start(bool initialise) {
    Context = std::make_unique<boost::asio::io_context>(1);
    auto daemon = ControlDaemon::start(*Context, Settings, initialise);
    if (!daemon.ok())
      return daemon.status();
    Daemon = *std::move(daemon);
    Thread = std::thread([this] { Context->run(); });
    return absl::OkStatus();
  }

  /// As after SIGTERM.
  void stop() {
    if (!Thread.joinable())
      return;
    boost::asio::post(*Context, [this] { Daemon->stop(); });
    Thread.join();
    Outcome = Daemon->outcome();
    Daemon.reset();
    Context.reset();
  }

  ControlSettings Settings;
  absl::Status Outcome;

private:
  std::unique_ptr<boost::asio::io_context> Context;
  std::unique_ptr<ControlDaemon> Daemon;
  std::thread Thread;
};

/// A balancer and agent that talk to one control instance over TCP.
class NodeProbe {
public:
  explicit NodeProbe(const Endpoint &server) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId) {
      send(Subscribe{"balancer-1", "ee-north-a", addressOf(9), Table.At});
    };
    handlers.OnClose = [](ConnectionId) {};
    handlers.OnFrame = [this](ConnectionId, std::span<const std::byte> frame) {
      const auto message = decodeNode(frame);
      if (!message.ok())
        return;
      if (const auto *update = std::get_if<TableUpdate>(&*message))
        Table.receive(*update);
      else if (const auto *known = std::get_if<ControlInstances>(&*message))
        Client->setAdvertisedServers(known->Addresses);
      else if (const auto *grant = std::get_if<LeaseGrant>(&*message))
        onGrant(*grant);
      else if (const auto *reply = std::get_if<AnnounceReply>(&*message))
        Reply = *reply;
    };
    Client = connectTcp(Context, {server}, std::move(handlers));
  }

  void send(const NodeMessage &message) {
    Bytes buf;
    if (encodeNode(message, buf).ok())
      Client->send(buf);
  }

  /// Renews lease and announcement until the condition holds.
  bool waitFor(const std::function<bool()> &condition) {
    for (int i = 0; i < MaxPolls && !condition(); ++i) {
      send(LeaseRequest{"balancer-1", Table.At});
      send(Announce{"workshop-api", "ee-north-a", "zone-1", "machine-1",
                    addressOf(1), Incarnation{5}, 5, 17});
      Context.restart();
      Context.run_for(PollInterval);
    }
    return condition();
  }

  /// The lease is valid for the table that is in force.
  bool isLeased() const {
    return Grant.ValidMs > 0 && Grant.CommittedRevision == Table.At;
  }

  NodeTable Table;
  LeaseGrant Grant;
  AnnounceReply Reply;

private:
  void onGrant(const LeaseGrant &grant) {
    // The table comes before the grant that refers to it.
    EXPECT_LE(grant.CommittedRevision, Table.At);
    Grant = grant;
  }

  boost::asio::io_context Context;
  std::unique_ptr<TcpClient> Client;
};

class ControlDaemonTest : public testing::Test {
protected:
  void SetUp() override {
    Folder = std::filesystem::temp_directory_path() /
             ("pistachio-control-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
  }
  void TearDown() override {
    Instances.clear();
    std::filesystem::remove_all(Folder);
  }

  void makeInstances(std::size_t n) {
    boost::asio::io_context context;
    std::vector<MemberSettings> members;
    for (std::size_t i = 0; i < n; ++i)
      members.push_back(
          {"control-" + std::to_string(i), freeEndpoint(context)});
    for (std::size_t i = 0; i < n; ++i) {
      ControlSettings settings;
      settings.Name = members[i].Name;
      settings.DataCentre = "ee-north-a";
      settings.DataFolder = (Folder / settings.Name).string();
      settings.Nodes = freeEndpoint(context);
      settings.Peers = members[i].Address;
      settings.Admin = freeEndpoint(context);
      settings.Metrics = freeEndpoint(context);
      settings.Members = members;
      settings.Credentials = {{"operators", Secret}};
      Instances.push_back(std::make_unique<Instance>(std::move(settings)));
    }
  }

  std::unique_ptr<AdminClient> client(std::size_t i) const {
    return makeAdminClient({Instances[i]->Settings.Admin}, Secret,
                           CallDeadline);
  }

  ControlStatus waitForStatus(
      std::size_t i,
      const std::function<bool(const ControlStatus &)> &condition) const {
    const auto admin = client(i);
    for (int n = 0; n < MaxPolls; ++n) {
      if (const auto status = admin->readStatus();
          status.ok() && condition(*status))
        return *status;
      std::this_thread::sleep_for(PollInterval);
    }
    ADD_FAILURE() << "status of instance " << i << " not as expected";
    return {};
  }

  /// Resends until there is an answer, as pistachioctl does.
  absl::StatusOr<ApplyOutcome> apply(std::size_t i, const std::string &id,
                                     Revision expected,
                                     const std::string &rules) const {
    absl::StatusOr<ApplyOutcome> outcome;
    for (int n = 0; n < MaxPolls; ++n) {
      outcome = client(i)->apply({id, expected, "operators", "Maarja", rules});
      if (!absl::IsUnavailable(outcome.status()) &&
          !absl::IsDeadlineExceeded(outcome.status()))
        break;
      std::this_thread::sleep_for(PollInterval);
    }
    return outcome;
  }

  std::filesystem::path Folder;
  std::vector<std::unique_ptr<Instance>> Instances;
};

// Guards against a small site that cannot start, publish, grant leases or keep
// its rules across a restart, and against a folder that is initialised twice.
TEST_F(ControlDaemonTest, SingleInstance) {
  makeInstances(1);
  ASSERT_TRUE(Instances[0]->start(true).ok());
  const auto outcome = apply(0, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(outcome.ok()) << outcome.status();
  {
    NodeProbe node(Instances[0]->Settings.Nodes);
    EXPECT_TRUE(node.waitFor([&] {
      return node.isLeased() && node.Table.find(addressOf(1)) &&
             node.Reply.Result == AnnounceResult::Accepted &&
             node.Reply.Upstream;
    }));
    EXPECT_EQ(node.Table.Services.size(), 2U);
  }
  Instances[0]->stop();
  EXPECT_TRUE(Instances[0]->Outcome.ok()) << Instances[0]->Outcome;
  EXPECT_EQ(Instances[0]->start(true).code(),
            absl::StatusCode::kFailedPrecondition);
  ASSERT_TRUE(Instances[0]->start(false).ok());
  const auto again = apply(0, "op-1", Revision{}, BaseRules);
  ASSERT_TRUE(again.ok()) << again.status();
  EXPECT_TRUE(again->Repeated);
  EXPECT_EQ(again->RulesRevision, outcome->RulesRevision);
  EXPECT_EQ(client(0)->readRules()->Rules, BaseRules);
}

// Guards against a group that does not form, members that do not pass work on
// to the leader, and changes that are lost with the leader.
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

  NodeProbe node(Instances[2]->Settings.Nodes);
  const auto isServed = [&] {
    return node.isLeased() && node.Table.find(addressOf(1)) &&
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
  EXPECT_TRUE(node.waitFor(
      [&] { return isServed() && node.Table.At >= change->RulesRevision; }));

  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForStatus(0, [&](const ControlStatus &it) {
    return it.RulesRevision == change->RulesRevision;
  });
  EXPECT_EQ(client(0)->readRules()->Rules, second);
}

/// Instances that find each other by seeds. They share their ports and differ
/// in their addresses; instance 0 has the lowest one.
class SeededGroupTest : public ControlDaemonTest {
protected:
  static Endpoint at(std::size_t i, std::uint16_t port) {
    return {0x7F000002 + static_cast<std::uint32_t>(i), port};
  }

  /// The first \p relays instances have no disk.
  void makeSeeded(std::size_t n, std::size_t relays) {
    boost::asio::io_context context;
    const std::uint16_t peers = freeEndpoint(context).Port;
    const std::uint16_t nodes = freeEndpoint(context).Port;
    const std::uint16_t admin = freeEndpoint(context).Port;
    const std::uint16_t orders = freeEndpoint(context).Port;
    for (std::size_t i = 0; i < n; ++i) {
      ControlSettings settings;
      settings.Name = "control-" + std::to_string(i);
      settings.DataCentre = "ee-north-a";
      if (i >= relays)
        settings.DataFolder = (Folder / settings.Name).string();
      settings.Peers = at(i, peers);
      settings.Nodes = at(i, nodes);
      settings.Admin = at(i, admin);
      settings.OperatorApi = at(i, orders);
      settings.Credentials = {{"operators", Secret}};
      settings.DataCentres = {"ee-north-a", "ee-north-b"};
      for (std::size_t k = 0; k < std::min<std::size_t>(n, 3); ++k)
        settings.Seeds.push_back(at(k, peers));
      settings.FoundGroup = true;
      Instances.push_back(std::make_unique<Instance>(std::move(settings)));
    }
  }

  void startAll() {
    for (const auto &it : Instances)
      ASSERT_TRUE(it->start(false).ok());
  }

  /// All instances list \p voters voters and \p members members.
  void waitForGroup(std::size_t voters, std::size_t members) const {
    for (std::size_t i = 0; i < Instances.size(); ++i)
      waitForStatus(i, [&](const ControlStatus &it) {
        const auto n = std::count_if(it.Members.begin(), it.Members.end(),
                                     [](const auto &m) { return m.Voter; });
        return static_cast<std::size_t>(n) == voters &&
               it.Members.size() == members;
      });
  }
};

// Guards against two groups at the first start, and against none when the
// instance that decides has no disk.
TEST_F(SeededGroupTest, FormsOneGroup) {
  for (const std::size_t relays : {0, 1, 2}) {
    Instances.clear();
    makeSeeded(relays + 3, relays);
    startAll();
    waitForGroup(3, relays + 3);
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
  }
}

// Guards against relays that know only each other after a loss of power, and
// nodes that ask them in vain.
TEST_F(SeededGroupTest, RelaysAreFoundAgainWhenTheyAreTheOnlySeeds) {
  makeSeeded(6, 3);
  startAll();
  waitForGroup(3, 6);
  for (const auto &it : Instances)
    it->stop();
  for (const auto &it : Instances)
    it->Settings.FoundGroup = false;
  startAll();
  waitForGroup(3, 6);
  NodeProbe node(Instances[0]->Settings.Nodes);
  EXPECT_TRUE(node.waitFor([&] { return node.isLeased(); }));
}

// Guards against a metrics port that is in use and keeps a control instance of
// a deployment, with its operator's API and its nodes, from starting.
TEST_F(SeededGroupTest, StartsWithoutItsMetricsPort) {
  makeSeeded(1, 0);
  ControlSettings &settings = Instances[0]->Settings;
  settings.Metrics = settings.Nodes;
  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForGroup(1, 1);
}

// Guards against a lost disk that leaves the group one member short.
TEST_F(SeededGroupTest, MemberWithAnEmptyDiskIsReplaced) {
  makeSeeded(3, 0);
  startAll();
  waitForGroup(3, 3);
  Instances[0]->stop();
  std::filesystem::remove_all(Instances[0]->Settings.DataFolder);
  Instances[0]->Settings.FoundGroup = false;
  ASSERT_TRUE(Instances[0]->start(false).ok());
  waitForGroup(3, 3);
}

// Guards against nodes without a table while there is no leader, because their
// seeds have lost everything and do not say who has not.
TEST_F(SeededGroupTest, SeedWithoutMemoryNamesAMemberThatHasATable) {
  makeSeeded(4, 1);
  startAll();
  waitForGroup(3, 4);
  const auto hasTable = [](const NodeProbe &it) {
    return it.Table.DataCentres.size() == 2;
  };
  {
    NodeProbe node(Instances[1]->Settings.Nodes);
    ASSERT_TRUE(
        node.waitFor([&] { return hasTable(node) && node.isLeased(); }));
  }
  for (const auto &it : Instances)
    it->stop();
  // One voter of three elects nobody.
  for (const std::size_t i : {0, 1}) {
    Instances[i]->Settings.FoundGroup = false;
    Instances[i]->Settings.Seeds = {Instances[0]->Settings.Peers};
    ASSERT_TRUE(Instances[i]->start(false).ok());
  }
  NodeProbe node(Instances[0]->Settings.Nodes);
  EXPECT_TRUE(node.waitFor([&] { return hasTable(node); }));
  EXPECT_FALSE(node.isLeased());
}

/// An address at which only connections are counted.
class SilentPeer {
public:
  SilentPeer(
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

// Guards against votes that are lost because the connection for them is made
// only then: after a loss of power the first election of each member failed.
TEST_F(SeededGroupTest, RestartedMemberConnectsToTheOthersBeforeItsElection) {
  makeSeeded(3, 0);
  startAll();
  waitForGroup(3, 3);
  for (const auto &it : Instances)
    it->stop();
  boost::asio::io_context context(1);
  SilentPeer first(context, Instances[1]->Settings.Peers);
  SilentPeer second(context, Instances[2]->Settings.Peers);
  // Seeds are asked one after the other, the second one before any election.
  ControlSettings &settings = Instances[0]->Settings;
  settings.FoundGroup = false;
  settings.Seeds.clear();
  std::deque<SilentPeer> seeds;
  for (const std::size_t i : {10, 11, 12}) {
    settings.Seeds.push_back(at(i, settings.Peers.Port));
    seeds.emplace_back(context, settings.Seeds.back());
  }
  ASSERT_TRUE(Instances[0]->start(false).ok());
  ASSERT_TRUE(runUntil(context, [&] { return seeds[1].Opened > 0; }));
  EXPECT_EQ(first.Opened, 1);
  EXPECT_EQ(second.Opened, 1);
}

// Guards against an instance that has lost everything and answers the leader
// that has found it only now and then: it came back 0.9 s after the leader.
TEST_F(SeededGroupTest, InstanceWithoutMemoryAnswersTheLeaderAtOnce) {
  makeSeeded(1, 1);
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
  // The moment after a question to a seed is the one at which the answer to the
  // leader was held back.
  AppendRequest heartbeat;
  heartbeat.From = MemberId{5};
  heartbeat.Term = 1;
  Bytes append;
  ASSERT_TRUE(encodeConsensus(heartbeat, append).ok());
  std::deque<SilentPeer> seeds;
  int asked = 0;
  constexpr int Seeds = 10;
  for (std::size_t i = 10; i < 10 + Seeds; ++i) {
    settings.Seeds.push_back(at(i, settings.Peers.Port));
    seeds.emplace_back(context, settings.Seeds.back(), [&] {
      ++asked;
      leader->send(append);
    });
  }
  ASSERT_TRUE(Instances[0]->start(false).ok());
  ASSERT_TRUE(runUntil(context, [&] { return answers > 0 || asked == Seeds; }));
  EXPECT_GT(answers, 0);
}

} // namespace
} // namespace pistachio
