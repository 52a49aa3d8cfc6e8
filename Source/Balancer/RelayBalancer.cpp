#include "RelayBalancer.h"

#include "platform/Platform.h"

#include <array>

namespace pistachio {
namespace {

constexpr Duration StepInterval{250};
/// With the lease of a seeded group (0.8 s) and the time without a grant
/// (0.8 s), a cut off control instance is left within 2 s, so that a change is
/// in force within the 3 s that the deployments ask for.
constexpr Duration RenewalInterval{250};
/// Held packets are decided again this often: below the work of one request on
/// the deployments.
constexpr Duration RetryInterval{15};
/// Control is reported as lost after this long without an answer; twelve
/// renewals.
constexpr Duration ControlLostAfter{3000};
/// The fabric turns away after two missed questions, half a second apart.
constexpr Duration StopLinger{2000};

} // namespace

struct RelayBalancer::Metrics {
  explicit Metrics(MetricsRegistry &registry)
      : BadPackets(registry.counter("pistachio_balancer_bad_messages_total",
                                    "Datagrams that could not be decoded")),
        Held(registry.counter("pistachio_balancer_flows_held_total",
                              "Agents that reported a flow as theirs")),
        Returned(registry.counter("pistachio_balancer_packets_returned_total",
                                  "Packets that agents gave back")),
        Flows(registry.gauge("pistachio_balancer_flows", "Flows remembered")),
        Revision(registry.gauge("pistachio_balancer_table_revision",
                                "Revision of the table in force")),
        Upstreams(registry.gauge("pistachio_balancer_upstreams",
                                 "Upstreams in the table")),
        PlacementTime(registry.histogram(
            "pistachio_balancer_placement_seconds",
            "From a first packet to the upstream that took it, seconds")),
        SearchTime(registry.histogram(
            "pistachio_balancer_search_seconds",
            "From a packet of an unknown flow to its holder, seconds")) {
    for (std::size_t i = 0; i < Decisions.size(); ++i)
      Decisions[i] = &registry.counter(
          "pistachio_balancer_decisions_total", "Packets by decision",
          {{"reason", std::string(nameOf(static_cast<RelayReason>(i)))}});
  }

  Counter &BadPackets;
  Counter &Held;
  Counter &Returned;
  Gauge &Flows;
  Gauge &Revision;
  Gauge &Upstreams;
  Histogram &PlacementTime;
  Histogram &SearchTime;
  std::array<Counter *, static_cast<std::size_t>(RelayReason::Max) + 1>
      Decisions{};
};

RelayBalancer::RelayBalancer(boost::asio::io_context &context,
                             BalancerSettings settings)
    : Context(context), Settings(std::move(settings)),
      Format(platform::makePacketFormat()), Registry(makeMetricsRegistry()),
      Measured(std::make_unique<Metrics>(*Registry)) {
  FlowRouterOptions options;
  options.DataCentre = Settings.DataCentre;
  Router = makeFlowRouter(std::move(options));
}

RelayBalancer::~RelayBalancer() = default;

absl::Status RelayBalancer::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(Context, Settings.Metrics,
                               [this] { return Registry->text(); });
    // Flows go before dashboards: a port in use must not keep them from here.
    if (served.ok())
      MetricsServer = *std::move(served);
    else
      logEvent(LogLevel::Error, "metrics_not_served",
               messageOf(served.status()));
  }
  auto outer =
      openUdp(Context, Settings.Listen,
              [this](std::span<const std::byte> buf, const Endpoint &) {
                onCallerDatagram(buf, steadyNow());
              });
  if (!outer.ok())
    return outer.status();
  Outer = *std::move(outer);
  auto inner =
      openUdp(Context, Settings.InternalListen,
              [this](std::span<const std::byte> buf, const Endpoint &from) {
                onInnerDatagram(buf, from);
              });
  if (!inner.ok())
    return inner.status();
  Inner = *std::move(inner);
  auto ready =
      listenHttp(Context, Settings.Ready,
                 platform::makeReadinessHandler([this] { return isReady(); }));
  if (!ready.ok())
    return ready.status();
  Ready = *std::move(ready);
  ControlLink::Handlers handlers;
  handlers.OnTable = [this] { onTable(); };
  handlers.OnGrant = [this](const LeaseGrant &, TimePoint) {
    GrantedAt = steadyNow();
  };
  Control = std::make_unique<ControlLink>(
      Context,
      ControlLinkOptions{Settings.Name, Settings.DataCentre,
                         Settings.InternalListen, Settings.Control},
      std::move(handlers));
  StepTimer = startTimer(Context, StepInterval, [this] { step(); });
  logEvent(LogLevel::Info, "balancer_started", "waiting for a table",
           {{"node", Settings.Name},
            {"data_centre", Settings.DataCentre},
            {"listen", toString(Settings.Listen)}});
  return absl::OkStatus();
}

bool RelayBalancer::isReady() const {
  return !StopBegan && Control->table()->routeCount() > 0;
}

void RelayBalancer::onTable() {
  const ServiceTablePtr table = Control->table();
  logEvent(LogLevel::Info, "table_in_force", "",
           {{"revision", std::to_string(table->revision().Value)},
            {"routes", std::to_string(table->routeCount())},
            {"upstreams", std::to_string(table->upstreamCount())}});
  Measured->Revision.set(static_cast<double>(table->revision().Value));
  Measured->Upstreams.set(static_cast<double>(table->upstreamCount()));
  retryHeld();
}

void RelayBalancer::retryHeld() {
  RetryTimer.reset();
  if (Control->table()->routeCount() == 0)
    return;
  for (const HeldPackets::Packet &it : Held.take(steadyNow()))
    onCallerDatagram(it.Data, it.Arrived);
}

void RelayBalancer::onCallerDatagram(std::span<const std::byte> buf,
                                     TimePoint arrived) {
  const std::optional<FlowPacket> packet = Format->decode(buf);
  if (!packet) {
    Measured->BadPackets.add();
    return;
  }
  const ServiceTablePtr table = Control->table();
  if (table->routeCount() == 0)
    Held.add({packet->Source, packet->Destination}, buf, arrived);
  carryOut(Router->onCallerPacket(*packet, *table, steadyNow()), *packet, buf,
           arrived);
}

void RelayBalancer::onInnerDatagram(std::span<const std::byte> buf,
                                    const Endpoint &from) {
  auto message = decodeData(buf);
  if (!message.ok()) {
    Measured->BadPackets.add();
    return;
  }
  if (auto *returned = std::get_if<ReturnedPacket>(&*message))
    return onReturned(std::move(*returned), from);
  if (const auto *held = std::get_if<FlowHeld>(&*message)) {
    Measured->Held.add();
    if (const auto found = Router->onHeld(*held, from, steadyNow()))
      (found->BySearch ? Measured->SearchTime : Measured->PlacementTime)
          .observe(toSeconds(found->Time));
    return;
  }
  Measured->BadPackets.add();
}

void RelayBalancer::onReturned(ReturnedPacket message, const Endpoint &from) {
  const std::optional<FlowPacket> packet = Format->decode(message.Packet);
  if (!packet) {
    Measured->BadPackets.add();
    return;
  }
  Measured->Returned.add();
  const ServiceTablePtr table = Control->table();
  const RelayDecision decision =
      Router->onReturned(*packet, message, from, *table, steadyNow());
  logEvent(LogLevel::Info, "packet_returned", "",
           {{"flow", toString(FlowEnds{packet->Source, packet->Destination})},
            {"opens", packet->Opens ? "yes" : "no"},
            {"agent", toString(from)},
            {"why", message.Reason == ReturnReason::Declined ? "declined"
                                                             : "not-held"},
            {"busy", std::to_string(message.Load.BusyFlows)},
            {"retry_ms", std::to_string(message.RetryAfterMs)},
            {"attempt", std::to_string(message.Attempt)},
            {"next", std::string(nameOf(decision.Reason))}});
  carryOut(decision, *packet, message.Packet, steadyNow());
}

void RelayBalancer::logDecision(const RelayDecision &decision,
                                const FlowPacket &packet) {
  // Packets of known flows are counted only.
  if (decision.Reason == RelayReason::Held)
    return;
  const std::string_view event =
      decision.Action == RelayAction::Forward ? "flow_routed"
      : decision.Action == RelayAction::Reset ? "flow_reset"
      : decision.Action == RelayAction::Hold  ? "flow_waits"
                                              : "packet_dropped";
  logEvent(LogLevel::Info, event, "",
           {{"flow", toString(FlowEnds{packet.Source, packet.Destination})},
            {"sequence", std::to_string(packet.Sequence)},
            {"opens", packet.Opens ? "yes" : "no"},
            {"reason", std::string(nameOf(decision.Reason))},
            {"agent", toString(decision.Agent)},
            {"others", std::to_string(decision.Others.size())},
            {"attempt", std::to_string(decision.Attempt)},
            {"revision", std::to_string(Control->table()->revision().Value)}});
}

void RelayBalancer::carryOut(const RelayDecision &decision,
                             const FlowPacket &packet,
                             std::span<const std::byte> buf,
                             TimePoint arrived) {
  Measured->Decisions[static_cast<std::size_t>(decision.Reason)]->add();
  logDecision(decision, packet);
  if (decision.Action == RelayAction::Reset) {
    const Bytes reset = Format->makeReset(packet);
    Outer->send(reset, {packet.Source.Address, Settings.Listen.Port});
    return;
  }
  if (decision.Action == RelayAction::Hold) {
    Held.add({packet.Source, packet.Destination}, buf, arrived);
    if (!RetryTimer)
      RetryTimer = startTimer(Context, RetryInterval, [this] { retryHeld(); });
    return;
  }
  if (decision.Action == RelayAction::Drop)
    return;
  Output.clear();
  const absl::Status encoded = encodeData(
      RelayedPacket{decision.Service, decision.Attempt, decision.Asks,
                    decision.ColdMilliPerSecond, Bytes(buf.begin(), buf.end())},
      Output);
  if (!encoded.ok()) {
    logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
    return;
  }
  Inner->send(Output, decision.Agent);
  for (const Endpoint &it : decision.Others)
    Inner->send(Output, it);
}

void RelayBalancer::step() {
  const TimePoint now = steadyNow();
  if (now - LastRenewal >= RenewalInterval) {
    LastRenewal = now;
    Control->renew(now);
  }
  Router->tick(now);
  Measured->Flows.set(static_cast<double>(Router->flowCount()));
  const bool hasControl =
      GrantedAt != TimePoint{} && now - GrantedAt < ControlLostAfter;
  if (hasControl != HasControl) {
    HasControl = hasControl;
    logEvent(
        hasControl ? LogLevel::Info : LogLevel::Warning,
        hasControl ? "control_regained" : "control_lost",
        hasControl ? "" : "packets are carried with the present table",
        {{"revision", std::to_string(Control->table()->revision().Value)}});
  }
  if (!StopBegan || now - *StopBegan < StopLinger)
    return;
  StepTimer->stop();
  Control->stop();
  Ready->stop();
  if (MetricsServer)
    MetricsServer->stop();
  Outer->stop();
  Inner->stop();
  logEvent(LogLevel::Info, "balancer_stopped", "");
  Context.stop();
}

void RelayBalancer::beginStop() {
  if (StopBegan)
    return;
  StopBegan = steadyNow();
  logEvent(LogLevel::Info, "stop_started",
           "not ready any more; packets are carried for 2 s");
}

void RelayBalancer::reload(const BalancerSettings &settings) {
  Control->setControl(settings.Control);
}

} // namespace pistachio
