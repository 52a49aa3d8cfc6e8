#include "BalancerDaemon.h"

#include <boost/asio/post.hpp>

namespace pistachio {
namespace {

constexpr Duration PeriodicTaskInterval{50};
constexpr Duration RenewalInterval{500};
constexpr Duration PeerQueryInterval{150};

/// Longer than the usual interval at which a fabric checks the health of its
/// targets, so that the fabric notices the closed port before packets are no
/// longer forwarded.
constexpr Duration StopDelay{2000};

std::string_view nameOf(LeaseMode mode) {
  switch (mode) {
  case LeaseMode::Starting:
    return "starting";
  case LeaseMode::Leased:
    return "leased";
  case LeaseMode::ControlDown:
    return "control-down";
  case LeaseMode::Isolated:
    return "isolated";
  }
  return "unknown";
}

} // namespace

BalancerDaemon::BalancerDaemon(boost::asio::io_context &context,
                               BalancerSettings settings)
    : Context(context), Settings(std::move(settings)),
      Registry(makeMetricsRegistry()), Metrics(*Registry),
      Lease(Settings.Name, Settings.DataCentre, {}),
      Peers(Settings.Name,
            [this](const PeerLeaseQuery &query, const Endpoint &to) {
              Workers.front()->send(query, to);
            }) {}

absl::Status BalancerDaemon::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(Context, Settings.Metrics,
                               [this] { return Registry->text(); });
    if (!served.ok())
      return served.status();
    MetricsServer = *std::move(served);
  }
  if (absl::Status started = startWorkers(); !started.ok())
    return started;
  ControlLinkOptions options{Settings.Name, Settings.DataCentre,
                             Workers.front()->endpoint(), Settings.Control};
  ControlLink::Handlers handlers;
  handlers.OnTable = [this] { publish(); };
  handlers.OnGrant = [this](const LeaseGrant &grant, TimePoint sentAt) {
    Lease.onGrant(grant, sentAt, Control->table()->revision());
    publish();
  };
  Control = std::make_unique<ControlLink>(Context, std::move(options),
                                          std::move(handlers));
  PeriodicTaskTimer =
      startTimer(Context, PeriodicTaskInterval, [this] { runPeriodicTasks(); });
  logEvent(
      LogLevel::Info, "balancer_started",
      "listening for packets; waiting for a table and a lease from control",
      {{"node", Settings.Name},
       {"listen", toString(Workers.front()->endpoint())}});
  return absl::OkStatus();
}

absl::Status BalancerDaemon::startWorkers() {
  Endpoint listen = Settings.Listen;
  for (std::uint32_t i = 0; i < std::max(Settings.Workers, 1U); ++i) {
    auto worker = std::make_unique<PacketWorker>(
        Metrics, Lease, [this](const PeerLeaseReply &reply) {
          boost::asio::post(Context, [this, reply] { onPeerReply(reply); });
        });
    if (absl::Status started = worker->start(listen); !started.ok())
      return started;
    listen = worker->endpoint();
    Workers.push_back(std::move(worker));
  }
  return absl::OkStatus();
}

void BalancerDaemon::onPeerReply(const PeerLeaseReply &reply) {
  const auto matched = Peers.matchReply(reply);
  if (!matched)
    return;
  Lease.onPeerReply(reply, matched->IsOtherDataCentre, matched->SentAt,
                    Control->table()->revision());
  publish();
}

void BalancerDaemon::publish() {
  const ServiceTablePtr table = Control->table();
  for (const auto &it : Workers)
    it->update(table, Lease);
  Metrics.TableRevision.set(static_cast<double>(table->revision().Value));
  Metrics.Upstreams.set(static_cast<double>(table->upstreamCount()));
}

void BalancerDaemon::runPeriodicTasks() {
  const TimePoint now = steadyNow();
  if (now - LastRenewal >= RenewalInterval) {
    LastRenewal = now;
    Control->renewLease(now);
  }
  if (Lease.needsPeerReplies(now) && now - LastPeerQuery >= PeerQueryInterval) {
    LastPeerQuery = now;
    Peers.sendQueries(*Control->table(), now);
  }
  const LeaseMode mode = Lease.mode(now);
  if (mode != LastMode) {
    logEvent(
        mode == LeaseMode::Leased ? LogLevel::Info : LogLevel::Warning,
        "lease_mode", "the lease mode of the balancer has changed",
        {{"from", std::string(nameOf(LastMode))},
         {"to", std::string(nameOf(mode))},
         {"revision", std::to_string(Control->table()->revision().Value)}});
    LastMode = mode;
  }
  Metrics.Mode.set(static_cast<double>(mode));
  updateHealth(mode);
  if (StopRequestedAt && now - *StopRequestedAt >= StopDelay)
    finish();
}

void BalancerDaemon::updateHealth(LeaseMode mode) {
  if (Settings.Health.Port == 0)
    return;
  const bool isServing = !StopRequestedAt && (mode == LeaseMode::Leased ||
                                              mode == LeaseMode::ControlDown);
  if (!isServing) {
    Health.reset();
    return;
  }
  if (Health)
    return;
  // The fabric checks health by connecting. The connection is closed at once;
  // nothing is read from it.
  TcpHandlers handlers;
  handlers.OnOpen = [this](ConnectionId id) { Health->close(id); };
  handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
  handlers.OnClose = [](ConnectionId) {};
  auto server = listenTcp(Context, Settings.Health, std::move(handlers));
  if (server.ok())
    Health = *std::move(server);
  else
    logEvent(LogLevel::Error, "health_port_failed", server.status().ToString());
}

void BalancerDaemon::beginStop() {
  if (StopRequestedAt)
    return;
  StopRequestedAt = steadyNow();
  logEvent(LogLevel::Info, "stop_started",
           "the health port is closed; packets are forwarded for 2 s before "
           "the process stops");
}

void BalancerDaemon::finish() {
  PeriodicTaskTimer->stop();
  Control->stop();
  if (MetricsServer)
    MetricsServer->stop();
  for (const auto &it : Workers)
    it->stop();
  Context.stop();
  logEvent(LogLevel::Info, "balancer_stopped", "all workers have stopped");
}

} // namespace pistachio
