#pragma once

#include "AnnouncementLink.h"

#include "Relay/Relay.h"
#include "Runtime/Runtime.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include <memory>
#include <optional>

namespace pistachio {

/// The agent process for FlowMode::Relay. It forwards opaque packets from
/// balancers to the upstream on the same machine and from the upstream to
/// callers, receives the upstream's reports, and announces the upstream to
/// control. UpstreamRelay makes the decisions. Runs on a single thread.
class RelayAgent final : private UpstreamReportHandler {
public:
  RelayAgent(boost::asio::io_context &context, AgentSettings settings);
  ~RelayAgent() override;

  absl::Status start();
  /// Stops without draining: the upstream keeps its flows, and the next process
  /// of the agent discovers them again.
  void beginStop();
  /// Applies the settings that can change at run time.
  void reload(const AgentSettings &settings);

private:
  struct Metrics;

  ReportResult onReport(const UpstreamReport &report) override;
  bool onUpstreamEnded(std::string_view id) override;

  void onBalancerDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onUpstreamDatagram(std::span<const std::byte> buf);
  void onReply(const AnnounceReply &reply);
  /// Performs the actions that a decision of the gate has returned.
  void executeOutput(const RelayOutput &output);
  void announce();
  /// Announces the upstream at once if its state or lifetime has changed.
  void announceStateChange();
  void onStepTimer();
  void shutDown();

  boost::asio::io_context &Context;
  AgentSettings Settings;
  Incarnation ProcessIncarnation;
  std::unique_ptr<PacketFormat> Format;
  std::unique_ptr<UpstreamRelay> Gate;
  std::unique_ptr<MetricsRegistry> Registry;
  std::unique_ptr<Metrics> PublishedMetrics;
  /// Relayed packets from and to balancers.
  std::unique_ptr<UdpSocket> BalancerSocket;
  /// Packets from and to the upstream, and packets to callers.
  std::unique_ptr<UdpSocket> PacketSocket;
  std::unique_ptr<HttpServer> ReportServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<AnnouncementLink> Control;
  std::unique_ptr<PeriodicTimer> StepTimer;
  LocalUpstreamState LastState = LocalUpstreamState::Waiting;
  /// Start of the upstream's lifetime that was last announced; 0 if unknown.
  std::uint64_t AnnouncedBornMs = 0;
  TimePoint LastAnnouncedAt{};
  std::optional<TimePoint> StopBeganAt;
  /// Reused for every datagram to avoid allocations.
  Bytes EncodeBuffer;
};

} // namespace pistachio
