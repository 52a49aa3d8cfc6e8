#pragma once

#include "BalancerMetrics.h"
#include "ControlLink.h"
#include "PacketWorker.h"
#include "PeerLeaseQueries.h"

#include "Settings/Settings.h"

#include <memory>
#include <vector>

namespace pistachio {

/// Runs the control thread of a balancer, which keeps the table and the lease
/// current and passes both to the worker threads.
class BalancerDaemon {
public:
  BalancerDaemon(boost::asio::io_context &context, BalancerSettings settings);

  absl::Status start();

  /// Starts a planned stop. The health port is closed, so that the fabric
  /// selects other balancers, and packets are still forwarded for StopDelay.
  void beginStop();

private:
  absl::Status startWorkers();
  void onPeerReply(const PeerLeaseReply &reply);
  void publish();
  void runPeriodicTasks();
  void updateHealth(LeaseMode mode);
  void finish();

  boost::asio::io_context &Context;
  BalancerSettings Settings;
  std::unique_ptr<MetricsRegistry> Registry;
  BalancerMetrics Metrics;
  NodeLease Lease;
  PeerLeaseQueries Peers;
  std::vector<std::unique_ptr<PacketWorker>> Workers;
  std::unique_ptr<ControlLink> Control;
  std::unique_ptr<TcpServer> Health;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<PeriodicTimer> PeriodicTaskTimer;
  LeaseMode LastMode = LeaseMode::Starting;
  TimePoint LastRenewal{};
  TimePoint LastPeerQuery{};
  std::optional<TimePoint> StopRequestedAt;
};

} // namespace pistachio
