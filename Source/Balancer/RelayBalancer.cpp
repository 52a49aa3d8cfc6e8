#include "RelayBalancer.h"

#include "ExplainEndpoint.h"

#include "platform/Platform.h"

#include <array>

namespace pistachio {
namespace {

constexpr Duration PeriodicTaskInterval{250};
/// A control instance that is cut off is left within 2 s: the lease of a
/// control group found through seeds lasts 0.8 s, and GrantTimeout is another
/// 0.8 s. A change is then in force within the 3 s that the deployments
/// require.
constexpr Duration RenewalInterval{250};
/// Interval at which deferred packets are routed again. It is shorter than the
/// work of one request on the deployments.
constexpr Duration RetryInterval{15};
/// Interval at which the packets that wait by the terms of their routes are
/// tried. A few are tried at a time, so that it limits their rate.
constexpr Duration WaitInterval{5};
/// Interval at which searches are checked for queries that are overdue.
constexpr Duration SearchPollInterval{20};
/// Control is reported as lost after this long without a grant, which is twelve
/// renewals.
constexpr Duration ControlLostTimeout{3000};
/// A table that has been older than the state of the control instance for this
/// long is reported. Updates normally arrive before the grant that names their
/// revision.
constexpr Duration BehindReportDelay{500};
/// Up to this rate, first packets wait by the terms of their routes. Each offer
/// that an agent declines crosses the link twice. On a wide link it costs
/// nothing, and offering sooner brings flows to upstreams sooner after a
/// restart of all.
constexpr double MaxNarrowLinkMbitPerSecond = 100;
constexpr double BytesPerMbit = 1e6 / 8;
/// Share of the link that the packets of searches may take. Queries take up to
/// another third of a link of 2 Mbit/s.
constexpr double SearchShareOfLink = 0.5;
/// The fabric stops sending packets after two failed readiness checks, which
/// are half a second apart.
constexpr Duration StopDelay{2000};

} // namespace

struct RelayBalancer::Metrics {
  explicit Metrics(MetricsRegistry &registry)
      : BadPackets(registry.counter("pistachio_balancer_bad_messages_total",
                                    "Datagrams that could not be decoded")),
        Held(registry.counter("pistachio_balancer_flows_held_total",
                              "Agents that reported a flow as theirs")),
        Returned(registry.counter("pistachio_balancer_packets_returned_total",
                                  "Packets that agents gave back")),
        OffersDeclined(
            registry.counter("pistachio_balancer_offers_declined_total",
                             "First packets that agents gave back")),
        Queries(registry.counter("pistachio_balancer_queries_total",
                                 "Datagrams with queries for holders")),
        SearchChains(registry.counter("pistachio_balancer_search_packets_total",
                                      "Packets sent to agents by searches",
                                      {{"way", "chain"}})),
        SearchProbes(registry.counter("pistachio_balancer_search_packets_total",
                                      "Packets sent to agents by searches",
                                      {{"way", "direct"}})),
        TableConfirmations(
            registry.counter("pistachio_balancer_table_confirmations_total",
                             "Answers of control about the latest revision")),
        WaitingTries(registry.counter(
            "pistachio_balancer_waiting_tries_total",
            "Tries of first packets that wait by the terms of their route")),
        WaitingRefusedFull(registry.counter(
            "pistachio_balancer_waiting_refused_total",
            "Flows refused while waiting by the terms of their route, by cause",
            {{"cause", "queue-full"}})),
        WaitingRefusedLate(registry.counter(
            "pistachio_balancer_waiting_refused_total",
            "Flows refused while waiting by the terms of their route, by cause",
            {{"cause", "wait-exceeded"}})),
        WaitingFlows(registry.gauge(
            "pistachio_balancer_waiting_flows",
            "First packets that wait by the terms of their route")),
        Flows(registry.gauge("pistachio_balancer_flows", "Flows remembered")),
        Revision(registry.gauge("pistachio_balancer_table_revision",
                                "Revision of the table in force")),
        CommittedRevision(
            registry.gauge("pistachio_balancer_committed_revision",
                           "Revision that control named last")),
        BehindSeconds(registry.gauge(
            "pistachio_balancer_table_behind_seconds",
            "How long the table has been older than the state of control")),
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
  Counter &OffersDeclined;
  Counter &Queries;
  Counter &SearchChains;
  Counter &SearchProbes;
  Counter &TableConfirmations;
  Counter &WaitingTries;
  Counter &WaitingRefusedFull;
  Counter &WaitingRefusedLate;
  Gauge &WaitingFlows;
  Gauge &Flows;
  Gauge &Revision;
  Gauge &CommittedRevision;
  Gauge &BehindSeconds;
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
      Instruments(std::make_unique<Metrics>(*Registry)) {
  FlowRouterOptions options;
  options.DataCentre = Settings.DataCentre;
  if (Settings.Placement == PlacementMode::ExpectedWait)
    options.Placement = PlacementKind::ExpectedWait;
  if (Settings.Placement == PlacementMode::Adaptive)
    options.Placement = PlacementKind::Adaptive;
  options.PlacementSeed = hashServiceName(Settings.Name).Value;
  options.WaitsByTerms =
      Settings.LinkMbitPerSecond &&
      *Settings.LinkMbitPerSecond <= MaxNarrowLinkMbitPerSecond;
  if (Settings.LinkMbitPerSecond)
    options.SearchBytesPerSecond = static_cast<std::uint32_t>(
        *Settings.LinkMbitPerSecond * BytesPerMbit * SearchShareOfLink);
  Router = makeFlowRouter(std::move(options));
  if (Settings.LinkMbitPerSecond)
    Link = std::make_unique<LinkSender>(
        Context, *Settings.LinkMbitPerSecond, *Registry,
        [this](const DatagramInfo &info, std::span<const std::byte> data) {
          transmit(info, data);
        });
}

RelayBalancer::~RelayBalancer() = default;

absl::Status RelayBalancer::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(
        Context, Settings.Metrics, [this] { return Registry->text(); },
        makeExplainHandler(
            [this](const FlowEndpoints &flow, TimePoint now) {
              return Router->explain(flow, *Control->table(), now);
            },
            steadyNow));
    // Forwarding packets is more important than metrics: if the metrics port is
    // in use, the balancer runs without it.
    if (served.ok())
      MetricsServer = *std::move(served);
    else
      logEvent(LogLevel::Error, "metrics_not_served",
               messageOf(served.status()));
  }
  auto callerSocket =
      openUdp(Context, Settings.Listen,
              [this](std::span<const std::byte> buf, const Endpoint &) {
                onCallerDatagram(buf, steadyNow());
              });
  if (!callerSocket.ok())
    return callerSocket.status();
  CallerSocket = *std::move(callerSocket);
  auto agentSocket =
      openUdp(Context, Settings.InternalListen,
              [this](std::span<const std::byte> buf, const Endpoint &from) {
                onAgentDatagram(buf, from);
              });
  if (!agentSocket.ok())
    return agentSocket.status();
  AgentSocket = *std::move(agentSocket);
  auto ready =
      listenHttp(Context, Settings.Ready,
                 platform::makeReadinessHandler([this] { return isReady(); }));
  if (!ready.ok())
    return ready.status();
  ReadinessServer = *std::move(ready);
  ControlLink::Handlers handlers;
  handlers.OnTable = [this] { onTable(); };
  handlers.OnGrant = [this](const LeaseGrant &grant, TimePoint) {
    LastGrantAt = steadyNow();
    CommittedRevision = grant.CommittedRevision;
    Instruments->CommittedRevision.set(
        static_cast<double>(CommittedRevision.Value));
    checkTableAge(LastGrantAt);
  };
  handlers.OnConfirmed = [this](TimePoint askedAt, Revision committed) {
    onTableConfirmed(askedAt, committed);
  };
  Control = std::make_unique<ControlLink>(
      Context,
      ControlLinkOptions{Settings.Name, Settings.DataCentre,
                         Settings.InternalListen, Settings.Control},
      std::move(handlers));
  PeriodicTaskTimer =
      startTimer(Context, PeriodicTaskInterval, [this] { runPeriodicTasks(); });
  logEvent(LogLevel::Info, "balancer_started",
           "listening for packets; waiting for a table from control",
           {{"node", Settings.Name},
            {"data_centre", Settings.DataCentre},
            {"listen", toString(Settings.Listen)}});
  return absl::OkStatus();
}

bool RelayBalancer::isReady() const {
  return !StopRequestedAt && Control->table()->routeCount() > 0;
}

void RelayBalancer::onTable() {
  const ServiceTablePtr table = Control->table();
  logEvent(LogLevel::Info, "table_in_force", "",
           {{"revision", std::to_string(table->revision().Value)},
            {"routes", std::to_string(table->routeCount())},
            {"upstreams", std::to_string(table->upstreamCount())}});
  checkTableAge(steadyNow());
  Instruments->Revision.set(static_cast<double>(table->revision().Value));
  Instruments->Upstreams.set(static_cast<double>(table->upstreamCount()));
  retryDeferred();
  tryWaiting();
  pollSearches();
}

void RelayBalancer::onTableConfirmed(TimePoint askedAt, Revision committed) {
  Instruments->TableConfirmations.add();
  const TimePoint now = steadyNow();
  logEvent(LogLevel::Info, "table_confirmed", "",
           {{"committed", std::to_string(committed.Value)},
            {"revision", std::to_string(Control->table()->revision().Value)},
            {"asked_ms", std::to_string((now - askedAt).count())}});
  Router->confirmTable(askedAt, committed);
  pollSearches();
}

void RelayBalancer::queryTableIfNeeded() {
  if (Router->needsConfirmedTable())
    Control->queryTable(steadyNow());
}

void RelayBalancer::checkTableAge(TimePoint now) {
  const Revision inForce = Control->table()->revision();
  if (inForce >= CommittedRevision) {
    if (IsBehindReported)
      logEvent(LogLevel::Info, "table_current", "",
               {{"revision", std::to_string(inForce.Value)},
                {"behind_ms", std::to_string((now - *BehindSince).count())}});
    BehindSince.reset();
    IsBehindReported = false;
    Instruments->BehindSeconds.set(0);
    return;
  }
  if (!BehindSince)
    BehindSince = now;
  Instruments->BehindSeconds.set(toSeconds(now - *BehindSince));
  if (IsBehindReported || now - *BehindSince < BehindReportDelay)
    return;
  IsBehindReported = true;
  logEvent(LogLevel::Warning, "table_behind",
           "control has committed a later revision than that of the table",
           {{"revision", std::to_string(inForce.Value)},
            {"committed", std::to_string(CommittedRevision.Value)}});
}

void RelayBalancer::retryDeferred() {
  RetryTimer.reset();
  if (Control->table()->routeCount() == 0)
    return;
  for (const DeferredPackets::Packet &it : Deferred.take(steadyNow()))
    onCallerDatagram(it.Data, it.Arrived);
}

void RelayBalancer::tryWaiting() {
  const ServiceTablePtr table = Control->table();
  if (table->routeCount() > 0)
    for (const auto &it : Router->takeWaiting(*table, steadyNow()))
      onCallerDatagram(it.Data, it.Terms.Arrived);
  if (Router->waiting().size() == 0)
    WaitTimer.reset();
}

void RelayBalancer::publishWaiting() {
  const WaitingCounters &counters = Router->waiting().counters();
  const auto added = [](std::uint64_t value, std::uint64_t &published) {
    return static_cast<double>(value - std::exchange(published, value));
  };
  Instruments->WaitingTries.add(added(counters.Tries, PublishedWaiting.Tries));
  Instruments->WaitingRefusedFull.add(
      added(counters.RefusedFull, PublishedWaiting.RefusedFull));
  Instruments->WaitingRefusedLate.add(
      added(counters.RefusedLate, PublishedWaiting.RefusedLate));
  Instruments->WaitingFlows.set(static_cast<double>(Router->waiting().size()));
}

void RelayBalancer::onCallerDatagram(std::span<const std::byte> buf,
                                     TimePoint arrived) {
  const std::optional<FlowPacket> packet = Format->decode(buf);
  if (!packet) {
    Instruments->BadPackets.add();
    return;
  }
  const ServiceTablePtr table = Control->table();
  if (table->routeCount() == 0)
    Deferred.add({packet->Source, packet->Destination}, buf, arrived);
  updateLinkState();
  if (isLinkFull(*packet, *table))
    return applyDecision(
        {.Action = RelayAction::Reset, .Reason = RelayReason::LinkFull},
        *packet, buf, arrived);
  applyDecision(Router->onCallerPacket(*packet, *table, steadyNow()), *packet,
                buf, arrived);
}

void RelayBalancer::updateLinkState() {
  if (Link)
    Router->setLinkCongested(Link->isCongested(steadyNow()));
}

bool RelayBalancer::isLinkFull(const FlowPacket &packet,
                               const ServiceTable &table) {
  // Another balancer may have forwarded a packet that has been sent before, so
  // that a refusal would be wrong.
  return Link && packet.Opens && packet.Acknowledgement == 0 &&
         table.findRoute(packet.Destination) != nullptr &&
         !Router->mayHaveOpened(packet) && !Link->admits(packet.Destination);
}

void RelayBalancer::onAgentDatagram(std::span<const std::byte> buf,
                                    const Endpoint &from) {
  auto message = decodeData(buf);
  if (!message.ok()) {
    Instruments->BadPackets.add();
    return;
  }
  if (auto *returned = std::get_if<ReturnedPacket>(&*message))
    return onReturnedPacket(std::move(*returned), from);
  if (const auto *held = std::get_if<FlowHeld>(&*message))
    return onFlowHeld(*held, from);
  if (const auto *notHeld = std::get_if<FlowsNotHeld>(&*message)) {
    for (const FlowNotHeld &it : notHeld->Flows)
      applyToKeptPacket(Router->onFlowNotHeld(it, notHeld->Load, from,
                                              *Control->table(), steadyNow()),
                        it.Flow);
    return;
  }
  Instruments->BadPackets.add();
}

void RelayBalancer::onFlowHeld(const FlowHeld &message, const Endpoint &from) {
  Instruments->Held.add();
  const TimePoint now = steadyNow();
  const auto found = Router->onFlowHeld(message, from, now);
  if (found)
    (found->BySearch ? Instruments->SearchTime : Instruments->PlacementTime)
        .observe(toSeconds(found->Elapsed));
  if (const auto kept =
          KeptForSearch.takeOne({message.Caller, message.Service}, now)) {
    // The search has delivered the packet already.
    if (found && found->GotPacket && kept->WasSent)
      return;
    onCallerDatagram(kept->Data, kept->Arrived);
  }
}

void RelayBalancer::onReturnedPacket(ReturnedPacket message,
                                     const Endpoint &from) {
  const std::optional<FlowPacket> packet = Format->decode(message.Packet);
  if (!packet) {
    Instruments->BadPackets.add();
    return;
  }
  Instruments->Returned.add();
  if (packet->Opens)
    Instruments->OffersDeclined.add();
  const ServiceTablePtr table = Control->table();
  const RelayDecision decision =
      Router->onReturnedPacket(*packet, message, from, *table, steadyNow());
  logEvent(
      LogLevel::Info, "packet_returned", "",
      {{"flow", toString(FlowEndpoints{packet->Source, packet->Destination})},
       {"opens", packet->Opens ? "yes" : "no"},
       {"agent", toString(from)},
       {"why",
        message.Reason == ReturnReason::Declined ? "declined" : "not-held"},
       {"busy", std::to_string(message.Load.BusyFlows)},
       {"retry_ms", std::to_string(message.RetryAfterMs)},
       {"attempt", std::to_string(message.Attempt)},
       {"next", std::string(nameOf(decision.Reason))}});
  applyDecision(decision, *packet, message.Packet, steadyNow());
}

void RelayBalancer::logDecision(const RelayDecision &decision,
                                const FlowPacket &packet) {
  // Later packets of flows with a known holder, and those that wait for the
  // replies of a search, are counted but not logged.
  if ((decision.Reason == RelayReason::Held && !packet.Opens) ||
      (decision.Reason == RelayReason::Search && decision.Queries.empty()))
    return;
  const std::string_view event =
      decision.Action == RelayAction::Forward ? "flow_routed"
      : decision.Action == RelayAction::Reset ? "flow_reset"
      : decision.Action == RelayAction::Defer ? "flow_waits"
      : decision.Action == RelayAction::Query ? "flow_searched"
                                              : "packet_dropped";
  const Duration heldFor = decision.HolderSince == TimePoint{}
                               ? Duration{0}
                               : steadyNow() - decision.HolderSince;
  logEvent(
      LogLevel::Info, event, "",
      {{"flow", toString(FlowEndpoints{packet.Source, packet.Destination})},
       {"sequence", std::to_string(packet.Sequence)},
       {"opens", packet.Opens ? "yes" : "no"},
       {"reason", std::string(nameOf(decision.Reason))},
       {"agent", toString(decision.Agent)},
       {"others", std::to_string(decision.OtherAgents.size())},
       {"chain", decision.IsChain ? "yes" : "no"},
       {"attempt", std::to_string(decision.Attempt)},
       {"queries", std::to_string(decision.Queries.size())},
       {"held_ms", std::to_string(heldFor.count())},
       {"revision", std::to_string(Control->table()->revision().Value)}});
}

void RelayBalancer::applyDecision(const RelayDecision &decision,
                                  const FlowPacket &packet,
                                  std::span<const std::byte> buf,
                                  TimePoint arrived) {
  Instruments->Decisions[static_cast<std::size_t>(decision.Reason)]->add();
  logDecision(decision, packet);
  const FlowEndpoints flow{packet.Source, packet.Destination};
  if (decision.Action == RelayAction::Reset) {
    return send({.Content = DatagramInfo::Kind::Reset,
                 .To = {packet.Source.Address, Settings.Listen.Port},
                 .Flow = flow},
                Format->makeReset(packet));
  }
  if (decision.Action == RelayAction::Defer && decision.Wait) {
    Router->waiting().add(flow, buf, *decision.Wait);
    if (!WaitTimer)
      WaitTimer = startTimer(Context, WaitInterval, [this] { tryWaiting(); });
    return;
  }
  if (decision.Action == RelayAction::Defer) {
    Deferred.add(flow, buf, arrived);
    if (!RetryTimer)
      RetryTimer =
          startTimer(Context, RetryInterval, [this] { retryDeferred(); });
    return;
  }
  if (decision.Action == RelayAction::Query) {
    KeptForSearch.add(flow, buf, arrived);
    sendQueries(decision, flow);
    return queryTableIfNeeded();
  }
  if (decision.Action != RelayAction::Forward)
    return;
  if (decision.Reason == RelayReason::Search)
    KeptForSearch.add(flow, buf, arrived);
  sendToAgents(decision, packet, buf);
  if (decision.Reason == RelayReason::Search)
    KeptForSearch.markSent(flow, buf);
}

void RelayBalancer::send(const DatagramInfo &info,
                         std::span<const std::byte> data) {
  if (Link)
    Link->send(info, data);
  else
    transmit(info, data);
}

void RelayBalancer::transmit(const DatagramInfo &info,
                             std::span<const std::byte> data) {
  (info.Content == DatagramInfo::Kind::Reset ? CallerSocket : AgentSocket)
      ->send(data, info.To);
}

void RelayBalancer::sendToAgents(const RelayDecision &decision,
                                 const FlowPacket &packet,
                                 std::span<const std::byte> buf) {
  DatagramInfo info{.To = decision.Agent,
                    .Flow = {packet.Source, packet.Destination},
                    .Sequence = packet.Sequence,
                    .DataBytes = packet.DataBytes,
                    .Opens = packet.Opens,
                    .Ends = packet.Ends || packet.Resets};
  if (decision.IsChain) {
    for (const auto &[agent, chain] : makeChains(decision, buf)) {
      SendBuffer.clear();
      info.To = agent;
      Instruments->SearchChains.add();
      if (const auto encoded = encodeData(chain, SendBuffer); encoded.ok())
        send(info, SendBuffer);
      else
        logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
    }
    return;
  }
  SendBuffer.clear();
  const absl::Status encoded =
      encodeData(RelayedPacket{decision.Service, decision.Attempt,
                               decision.NeedsConfirmation,
                               decision.ColdMilliflowsPerSecond,
                               Bytes(buf.begin(), buf.end())},
                 SendBuffer);
  if (!encoded.ok()) {
    logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
    return;
  }
  send(info, SendBuffer);
  for (const Endpoint &it : decision.OtherAgents) {
    info.To = it;
    send(info, SendBuffer);
  }
  if (decision.Reason == RelayReason::Search)
    Instruments->SearchProbes.add(
        static_cast<double>(1 + decision.OtherAgents.size()));
}

void RelayBalancer::sendQueries(const RelayDecision &decision,
                                const FlowEndpoints &flow) {
  for (const QueryTarget &it : decision.Queries)
    Queries.add(flow, it);
  sendWaitingQueries();
  if (!SearchTimer)
    SearchTimer =
        startTimer(Context, SearchPollInterval, [this] { pollSearches(); });
}

void RelayBalancer::sendWaitingQueries() {
  const TimePoint now = steadyNow();
  for (QueryBatcher::Batch &it : Queries.take(now)) {
    Router->eraseFoundFlows(it.Query.Flows);
    if (it.Query.Flows.empty())
      continue;
    Router->onQuerySent(it.Query, it.Agent, now);
    SendBuffer.clear();
    const absl::Status encoded = encodeData(std::move(it.Query), SendBuffer);
    if (!encoded.ok()) {
      logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
      continue;
    }
    send({.Content = DatagramInfo::Kind::Query, .To = it.Agent, .Flow = {}},
         SendBuffer);
    Instruments->Queries.add();
  }
}

void RelayBalancer::applyToKeptPacket(const RelayDecision &decision,
                                      const FlowEndpoints &flow) {
  if (decision.Reason == RelayReason::Search &&
      decision.Action == RelayAction::Query)
    return sendQueries(decision, flow);
  const DeferredPackets::Packet *kept = KeptForSearch.find(flow);
  if (kept == nullptr)
    return;
  if (const auto packet = Format->decode(kept->Data))
    applyDecision(decision, *packet, Bytes(kept->Data), kept->Arrived);
  // A packet that is sent to agents in a search stays, because the search may
  // go on.
  if (decision.Action != RelayAction::Forward &&
      decision.Action != RelayAction::Query)
    KeptForSearch.takeOne(flow, steadyNow());
}

void RelayBalancer::pollSearches() {
  updateLinkState();
  sendWaitingQueries();
  if (!Router->isSearching() && Queries.isEmpty()) {
    SearchTimer.reset();
    return;
  }
  for (const FlowDecision &it :
       Router->pollSearches(*Control->table(), steadyNow()))
    applyToKeptPacket(it.Decision, it.Flow);
  queryTableIfNeeded();
}

void RelayBalancer::runPeriodicTasks() {
  const TimePoint now = steadyNow();
  if (now - LastRenewal >= RenewalInterval) {
    LastRenewal = now;
    Control->renewLease(now);
  }
  if (Link)
    Link->tick(now);
  Router->tick(now);
  KeptForSearch.expire(now);
  checkTableAge(now);
  publishWaiting();
  Instruments->Flows.set(static_cast<double>(Router->flowCount()));
  const bool isControlReachable =
      LastGrantAt != TimePoint{} && now - LastGrantAt < ControlLostTimeout;
  if (isControlReachable != IsControlReachable) {
    IsControlReachable = isControlReachable;
    logEvent(
        isControlReachable ? LogLevel::Info : LogLevel::Warning,
        isControlReachable ? "control_regained" : "control_lost",
        isControlReachable ? ""
                           : "control does not answer; packets are forwarded "
                             "with the current table",
        {{"revision", std::to_string(Control->table()->revision().Value)}});
  }
  if (!StopRequestedAt || now - *StopRequestedAt < StopDelay)
    return;
  PeriodicTaskTimer->stop();
  Control->stop();
  ReadinessServer->stop();
  if (MetricsServer)
    MetricsServer->stop();
  if (Link)
    Link->stop();
  CallerSocket->stop();
  AgentSocket->stop();
  logEvent(LogLevel::Info, "balancer_stopped", "");
  Context.stop();
}

void RelayBalancer::beginStop() {
  if (StopRequestedAt)
    return;
  StopRequestedAt = steadyNow();
  logEvent(LogLevel::Info, "stop_started",
           "no longer ready; packets of any flow are forwarded for 2 s before "
           "the process stops");
}

void RelayBalancer::reload(const BalancerSettings &settings) {
  Control->setControl(settings.Control);
}

} // namespace pistachio
