#pragma once

#include "ControlDaemon/ControlDaemon.h"

#include "Control/ControlStateHarness.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

namespace pistachio {

inline constexpr const char *Secret = "operators-secret-for-tests";
inline constexpr Duration CallDeadline{8000};
/// Limits the duration of a test that would otherwise hang. No test checks how
/// long an operation takes.
inline constexpr int MaxPolls = 600;
inline constexpr Duration PollInterval{50};

/// Ports below the range that the system uses for outgoing connections. A port
/// of that range could be taken by another connection before the test binds it
/// again.
inline constexpr std::uint16_t FirstPort = 20000;
inline constexpr std::uint16_t PortCount = 10000;

inline Endpoint freeEndpoint(boost::asio::io_context &context) {
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

/// Runs one control instance on its own thread.
class Instance {
public:
  explicit Instance(ControlSettings settings) : Settings(std::move(settings)) {}
  ~Instance() { stop(); }
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  absl::Status start(bool initialise) {
    Context = std::make_unique<boost::asio::io_context>(1);
    auto daemon =
        ControlDaemon::start(*Context, Settings, initialise, OperatorApi);
    if (!daemon.ok())
      return daemon.status();
    Daemon = *std::move(daemon);
    Thread = std::thread([this] { Context->run(); });
    return absl::OkStatus();
  }

  /// Stops the instance in the same way as SIGTERM does.
  void stop() {
    if (!Thread.joinable())
      return;
    boost::asio::post(*Context, [this] { Daemon->stop(); });
    Thread.join();
    ExitStatus = Daemon->exitStatus();
    Daemon.reset();
    Context.reset();
  }

  /// The instance handles nothing for \p time, like a process that is stopped.
  /// Returns when the pause has begun.
  void freeze(Duration time) {
    std::promise<void> begun;
    boost::asio::post(*Context, [time, &begun] {
      begun.set_value();
      std::this_thread::sleep_for(time);
    });
    begun.get_future().wait();
  }

  ControlSettings Settings;
  ControlDaemon::OperatorApiFactory OperatorApi;
  absl::Status ExitStatus;

private:
  std::unique_ptr<boost::asio::io_context> Context;
  std::unique_ptr<ControlDaemon> Daemon;
  std::thread Thread;
};

/// Acts as a balancer and as an agent that are connected to one control
/// instance over TCP.
class NodeClient {
public:
  explicit NodeClient(const Endpoint &server) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId) {
      send(Subscribe{"balancer-1", "ee-north-a", upstreamAddress(9),
                     Table.AppliedRevision});
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
      else if (const auto *confirmed =
                   std::get_if<TableConfirmation>(&*message))
        Confirmation = *confirmed;
    };
    Client = connectTcp(Context, {server}, std::move(handlers));
  }

  void send(const NodeMessage &message) {
    Bytes buf;
    if (encodeNode(message, buf).ok())
      Client->send(buf);
  }

  /// Repeats the lease request and the announcement until \p condition holds.
  /// Returns false if it does not hold in time.
  bool waitFor(const std::function<bool()> &condition) {
    for (int i = 0; i < MaxPolls && !condition(); ++i) {
      send(LeaseRequest{"balancer-1", Table.AppliedRevision});
      send(Announce{"workshop-api", "ee-north-a", "zone-1", "machine-1",
                    upstreamAddress(1), Incarnation{5}, 5, 17});
      Context.restart();
      Context.run_for(PollInterval);
    }
    return condition();
  }

  /// True if the lease is valid for the current table.
  bool isLeased() const {
    return Grant.ValidMs > 0 &&
           Grant.CommittedRevision == Table.AppliedRevision;
  }

  NodeTable Table;
  LeaseGrant Grant;
  AnnounceReply Reply;
  TableConfirmation Confirmation;

private:
  void onGrant(const LeaseGrant &grant) {
    // The table must arrive before the grant that refers to it.
    EXPECT_LE(grant.CommittedRevision, Table.AppliedRevision);
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
    ADD_FAILURE() << "status of instance " << i
                  << " was not as expected in time";
    return {};
  }

  /// Repeats the request until it is answered, as pistachioctl does.
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

/// Instances that find each other by seeds. They use the same ports at
/// different addresses; instance 0 has the lowest address.
class SeededGroupTest : public ControlDaemonTest {
protected:
  static Endpoint endpointOf(std::size_t i, std::uint16_t port) {
    return {0x7F000002 + static_cast<std::uint32_t>(i), port};
  }

  /// Creates \p n instances. The first \p relays of them have no data folder.
  void makeSeededInstances(std::size_t n, std::size_t relays) {
    boost::asio::io_context context;
    const std::uint16_t peers = freeEndpoint(context).Port;
    const std::uint16_t nodes = freeEndpoint(context).Port;
    const std::uint16_t admin = freeEndpoint(context).Port;
    const std::uint16_t operatorApi = freeEndpoint(context).Port;
    for (std::size_t i = 0; i < n; ++i) {
      ControlSettings settings;
      settings.Name = "control-" + std::to_string(i);
      settings.DataCentre = "ee-north-a";
      if (i >= relays)
        settings.DataFolder = (Folder / settings.Name).string();
      settings.Peers = endpointOf(i, peers);
      settings.Nodes = endpointOf(i, nodes);
      settings.Admin = endpointOf(i, admin);
      settings.OperatorApi = endpointOf(i, operatorApi);
      settings.Credentials = {{"operators", Secret}};
      settings.DataCentres = {"ee-north-a", "ee-north-b"};
      for (std::size_t k = 0; k < std::min<std::size_t>(n, 3); ++k)
        settings.Seeds.push_back(endpointOf(k, peers));
      settings.FoundGroup = true;
      Instances.push_back(std::make_unique<Instance>(std::move(settings)));
    }
  }

  void startAll() {
    for (const auto &it : Instances)
      ASSERT_TRUE(it->start(false).ok());
  }

  /// Waits until every instance reports \p voters voters and \p members
  /// members.
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

} // namespace pistachio
