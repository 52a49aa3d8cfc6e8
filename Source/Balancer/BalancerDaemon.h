#pragma once

#include "BalancerMetrics.h"
#include "ControlLink.h"
#include "PacketWorker.h"
#include "PeerLeases.h"

#include "Settings/Settings.h"

#include <memory>
#include <vector>

namespace pistachio {

/// The control thread of a balancer: follows table and lease, and hands both to
/// the workers.
class BalancerDaemon {
public:
  BalancerDaemon(boost::asio::io_context &context, BalancerSettings settings);

  absl::Status start();

  /// Planned stop: the health port closes, so that the fabric turns to other
  /// balancers, and packets are still carried for a while.
  void beginStop();

private:
  absl::Status startWorkers();
  void onPeerAnswer(const PeerLeaseReply &answer);
  void publish();
  void step();
  void updateHealth(LeaseMode mode);
  void finish();

  boost::asio::io_context &Context;
  BalancerSettings Settings;
  std::unique_ptr<MetricsRegistry> Registry;
  BalancerMetrics Metrics;
  NodeLease Lease;
  PeerLeases Peers;
  std::vector<std::unique_ptr<PacketWorker>> Workers;
  std::unique_ptr<ControlLink> Control;
  std::unique_ptr<TcpServer> Health;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<PeriodicTimer> StepTimer;
  LeaseMode LastMode = LeaseMode::Starting;
  TimePoint LastRenewal{};
  TimePoint LastPeerQuery{};
  std::optional<TimePoint> StopBegan;
};

} // namespace pistachio
