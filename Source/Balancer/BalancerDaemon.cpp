#include "BalancerDaemon.h"

#include <boost/asio/post.hpp>

namespace pistachio {
namespace {

constexpr Duration StepInterval{50};
constexpr Duration RenewalInterval{500};
constexpr Duration PeerQueryInterval{150};

/// Longer than the interval at which a fabric usually checks the health of its
/// targets.
constexpr Duration StopLinger{2000};

std::string_view modeName(LeaseMode mode) {
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
  StepTimer = startTimer(Context, StepInterval, [this] { step(); });
  logEvent(LogLevel::Info, "balancer_started",
           "waiting for a table and a lease",
           {{"node", Settings.Name},
            {"listen", toString(Workers.front()->endpoint())}});
  return absl::OkStatus();
}

absl::Status BalancerDaemon::startWorkers() {
  Endpoint listen = Settings.Listen;
  for (std::uint32_t i = 0; i < std::max(Settings.Workers, 1U); ++i) {
    auto worker = std::make_unique<PacketWorker>(
        Metrics, Lease, [this](const PeerLeaseReply &answer) {
          boost::asio::post(Context, [this, answer] { onPeerAnswer(answer); });
        });
    if (absl::Status started = worker->start(listen); !started.ok())
      return started;
    listen = worker->endpoint();
    Workers.push_back(std::move(worker));
  }
  return absl::OkStatus();
}

void BalancerDaemon::onPeerAnswer(const PeerLeaseReply &answer) {
  const auto matched = Peers.match(answer);
  if (!matched)
    return;
  Lease.onPeerAnswer(answer, matched->IsOtherDataCentre, matched->SentAt,
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

void BalancerDaemon::step() {
  const TimePoint now = steadyNow();
  if (now - LastRenewal >= RenewalInterval) {
    LastRenewal = now;
    Control->renew(now);
  }
  if (Lease.wantsPeers(now) && now - LastPeerQuery >= PeerQueryInterval) {
    LastPeerQuery = now;
    Peers.ask(*Control->table(), now);
  }
  const LeaseMode mode = Lease.mode(now);
  if (mode != LastMode) {
    logEvent(
        mode == LeaseMode::Leased ? LogLevel::Info : LogLevel::Warning,
        "lease_mode", "the lease mode has changed",
        {{"from", std::string(modeName(LastMode))},
         {"to", std::string(modeName(mode))},
         {"revision", std::to_string(Control->table()->revision().Value)}});
    LastMode = mode;
  }
  Metrics.Mode.set(static_cast<double>(mode));
  updateHealth(mode);
  if (StopBegan && now - *StopBegan >= StopLinger)
    finish();
}

void BalancerDaemon::updateHealth(LeaseMode mode) {
  if (Settings.Health.Port == 0)
    return;
  const bool isServing = !StopBegan && (mode == LeaseMode::Leased ||
                                        mode == LeaseMode::ControlDown);
  if (!isServing) {
    Health.reset();
    return;
  }
  if (Health)
    return;
  // A fabric checks by connecting. Nothing is read from the connection, which
  // is closed at once.
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
  if (StopBegan)
    return;
  StopBegan = steadyNow();
  logEvent(LogLevel::Info, "stop_started",
           "the health port is closed; packets are carried for 2 s");
}

void BalancerDaemon::finish() {
  StepTimer->stop();
  Control->stop();
  if (MetricsServer)
    MetricsServer->stop();
  for (const auto &it : Workers)
    it->stop();
  Context.stop();
  logEvent(LogLevel::Info, "balancer_stopped", "all workers have stopped");
}

} // namespace pistachio
