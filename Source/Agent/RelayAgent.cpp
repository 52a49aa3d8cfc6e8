#include "RelayAgent.h"

#include "platform/Platform.h"

#include <variant>

namespace pistachio {
namespace {

constexpr Duration StepInterval{100};
constexpr Duration AnnounceInterval{1000};
/// Time for the last announcement to leave the process.
constexpr Duration LeaveTime{200};
/// Reports that may be lost before the upstream takes no new flows.
constexpr int MissedReports = 3;

} // namespace

struct RelayAgent::Metrics {
  explicit Metrics(MetricsRegistry &registry)
      : Delivered(registry.gauge("pistachio_agent_packets_delivered",
                                 "Packets given to the upstream")),
        Answered(registry.gauge("pistachio_agent_packets_answered",
                                "Packets sent to callers")),
        NotHeld(registry.gauge("pistachio_agent_packets_not_held",
                               "Packets of flows that are held elsewhere")),
        Declined(registry.gauge("pistachio_agent_flows_declined",
                                "First packets sent to another upstream")),
        Bad(registry.gauge("pistachio_agent_bad_datagrams",
                           "Datagrams that could not be decoded")),
        Flows(registry.gauge("pistachio_agent_flows", "Flows held")),
        Busy(registry.gauge("pistachio_agent_busy_flows",
                            "Flows with a request in progress")),
        Open(registry.histogram("pistachio_agent_open_seconds",
                                "From a first packet to the upstream's answer, "
                                "seconds")),
        Answer(registry.histogram("pistachio_agent_answer_seconds",
                                  "From the data of a request to the first "
                                  "data of its answer, seconds")) {}

  Gauge &Delivered;
  Gauge &Answered;
  Gauge &NotHeld;
  Gauge &Declined;
  Gauge &Bad;
  Gauge &Flows;
  Gauge &Busy;
  Histogram &Open;
  Histogram &Answer;
};

RelayAgent::RelayAgent(boost::asio::io_context &context, AgentSettings settings)
    : Context(context), Settings(std::move(settings)),
      ProcessIncarnation(makeIncarnation()),
      Format(platform::makePacketFormat()), Registry(makeMetricsRegistry()),
      Measured(std::make_unique<Metrics>(*Registry)) {
  UpstreamGateOptions options;
  options.Service = Settings.Service;
  options.Upstream = Settings.BackEnd;
  options.CallerPort = Settings.Listen.Port;
  options.ColdOvershoot = Settings.ColdOvershoot;
  options.ColdSlack = Settings.ColdSlack;
  options.ReportTimeout = Duration(Settings.ReportMs) * MissedReports;
  Gate = makeUpstreamGate(std::move(options), *Format);
}

RelayAgent::~RelayAgent() = default;

absl::Status RelayAgent::start() {
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
  auto inner =
      openUdp(Context, Settings.Listen,
              [this](std::span<const std::byte> buf, const Endpoint &from) {
                onInnerDatagram(buf, from);
              });
  if (!inner.ok())
    return inner.status();
  Inner = *std::move(inner);
  auto outbound =
      openUdp(Context, Settings.Outbound,
              [this](std::span<const std::byte> buf, const Endpoint &) {
                onUpstreamDatagram(buf);
              });
  if (!outbound.ok())
    return outbound.status();
  Outbound = *std::move(outbound);
  auto reports =
      listenHttp(Context, Settings.Reports, platform::makeReportHandler(*this));
  if (!reports.ok())
    return reports.status();
  Reports = *std::move(reports);

  Control = std::make_unique<AnnouncementLink>(
      Context, Settings.Control,
      AnnouncementLink::Handlers{
          [this] { announce(); },
          [this](const AnnounceReply &reply) { onReply(reply); }});
  StepTimer = startTimer(Context, StepInterval, [this] { step(); });
  logEvent(LogLevel::Info, "agent_started", "waiting for the upstream",
           {{"service", Settings.Service},
            {"listen", toString(Settings.Listen)},
            {"upstream", toString(Settings.BackEnd)}});
  return absl::OkStatus();
}

ReportResult RelayAgent::onReport(const UpstreamReport &report) {
  const ReportResult result = Gate->onReport(report, steadyNow());
  if (result != ReportResult::Accepted)
    logEvent(LogLevel::Warning, "report_ignored",
             result == ReportResult::Outdated ? "an earlier report or lifetime"
                                              : "another service or address",
             {{"upstream", report.Id},
              {"service", report.Service},
              {"address", toString(report.Address)},
              {"sequence", std::to_string(report.Sequence)},
              {"born", std::to_string(report.BornMs)},
              {"known_born", std::to_string(Gate->bornMs())}});
  noteState();
  return result;
}

bool RelayAgent::onLeft(std::string_view id) {
  const bool known = Gate->onLeft(id);
  logEvent(LogLevel::Info, "upstream_left",
           known ? "" : "the upstream was not known",
           {{"upstream", std::string(id)}});
  noteState();
  return known;
}

/// Balancers should hear of a change at once.
void RelayAgent::noteState() {
  const GateState state = Gate->state(steadyNow());
  const bool isNewLife = Gate->bornMs() != AnnouncedBorn;
  if (state == LastState && !isNewLife)
    return;
  // Control keeps a drained or ended incarnation as it is.
  if (isNewLife && AnnouncedBorn != 0)
    ProcessIncarnation = makeIncarnation();
  AnnouncedBorn = Gate->bornMs();
  logEvent(LogLevel::Info, "upstream_state", "",
           {{"from", std::string(nameOf(LastState))},
            {"to", std::string(nameOf(state))},
            {"born", std::to_string(AnnouncedBorn)},
            {"flows", std::to_string(Gate->load().Flows)}});
  LastState = state;
  announce();
}

void RelayAgent::onInnerDatagram(std::span<const std::byte> buf,
                                 const Endpoint &from) {
  auto message = decodeData(buf);
  auto *relayed =
      message.ok() ? std::get_if<RelayedPacket>(&*message) : nullptr;
  if (relayed == nullptr) {
    logEvent(LogLevel::Warning, "datagram_invalid",
             message.ok() ? "unexpected kind" : message.status().ToString(),
             {{"from", toString(from)}});
    return;
  }
  GateOutput output;
  Gate->onRelayed(std::move(*relayed), from, steadyNow(), output);
  carryOut(output);
}

void RelayAgent::onUpstreamDatagram(std::span<const std::byte> buf) {
  GateOutput output;
  Gate->onUpstreamPacket(buf, steadyNow(), output);
  carryOut(output);
}

void RelayAgent::carryOut(const GateOutput &output) {
  for (const GateOutput::Timing &it : output.Timings) {
    const bool isOpen = it.Measured == GateOutput::Timing::Kind::Open;
    (isOpen ? Measured->Open : Measured->Answer).observe(toSeconds(it.Time));
  }
  for (const GateOutput::Datagram &it : output.Datagrams) {
    if (const auto *packet = std::get_if<Bytes>(&it.Content)) {
      Outbound->send(*packet, it.To);
      continue;
    }
    const auto &message = std::get<DataMessage>(it.Content);
    Output.clear();
    if (const absl::Status encoded = encodeData(message, Output);
        !encoded.ok()) {
      logEvent(LogLevel::Error, "encode_failed", encoded.ToString());
      continue;
    }
    Inner->send(Output, it.To);
    if (const auto *held = std::get_if<FlowHeld>(&message))
      logEvent(LogLevel::Info, "flow_held", "",
               {{"flow", toString(FlowEnds{held->Caller, held->Service})},
                {"first_sequence", std::to_string(held->FirstSequence)},
                {"balancer", toString(it.To)},
                {"busy", std::to_string(held->Load.BusyFlows)},
                {"flows", std::to_string(held->Load.Flows)}});
    if (const auto *returned = std::get_if<ReturnedPacket>(&message)) {
      const auto packet = Format->decode(returned->Packet);
      logEvent(
          LogLevel::Info, "packet_given_back", "",
          {{"flow",
            packet ? toString(FlowEnds{packet->Source, packet->Destination})
                   : ""},
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
  const GateState state = Gate->state(now);
  // Control suspects an upstream that is not announced.
  if (state == GateState::Waiting || state == GateState::Silent)
    return;
  LastAnnounce = now;
  Announce message;
  message.Service = Settings.Service;
  message.DataCentre = Settings.DataCentre;
  message.Zone = Settings.Zone;
  message.Machine = Settings.Machine;
  message.Address = Settings.Listen;
  message.ProcessIncarnation = ProcessIncarnation;
  message.Slots = Gate->load().Slots;
  message.Flows = Gate->load().Flows;
  message.Draining = state == GateState::Draining;
  message.Leaving = state == GateState::Ended;
  Control->send(message, now);
}

void RelayAgent::onReply(const AnnounceReply &reply) {
  if (reply.Result == AnnounceResult::Rejected)
    return;
  Gate->setWithdrawn(reply.Result == AnnounceResult::DataCentreOut ||
                     reply.Result == AnnounceResult::Draining);
}

void RelayAgent::step() {
  const TimePoint now = steadyNow();
  GateOutput output;
  Gate->tick(now, output);
  carryOut(output);
  noteState();
  if (now - LastAnnounce >= AnnounceInterval)
    announce();
  const GateCounters &counters = Gate->counters();
  Measured->Delivered.set(static_cast<double>(counters.Delivered));
  Measured->Answered.set(static_cast<double>(counters.Answered));
  Measured->NotHeld.set(static_cast<double>(counters.NotHeld));
  Measured->Declined.set(static_cast<double>(counters.Declined));
  Measured->Bad.set(static_cast<double>(counters.Bad));
  Measured->Flows.set(Gate->load().Flows);
  Measured->Busy.set(Gate->load().BusyFlows);
  if (StopBegan && now - *StopBegan >= LeaveTime)
    finish();
}

void RelayAgent::beginStop() {
  if (StopBegan)
    return;
  StopBegan = steadyNow();
  announce();
}

void RelayAgent::finish() {
  logEvent(LogLevel::Info, "agent_stopped", "",
           {{"flows", std::to_string(Gate->load().Flows)}});
  StepTimer->stop();
  Control->stop();
  Reports->stop();
  if (MetricsServer)
    MetricsServer->stop();
  Inner->stop();
  Outbound->stop();
  Context.stop();
}

void RelayAgent::reload(const AgentSettings &settings) {
  Control->setControl(settings.Control);
}

} // namespace pistachio
