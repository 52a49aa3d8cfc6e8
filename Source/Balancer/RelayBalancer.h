#pragma once

#include "ControlLink.h"
#include "LinkSender.h"

#include "Relay/Relay.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include <memory>
#include <optional>

namespace pistachio {

/// Forwards opaque packets of callers to agents. Everything runs on one thread.
class RelayBalancer {
public:
  RelayBalancer(boost::asio::io_context &context, BalancerSettings settings);
  ~RelayBalancer();

  absl::Status start();
  /// Starts a planned stop. The readiness check fails from now on, and packets
  /// are still forwarded until the fabric has stopped sending them.
  void beginStop();
  void reload(const BalancerSettings &settings);

private:
  struct Metrics;

  void onCallerDatagram(std::span<const std::byte> buf, TimePoint arrived);
  void onAgentDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onFlowHeld(const FlowHeld &message, const Endpoint &from);
  void onReturnedPacket(ReturnedPacket message, const Endpoint &from);
  void applyDecision(const RelayDecision &decision, const FlowPacket &packet,
                     std::span<const std::byte> buf, TimePoint arrived);
  void sendToAgents(const RelayDecision &decision, const FlowPacket &packet,
                    std::span<const std::byte> buf);
  /// Sends a datagram to an agent or, if it is a reset, to a caller: at once,
  /// or when the link has room for it.
  void send(const DatagramInfo &info, std::span<const std::byte> data);
  void transmit(const DatagramInfo &info, std::span<const std::byte> data);
  void updateLinkState();
  /// Returns whether the link has no room for the flow that this packet opens.
  bool isLinkFull(const FlowPacket &packet, const ServiceTable &table);
  void sendQueries(const RelayDecision &decision, const FlowEndpoints &flow);
  void sendWaitingQueries();
  /// Applies a decision of a search to the packet that was kept for it.
  void applyToKeptPacket(const RelayDecision &decision,
                         const FlowEndpoints &flow);
  void pollSearches();
  /// Asks control whether the table is current if a decision depends on it.
  void queryTableIfNeeded();
  void onTableConfirmed(TimePoint askedAt, Revision committed);
  void retryDeferred();
  /// Routes the packets whose turn it is among Router->waiting().
  void tryWaiting();
  void publishWaiting();
  void logDecision(const RelayDecision &decision, const FlowPacket &packet);
  bool isReady() const;
  void onTable();
  /// Reports a table that stays older than the state of the control instance.
  void checkTableAge(TimePoint now);
  void runPeriodicTasks();

  boost::asio::io_context &Context;
  BalancerSettings Settings;
  std::unique_ptr<PacketFormat> Format;
  std::unique_ptr<FlowRouter> Router;
  /// Packets that arrived before the first table or, on routes without terms,
  /// while all upstreams were busy.
  DeferredPackets Deferred;
  /// Packets of flows whose holder is searched for.
  DeferredPackets KeptForSearch;
  QueryBatcher Queries;
  std::unique_ptr<MetricsRegistry> Registry;
  std::unique_ptr<Metrics> Instruments;
  /// Set if the settings contain the rate of the link.
  std::unique_ptr<LinkSender> Link;
  std::unique_ptr<UdpSocket> CallerSocket;
  std::unique_ptr<UdpSocket> AgentSocket;
  std::unique_ptr<HttpServer> ReadinessServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<ControlLink> Control;
  std::unique_ptr<PeriodicTimer> PeriodicTaskTimer;
  /// Runs only while packets are deferred.
  std::unique_ptr<PeriodicTimer> RetryTimer;
  /// Runs only while packets wait by the terms of their routes.
  std::unique_ptr<PeriodicTimer> WaitTimer;
  /// What publishWaiting() has added to the metrics.
  WaitingCounters PublishedWaiting;
  /// Runs only while the router searches for holders.
  std::unique_ptr<PeriodicTimer> SearchTimer;
  std::optional<TimePoint> StopRequestedAt;
  TimePoint LastGrantAt{};
  TimePoint LastRenewal{};
  bool IsControlReachable = false;
  /// Revision that the latest grant named.
  Revision CommittedRevision;
  /// Set while the table is older than CommittedRevision.
  std::optional<TimePoint> BehindSince;
  bool IsBehindReported = false;
  /// Reused for every packet to avoid allocations.
  Bytes SendBuffer;
};

} // namespace pistachio
