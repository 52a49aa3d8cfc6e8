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

/// Carries datagrams, back-end calls and announcements for the decisions of the
/// agent. All on one thread.
class AgentDaemon {
public:
  AgentDaemon(boost::asio::io_context &context, AgentSettings settings);

  absl::Status start();

  /// Planned stop: no new flows; the context ends once the flows have ended or
  /// the drain time is over, and every request that runs has been answered.
  void beginStop();

private:
  void onDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onReply(const AnnounceReply &reply);
  void carryOut(PlacementOutput output, TimePoint now);
  void sendDatagram(const OutgoingDatagram &datagram);
  void sendAnswer(const SessionKey &flow, const SessionMessage &message);
  void announce();
  void step();
  void checkStop(TimePoint now);
  void finish();

  boost::asio::io_context &Context;
  AgentSettings Settings;
  Incarnation ProcessIncarnation;
  std::unique_ptr<MetricsRegistry> Metrics;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<AgentMetrics> Published;
  std::unique_ptr<FlowPlacement> Placement;
  std::unique_ptr<RequestRunner> Requests;
  std::unique_ptr<UdpSocket> Udp;
  std::unique_ptr<AnnouncementLink> Control;
  std::unique_ptr<PeriodicTimer> AnnounceTimer;
  std::unique_ptr<PeriodicTimer> StepTimer;
  std::optional<TimePoint> StopBegan;
  std::optional<TimePoint> LeavingSince;
  TimePoint LastPlacementTick{};
  std::uint64_t BadDatagrams = 0;
};

} // namespace pistachio
