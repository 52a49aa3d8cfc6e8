#include "AgentDaemon.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <variant>

namespace pistachio {
namespace {

constexpr Duration AnnounceInterval{1000};
constexpr Duration StepInterval{50};
constexpr Duration PlacementTickInterval{1000};

/// Time for the last answers and the last announcement to leave the process.
constexpr Duration LeaveTime{500};

} // namespace

AgentDaemon::AgentDaemon(boost::asio::io_context &context,
                         AgentSettings settings)
    : Context(context), Settings(std::move(settings)),
      ProcessIncarnation(makeIncarnation()), Metrics(makeMetricsRegistry()),
      Published(std::make_unique<AgentMetrics>(*Metrics, Settings.Service)) {}

absl::Status AgentDaemon::start() {
  if (Settings.Metrics.Port != 0) {
    auto served = serveMetrics(Context, Settings.Metrics,
                               [this] { return Metrics->text(); });
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
  StepTimer = startTimer(Context, StepInterval, [this] { step(); });
  logEvent(
      LogLevel::Info, "agent_started", "the agent is announcing its upstream",
      {{"service", Settings.Service}, {"listen", toString(Udp->endpoint())}});
  return absl::OkStatus();
}

void AgentDaemon::onDatagram(std::span<const std::byte> buf,
                             const Endpoint & /*from*/) {
  auto message = decodeData(buf);
  if (!message.ok()) {
    ++BadDatagrams;
    return;
  }
  const TimePoint now = steadyNow();
  PlacementOutput output;
  if (auto *forwarded = std::get_if<ForwardedPacket>(&*message))
    Placement->onForwarded(std::move(*forwarded), now, output);
  else if (auto *missed = std::get_if<ProbeMissed>(&*message))
    Placement->onProbeMissed(std::move(missed->Forwarded), now, output);
  else if (const auto *report = std::get_if<LoadReport>(&*message))
    Placement->onLoadReport(*report, now);
  else
    ++BadDatagrams;
  carryOut(std::move(output), now);
}

void AgentDaemon::carryOut(PlacementOutput output, TimePoint now) {
  const auto closeFlows = [&] {
    for (const FlowKey &it : output.Closed)
      Requests->closeFlow({it.Caller, it.Flow}, now);
  };
  // Closing refuses requests that were not begun. A caller takes no refusal
  // after the reset of its flow and would end them with an unknown outcome.
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
    logEvent(LogLevel::Error, "encode_failed", "a datagram exceeds its bounds",
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
             "a session message exceeds its bounds",
             {{"error", encoded.ToString()}});
    return;
  }
  sendDatagram(
      Placement->makeAnswer({flow.Caller, flow.Flow}, std::move(payload)));
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
  message.Draining = StopBegan.has_value();
  message.Leaving = LeavingSince.has_value();
  Control->send(message, steadyNow());
}

void AgentDaemon::onReply(const AnnounceReply &reply) {
  const TimePoint now = steadyNow();
  Requests->setSlots(reply.Slots == 0 ? Settings.Slots
                                      : std::min(Settings.Slots, reply.Slots));
  PlacementOutput output;
  Placement->onAnnounceReply(reply, now, output);
  carryOut(std::move(output), now);
}

void AgentDaemon::step() {
  const TimePoint now = steadyNow();
  Requests->tick(now);
  Placement->setLoad(Requests->coldLoad());
  if (now - LastPlacementTick >= PlacementTickInterval) {
    LastPlacementTick = now;
    PlacementOutput output;
    Placement->tick(now, output);
    carryOut(std::move(output), now);
    Published->update(*Placement, {Requests->limit(), Requests->inFlight(),
                                   Requests->badPayloads(),
                                   BadDatagrams + Control->badFrames()});
  }
  if (StopBegan)
    checkStop(now);
}

void AgentDaemon::beginStop() {
  if (StopBegan)
    return;
  const TimePoint now = steadyNow();
  StopBegan = now;
  Placement->beginDrain(now);
  logEvent(LogLevel::Info, "drain_started", "no new flows are taken",
           {{"flows", std::to_string(Placement->flowCount())}});
  announce();
}

void AgentDaemon::checkStop(TimePoint now) {
  if (LeavingSince) {
    if (now - *LeavingSince >= LeaveTime)
      finish();
    return;
  }
  const Duration limit = std::chrono::seconds(Settings.DrainSeconds);
  const bool isTimeOver = limit > Duration::zero() && now - *StopBegan >= limit;
  const bool isEmpty = Placement->flowCount() == 0 || isTimeOver;
  if (!isEmpty || Requests->unfinished() != 0)
    return;
  LeavingSince = now;
  announce();
}

void AgentDaemon::finish() {
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
