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
#include <span>

namespace pistachio {

/// Creates and connects the components of one control instance. Everything runs
/// on the single thread of the context.
class ControlDaemon {
public:
  using OperatorApiFactory = std::function<HttpHandler(RoutingAdmin &)>;

  /// Starts a control instance. With \p initialise it creates a group whose
  /// only member is this instance; FailedPrecondition if the data folder
  /// already belongs to a group. \p operatorApi creates the handler of the
  /// operator's API, which is served at the address in the settings.
  static absl::StatusOr<std::unique_ptr<ControlDaemon>>
  start(boost::asio::io_context &context, ControlSettings settings,
        bool initialise, const OperatorApiFactory &operatorApi = {});
  ~ControlDaemon();

  /// Applies the seeds of \p settings; other settings require a restart.
  void reload(const ControlSettings &settings);
  /// Waits for changes in progress, up to a time limit, and then closes all
  /// servers and stops the context.
  void stop();
  /// The error that stopped the daemon, or OK after stop().
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
  /// Logs how \p members differ from LastMembers.
  void logMembers(std::span<const Member> members) const;
  void logRoleChange();
  void logRouting();
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
  std::uint64_t LastRoutingVersion = 0;
  std::vector<Member> LastMembers;
};

} // namespace pistachio
