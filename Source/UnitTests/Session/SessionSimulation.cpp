#include "Session/SessionSimulation.h"

namespace pistachio {
namespace {

constexpr Duration TickInterval{5};
constexpr Duration LinkDelay{2};
/// Longer than any deadline in the tests, so that late copies arrive when the
/// requests have ended.
constexpr Duration LateCopyDelay{8000};

std::string ledgerId(RequestId id) { return std::to_string(id.Low); }

Bytes makeBody(std::uint64_t seed, std::size_t n) {
  Bytes buf(n);
  for (std::size_t i = 0; i < n; ++i)
    buf[i] = static_cast<std::byte>(mix64(seed + i));
  return buf;
}

} // namespace

SessionSimulation::SessionSimulation(SimulationOptions options)
    : Options(std::move(options)), Random(Options.Seed) {
  Options.Caller.Seed = Options.Seed;
  Options.Caller.Caller = {0x7F000001, 4000};
  Caller = makeCallerSession(Options.Caller);
  restartAgent();
}

double SessionSimulation::randomFraction() {
  Random += 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mix64(Random) >> 11) * 0x1.0p-53;
}

void SessionSimulation::restartAgent() {
  if (!Options.KeepsIncarnation)
    ++ProcessIncarnation.Value;
  Gate.Free = Options.Slots;
  Flows.clear();
  Options.Records.ProcessIncarnation = ProcessIncarnation;
  Records = makeRequestRecords(Options.Records, Gate);
}

RequestId SessionSimulation::start(bool idempotent, std::size_t bodyBytes,
                                   Duration deadline) {
  const RequestId id{7, ++LastId};
  CallerRequest request{id,         "POST",   "/work",
                        idempotent, deadline, makeBody(LastId, bodyBytes)};
  Ledger.addStart(ledgerId(id),
                  {"service", idempotent, checksum32(request.Body)});
  CallerOutput output;
  Caller->start(std::move(request), Now, output);
  process(output);
  return id;
}

void SessionSimulation::cancel(RequestId id) {
  CallerOutput output;
  Caller->cancel(id, Now, output);
  process(output);
}

void SessionSimulation::run(Duration limit) {
  const TimePoint end = Now + limit;
  TimePoint quietEnd = end;
  while (Now < std::min(end, quietEnd)) {
    Now += TickInterval;
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto step = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      step();
    }
    CallerOutput callerOutput;
    Caller->tick(Now, callerOutput);
    process(callerOutput);
    RequestRecordsOutput output;
    Records->tick(Now, output);
    process(output);
    if (Caller->openRequests() > 0) {
      quietEnd = end;
    } else if (quietEnd == end) {
      quietEnd = Now + LateCopyDelay + Duration(1000);
      Gate.Free += Options.LaterSlots;
    }
  }
}

void SessionSimulation::process(CallerOutput &output) {
  for (CallerPacket &packet : output.Packets)
    transmit([this, packet] { deliverToAgent(packet); });
  for (const CallerResult &it : output.Results)
    Ledger.addResult(ledgerId(it.Id),
                     it.Kind == ResultKind::Answered ? Reported::Answered
                     : it.Kind == ResultKind::NotRun ? Reported::NotRun
                                                     : Reported::Unknown,
                     checksum32(it.Body));
}

void SessionSimulation::process(RequestRecordsOutput &output) {
  for (const BackEndCall &call : output.Calls)
    callBackEnd(call);
  Gate.Free += static_cast<std::uint32_t>(output.Cancelled.size());
  for (SessionReply &reply : output.Replies) {
    Bytes payload;
    if (Options.AlterReply)
      Options.AlterReply(reply.Message);
    if (encodeSession(reply.Message, payload).ok())
      sendToCaller(reply.Flow, CallerReplyKind::Data, std::move(payload));
  }
}

void SessionSimulation::transmit(std::function<void()> deliver) {
  const auto planned = PlannedFaults.find(PacketsSent++);
  Fault fault = planned == PlannedFaults.end() ? Fault::None : planned->second;
  Duration delay = LinkDelay;
  if (Options.FaultProbability > 0 && fault == Fault::None) {
    if (randomFraction() < Options.FaultProbability)
      fault = Fault::Drop;
    else if (randomFraction() < Options.FaultProbability)
      fault = randomFraction() < 0.5 ? Fault::Repeat : Fault::LateCopy;
    else if (randomFraction() < Options.FaultProbability)
      fault = Fault::Delay;
  }
  switch (fault) {
  case Fault::None:
    break;
  case Fault::Drop:
    return;
  case Fault::Repeat:
    schedule(delay, deliver);
    break;
  case Fault::Delay:
    delay += Duration(150);
    break;
  case Fault::LateCopy:
    schedule(LateCopyDelay, deliver);
    break;
  case Fault::RestartBefore:
    restartAgent();
    break;
  case Fault::RestartAfter:
    schedule(delay + TickInterval, [this] { restartAgent(); });
    break;
  case Fault::RestartAndReopen:
    schedule(delay, [this] {
      const auto flows = Flows;
      restartAgent();
      Flows = flows;
    });
    break;
  case Fault::Cancel:
    schedule(delay, [this] { cancel({7, LastId}); });
    break;
  case Fault::FlowClosed:
    schedule(delay, [this] {
      const auto flows = std::exchange(Flows, {});
      for (const SessionKey &flow : flows) {
        RequestRecordsOutput output;
        Records->onFlowClosed(flow, Now, output);
        process(output);
      }
    });
    break;
  }
  schedule(delay, std::move(deliver));
}

void SessionSimulation::deliverToAgent(const CallerPacket &packet) {
  const SessionKey flow{packet.Caller, packet.Flow};
  if (DroppedFlows.contains(flow))
    return;
  if (packet.Flags & PacketFlag::First) {
    Flows.insert(flow);
    return sendToCaller(flow, CallerReplyKind::Accept, {});
  }
  if (!Flows.contains(flow)) {
    if (packet.Flags & PacketFlag::Established)
      sendToCaller(flow, CallerReplyKind::Reset, {});
    return;
  }
  if (Options.ForgetsRecords)
    Records = makeRequestRecords(Options.Records, Gate);
  RequestRecordsOutput output;
  Records->receive(flow, packet.Payload, Now, output);
  process(output);
}

void SessionSimulation::sendToCaller(const SessionKey &flow,
                                     CallerReplyKind kind, Bytes payload) {
  CallerReply reply{flow.Flow,
                    kind,
                    {UpstreamId{1}, ProcessIncarnation},
                    0,
                    std::move(payload)};
  transmit([this, reply] {
    CallerOutput output;
    Caller->receive(reply, Now, output);
    process(output);
  });
}

void SessionSimulation::callBackEnd(const BackEndCall &call) {
  const char outcome = BackEndCalls < Options.BackEndOutcomes.size()
                           ? Options.BackEndOutcomes[BackEndCalls]
                           : 'a';
  ++BackEndCalls;
  Bytes body = makeBody(call.Request.Low + 1000, Options.ResponseBytes);
  if (outcome == 'a' || outcome == 'f')
    Ledger.addRun(ledgerId(call.Request),
                  {"service", checksum32(call.Body), checksum32(body)});
  const Incarnation processIncarnation = ProcessIncarnation;
  schedule(Options.Latency, [this, processIncarnation, outcome,
                             id = call.Request,
                             body = std::move(body)]() mutable {
    // A response to a process that has been replaced is discarded.
    if (processIncarnation != ProcessIncarnation)
      return;
    ++Gate.Free;
    RequestRecordsOutput output;
    if (outcome == 'a')
      Records->onBackEndResponse(id, 200, std::move(body), Now, output);
    else if (outcome == 's')
      Records->onBackEndShed(id, Duration(40), Now, output);
    else
      Records->onBackEndFailure(id, outcome == 'f', Now, output);
    process(output);
  });
}

} // namespace pistachio
