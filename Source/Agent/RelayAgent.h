#pragma once

#include "AnnouncementLink.h"

#include "Relay/Relay.h"
#include "Runtime/Runtime.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include <memory>
#include <optional>

namespace pistachio {

/// Carries opaque packets between balancers, the upstream beside it and
/// callers, takes the upstream's reports and announces it. All on one thread.
class RelayAgent final : private UpstreamReports {
public:
  RelayAgent(boost::asio::io_context &context, AgentSettings settings);
  ~RelayAgent() override;

  absl::Status start();
  /// Ends at once: the upstream keeps its flows and another run of the agent
  /// finds them again.
  void beginStop();
  void reload(const AgentSettings &settings);

private:
  struct Metrics;

  ReportResult onReport(const UpstreamReport &report) override;
  bool onLeft(std::string_view id) override;

  void onInnerDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onUpstreamDatagram(std::span<const std::byte> buf);
  void onReply(const AnnounceReply &reply);
  void carryOut(const GateOutput &output);
  void announce();
  void noteState();
  void step();
  void finish();

  boost::asio::io_context &Context;
  AgentSettings Settings;
  Incarnation ProcessIncarnation;
  std::unique_ptr<PacketFormat> Format;
  std::unique_ptr<UpstreamGate> Gate;
  std::unique_ptr<MetricsRegistry> Registry;
  std::unique_ptr<Metrics> Measured;
  std::unique_ptr<UdpSocket> Inner;
  std::unique_ptr<UdpSocket> Outbound;
  std::unique_ptr<HttpServer> Reports;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<AnnouncementLink> Control;
  std::unique_ptr<PeriodicTimer> StepTimer;
  GateState LastState = GateState::Waiting;
  std::uint64_t AnnouncedBorn = 0;
  TimePoint LastAnnounce{};
  std::optional<TimePoint> StopBegan;
  /// Reused for every datagram.
  Bytes Output;
};

} // namespace pistachio
