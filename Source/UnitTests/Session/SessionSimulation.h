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

/// Fault that is injected for one packet, or when that packet is sent.
enum class Fault : std::uint8_t {
  None,
  Drop,
  /// The packet arrives twice.
  Repeat,
  /// The packet arrives after later packets.
  Delay,
  /// A copy of the packet arrives once more, after the caller stopped retrying.
  LateCopy,
  /// The agent is replaced before or after the packet arrives.
  RestartBefore,
  RestartAfter,
  /// The agent is replaced, and a late first packet opens the flow at the new
  /// one.
  RestartAndReopen,
  /// The caller cancels the last request.
  Cancel,
  /// The agent closes all flows.
  FlowClosed
};

struct SimulationOptions {
  CallerSessionOptions Caller;
  RequestRecordsOptions Records;
  /// Probability of each of Drop, Repeat or LateCopy, and Delay for each
  /// packet.
  double FaultProbability = 0;
  std::uint64_t Seed = 1;
  Duration Latency{30};
  std::size_t ResponseBytes = 2500;
  std::uint32_t Slots = 2;
  /// Slots that become free after the last request has its result.
  std::uint32_t LaterSlots = 0;
  /// One character for the outcome of each back-end call in turn; then 'a'.
  /// a: answers, s: sheds, n: fails before sending, f: fails after it ran.
  std::string BackEndOutcomes;
  /// Defects that the ledger check has to detect (ControlTest.cpp): the agent
  /// loses its records before each packet, or keeps its incarnation on restart.
  bool ForgetsRecords = false;
  bool KeepsIncarnation = false;
  /// Alters the messages of the agent before they are encoded.
  std::function<void(SessionMessage &)> AlterReply;
};

/// Simulates one caller session and the request records of one agent, connected
/// by an in-memory link with faults, and a back end with predefined outcomes.
/// Tests compare the ledger of the caller (requests and their results) with
/// that of the back end (requests that it ran).
class SessionSimulation {
public:
  explicit SessionSimulation(SimulationOptions options);

  RequestId start(bool idempotent, std::size_t bodyBytes,
                  Duration deadline = Duration(6000));
  void cancel(RequestId id);
  /// The fault for the packet with this number, counted over both directions.
  void injectFault(std::size_t packet, Fault fault) {
    PlannedFaults[packet] = fault;
  }
  /// Runs until every request has a result, and then long enough for late
  /// packets to arrive.
  void run(Duration limit = Duration(60000));
  /// Replaces the agent by a new process without flows and records.
  void restartAgent();
  /// Drops all further packets of the current flows.
  void dropFlowPackets() { DroppedFlows = Flows; }

  LedgerTotals totals() const { return Ledger.totals(); }
  std::size_t packets() const { return PacketsSent; }
  const CallerCounters &counters() const { return Caller->counters(); }
  RequestRecords &records() { return *Records; }
  std::size_t calls() const { return BackEndCalls; }

private:
  struct Slots final : AdmissionGate {
    std::uint32_t Free = 0;
    bool tryStart(TimePoint) override { return Free > 0 && Free-- > 0; }
    Duration retryAfter() const override { return Duration(50); }
  };

  void process(CallerOutput &output);
  void process(RequestRecordsOutput &output);
  void transmit(std::function<void()> deliver);
  void schedule(Duration delay, std::function<void()> step) {
    Events.emplace(Now + delay, std::move(step));
  }
  void deliverToAgent(const CallerPacket &packet);
  void sendToCaller(const SessionKey &flow, CallerReplyKind kind,
                    Bytes payload);
  void callBackEnd(const BackEndCall &call);
  double randomFraction();

  SimulationOptions Options;
  TimePoint Now{Duration(1000000)};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::size_t, Fault> PlannedFaults;
  std::size_t PacketsSent = 0;
  std::size_t BackEndCalls = 0;
  std::uint64_t Random;
  std::uint64_t LastId = 0;
  Slots Gate;
  Incarnation ProcessIncarnation{1};
  std::set<SessionKey> Flows;
  std::set<SessionKey> DroppedFlows;
  std::unique_ptr<CallerSession> Caller;
  std::unique_ptr<RequestRecords> Records;
  LedgerCheck Ledger;
};

} // namespace pistachio
