#pragma once

/// Public header of the Session library, which carries requests and responses
/// within a flow. CallerSession is the side of the caller, RequestRecords the
/// side of the agent. The library uses no sockets, threads or clocks; its users
/// pass messages and the current time.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

/// A request as the application hands it to the session.
struct CallerRequest {
  RequestId Id;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  /// Time after start() at which the request ends with a result, even if no
  /// response has arrived.
  Duration Timeout{10000};
  Bytes Body;
};

enum class ResultKind : std::uint8_t {
  Answered,
  /// The request was certainly not run, and either it cannot be retried or its
  /// deadline or the retry budget is exhausted.
  NotRun,
  /// The request may have run, and its response is not known.
  OutcomeUnknown
};

/// Result of a request. Status and Body are set if the request was answered.
struct CallerResult {
  RequestId Id;
  ResultKind Kind = ResultKind::OutcomeUnknown;
  std::uint16_t Status = 0;
  Bytes Body;
};

struct CallerSessionOptions {
  Endpoint Service;
  Endpoint Caller;
  /// Interval before the first retransmission of an unanswered packet. It
  /// doubles with each retransmission, with jitter, up to the maximum.
  Duration MinRetransmitInterval{100};
  Duration MaxRetransmitInterval{2000};
  /// Time after which the session gives up an unanswered first packet and opens
  /// a new flow.
  Duration OpenTimeout{30000};
  /// Time without a packet from the agent after which a keep-alive is sent.
  Duration KeepAliveInterval{5000};
  /// Number of unanswered keep-alives after which the flow counts as lost.
  std::uint32_t MaxMissedKeepAlives = 3;
  /// The retry budget is a token bucket: a retry is sent only if it can take
  /// one token. Each request adds RetryRatio tokens, and the bucket, which is
  /// full at the start, holds at most RetryBurst. While every request is
  /// refused, retries thus add at most the fraction RetryRatio to the load once
  /// the initial tokens are used up.
  double RetryRatio = 0.1;
  double RetryBurst = 10;
  /// Whether packets carry the token with which the agent accepted the flow.
  bool EchoToken = true;
  std::uint64_t Seed = 1;
};

/// Packets and results that a function of CallerSession returns to the
/// application.
struct CallerOutput {
  /// Packets to be sent to the fabric.
  std::vector<CallerPacket> Packets;
  std::vector<CallerResult> Results;
};

/// Counters of events since the session was created.
struct CallerCounters {
  std::uint64_t FlowsOpened = 0;
  /// Flows that were established and then lost, because of a reset or because
  /// the agent stopped answering.
  std::uint64_t FlowsLost = 0;
  /// Packets that were sent again because no reply to them had arrived. A timer
  /// that sends several segments at once counts once.
  std::uint64_t Retransmits = 0;
  /// Further attempts of requests, after a refusal or the loss of the flow.
  std::uint64_t Retries = 0;
  /// Data replies that belong to no open request or flow of this session.
  std::uint64_t UnmatchedReplies = 0;
};

/// The side of the caller. A session keeps one flow open, sends requests in it
/// and reports exactly one result for each request. After the loss of a flow it
/// opens a new one and repeats idempotent requests there; other requests that
/// the agent may have received end as OutcomeUnknown.
class CallerSession {
public:
  virtual ~CallerSession() = default;
  /// Starts a request. Its result is reported by this or a later call. A
  /// request whose id is already in use is ignored.
  virtual void start(CallerRequest request, TimePoint now,
                     CallerOutput &output) = 0;
  /// Asks the agent to cancel a request. The request still gets a result.
  virtual void cancel(RequestId id, TimePoint now, CallerOutput &output) = 0;
  /// Handles a reply from the fabric.
  virtual void receive(const CallerReply &reply, TimePoint now,
                       CallerOutput &output) = 0;
  /// Handles deadlines, retransmissions and keep-alives. Has to be called
  /// regularly.
  virtual void tick(TimePoint now, CallerOutput &output) = 0;
  /// Closes the flow. Open requests end as OutcomeUnknown or NotRun.
  virtual void close(TimePoint now, CallerOutput &output) = 0;
  virtual bool isOpen() const = 0;
  virtual std::size_t openRequests() const = 0;
  virtual const CallerCounters &counters() const = 0;
};

std::unique_ptr<CallerSession> makeCallerSession(CallerSessionOptions options);

/// A request that the agent has to send to the back end. The agent must call
/// onBackEndResponse(), onBackEndFailure() or onBackEndShed() exactly once for
/// it.
struct BackEndCall {
  RequestId Request;
  std::string Method;
  std::string Path;
  Bytes Body;
  bool Idempotent = false;
  /// Time that is left until the deadline of the request.
  Duration RemainingTime{0};
};

/// Identifies a session: one flow of one caller.
struct SessionKey {
  Endpoint Caller;
  FlowId Flow;
  friend constexpr auto operator<=>(const SessionKey &,
                                    const SessionKey &) = default;
};

/// A session message that the agent has to send to a caller.
struct SessionReply {
  SessionKey Flow;
  SessionMessage Message;
};

/// Messages and back-end calls that a function of RequestRecords returns to the
/// agent, which has to send or start them.
struct RequestRecordsOutput {
  std::vector<SessionReply> Replies;
  std::vector<BackEndCall> Calls;
  /// Requests whose back-end call is cancelled. The agent has to close the
  /// connection to the back end that carries the call, and to release the slot
  /// of the request.
  std::vector<RequestId> Cancelled;
};

struct RequestRecordsOptions {
  /// Incarnation of the agent, which its replies carry in their token. Requests
  /// of flows that another incarnation accepted are not run.
  Incarnation ProcessIncarnation;
  /// Number of records above which new requests are refused. Refusals are
  /// recorded as well, up to twice this number; above that, packets are dropped
  /// without a reply. A refusal that is not recorded could become false when
  /// a late segment of the request arrives.
  std::size_t MaxRecords = 20000;
  /// Maximum number of bytes of request and response bodies that are buffered.
  /// Incoming requests may use half of it.
  std::size_t MaxBufferedBytes = 64 * 1024 * 1024;
  /// Maximum number of requests that wait for a slot. A slot is the permission
  /// to run one request at the back end; AdmissionGate assigns it.
  std::size_t MaxQueued = 64;
  /// Time for which a record is kept after the last packet of its request.
  /// Callers do not retry for longer than this.
  Duration RecordLifetime{900000};
  /// Time for which a finished record is kept even if the table is full. It
  /// starts when the caller acknowledges the response or when the deadline
  /// passes. Packets that refer to the record after that can only be delayed
  /// ones.
  Duration EvictionDelay{30000};
  /// Maximum number of unacknowledged segments of a response.
  std::uint32_t ResponseWindowSegments = 16;
  Duration MinRetransmitInterval{100};
  Duration MaxRetransmitInterval{2000};
  std::uint64_t Seed = 1;
};

/// Assigns the slots of the back end. The agent implements it with an
/// AdmissionController.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  /// Takes a slot for a request. Returns false if none is free; the request
  /// then waits.
  virtual bool tryStart(TimePoint now) = 0;
  /// Time after which a caller should retry a request that was refused.
  virtual Duration retryAfter() const = 0;
};

/// The side of the agent, the counterpart of CallerSession for all callers and
/// flows of an agent. It keeps a record of each request, reassembles requests,
/// runs each request id at most once, keeps responses until the caller has
/// acknowledged them, and reports a request as not run only if it never ran and
/// never will. Requests without a free slot wait in a bounded queue until their
/// deadline or are refused.
class RequestRecords {
public:
  virtual ~RequestRecords() = default;
  /// Handles the payload of a packet that a caller sent in \p flow.
  virtual void receive(const SessionKey &flow,
                       std::span<const std::byte> payload, TimePoint now,
                       RequestRecordsOutput &output) = 0;
  /// Handles the response of the back end to a BackEndCall. The agent must
  /// release the slot of the request before it calls this function,
  /// onBackEndFailure() or onBackEndShed(), so that a waiting request can use
  /// the slot.
  virtual void onBackEndResponse(RequestId request, std::uint16_t status,
                                 Bytes body, TimePoint now,
                                 RequestRecordsOutput &output) = 0;
  /// Handles a BackEndCall that ended without a response. If \p wasSent is
  /// false, no byte of the request left this process, so the request certainly
  /// did not run.
  virtual void onBackEndFailure(RequestId request, bool wasSent, TimePoint now,
                                RequestRecordsOutput &output) = 0;
  /// Handles a BackEndCall that the back end rejected with status 503 because
  /// of overload. This status guarantees that the request did not run.
  virtual void onBackEndShed(RequestId request, Duration retryAfter,
                             TimePoint now, RequestRecordsOutput &output) = 0;
  /// Refuses requests of the flow that have not started, and sends no more
  /// messages in the flow.
  virtual void onFlowClosed(const SessionKey &flow, TimePoint now,
                            RequestRecordsOutput &output) = 0;
  virtual void tick(TimePoint now, RequestRecordsOutput &output) = 0;
  /// Number of requests that are partly received, queued, running, or answered
  /// without an acknowledgement yet.
  virtual std::size_t unfinished() const = 0;
  virtual std::size_t recordCount() const = 0;
  /// Number of payloads that could not be decoded or have an unexpected type.
  virtual std::uint64_t badPayloads() const = 0;
};

/// \p gate must outlive the returned object.
std::unique_ptr<RequestRecords>
makeRequestRecords(RequestRecordsOptions options, AdmissionGate &gate);

} // namespace pistachio
