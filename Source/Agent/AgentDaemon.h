#pragma once

#include "AgentMetrics.h"
#include "AnnouncementLink.h"
#include "RequestRunner.h"

#include "Placement/Placement.h"
#include "Runtime/Runtime.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include <memory>
#include <optional>

namespace pistachio {

/// The agent process for FlowMode::Requests: it runs the requests of flows at
/// the back end. It performs the network I/O (datagrams, back-end calls,
/// announcements) for FlowPlacement and RequestRunner, which
/// make the decisions. Runs on a single thread.
class AgentDaemon {
public:
  AgentDaemon(boost::asio::io_context &context, AgentSettings settings);

  absl::Status start();

  /// Starts a graceful shutdown: the agent accepts no new flows and stops the
  /// io_context once all flows have ended or the drain time has elapsed, and
  /// every running request has been answered.
  void beginStop();

private:
  void onDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onReply(const AnnounceReply &reply);
  /// Performs the actions that a decision of the placement has returned.
  void executeOutput(PlacementOutput output, TimePoint now);
  void sendDatagram(const OutgoingDatagram &datagram);
  void sendAnswer(const SessionKey &flow, const SessionMessage &message);
  void announce();
  void onStepTimer();
  /// Continues a graceful shutdown: announces the departure once the agent is
  /// drained, and shuts down after LeaveGracePeriod.
  void checkDrainCompletion(TimePoint now);
  void shutDown();

  boost::asio::io_context &Context;
  AgentSettings Settings;
  Incarnation ProcessIncarnation;
  std::unique_ptr<MetricsRegistry> Registry;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<AgentMetrics> PublishedMetrics;
  std::unique_ptr<FlowPlacement> Placement;
  std::unique_ptr<RequestRunner> Requests;
  std::unique_ptr<UdpSocket> Udp;
  std::unique_ptr<AnnouncementLink> Control;
  std::unique_ptr<PeriodicTimer> AnnounceTimer;
  std::unique_ptr<PeriodicTimer> StepTimer;
  std::optional<TimePoint> StopBeganAt;
  std::optional<TimePoint> LeavingSince;
  TimePoint LastPlacementTick{};
  std::uint64_t InvalidDatagrams = 0;
};

} // namespace pistachio
