#pragma once

#include "ControlLink.h"

#include "Relay/Relay.h"
#include "Settings/Settings.h"
#include "Telemetry/Telemetry.h"

#include <memory>
#include <optional>

namespace pistachio {

/// Carries opaque packets of callers to agents. All on one thread.
class RelayBalancer {
public:
  RelayBalancer(boost::asio::io_context &context, BalancerSettings settings);
  ~RelayBalancer();

  absl::Status start();
  /// Planned stop: not ready any more, and packets are still carried until the
  /// fabric has turned away.
  void beginStop();
  void reload(const BalancerSettings &settings);

private:
  struct Metrics;

  void onCallerDatagram(std::span<const std::byte> buf, TimePoint arrived);
  void onInnerDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onReturned(ReturnedPacket message, const Endpoint &from);
  void carryOut(const RelayDecision &decision, const FlowPacket &packet,
                std::span<const std::byte> buf, TimePoint arrived);
  void retryHeld();
  void logDecision(const RelayDecision &decision, const FlowPacket &packet);
  bool isReady() const;
  void onTable();
  void step();

  boost::asio::io_context &Context;
  BalancerSettings Settings;
  std::unique_ptr<PacketFormat> Format;
  std::unique_ptr<FlowRouter> Router;
  /// Before the first table, and while all upstreams are busy.
  HeldPackets Held;
  std::unique_ptr<MetricsRegistry> Registry;
  std::unique_ptr<Metrics> Measured;
  std::unique_ptr<UdpSocket> Outer;
  std::unique_ptr<UdpSocket> Inner;
  std::unique_ptr<HttpServer> Ready;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<ControlLink> Control;
  std::unique_ptr<PeriodicTimer> StepTimer;
  /// Runs only while packets are held.
  std::unique_ptr<PeriodicTimer> RetryTimer;
  std::optional<TimePoint> StopBegan;
  TimePoint GrantedAt{};
  TimePoint LastRenewal{};
  bool HasControl = false;
  /// Reused for every packet.
  Bytes Output;
};

} // namespace pistachio
