#pragma once

#include "Fakes/LedgerCheck.h"
#include "Session/Session.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pistachio {

/// What happens to one packet, or at the moment it is sent.
enum class Fault : std::uint8_t {
  None,
  Drop,
  Repeat,
  /// Arrives after later packets.
  Delay,
  /// Arrives again after the retries of the caller.
  LateCopy,
  /// The agent is replaced before or after the packet arrives.
  RestartBefore,
  RestartAfter,
  /// The agent is replaced, and a late first packet opens the flow there.
  RestartAndReopen,
  CancelNow,
  FlowClosed
};

struct WorldOptions {
  CallerSessionOptions Caller;
  RequestRecordsOptions Records;
  /// Probability of each of loss, repetition and delay for each packet.
  double Noise = 0;
  std::uint64_t Seed = 1;
  Duration Latency{30};
  std::size_t AnswerBytes = 2500;
  std::uint32_t Slots = 2;
  /// Slots that become free after the last request has its result.
  std::uint32_t SlotsLater = 0;
  /// Each of these is the outcome of one back-end call in turn; then 'a'.
  /// a: answers, s: sheds, n: fails before sending, f: fails after it ran.
  std::string Script;
  /// Mechanisms that the control cases turn off.
  bool ClearRecordsBetweenPackets = false;
  bool ForgetIncarnation = false;
  std::function<void(SessionMessage &)> AlterAnswer;
};

/// One caller session and one agent's records, connected by an in-memory link
/// with faults, and a scripted back end. The books of caller and back end are
/// all that is compared.
class SessionWorld {
public:
  explicit SessionWorld(WorldOptions options);

  RequestId start(bool idempotent, std::size_t bodyBytes,
                  Duration deadline = Duration(6000));
  void cancel(RequestId id);
  /// The fault for the packet with this number, counted over both directions.
  void plan(std::size_t packet, Fault fault) { Plan[packet] = fault; }
  /// Runs until every request has a result, and then long enough for late
  /// packets to arrive.
  void run(Duration limit = Duration(60000));
  void restartAgent();
  /// Packets of the present flows vanish from now on.
  void silenceFlows() { Silent = Flows; }

  LedgerTotals totals() const { return Ledger.totals(); }
  std::size_t packets() const { return Sent; }
  const CallerCounters &counters() const { return Caller->counters(); }
  RequestRecords &records() { return *Records; }
  std::size_t calls() const { return Calls; }

private:
  struct Slots final : AdmissionGate {
    std::uint32_t Free = 0;
    bool tryStart(TimePoint) override { return Free > 0 && Free-- > 0; }
    Duration retryAfter() const override { return Duration(50); }
  };

  void take(CallerOutput &output);
  void take(RequestRecordsOutput &output);
  void carry(std::function<void()> deliver);
  void at(Duration delay, std::function<void()> step) {
    Events.emplace(Now + delay, std::move(step));
  }
  void toAgent(const CallerPacket &packet);
  void toCaller(const SessionKey &flow, CallerReplyKind kind, Bytes payload);
  void callBackEnd(const BackEndCall &call);
  double chance();

  WorldOptions Options;
  TimePoint Now{Duration(1000000)};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::size_t, Fault> Plan;
  std::size_t Sent = 0;
  std::size_t Calls = 0;
  std::uint64_t Random;
  std::uint64_t LastId = 0;
  Slots Gate;
  Incarnation ProcessIncarnation{1};
  std::set<SessionKey> Flows;
  std::set<SessionKey> Silent;
  std::unique_ptr<CallerSession> Caller;
  std::unique_ptr<RequestRecords> Records;
  LedgerCheck Ledger;
};

} // namespace pistachio
