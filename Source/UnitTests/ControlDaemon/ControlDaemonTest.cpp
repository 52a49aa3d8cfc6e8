#include "ControlDaemon/ControlDaemon.h"
#include "Control/ControlScript.h"

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

Endpoint freeEndpoint(boost::asio::io_context &context) {
  TcpHandlers handlers;
  handlers.OnOpen = handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
  return (*listenTcp(context, {0x7F000001, 0}, handlers))->endpoint();
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
      else if (const auto *grant = std::get_if<LeaseGrant>(&*message))
        Grant = *grant;
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

  NodeTable Table;
  LeaseGrant Grant;
  AnnounceReply Reply;

private:
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
      return node.Grant.ValidMs > 0 && node.Table.find(addressOf(1)) &&
             node.Reply.Result == AnnounceResult::Accepted &&
             node.Reply.Upstream;
    }));
    EXPECT_EQ(node.Grant.Committed, node.Table.At);
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
    return node.Grant.ValidMs > 0 && node.Table.find(addressOf(1)) &&
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

} // namespace
} // namespace pistachio
