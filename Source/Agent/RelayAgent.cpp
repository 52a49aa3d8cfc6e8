#include "RelayAgent.h"

#include "platform/Platform.h"

#include <variant>

namespace pistachio {
namespace {

constexpr Duration StepInterval{100};
constexpr Duration AnnounceInterval{1000};
/// Delay before the sockets are closed, so that the last announcement is sent.
constexpr Duration LeaveGracePeriod{200};
/// Number of consecutive reports that may be missing before the upstream gets
/// no new flows.
constexpr int MaxMissedReports = 3;

} // namespace

struct RelayAgent::Metrics {
  explicit Metrics(MetricsRegistry &registry)
      : DeliveredPackets(registry.gauge("pistachio_agent_packets_delivered",
                                        "Packets given to the upstream")),
        AnsweredPackets(registry.gauge("pistachio_agent_packets_answered",
                                       "Packets sent to callers")),
        NotHeldPackets(
            registry.gauge("pistachio_agent_packets_not_held",
                           "Packets of flows that are held elsewhere")),
        DeclinedFlows(registry.gauge("pistachio_agent_flows_declined",
                                     "First packets sent to another upstream")),
        InvalidDatagrams(registry.gauge("pistachio_agent_bad_datagrams",
                                        "Datagrams that could not be decoded")),
        Flows(registry.gauge("pistachio_agent_flows", "Flows held")),
        BusyFlows(registry.gauge("pistachio_agent_busy_flows",
                                 "Flows with a request in progress")),
        OpenSeconds(
            registry.histogram("pistachio_agent_open_seconds",
                               "From a first packet to the upstream's answer, "
                               "seconds")),
        AnswerSeconds(
            registry.histogram("pistachio_agent_answer_seconds",
                               "From the data of a request to the first "
                               "data of its answer, seconds")) {}

  Gauge &DeliveredPackets;
  Gauge &AnsweredPackets;
  Gauge &NotHeldPackets;
  Gauge &DeclinedFlows;
  Gauge &InvalidDatagrams;
  Gauge &Flows;
  Gauge &BusyFlows;
  Histogram &OpenSeconds;
  Histogram &AnswerSeconds;
};

RelayAgent::RelayAgent(boost::asio::io_context &context, AgentSettings settings)
    : Context(context), Settings(std::move(settings)),
      ProcessIncarnation(makeIncarnation()),
      Format(platform::makePacketFormat()), Registry(makeMetricsRegistry()),
      PublishedMetrics(std::make_unique<Metrics>(*Registry)) {
  UpstreamRelayOptions options;
  options.Service = Settings.Service;
  options.Upstream = Settings.BackEnd;
  options.CallerPort = Settings.Listen.Port;
  options.ColdOvershoot = Settings.ColdOvershoot;
  options.ColdSlack = Settings.ColdSlack;
  options.ReportTimeout = Duration(Settings.ReportMs) * MaxMissedReports;
  options.ReportsServiceTime = Settings.ReportsServiceTime;
  options.StartedAtMs = wallClockMs();
  Gate = makeUpstreamRelay(std::move(options), *Format);
}

RelayAgent::~RelayAgent() = default;

absl::Status RelayAgent::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(Context, Settings.Metrics,
                               [this] { return Registry->text(); });
    // Metrics are optional: the agent must forward packets even if the port of
    // the metrics server is in use.
    if (served.ok())
      MetricsServer = *std::move(served);
    else
      logEvent(LogLevel::Error, "metrics_not_served",
               messageOf(served.status()));
  }
  auto balancerSocket =
      openUdp(Context, Settings.Listen,
              [this](std::span<const std::byte> buf, const Endpoint &from) {
                onBalancerDatagram(buf, from);
              });
  if (!balancerSocket.ok())
    return balancerSocket.status();
  BalancerSocket = *std::move(balancerSocket);
  auto packetSocket =
      openUdp(Context, Settings.Outbound,
              [this](std::span<const std::byte> buf, const Endpoint &) {
                onUpstreamDatagram(buf);
              });
  if (!packetSocket.ok())
    return packetSocket.status();
  PacketSocket = *std::move(packetSocket);
  auto reportServer =
      listenHttp(Context, Settings.Reports, platform::makeReportHandler(*this));
  if (!reportServer.ok())
    return reportServer.status();
  ReportServer = *std::move(reportServer);

  Control = std::make_unique<AnnouncementLink>(
      Context, Settings.Control,
      AnnouncementLink::Handlers{
          [this] { announce(); },
          [this](const AnnounceReply &reply) { onReply(reply); }});
  StepTimer = startTimer(Context, StepInterval, [this] { onStepTimer(); });
  logEvent(LogLevel::Info, "agent_started",
           "waiting for the first report of the upstream",
           {{"service", Settings.Service},
            {"listen", toString(Settings.Listen)},
            {"upstream", toString(Settings.BackEnd)}});
  return absl::OkStatus();
}

ReportResult RelayAgent::onReport(const UpstreamReport &report) {
  const ReportResult result = Gate->onReport(report, steadyNow());
  if (result != ReportResult::Accepted)
    logEvent(
        LogLevel::Warning, "report_ignored",
        result == ReportResult::Outdated
            ? "report is older than the last one, or belongs to an earlier "
              "lifetime"
            : "report names another service or address than this agent serves",
        {{"upstream", report.Id},
         {"service", report.Service},
         {"address", toString(report.Address)},
         {"sequence", std::to_string(report.Sequence)},
         {"born", std::to_string(report.StartedAtMs)},
         {"known_born", std::to_string(Gate->startedAtMs())}});
  announceStateChange();
  return result;
}

bool RelayAgent::onUpstreamEnded(std::string_view id) {
  const bool known = Gate->onUpstreamEnded(id);
  logEvent(LogLevel::Info, "upstream_left",
           known ? "" : "the upstream that left was not known to this agent",
           {{"upstream", std::string(id)}});
  announceStateChange();
  return known;
}

/// Balancers learn of a change through control, so it is announced without
/// waiting for the next interval.
void RelayAgent::announceStateChange() {
  const LocalUpstreamState state = Gate->state(steadyNow());
  const bool isNewLifetime = Gate->startedAtMs() != AnnouncedBornMs;
  if (state == LastState && !isNewLifetime)
    return;
  // Control never returns a drained or ended incarnation to service, so a new
  // lifetime of the upstream needs a new incarnation.
  if (isNewLifetime && AnnouncedBornMs != 0)
    ProcessIncarnation = makeIncarnation();
  AnnouncedBornMs = Gate->startedAtMs();
  logEvent(LogLevel::Info, "upstream_state", "",
           {{"from", std::string(nameOf(LastState))},
            {"to", std::string(nameOf(state))},
            {"born", std::to_string(AnnouncedBornMs)},
            {"flows", std::to_string(Gate->load().Flows)}});
  LastState = state;
  announce();
}

void RelayAgent::onBalancerDatagram(std::span<const std::byte> buf,
                                    const Endpoint &from) {
  auto message = decodeData(buf);
  RelayOutput output;
  if (message.ok())
    if (const auto *query = std::get_if<FlowQuery>(&*message)) {
      Gate->onFlowQuery(*query, from, steadyNow(), output);
      return executeOutput(output);
    }
  if (message.ok())
    if (auto *chained = std::get_if<ChainedPacket>(&*message)) {
      Gate->onChainedPacket(std::move(*chained), from, steadyNow(), output);
      return executeOutput(output);
    }
  auto *relayed =
      message.ok() ? std::get_if<RelayedPacket>(&*message) : nullptr;
  if (relayed == nullptr) {
    logEvent(LogLevel::Warning, "datagram_invalid",
             message.ok() ? "unexpected kind of message; dropping it"
                          : message.status().ToString(),
             {{"from", toString(from)}});
    return;
  }
  Gate->onRelayedPacket(std::move(*relayed), from, steadyNow(), output);
  executeOutput(output);
}

void RelayAgent::onUpstreamDatagram(std::span<const std::byte> buf) {
  RelayOutput output;
  Gate->onUpstreamPacket(buf, steadyNow(), output);
  executeOutput(output);
}

void RelayAgent::executeOutput(const RelayOutput &output) {
  for (const RelayOutput::Timing &it : output.Timings) {
    const bool isOpen = it.Interval == RelayOutput::Timing::Kind::Open;
    (isOpen ? PublishedMetrics->OpenSeconds : PublishedMetrics->AnswerSeconds)
        .observe(toSeconds(it.Elapsed));
  }
  for (const RelayOutput::Datagram &it : output.Datagrams) {
    if (const auto *packet = std::get_if<Bytes>(&it.Content)) {
      PacketSocket->send(*packet, it.To);
      continue;
    }
    const auto &message = std::get<DataMessage>(it.Content);
    EncodeBuffer.clear();
    if (const absl::Status encoded = encodeData(message, EncodeBuffer);
        !encoded.ok()) {
      logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
      continue;
    }
    BalancerSocket->send(EncodeBuffer, it.To);
    if (const auto *flowHeld = std::get_if<FlowHeld>(&message))
      logEvent(LogLevel::Info, "flow_held", "",
               {{"flow",
                 toString(FlowEndpoints{flowHeld->Caller, flowHeld->Service})},
                {"first_sequence", std::to_string(flowHeld->FirstSequence)},
                {"balancer", toString(it.To)},
                {"busy", std::to_string(flowHeld->Load.BusyFlows)},
                {"flows", std::to_string(flowHeld->Load.Flows)}});
    const auto flowOf = [this](const Bytes &buf) {
      const auto packet = Format->decode(buf);
      return packet
                 ? toString(FlowEndpoints{packet->Source, packet->Destination})
                 : "";
    };
    if (const auto *chained = std::get_if<ChainedPacket>(&message))
      logEvent(LogLevel::Info, "packet_passed_on", "",
               {{"flow", flowOf(chained->Packet)},
                {"agent", toString(it.To)},
                {"balancer", toString(chained->OriginBalancer)},
                {"remaining", std::to_string(chained->NextAgents.size())}});
    if (const auto *returned = std::get_if<ReturnedPacket>(&message)) {
      logEvent(
          LogLevel::Info, "packet_given_back", "",
          {{"flow", flowOf(returned->Packet)},
           {"why", returned->Reason == ReturnReason::Declined ? "declined"
                                                              : "not-held"},
           {"state", std::string(nameOf(Gate->state(steadyNow())))},
           {"busy", std::to_string(returned->Load.BusyFlows)},
           {"retry_ms", std::to_string(returned->RetryAfterMs)}});
    }
  }
}

void RelayAgent::announce() {
  const TimePoint now = steadyNow();
  const LocalUpstreamState state = Gate->state(now);
  // Without announcements, control marks the upstream as suspect, which is the
  // intended state while there are no reports.
  if (state == LocalUpstreamState::Waiting ||
      state == LocalUpstreamState::Silent)
    return;
  LastAnnouncedAt = now;
  Announce message;
  message.Service = Settings.Service;
  message.DataCentre = Settings.DataCentre;
  message.Zone = Settings.Zone;
  message.Machine = Settings.Machine;
  message.Address = Settings.Listen;
  message.ProcessIncarnation = ProcessIncarnation;
  message.Slots = Gate->load().Slots;
  message.Flows = Gate->load().Flows;
  message.Draining = state == LocalUpstreamState::Draining;
  message.Leaving = state == LocalUpstreamState::Ended;
  Control->send(message, now);
}

void RelayAgent::onReply(const AnnounceReply &reply) {
  if (reply.Result == AnnounceResult::Rejected)
    return;
  Gate->setUpstreamWithdrawn(reply.Result == AnnounceResult::DataCentreOut ||
                             reply.Result == AnnounceResult::Draining);
}

void RelayAgent::onStepTimer() {
  const TimePoint now = steadyNow();
  RelayOutput output;
  Gate->tick(now, output);
  executeOutput(output);
  announceStateChange();
  if (now - LastAnnouncedAt >= AnnounceInterval)
    announce();
  const RelayCounters &counters = Gate->counters();
  PublishedMetrics->DeliveredPackets.set(
      static_cast<double>(counters.Delivered));
  PublishedMetrics->AnsweredPackets.set(static_cast<double>(counters.Answered));
  PublishedMetrics->NotHeldPackets.set(static_cast<double>(counters.NotHeld));
  PublishedMetrics->DeclinedFlows.set(static_cast<double>(counters.Declined));
  PublishedMetrics->InvalidDatagrams.set(
      static_cast<double>(counters.Malformed));
  PublishedMetrics->Flows.set(Gate->load().Flows);
  PublishedMetrics->BusyFlows.set(Gate->load().BusyFlows);
  if (StopBeganAt && now - *StopBeganAt >= LeaveGracePeriod)
    shutDown();
}

void RelayAgent::beginStop() {
  if (StopBeganAt)
    return;
  StopBeganAt = steadyNow();
  announce();
}

void RelayAgent::shutDown() {
  logEvent(LogLevel::Info, "agent_stopped", "",
           {{"flows", std::to_string(Gate->load().Flows)}});
  StepTimer->stop();
  Control->stop();
  ReportServer->stop();
  if (MetricsServer)
    MetricsServer->stop();
  BalancerSocket->stop();
  PacketSocket->stop();
  Context.stop();
}

void RelayAgent::reload(const AgentSettings &settings) {
  Control->setControlServers(settings.Control);
}

} // namespace pistachio
