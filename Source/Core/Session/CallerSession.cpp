#include "Session/RetryBudget.h"
#include "Session/SegmentAssembler.h"
#include "Session/SegmentWindow.h"
#include "Session/Session.h"

#include <algorithm>
#include <map>

namespace pistachio {
namespace {

/// Maximum number of unacknowledged segments of a request.
constexpr std::uint32_t RequestWindowSegments = 16;
constexpr std::size_t MaxMethodBytes = 8;
constexpr std::size_t MaxPathBytes = 96;
/// Number of responses with a wrong checksum after which a request is given up.
constexpr std::uint32_t MaxChecksumFailures = 3;

enum class FlowState : std::uint8_t {
  None,
  /// The first packet is repeated until an agent accepts the flow.
  Opening,
  Open,
  /// Waiting before the next attempt to open a flow.
  BackingOff,
  Closed
};

enum class RequestPhase : std::uint8_t {
  /// Waiting for a flow or, after a refusal, for the next attempt.
  Waiting,
  /// Sending the request, or waiting for its response.
  Sending,
  /// The agent has been asked to cancel the request.
  Cancelling
};

/// A request without a result.
struct PendingRequest {
  CallerRequest Request;
  std::uint32_t Checksum = 0;
  TimePoint Deadline{};
  RequestPhase Phase = RequestPhase::Waiting;
  /// Earliest start of the next attempt. Used in the phase Waiting only.
  TimePoint EarliestStart{};
  /// Number of the current attempt, starting with 0.
  std::uint32_t Attempt = 0;
  std::uint32_t Refusals = 0;
  /// At least one packet of the current attempt was sent, and the agent has not
  /// refused the attempt.
  bool WasSent = false;
  /// The request was sent in a flow that was lost, so an earlier attempt may
  /// have run.
  bool MayHaveRun = false;
  std::optional<SegmentWindow> Window;
  /// Time at which a segment or the cancellation is sent again to query the
  /// state of the request.
  TimePoint NextStateQuery{};
  Duration StateQueryInterval{0};
  std::optional<SegmentAssembler> Response;
  std::uint16_t Status = 0;
  std::uint32_t ChecksumFailures = 0;
};

class CallerSessionImpl final : public CallerSession {
public:
  explicit CallerSessionImpl(CallerSessionOptions options)
      : Options(options), RetransmitJitter(options.Seed),
        Budget(options.RetryRatio, options.RetryBurst),
        ReopenInterval(options.MinRetransmitInterval) {}

  void start(CallerRequest request, TimePoint now,
             CallerOutput &output) override;
  void cancel(RequestId id, TimePoint now, CallerOutput &output) override;
  void receive(const CallerReply &reply, TimePoint now,
               CallerOutput &output) override;
  void tick(TimePoint now, CallerOutput &output) override;
  void close(TimePoint now, CallerOutput &output) override;
  bool isOpen() const override { return State == FlowState::Open; }
  std::size_t openRequests() const override { return Requests.size(); }
  const CallerCounters &counters() const override { return Counters; }

private:
  using RequestMap = std::map<RequestId, PendingRequest>;

  void openFlow(TimePoint now, CallerOutput &output);
  /// Schedules the next attempt to open a flow after a back-off with jitter
  /// that is at least about \p atLeast.
  void scheduleReopen(Duration atLeast, TimePoint now);
  /// Schedules a new flow, and decides for each request whether it is repeated
  /// or ends without a response.
  void handleFlowLoss(TimePoint now, CallerOutput &output);
  /// Sends the first packet of the flow and schedules its repetition.
  void sendFirstPacket(TimePoint now, CallerOutput &output);
  void send(const SessionMessage &message, CallerOutput &output);
  void sendPacket(std::uint8_t flags, Bytes payload, CallerOutput &output);

  /// Starts attempts of all waiting requests whose back-off has passed.
  void startWaitingRequests(TimePoint now, CallerOutput &output);
  void beginAttempt(PendingRequest &it, TimePoint now, CallerOutput &output);
  void sendSegments(const PendingRequest &it,
                    std::span<const std::uint32_t> segments, TimePoint now,
                    CallerOutput &output);
  /// Sends the first segment or the cancellation again, which the agent answers
  /// with the state of the request.
  void queryState(PendingRequest &it, TimePoint now, CallerOutput &output);
  /// Schedules another attempt after \p wait. Returns false if the deadline or
  /// the retry budget does not allow it.
  bool tryScheduleRetry(PendingRequest &it, Duration wait, TimePoint now);
  RequestMap::iterator finish(RequestMap::iterator it, CallerResult result,
                              CallerOutput &output);
  /// Ends a request without a response. The result is OutcomeUnknown if any
  /// attempt may have run, and NotRun otherwise.
  RequestMap::iterator finishUnanswered(RequestMap::iterator it,
                                        CallerOutput &output);

  void onMessage(const SessionMessage &message, TimePoint now,
                 CallerOutput &output);
  void onResponseSegment(const ResponseSegment &segment, TimePoint now,
                         CallerOutput &output);
  void onNotRun(const NotRun &refusal, TimePoint now, CallerOutput &output);
  void tickRequests(TimePoint now, CallerOutput &output);
  void tickKeepAlive(TimePoint now, CallerOutput &output);

  CallerSessionOptions Options;
  Jitter RetransmitJitter;
  RetryBudget Budget;
  CallerCounters Counters;
  FlowState State = FlowState::None;
  FlowId CurrentFlow;
  UpstreamToken Token;
  TimePoint OpenedAt{};
  TimePoint NextFirstPacketAt{};
  Duration FirstPacketInterval{0};
  TimePoint ReopenAt{};
  Duration ReopenInterval;
  TimePoint NextKeepAliveAt{};
  /// Keep-alives sent since the last packet from the agent.
  std::uint32_t UnansweredKeepAlives = 0;
  std::uint32_t KeepAliveSequence = 0;
  RequestMap Requests;
};

void CallerSessionImpl::sendPacket(std::uint8_t flags, Bytes payload,
                                   CallerOutput &output) {
  CallerPacket packet{Options.Service, Options.Caller,  CurrentFlow,
                      flags,           UpstreamToken{}, std::move(payload)};
  if (Options.EchoToken && State == FlowState::Open)
    packet.Token = Token;
  output.Packets.push_back(std::move(packet));
}

void CallerSessionImpl::send(const SessionMessage &message,
                             CallerOutput &output) {
  Bytes payload;
  // The sizes were checked when the request was started.
  if (encodeSession(message, payload).ok())
    sendPacket(PacketFlag::Established, std::move(payload), output);
}

void CallerSessionImpl::openFlow(TimePoint now, CallerOutput &output) {
  State = FlowState::Opening;
  do
    CurrentFlow = FlowId{RetransmitJitter.next()};
  while (!CurrentFlow);
  ++Counters.FlowsOpened;
  OpenedAt = now;
  FirstPacketInterval = Options.MinRetransmitInterval;
  sendFirstPacket(now, output);
}

void CallerSessionImpl::sendFirstPacket(TimePoint now, CallerOutput &output) {
  sendPacket(PacketFlag::First, {}, output);
  NextFirstPacketAt = now + RetransmitJitter.randomize(FirstPacketInterval);
  FirstPacketInterval =
      std::min(Options.MaxRetransmitInterval, FirstPacketInterval * 2);
}

void CallerSessionImpl::scheduleReopen(Duration atLeast, TimePoint now) {
  State = FlowState::BackingOff;
  ReopenAt =
      now + RetransmitJitter.randomize(std::max(atLeast, ReopenInterval));
  ReopenInterval = std::min(Options.MaxRetransmitInterval, ReopenInterval * 2);
}

void CallerSessionImpl::handleFlowLoss(TimePoint now, CallerOutput &output) {
  ++Counters.FlowsLost;
  scheduleReopen(Duration(0), now);
  for (auto it = Requests.begin(); it != Requests.end();) {
    PendingRequest &request = it->second;
    const bool isCancelled = request.Phase == RequestPhase::Cancelling;
    request.Window.reset();
    request.Response.reset();
    if (!request.WasSent) {
      if (isCancelled) {
        it = finishUnanswered(it, output);
        continue;
      }
      request.Phase = RequestPhase::Waiting;
      ++it;
      continue;
    }
    request.MayHaveRun = true;
    if (isCancelled || !request.Request.Idempotent ||
        !tryScheduleRetry(request, Duration(0), now)) {
      it = finishUnanswered(it, output);
      continue;
    }
    ++it;
  }
}

bool CallerSessionImpl::tryScheduleRetry(PendingRequest &it, Duration wait,
                                         TimePoint now) {
  if (now + wait >= it.Deadline || !Budget.tryTake())
    return false;
  ++Counters.Retries;
  it.Phase = RequestPhase::Waiting;
  it.EarliestStart = now + wait;
  it.WasSent = false;
  ++it.Attempt;
  return true;
}

CallerSessionImpl::RequestMap::iterator
CallerSessionImpl::finish(RequestMap::iterator it, CallerResult result,
                          CallerOutput &output) {
  result.Id = it->first;
  output.Results.push_back(std::move(result));
  return Requests.erase(it);
}

CallerSessionImpl::RequestMap::iterator
CallerSessionImpl::finishUnanswered(RequestMap::iterator it,
                                    CallerOutput &output) {
  CallerResult result;
  result.Kind = it->second.WasSent || it->second.MayHaveRun
                    ? ResultKind::OutcomeUnknown
                    : ResultKind::NotRun;
  return finish(it, std::move(result), output);
}

void CallerSessionImpl::start(CallerRequest request, TimePoint now,
                              CallerOutput &output) {
  const RequestId id = request.Id;
  // The messages of two requests with the same id could not be distinguished.
  if (Requests.contains(id))
    return;
  Budget.addRequest();
  PendingRequest it;
  it.Checksum = checksum32(request.Body);
  it.Deadline = now + request.Timeout;
  it.Request = std::move(request);
  const auto inserted = Requests.emplace(id, std::move(it)).first;
  const CallerRequest &stored = inserted->second.Request;
  if (State == FlowState::Closed || stored.Timeout <= Duration(0) ||
      stored.Body.size() > MaxContentBytes ||
      stored.Method.size() > MaxMethodBytes ||
      stored.Path.size() > MaxPathBytes) {
    finishUnanswered(inserted, output);
    return;
  }
  if (State == FlowState::None)
    openFlow(now, output);
  if (State == FlowState::Open)
    beginAttempt(inserted->second, now, output);
}

void CallerSessionImpl::beginAttempt(PendingRequest &it, TimePoint now,
                                     CallerOutput &output) {
  it.Phase = RequestPhase::Sending;
  it.WasSent = true;
  it.Response.reset();
  it.Window.emplace(segmentCount(it.Request.Body.size()), RequestWindowSegments,
                    Options.MinRetransmitInterval,
                    Options.MaxRetransmitInterval);
  std::vector<std::uint32_t> segments;
  it.Window->fill(now, RetransmitJitter, segments);
  sendSegments(it, segments, now, output);
  it.StateQueryInterval = Options.MinRetransmitInterval;
  it.NextStateQuery = now + RetransmitJitter.randomize(it.StateQueryInterval);
}

void CallerSessionImpl::sendSegments(const PendingRequest &it,
                                     std::span<const std::uint32_t> segments,
                                     TimePoint now, CallerOutput &output) {
  for (const std::uint32_t index : segments) {
    const auto content = segmentOf(it.Request.Body, index);
    send(RequestSegment{it.Request.Id, it.Request.Method, it.Request.Path,
                        it.Request.Idempotent,
                        static_cast<std::uint32_t>((it.Deadline - now).count()),
                        static_cast<std::uint32_t>(it.Request.Body.size()),
                        static_cast<std::uint32_t>(index * SegmentBytes),
                        it.Checksum, Bytes(content.begin(), content.end()),
                        Token.ProcessIncarnation, it.Attempt},
         output);
  }
}

void CallerSessionImpl::cancel(RequestId id, TimePoint now,
                               CallerOutput &output) {
  const auto found = Requests.find(id);
  if (found == Requests.end() ||
      found->second.Phase == RequestPhase::Cancelling)
    return;
  PendingRequest &it = found->second;
  if (!it.WasSent || State != FlowState::Open) {
    finishUnanswered(found, output);
    return;
  }
  it.Phase = RequestPhase::Cancelling;
  it.StateQueryInterval = Options.MinRetransmitInterval;
  queryState(it, now, output);
}

void CallerSessionImpl::queryState(PendingRequest &it, TimePoint now,
                                   CallerOutput &output) {
  if (it.Phase == RequestPhase::Cancelling)
    send(CancelRequest{it.Request.Id, Token.ProcessIncarnation, it.Attempt},
         output);
  else
    sendSegments(it, std::vector<std::uint32_t>{0}, now, output);
  it.NextStateQuery = now + RetransmitJitter.randomize(it.StateQueryInterval);
  it.StateQueryInterval =
      std::min(Options.MaxRetransmitInterval, it.StateQueryInterval * 2);
}

void CallerSessionImpl::receive(const CallerReply &reply, TimePoint now,
                                CallerOutput &output) {
  if (reply.Flow != CurrentFlow || State == FlowState::BackingOff ||
      State == FlowState::None || State == FlowState::Closed) {
    if (reply.Kind == CallerReplyKind::Data)
      ++Counters.UnmatchedReplies;
    return;
  }
  if (State == FlowState::Opening) {
    switch (reply.Kind) {
    case CallerReplyKind::Accept:
      State = FlowState::Open;
      Token = reply.Token;
      ReopenInterval = Options.MinRetransmitInterval;
      UnansweredKeepAlives = 0;
      NextKeepAliveAt = now + Options.KeepAliveInterval;
      return startWaitingRequests(now, output);
    case CallerReplyKind::Refused:
    case CallerReplyKind::Reset:
    case CallerReplyKind::Closed:
      return scheduleReopen(Duration(reply.RetryAfterMs), now);
    case CallerReplyKind::Data:
      return;
    }
    return;
  }
  switch (reply.Kind) {
  case CallerReplyKind::Accept:
  case CallerReplyKind::Refused:
    // Replies to repetitions of the first packet.
    return;
  case CallerReplyKind::Reset:
  case CallerReplyKind::Closed:
    return handleFlowLoss(now, output);
  case CallerReplyKind::Data:
    break;
  }
  // An agent of another incarnation holds the flow, because a late first packet
  // opened it there. That agent has no records of the requests of this flow.
  if (reply.Token.ProcessIncarnation != Token.ProcessIncarnation)
    return handleFlowLoss(now, output);
  const auto message = decodeSession(reply.Payload);
  if (!message.ok())
    return;
  Token = reply.Token;
  UnansweredKeepAlives = 0;
  NextKeepAliveAt = now + Options.KeepAliveInterval;
  onMessage(*message, now, output);
}

void CallerSessionImpl::onMessage(const SessionMessage &message, TimePoint now,
                                  CallerOutput &output) {
  if (const auto *it = std::get_if<ResponseSegment>(&message))
    return onResponseSegment(*it, now, output);
  if (const auto *it = std::get_if<NotRun>(&message))
    return onNotRun(*it, now, output);
  if (const auto *it = std::get_if<SegmentAck>(&message)) {
    const auto found = Requests.find(it->Request);
    if (found == Requests.end() || it->Attempt != found->second.Attempt ||
        found->second.Phase != RequestPhase::Sending || it->Received == 0)
      return;
    PendingRequest &request = found->second;
    const std::size_t total = request.Request.Body.size();
    std::vector<std::uint32_t> segments;
    request.Window->acknowledge(it->Received == total
                                    ? segmentCount(total)
                                    : it->Received / SegmentBytes,
                                now, RetransmitJitter, segments);
    return sendSegments(request, segments, now, output);
  }
  if (const auto *it = std::get_if<OutcomeUnknown>(&message)) {
    const auto found = Requests.find(it->Request);
    if (found == Requests.end() || !found->second.WasSent)
      return;
    found->second.MayHaveRun = true;
    finishUnanswered(found, output);
  }
}

void CallerSessionImpl::onNotRun(const NotRun &refusal, TimePoint now,
                                 CallerOutput &output) {
  const auto found = Requests.find(refusal.Request);
  if (found == Requests.end())
    return;
  PendingRequest &it = found->second;
  if (refusal.Attempt < it.Attempt || !it.WasSent)
    return;
  it.WasSent = false;
  it.Window.reset();
  it.Response.reset();
  const bool isRetryable = refusal.Reason == RefusalReason::Overloaded ||
                           refusal.Reason == RefusalReason::RecordsFull;
  const Duration backOff =
      Options.MinRetransmitInterval * (1U << std::min(it.Refusals, 5U));
  ++it.Refusals;
  const Duration wait = RetransmitJitter.randomize(
      std::max(Duration(refusal.RetryAfterMs),
               std::min(Options.MaxRetransmitInterval, backOff)));
  if (!isRetryable || it.Phase == RequestPhase::Cancelling ||
      !tryScheduleRetry(it, wait, now))
    finishUnanswered(found, output);
}

void CallerSessionImpl::onResponseSegment(const ResponseSegment &segment,
                                          TimePoint now, CallerOutput &output) {
  const auto found = Requests.find(segment.Request);
  if (found == Requests.end()) {
    ++Counters.UnmatchedReplies;
    // Stops retransmissions of a response that was already received or is no
    // longer needed.
    send(ResponseAck{segment.Request, segment.TotalBytes, true}, output);
    return;
  }
  PendingRequest &it = found->second;
  if (!it.WasSent ||
      !SegmentAssembler::isValidSegment(segment.TotalBytes, segment.Offset,
                                        segment.Content.size()))
    return;
  if (!it.Response) {
    it.Response.emplace(segment.TotalBytes, segment.Checksum);
    it.Status = segment.Status;
  }
  if (it.Response->totalBytes() != segment.TotalBytes ||
      it.Response->checksum() != segment.Checksum ||
      it.Status != segment.Status)
    return;
  bool isNew = false;
  it.Response->add(segment.Offset, segment.Content, isNew);
  // A response shows that the whole request has arrived.
  if (it.Phase == RequestPhase::Sending)
    it.Window.reset();
  if (isNew) {
    it.StateQueryInterval = Options.MaxRetransmitInterval;
    it.NextStateQuery = now + RetransmitJitter.randomize(it.StateQueryInterval);
  }
  if (!it.Response->isComplete()) {
    send(ResponseAck{segment.Request, it.Response->contiguousBytes(), false},
         output);
    return;
  }
  if (!it.Response->verify()) {
    it.Response.reset();
    if (++it.ChecksumFailures < MaxChecksumFailures)
      return queryState(it, now, output);
    finishUnanswered(found, output);
    return;
  }
  send(ResponseAck{segment.Request, segment.TotalBytes, true}, output);
  CallerResult result;
  result.Kind = ResultKind::Answered;
  result.Status = it.Status;
  result.Body = it.Response->takeBody();
  finish(found, std::move(result), output);
}

void CallerSessionImpl::startWaitingRequests(TimePoint now,
                                             CallerOutput &output) {
  if (State != FlowState::Open)
    return;
  for (auto &[id, it] : Requests)
    if (it.Phase == RequestPhase::Waiting && it.EarliestStart <= now &&
        now < it.Deadline)
      beginAttempt(it, now, output);
}

void CallerSessionImpl::tickRequests(TimePoint now, CallerOutput &output) {
  for (auto found = Requests.begin(); found != Requests.end();) {
    PendingRequest &it = found->second;
    if (now >= it.Deadline) {
      // Saves the agent work on a request whose caller no longer waits.
      if (it.WasSent && State == FlowState::Open)
        send(CancelRequest{it.Request.Id, Token.ProcessIncarnation, it.Attempt},
             output);
      found = finishUnanswered(found, output);
      continue;
    }
    if (State == FlowState::Open && it.Phase != RequestPhase::Waiting) {
      std::vector<std::uint32_t> segments;
      const bool isSending = it.Phase == RequestPhase::Sending && it.Window &&
                             !it.Window->isDone();
      if (isSending) {
        if (it.Window->tick(now, RetransmitJitter, segments))
          ++Counters.Retransmits;
        sendSegments(it, segments, now, output);
      } else if (it.NextStateQuery <= now) {
        ++Counters.Retransmits;
        queryState(it, now, output);
      }
    }
    ++found;
  }
}

void CallerSessionImpl::tickKeepAlive(TimePoint now, CallerOutput &output) {
  if (State != FlowState::Open || now < NextKeepAliveAt)
    return;
  if (UnansweredKeepAlives >= Options.MaxMissedKeepAlives)
    return handleFlowLoss(now, output);
  ++UnansweredKeepAlives;
  send(KeepAlive{++KeepAliveSequence}, output);
  NextKeepAliveAt = now + Options.KeepAliveInterval;
}

void CallerSessionImpl::tick(TimePoint now, CallerOutput &output) {
  if (State == FlowState::Closed)
    return;
  if (State == FlowState::None ||
      (State == FlowState::BackingOff && now >= ReopenAt)) {
    openFlow(now, output);
  } else if (State == FlowState::Opening) {
    if (now - OpenedAt >= Options.OpenTimeout) {
      openFlow(now, output);
    } else if (now >= NextFirstPacketAt) {
      ++Counters.Retransmits;
      sendFirstPacket(now, output);
    }
  }
  tickRequests(now, output);
  tickKeepAlive(now, output);
  startWaitingRequests(now, output);
}

void CallerSessionImpl::close(TimePoint now, CallerOutput &output) {
  static_cast<void>(now);
  if (State == FlowState::Open || State == FlowState::Opening)
    sendPacket(PacketFlag::Last |
                   (State == FlowState::Open ? PacketFlag::Established : 0),
               {}, output);
  State = FlowState::Closed;
  for (auto it = Requests.begin(); it != Requests.end();)
    it = finishUnanswered(it, output);
}

} // namespace

std::unique_ptr<CallerSession> makeCallerSession(CallerSessionOptions options) {
  return std::make_unique<CallerSessionImpl>(options);
}

} // namespace pistachio
