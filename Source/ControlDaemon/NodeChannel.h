#pragma once

#include "ControlDaemon/LeaderCalls.h"
#include "ControlDaemon/LeaseAuthority.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>

namespace pistachio {

struct NodeChannelOptions {
  /// Rate at which the token bucket of a connection is refilled, which limits
  /// the rate of sending the table to one node. The limit keeps many nodes that
  /// reconnect at the same time from overloading the control instance.
  std::uint64_t BytesPerSecond = 10 * 1024;
  /// Capacity of the token bucket: the number of bytes that may be sent at
  /// once. It covers the whole table of a small site.
  std::uint64_t BurstBytes = 256 * 1024;
};

/// Serves the connections of balancers and agents: pushes table updates, grants
/// leases and forwards announcements.
class NodeChannel {
public:
  NodeChannel(NodeChannelOptions options, const ReplicatedControl &control,
              LeaderCalls &calls, LeaseAuthority &leases)
      : Options(options), Control(control), Calls(calls), Leases(leases) {}

  absl::Status listen(boost::asio::io_context &context, const Endpoint &local);
  /// Must be called when the published revision has changed.
  void publish();
  /// Sets the known control instances, whose addresses are sent to all nodes.
  void setInstances(std::vector<Endpoint> instances);
  void tick(TimePoint now);
  void stop();

  std::size_t subscribers() const;
  std::uint64_t leasesGranted() const { return LeasesGranted; }
  std::uint64_t leasesRefused() const { return LeasesRefused; }
  /// Bytes of table updates that wait for the budgets of their connections.
  std::size_t queuedBytes() const;
  Endpoint endpoint() const { return Server->endpoint(); }

private:
  struct Connection {
    /// The subscription of a balancer, which is the first message that it
    /// sends.
    std::optional<Subscribe> Subscription;
    /// Revision of the node's table once all queued updates have arrived.
    Revision SentRevision;
    std::deque<Bytes> QueuedFrames;
    /// Fill level of the token bucket: bytes that may be sent now. Negative
    /// after an update that exceeded the budget.
    std::int64_t BudgetBytes = 0;
  };

  void onFrame(ConnectionId from, std::span<const std::byte> frame);
  void onMessage(ConnectionId from, const Subscribe &message);
  void onMessage(ConnectionId from, const LeaseRequest &message);
  void onMessage(ConnectionId from, const Announce &message);
  void onMessage(ConnectionId from, const TableQuery &message);
  /// Closes connections on which messages arrive that only control instances
  /// send.
  template <typename Other>
  void onMessage(ConnectionId from, const Other & /*message*/) {
    Server->close(from);
  }
  /// Sends the subscription to the leader again if the balancer is not
  /// registered. The leader may not have received the subscription, may have
  /// removed the balancer since, or the rules may have declared its data centre
  /// only afterwards.
  void resubscribeIfNeeded(const Connection &connection);
  void push(ConnectionId to, Connection &connection);
  void queueUpdates(Connection &connection);
  void reply(ConnectionId to, const NodeMessage &message);

  NodeChannelOptions Options;
  const ReplicatedControl &Control;
  LeaderCalls &Calls;
  LeaseAuthority &Leases;
  std::unique_ptr<TcpServer> Server;
  std::map<ConnectionId, Connection> Connections;
  std::vector<Endpoint> Instances;
  TimePoint LastTick{};
  std::uint64_t LeasesGranted = 0;
  std::uint64_t LeasesRefused = 0;
};

} // namespace pistachio
