#pragma once

#include "ControlDaemon/ControlBackend.h"
#include "ControlDaemon/GroupMembership.h"
#include "ControlDaemon/NodeChannel.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>
#include <optional>

namespace pistachio {

/// Wires the parts of one control instance together. Everything runs on the one
/// thread of the context.
class ControlDaemon {
public:
  using OperatorApiFactory = std::function<HttpHandler(RoutingAdmin &)>;

  /// \p initialise makes a group of one; FailedPrecondition if the data folder
  /// already belongs to a group.
  /// \p operatorApi serves the orders of operators' systems at the address that
  /// the settings name for it.
  static absl::StatusOr<std::unique_ptr<ControlDaemon>>
  start(boost::asio::io_context &context, ControlSettings settings,
        bool initialise, const OperatorApiFactory &operatorApi = {});
  ~ControlDaemon();

  /// The seeds changed.
  void reload(const ControlSettings &settings);
  /// Takes no more work, waits for changes in progress and stops the context.
  void stop();
  /// Why the daemon stopped; OK after stop().
  const absl::Status &exitStatus() const { return ExitStatus; }

  const ReplicatedControl &control() const { return *Control; }

private:
  struct Metrics;

  ControlDaemon(boost::asio::io_context &context, ControlSettings settings);

  absl::Status open(bool initialise);
  absl::Status listen(const OperatorApiFactory &operatorApi);
  void declareDataCentres(TimePoint now);
  void advertiseAddress(TimePoint now);
  void updateKnownInstances();
  ReplicatedControl::Hooks hooks();
  PeerLinks::Handlers peerHandlers();
  void onConsensus(const ConsensusMessage &message);
  void tick();
  void sendJoinRequest(TimePoint now);
  void updateMembers();
  void confirmLeader(TimePoint now);
  void logRoleChange();
  void fail(absl::Status reason);
  void finishStop(TimePoint now);

  boost::asio::io_context &Context;
  ControlSettings Settings;
  absl::Status ExitStatus;
  std::unique_ptr<LogStorage> Storage;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<ReplicatedControl> Control;
  std::unique_ptr<GroupMembership> Membership;
  std::unique_ptr<LeaderCalls> Calls;
  LeaseAuthority Leases;
  std::unique_ptr<NodeChannel> Nodes;
  std::unique_ptr<ControlBackend> Backend;
  std::unique_ptr<AdminServer> Admin;
  std::unique_ptr<HttpServer> OperatorServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<Metrics> DaemonMetrics;
  std::unique_ptr<PeriodicTimer> Timer;
  std::optional<TimePoint> StopDeadline;
  TimePoint LastJoinRequest{};
  TimePoint LastJoinRequestToLeader{};
  TimePoint LastLeaderQuery{};
  TimePoint LastDeclaration{};
  TimePoint LastAdvertisement{};
  Role LastRole = Role::Follower;
  std::vector<Member> LastMembers;
};

} // namespace pistachio
