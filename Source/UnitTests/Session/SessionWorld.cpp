#include "Session/SessionWorld.h"

namespace pistachio {
namespace {

constexpr Duration Step{5};
constexpr Duration OneWay{2};
/// Longer than any deadline in the tests, so that late copies meet finished
/// requests.
constexpr Duration Late{8000};

std::string name(RequestId id) { return std::to_string(id.Low); }

Bytes patterned(std::uint64_t seed, std::size_t n) {
  Bytes buf(n);
  for (std::size_t i = 0; i < n; ++i)
    buf[i] = static_cast<std::byte>(mix64(seed + i));
  return buf;
}

} // namespace

SessionWorld::SessionWorld(WorldOptions options)
    : Options(std::move(options)), Random(Options.Seed) {
  Options.Caller.Seed = Options.Seed;
  Options.Caller.Caller = {0x7F000001, 4000};
  Caller = makeCallerSession(Options.Caller);
  restartAgent();
}

double SessionWorld::chance() {
  Random += 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mix64(Random) >> 11) * 0x1.0p-53;
}

void SessionWorld::restartAgent() {
  if (!Options.ForgetIncarnation)
    ++ProcessIncarnation.Value;
  Gate.Free = Options.Slots;
  Flows.clear();
  Options.Records.ProcessIncarnation = ProcessIncarnation;
  Records = makeRequestRecords(Options.Records, Gate);
}

RequestId SessionWorld::start(bool idempotent, std::size_t bodyBytes,
                              Duration deadline) {
  const RequestId id{7, ++LastId};
  CallerRequest request{id,         "POST",   "/work",
                        idempotent, deadline, patterned(LastId, bodyBytes)};
  Ledger.addStart(name(id), {"service", idempotent, checksum32(request.Body)});
  CallerOutput output;
  Caller->start(std::move(request), Now, output);
  take(output);
  return id;
}

void SessionWorld::cancel(RequestId id) {
  CallerOutput output;
  Caller->cancel(id, Now, output);
  take(output);
}

void SessionWorld::run(Duration limit) {
  const TimePoint end = Now + limit;
  TimePoint quietEnd = end;
  while (Now < std::min(end, quietEnd)) {
    Now += Step;
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto step = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      step();
    }
    CallerOutput callerOutput;
    Caller->tick(Now, callerOutput);
    take(callerOutput);
    RequestRecordsOutput output;
    Records->tick(Now, output);
    take(output);
    if (Caller->openRequests() > 0) {
      quietEnd = end;
    } else if (quietEnd == end) {
      quietEnd = Now + Late + Duration(1000);
      Gate.Free += Options.SlotsLater;
    }
  }
}

void SessionWorld::take(CallerOutput &output) {
  for (CallerPacket &packet : output.Packets)
    carry([this, packet] { toAgent(packet); });
  for (const CallerResult &it : output.Results)
    Ledger.addResult(name(it.Id),
                     it.Kind == ResultKind::Answered ? Reported::Answered
                     : it.Kind == ResultKind::NotRun ? Reported::NotRun
                                                     : Reported::Unknown,
                     checksum32(it.Body));
}

void SessionWorld::take(RequestRecordsOutput &output) {
  for (const BackEndCall &call : output.Calls)
    callBackEnd(call);
  Gate.Free += static_cast<std::uint32_t>(output.Cancelled.size());
  for (SessionAnswer &answer : output.Answers) {
    Bytes payload;
    if (Options.AlterAnswer)
      Options.AlterAnswer(answer.Message);
    if (encodeSession(answer.Message, payload).ok())
      toCaller(answer.Flow, CallerReplyKind::Data, std::move(payload));
  }
}

void SessionWorld::carry(std::function<void()> deliver) {
  const auto planned = Plan.find(Sent++);
  Fault fault = planned == Plan.end() ? Fault::None : planned->second;
  Duration delay = OneWay;
  if (Options.Noise > 0 && fault == Fault::None) {
    if (chance() < Options.Noise)
      fault = Fault::Drop;
    else if (chance() < Options.Noise)
      fault = chance() < 0.5 ? Fault::Repeat : Fault::LateCopy;
    else if (chance() < Options.Noise)
      fault = Fault::Delay;
  }
  switch (fault) {
  case Fault::None:
    break;
  case Fault::Drop:
    return;
  case Fault::Repeat:
    at(delay, deliver);
    break;
  case Fault::Delay:
    delay += Duration(150);
    break;
  case Fault::LateCopy:
    at(Late, deliver);
    break;
  case Fault::RestartBefore:
    restartAgent();
    break;
  case Fault::RestartAfter:
    at(delay + Step, [this] { restartAgent(); });
    break;
  case Fault::RestartAndReopen:
    at(delay, [this] {
      const auto flows = Flows;
      restartAgent();
      Flows = flows;
    });
    break;
  case Fault::CancelNow:
    at(delay, [this] { cancel({7, LastId}); });
    break;
  case Fault::FlowClosed:
    at(delay, [this] {
      const auto flows = std::exchange(Flows, {});
      for (const SessionKey &flow : flows) {
        RequestRecordsOutput output;
        Records->onFlowClosed(flow, Now, output);
        take(output);
      }
    });
    break;
  }
  at(delay, std::move(deliver));
}

void SessionWorld::toAgent(const CallerPacket &packet) {
  const SessionKey flow{packet.Caller, packet.Flow};
  if (Silent.contains(flow))
    return;
  if (packet.Flags & PacketFlag::First) {
    Flows.insert(flow);
    return toCaller(flow, CallerReplyKind::Accept, {});
  }
  if (!Flows.contains(flow)) {
    if (packet.Flags & PacketFlag::Established)
      toCaller(flow, CallerReplyKind::Reset, {});
    return;
  }
  if (Options.ClearRecordsBetweenPackets)
    Records = makeRequestRecords(Options.Records, Gate);
  RequestRecordsOutput output;
  Records->receive(flow, packet.Payload, Now, output);
  take(output);
}

void SessionWorld::toCaller(const SessionKey &flow, CallerReplyKind kind,
                            Bytes payload) {
  CallerReply answer{flow.Flow,
                     kind,
                     {UpstreamId{1}, ProcessIncarnation},
                     0,
                     std::move(payload)};
  carry([this, answer] {
    CallerOutput output;
    Caller->receive(answer, Now, output);
    take(output);
  });
}

void SessionWorld::callBackEnd(const BackEndCall &call) {
  const char outcome =
      Calls < Options.Script.size() ? Options.Script[Calls] : 'a';
  ++Calls;
  Bytes body = patterned(call.Request.Low + 1000, Options.AnswerBytes);
  if (outcome == 'a' || outcome == 'f')
    Ledger.addRun(name(call.Request),
                  {"service", checksum32(call.Body), checksum32(body)});
  const Incarnation processIncarnation = ProcessIncarnation;
  at(Options.Latency, [this, processIncarnation, outcome, id = call.Request,
                       body = std::move(body)]() mutable {
    // The answer to a process that is gone goes nowhere.
    if (processIncarnation != ProcessIncarnation)
      return;
    ++Gate.Free;
    RequestRecordsOutput output;
    if (outcome == 'a')
      Records->onBackEndAnswer(id, 200, std::move(body), Now, output);
    else if (outcome == 's')
      Records->onBackEndShed(id, Duration(40), Now, output);
    else
      Records->onBackEndFailure(id, outcome == 'f', Now, output);
    take(output);
  });
}

} // namespace pistachio
