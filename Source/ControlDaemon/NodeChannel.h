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
  /// Pace of the table towards one node, in bytes per second, so that many
  /// nodes that return together do not starve the control instance.
  std::uint64_t BytesPerSecond = 10 * 1024;
  /// Sent without a pause; covers the whole table of a small site.
  std::uint64_t BurstBytes = 256 * 1024;
};

/// The channel to balancers and agents: pushes the table, grants leases and
/// passes announcements on.
class NodeChannel {
public:
  NodeChannel(NodeChannelOptions options, const ReplicatedControl &control,
              LeaderCalls &calls, LeaseAuthority &leases)
      : Options(options), Control(control), Calls(calls), Leases(leases) {}

  absl::Status listen(boost::asio::io_context &context, const Endpoint &local);
  /// The published revision changed.
  void publish();
  /// Where nodes reach the control instances that are known here.
  void setInstances(std::vector<Endpoint> instances);
  void tick(TimePoint now);
  void stop();

  std::size_t subscribers() const;
  std::uint64_t leasesGranted() const { return LeasesGranted; }
  std::uint64_t leasesRefused() const { return LeasesRefused; }
  Endpoint endpoint() const { return Server->endpoint(); }

private:
  struct Connection {
    /// The first message of a balancer.
    std::optional<Subscribe> Subscription;
    /// Revision that the node has once everything queued has arrived.
    Revision SentRevision;
    std::deque<Bytes> QueuedFrames;
    /// Bytes that may be sent now; below 0 after a part that was larger.
    std::int64_t BudgetBytes = 0;
  };

  void onFrame(ConnectionId from, std::span<const std::byte> frame);
  void onMessage(ConnectionId from, const Subscribe &message);
  void onMessage(ConnectionId from, const LeaseRequest &message);
  void onMessage(ConnectionId from, const Announce &message);
  /// Kinds that only control sends.
  template <typename Other>
  void onMessage(ConnectionId from, const Other & /*message*/) {
    Server->close(from);
  }
  /// The leader may not have got the subscription, may have removed the
  /// balancer since, or its data centre may have come into the rules only now.
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
