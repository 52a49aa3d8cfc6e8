#pragma once

#include "Relay/LinkScheduler.h"
#include "Runtime/Runtime.h"
#include "Telemetry/Telemetry.h"

#include <functional>
#include <memory>
#include <span>

namespace pistachio {

/// Sends the datagrams of a balancer when a LinkScheduler allows it, and
/// reports the state of the link in logs and metrics.
class LinkSender {
public:
  using Transmit = std::function<void(const DatagramInfo &info,
                                      std::span<const std::byte> data)>;

  LinkSender(boost::asio::io_context &context, double mbitPerSecond,
             MetricsRegistry &registry, Transmit transmit);
  ~LinkSender();

  void send(const DatagramInfo &info, std::span<const std::byte> data);
  /// See LinkScheduler::admits().
  bool admits(const Endpoint &serviceAddress);
  bool isCongested(TimePoint now) const { return Scheduler->isCongested(now); }
  /// Updates logs and metrics. Must be called several times a second.
  void tick(TimePoint now);
  void stop() { Timer.reset(); }

private:
  struct Metrics;

  void sendWaiting();
  void scheduleTimer(TimePoint now);

  boost::asio::io_context &Context;
  Transmit TransmitNow;
  std::unique_ptr<LinkScheduler> Scheduler;
  std::unique_ptr<Metrics> Instruments;
  /// Counters that the metrics include already.
  LinkCounters Published;
  /// Runs only while packets wait.
  std::unique_ptr<PeriodicTimer> Timer;
};

} // namespace pistachio
