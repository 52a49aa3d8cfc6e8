#pragma once

/// Public header of the Session library: requests and answers within a flow,
/// for callers and for agents. No sockets, threads or clocks.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

/// What a caller asks for.
struct CallerRequest {
  RequestId Id;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  Duration Deadline{10000};
  Bytes Body;
};

enum class ResultKind : std::uint8_t {
  Answered,
  /// Certainly not run, and the deadline or the retry budget is used up.
  NotRun,
  /// It may have run.
  OutcomeUnknown
};

struct CallerResult {
  RequestId Id;
  ResultKind Kind = ResultKind::OutcomeUnknown;
  std::uint16_t Status = 0;
  Bytes Body;
};

struct CallerSessionOptions {
  Endpoint Service;
  Endpoint Caller;
  /// First repeat of an unanswered packet; doubles with jitter up to the
  /// maximum.
  Duration RetransmitMin{100};
  Duration RetransmitMax{2000};
  /// Time after which an unanswered first packet is given up for a new flow.
  Duration OpenTimeout{30000};
  Duration KeepAliveInterval{5000};
  std::uint32_t KeepAliveMisses = 3;
  /// Retries allowed for each request (ratio) beyond a burst; see
  /// design.md, 4.4.
  double RetryRatio = 0.1;
  double RetryBurst = 10;
  /// Whether packets echo the agent's token.
  bool EchoToken = true;
  std::uint64_t Seed = 1;
};

struct CallerOutput {
  /// Packets for the fabric.
  std::vector<CallerPacket> Packets;
  std::vector<CallerResult> Results;
};

struct CallerCounters {
  std::uint64_t FlowsOpened = 0;
  /// Flows that were established and then lost (reset or silent).
  std::uint64_t FlowsBroken = 0;
  std::uint64_t Retransmits = 0;
  std::uint64_t Retries = 0;
  /// Answers that belonged to no open request of this session.
  std::uint64_t StrayAnswers = 0;
};

/// The caller's side: keeps one flow open, sends requests in it, and gives each
/// exactly one result. After a lost flow it opens a new one; idempotent
/// requests are repeated there, others that may have been received end as
/// OutcomeUnknown.
class CallerSession {
public:
  virtual ~CallerSession() = default;
  virtual void start(CallerRequest request, TimePoint now,
                     CallerOutput &output) = 0;
  virtual void cancel(RequestId id, TimePoint now, CallerOutput &output) = 0;
  virtual void receive(const CallerReply &answer, TimePoint now,
                       CallerOutput &output) = 0;
  virtual void tick(TimePoint now, CallerOutput &output) = 0;
  /// Closes the flow; open requests end as OutcomeUnknown or NotRun.
  virtual void close(TimePoint now, CallerOutput &output) = 0;
  virtual bool isOpen() const = 0;
  virtual std::size_t openRequests() const = 0;
  virtual const CallerCounters &counters() const = 0;
};

std::unique_ptr<CallerSession> makeCallerSession(CallerSessionOptions options);

/// A request that the agent's carrier hands to the back end. It must call
/// onBackEndAnswer() or onBackEndFailure() once for it.
struct BackEndCall {
  RequestId Request;
  std::string Method;
  std::string Path;
  Bytes Body;
  bool Idempotent = false;
  Duration Deadline{0};
};

struct SessionKey {
  Endpoint Caller;
  FlowId Flow;
  friend constexpr auto operator<=>(const SessionKey &,
                                    const SessionKey &) = default;
};

struct SessionAnswer {
  SessionKey Flow;
  SessionMessage Message;
};

struct RequestRecordsOutput {
  std::vector<SessionAnswer> Answers;
  std::vector<BackEndCall> Calls;
  /// Back-end calls whose connection is to be closed.
  std::vector<RequestId> Cancelled;
};

struct RequestRecordsOptions {
  /// The agent's incarnation, as in the tokens of its answers. Requests that
  /// were opened with another one are not run.
  Incarnation ProcessIncarnation;
  /// Requests beyond this are refused. Refusals themselves are remembered up to
  /// twice this number; beyond that, packets are dropped without an answer,
  /// because a refusal that is forgotten may turn out false.
  std::size_t MaxRecords = 20000;
  /// Bytes of bodies, both ways, that are held at the most. Incoming requests
  /// may use half of it.
  std::size_t MaxContentBytes = 64 * 1024 * 1024;
  /// Requests that wait for a slot at the most.
  std::size_t MaxQueued = 64;
  /// A record is kept this long after its last packet; callers retry no longer
  /// than that.
  Duration RecordLifetime{900000};
  /// When the table is full, finished records may go this long after the caller
  /// acknowledged the answer or its deadline passed: only packets that are
  /// still under way can ask for them then.
  Duration LatePacketLifetime{30000};
  /// Unacknowledged segments of an answer that are under way at the same time.
  std::uint32_t AnswerWindow = 16;
  Duration RetransmitMin{100};
  Duration RetransmitMax{2000};
  std::uint64_t Seed = 1;
};

/// Asks whether a request may start now; implemented over AdmissionController
/// by the carrier.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  virtual bool tryStart(TimePoint now) = 0;
  virtual Duration retryAfter() const = 0;
};

/// The agent's side: collects segments, runs each request id at most once,
/// keeps answers until the caller has them, and refuses truthfully. Requests
/// that find no slot wait in a bounded queue (as long as their deadline allows)
/// or are refused.
class RequestRecords {
public:
  virtual ~RequestRecords() = default;
  virtual void receive(const SessionKey &flow,
                       std::span<const std::byte> payload, TimePoint now,
                       RequestRecordsOutput &output) = 0;
  /// The slot must have been given back before this call and the two below, so
  /// that the next waiting request finds it.
  virtual void onBackEndAnswer(RequestId request, std::uint16_t status,
                               Bytes body, TimePoint now,
                               RequestRecordsOutput &output) = 0;
  /// \p wasSent false: no byte of the request left this process, so it
  /// certainly did not run.
  virtual void onBackEndFailure(RequestId request, bool wasSent, TimePoint now,
                                RequestRecordsOutput &output) = 0;
  /// The back end shed the request with 503 and promises that it did not run
  /// it.
  virtual void onBackEndShed(RequestId request, Duration retryAfter,
                             TimePoint now, RequestRecordsOutput &output) = 0;
  virtual void onFlowClosed(const SessionKey &flow, TimePoint now,
                            RequestRecordsOutput &output) = 0;
  virtual void tick(TimePoint now, RequestRecordsOutput &output) = 0;
  /// Requests that are received in part, queued, running, or answered but not
  /// yet acknowledged.
  virtual std::size_t unfinished() const = 0;
  virtual std::size_t recordCount() const = 0;
  /// Undecodable payloads so far.
  virtual std::uint64_t badPayloads() const = 0;
};

/// \p gate must outlive the records.
std::unique_ptr<RequestRecords>
makeRequestRecords(RequestRecordsOptions options, AdmissionGate &gate);

} // namespace pistachio
