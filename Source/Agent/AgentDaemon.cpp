#include "AgentDaemon.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <variant>

namespace pistachio {
namespace {

constexpr Duration AnnounceInterval{1000};
constexpr Duration StepInterval{50};
constexpr Duration PlacementTickInterval{1000};

/// Delay before the sockets are closed, so that the last answers and the last
/// announcement are sent.
constexpr Duration LeaveGracePeriod{500};

} // namespace

AgentDaemon::AgentDaemon(boost::asio::io_context &context,
                         AgentSettings settings)
    : Context(context), Settings(std::move(settings)),
      ProcessIncarnation(makeIncarnation()), Registry(makeMetricsRegistry()),
      PublishedMetrics(
          std::make_unique<AgentMetrics>(*Registry, Settings.Service)) {}

absl::Status AgentDaemon::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(Context, Settings.Metrics,
                               [this] { return Registry->text(); });
    if (!served.ok())
      return served.status();
    MetricsServer = *std::move(served);
  }
  auto udp = openUdp(Context, Settings.Listen,
                     [this](std::span<const std::byte> buf,
                            const Endpoint &from) { onDatagram(buf, from); });
  if (!udp.ok())
    return udp.status();
  Udp = *std::move(udp);

  PlacementOptions options;
  options.ProcessIncarnation = ProcessIncarnation;
  options.Address = Udp->endpoint();
  options.MaxFlows = Settings.MaxFlows;
  Placement = makeFlowPlacement(options, steadyNow());
  Requests = std::make_unique<RequestRunner>(
      Context,
      RequestRunnerOptions{Settings.BackEnd, Settings.Slots,
                           ProcessIncarnation},
      [this](const SessionKey &flow, const SessionMessage &message) {
        sendAnswer(flow, message);
      });

  Control = std::make_unique<AnnouncementLink>(
      Context, Settings.Control,
      AnnouncementLink::Handlers{
          [this] { announce(); },
          [this](const AnnounceReply &reply) { onReply(reply); }});
  AnnounceTimer = startTimer(Context, AnnounceInterval, [this] { announce(); });
  StepTimer = startTimer(Context, StepInterval, [this] { onStepTimer(); });
  logEvent(
      LogLevel::Info, "agent_started",
      "the agent serves flows and announces its upstream",
      {{"service", Settings.Service}, {"listen", toString(Udp->endpoint())}});
  return absl::OkStatus();
}

void AgentDaemon::onDatagram(std::span<const std::byte> buf,
                             const Endpoint & /*from*/) {
  auto message = decodeData(buf);
  if (!message.ok()) {
    ++InvalidDatagrams;
    return;
  }
  const TimePoint now = steadyNow();
  PlacementOutput output;
  if (auto *forwarded = std::get_if<ForwardedPacket>(&*message))
    Placement->onForwarded(std::move(*forwarded), now, output);
  else if (auto *probeMissed = std::get_if<ProbeMissed>(&*message))
    Placement->onProbeMissed(std::move(probeMissed->Forwarded), now, output);
  else if (const auto *report = std::get_if<LoadReport>(&*message))
    Placement->onLoadReport(*report, now);
  else
    ++InvalidDatagrams;
  executeOutput(std::move(output), now);
}

void AgentDaemon::executeOutput(PlacementOutput output, TimePoint now) {
  const auto closeFlows = [&] {
    for (const FlowKey &it : output.Closed)
      Requests->closeFlow({it.Caller, it.Flow}, now);
  };
  // Closing a flow rejects its requests that have not started. The rejections
  // must be sent before the reset of the flow: a caller ignores them after the
  // reset and would report these requests with an unknown outcome.
  const bool closesFirst = output.Delivered.empty();
  if (closesFirst)
    closeFlows();
  for (const OutgoingDatagram &it : output.Datagrams)
    sendDatagram(it);
  for (const DeliveredPayload &it : output.Delivered)
    Requests->receive({it.Flow.Caller, it.Flow.Flow}, it.Payload, now);
  if (!closesFirst)
    closeFlows();
}

void AgentDaemon::sendDatagram(const OutgoingDatagram &datagram) {
  Bytes buf;
  const absl::Status encoded = encodeData(datagram.Message, buf);
  if (!encoded.ok()) {
    logEvent(LogLevel::Error, "encode_failed",
             "a datagram exceeds its size limits and is not sent",
             {{"error", encoded.ToString()}});
    return;
  }
  Udp->send(buf, datagram.To);
}

void AgentDaemon::sendAnswer(const SessionKey &flow,
                             const SessionMessage &message) {
  Bytes payload;
  const absl::Status encoded = encodeSession(message, payload);
  if (!encoded.ok()) {
    logEvent(LogLevel::Error, "encode_failed",
             "a session message exceeds its size limits and is not sent",
             {{"error", encoded.ToString()}});
    return;
  }
  sendDatagram(
      Placement->makeReply({flow.Caller, flow.Flow}, std::move(payload)));
}

void AgentDaemon::announce() {
  Announce message;
  message.Service = Settings.Service;
  message.DataCentre = Settings.DataCentre;
  message.Zone = Settings.Zone;
  message.Machine = Settings.Machine;
  message.Address = Udp->endpoint();
  message.ProcessIncarnation = ProcessIncarnation;
  message.Slots = Settings.Slots;
  message.Flows = static_cast<std::uint32_t>(Placement->flowCount());
  message.Draining = StopBeganAt.has_value();
  message.Leaving = LeavingSince.has_value();
  Control->send(message, steadyNow());
}

void AgentDaemon::onReply(const AnnounceReply &reply) {
  const TimePoint now = steadyNow();
  Requests->setSlots(reply.Slots == 0 ? Settings.Slots
                                      : std::min(Settings.Slots, reply.Slots));
  PlacementOutput output;
  Placement->onAnnounceReply(reply, now, output);
  executeOutput(std::move(output), now);
}

void AgentDaemon::onStepTimer() {
  const TimePoint now = steadyNow();
  Requests->tick(now);
  Placement->setRequestLoad(Requests->coldLoadPermille());
  if (now - LastPlacementTick >= PlacementTickInterval) {
    LastPlacementTick = now;
    PlacementOutput output;
    Placement->tick(now, output);
    executeOutput(std::move(output), now);
    PublishedMetrics->update(*Placement,
                             {Requests->limit(), Requests->inFlight(),
                              Requests->badPayloads(),
                              InvalidDatagrams + Control->invalidFrames()});
  }
  if (StopBeganAt)
    checkDrainCompletion(now);
}

void AgentDaemon::beginStop() {
  if (StopBeganAt)
    return;
  const TimePoint now = steadyNow();
  StopBeganAt = now;
  Placement->beginShutdown(now);
  logEvent(LogLevel::Info, "drain_started",
           "no new flows are accepted; waiting for the open flows to end",
           {{"flows", std::to_string(Placement->flowCount())}});
  announce();
}

void AgentDaemon::checkDrainCompletion(TimePoint now) {
  if (LeavingSince) {
    if (now - *LeavingSince >= LeaveGracePeriod)
      shutDown();
    return;
  }
  const Duration limit = std::chrono::seconds(Settings.DrainSeconds);
  const bool hasDrainTimedOut =
      limit > Duration::zero() && now - *StopBeganAt >= limit;
  const bool isDrained = Placement->flowCount() == 0 || hasDrainTimedOut;
  if (!isDrained || Requests->unfinished() != 0)
    return;
  LeavingSince = now;
  announce();
}

void AgentDaemon::shutDown() {
  logEvent(LogLevel::Info, "agent_stopped", "all requests have been answered",
           {{"flows", std::to_string(Placement->flowCount())}});
  AnnounceTimer->stop();
  StepTimer->stop();
  Control->stop();
  if (MetricsServer)
    MetricsServer->stop();
  Udp->stop();
  Context.stop();
}

} // namespace pistachio
