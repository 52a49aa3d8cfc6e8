#include "Session/RetryBudget.h"
#include "Session/SegmentAssembler.h"
#include "Session/SegmentWindow.h"
#include "Session/Session.h"

#include <algorithm>
#include <map>

namespace pistachio {
namespace {

/// Unacknowledged segments of a request that are under way at the same time.
constexpr std::uint32_t RequestWindow = 16;
constexpr std::size_t MaxMethodBytes = 8;
constexpr std::size_t MaxPathBytes = 96;
/// An answer whose checksum does not match is asked for again this often.
constexpr std::uint32_t MaxBadAnswers = 3;

enum class FlowState : std::uint8_t {
  None,
  /// First packets are repeated until the accept.
  Opening,
  Open,
  /// Waits before the next attempt to open a flow.
  BackingOff,
  Closed
};

enum class Phase : std::uint8_t {
  /// Waits for a flow, or after a refusal for the next attempt.
  Waiting,
  Sending,
  Cancelling
};

struct OpenRequest {
  CallerRequest Request;
  std::uint32_t Checksum = 0;
  TimePoint Deadline{};
  Phase Now = Phase::Waiting;
  /// Not before this in phase Waiting.
  TimePoint NotBefore{};
  std::uint32_t Attempt = 0;
  std::uint32_t Refusals = 0;
  /// A packet of the present attempt was sent, and no refusal of it arrived.
  bool WasSent = false;
  /// An earlier attempt may have run: it was sent in a flow that was lost.
  bool MayHaveRun = false;
  std::optional<SegmentWindow> Window;
  /// Next repeat of a segment (or of the cancellation) that asks for the state
  /// of the request.
  TimePoint AskAt{};
  Duration AskInterval{0};
  std::optional<SegmentAssembler> Answer;
  std::uint16_t Status = 0;
  std::uint32_t BadAnswers = 0;
};

class CallerSessionImpl final : public CallerSession {
public:
  explicit CallerSessionImpl(CallerSessionOptions options)
      : Options(options), Spread(options.Seed),
        Budget(options.RetryRatio, options.RetryBurst),
        OpenBackOff(options.RetransmitMin) {}

  void start(CallerRequest request, TimePoint now,
             CallerOutput &output) override;
  void cancel(RequestId id, TimePoint now, CallerOutput &output) override;
  void receive(const CallerReply &answer, TimePoint now,
               CallerOutput &output) override;
  void tick(TimePoint now, CallerOutput &output) override;
  void close(TimePoint now, CallerOutput &output) override;
  bool isOpen() const override { return Flow == FlowState::Open; }
  std::size_t openRequests() const override { return Requests.size(); }
  const CallerCounters &counters() const override { return Counters; }

private:
  using RequestMap = std::map<RequestId, OpenRequest>;

  void openFlow(TimePoint now, CallerOutput &output);
  /// No flow until a jittered back-off, at least \p atLeast, has passed.
  void backOff(Duration atLeast, TimePoint now);
  void loseFlow(TimePoint now, CallerOutput &output);
  void sendFirst(TimePoint now, CallerOutput &output);
  void send(const SessionMessage &message, CallerOutput &output);
  void sendPacket(std::uint8_t flags, Bytes payload, CallerOutput &output);

  void sendWaiting(TimePoint now, CallerOutput &output);
  void beginAttempt(OpenRequest &it, TimePoint now, CallerOutput &output);
  void sendSegments(const OpenRequest &it,
                    std::span<const std::uint32_t> segments, TimePoint now,
                    CallerOutput &output);
  void askForState(OpenRequest &it, TimePoint now, CallerOutput &output);
  bool mayRetryAfter(OpenRequest &it, Duration wait, TimePoint now);
  RequestMap::iterator finish(RequestMap::iterator it, CallerResult result,
                              CallerOutput &output);
  /// Ends a request that has no answer, with what is known about it.
  RequestMap::iterator finishUnanswered(RequestMap::iterator it,
                                        CallerOutput &output);

  void onMessage(const SessionMessage &message, TimePoint now,
                 CallerOutput &output);
  void onAnswerSegment(const ResponseSegment &segment, TimePoint now,
                       CallerOutput &output);
  void onNotRun(const NotRun &refusal, TimePoint now, CallerOutput &output);
  void tickRequests(TimePoint now, CallerOutput &output);
  void tickKeepAlive(TimePoint now, CallerOutput &output);

  CallerSessionOptions Options;
  Jitter Spread;
  RetryBudget Budget;
  CallerCounters Counters;
  FlowState Flow = FlowState::None;
  FlowId Id;
  UpstreamToken Token;
  TimePoint OpenedAt{};
  TimePoint NextFirst{};
  Duration FirstInterval{0};
  TimePoint ReopenAt{};
  Duration OpenBackOff;
  TimePoint NextKeepAlive{};
  std::uint32_t Unanswered = 0;
  std::uint32_t KeepAliveSequence = 0;
  RequestMap Requests;
};

void CallerSessionImpl::sendPacket(std::uint8_t flags, Bytes payload,
                                   CallerOutput &output) {
  CallerPacket packet{Options.Service, Options.Caller,  Id,
                      flags,           UpstreamToken{}, std::move(payload)};
  if (Options.EchoToken && Flow == FlowState::Open)
    packet.Token = Token;
  output.Packets.push_back(std::move(packet));
}

void CallerSessionImpl::send(const SessionMessage &message,
                             CallerOutput &output) {
  Bytes payload;
  // Bounds were checked when the request was started.
  if (encodeSession(message, payload).ok())
    sendPacket(PacketFlag::Established, std::move(payload), output);
}

void CallerSessionImpl::openFlow(TimePoint now, CallerOutput &output) {
  Flow = FlowState::Opening;
  do
    Id = FlowId{Spread.next()};
  while (!Id);
  ++Counters.FlowsOpened;
  OpenedAt = now;
  FirstInterval = Options.RetransmitMin;
  sendFirst(now, output);
}

void CallerSessionImpl::sendFirst(TimePoint now, CallerOutput &output) {
  sendPacket(PacketFlag::First, {}, output);
  NextFirst = now + Spread.spread(FirstInterval);
  FirstInterval = std::min(Options.RetransmitMax, FirstInterval * 2);
}

void CallerSessionImpl::backOff(Duration atLeast, TimePoint now) {
  Flow = FlowState::BackingOff;
  ReopenAt = now + Spread.spread(std::max(atLeast, OpenBackOff));
  OpenBackOff = std::min(Options.RetransmitMax, OpenBackOff * 2);
}

void CallerSessionImpl::loseFlow(TimePoint now, CallerOutput &output) {
  ++Counters.FlowsBroken;
  backOff(Duration(0), now);
  for (auto it = Requests.begin(); it != Requests.end();) {
    OpenRequest &request = it->second;
    const bool isCancelled = request.Now == Phase::Cancelling;
    request.Window.reset();
    request.Answer.reset();
    if (!request.WasSent) {
      if (isCancelled) {
        it = finishUnanswered(it, output);
        continue;
      }
      request.Now = Phase::Waiting;
      ++it;
      continue;
    }
    request.MayHaveRun = true;
    if (isCancelled || !request.Request.Idempotent ||
        !mayRetryAfter(request, Duration(0), now)) {
      it = finishUnanswered(it, output);
      continue;
    }
    ++it;
  }
}

bool CallerSessionImpl::mayRetryAfter(OpenRequest &it, Duration wait,
                                      TimePoint now) {
  if (now + wait >= it.Deadline || !Budget.tryTake())
    return false;
  ++Counters.Retries;
  it.Now = Phase::Waiting;
  it.NotBefore = now + wait;
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
  // A second request of the same id could not be told from the first one.
  if (Requests.contains(id))
    return;
  Budget.addRequest();
  OpenRequest it;
  it.Checksum = checksum32(request.Body);
  it.Deadline = now + request.Deadline;
  it.Request = std::move(request);
  const auto placed = Requests.emplace(id, std::move(it)).first;
  const CallerRequest &stored = placed->second.Request;
  if (Flow == FlowState::Closed || stored.Deadline <= Duration(0) ||
      stored.Body.size() > MaxContentBytes ||
      stored.Method.size() > MaxMethodBytes ||
      stored.Path.size() > MaxPathBytes) {
    finishUnanswered(placed, output);
    return;
  }
  if (Flow == FlowState::None)
    openFlow(now, output);
  if (Flow == FlowState::Open)
    beginAttempt(placed->second, now, output);
}

void CallerSessionImpl::beginAttempt(OpenRequest &it, TimePoint now,
                                     CallerOutput &output) {
  it.Now = Phase::Sending;
  it.WasSent = true;
  it.Answer.reset();
  it.Window.emplace(segmentCount(it.Request.Body.size()), RequestWindow,
                    Options.RetransmitMin, Options.RetransmitMax);
  std::vector<std::uint32_t> segments;
  it.Window->fill(now, Spread, segments);
  sendSegments(it, segments, now, output);
  it.AskInterval = Options.RetransmitMin;
  it.AskAt = now + Spread.spread(it.AskInterval);
}

void CallerSessionImpl::sendSegments(const OpenRequest &it,
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
  if (found == Requests.end() || found->second.Now == Phase::Cancelling)
    return;
  OpenRequest &it = found->second;
  if (!it.WasSent || Flow != FlowState::Open) {
    finishUnanswered(found, output);
    return;
  }
  it.Now = Phase::Cancelling;
  it.AskInterval = Options.RetransmitMin;
  askForState(it, now, output);
}

void CallerSessionImpl::askForState(OpenRequest &it, TimePoint now,
                                    CallerOutput &output) {
  if (it.Now == Phase::Cancelling)
    send(CancelRequest{it.Request.Id, Token.ProcessIncarnation, it.Attempt},
         output);
  else
    sendSegments(it, std::vector<std::uint32_t>{0}, now, output);
  it.AskAt = now + Spread.spread(it.AskInterval);
  it.AskInterval = std::min(Options.RetransmitMax, it.AskInterval * 2);
}

void CallerSessionImpl::receive(const CallerReply &answer, TimePoint now,
                                CallerOutput &output) {
  if (answer.Flow != Id || Flow == FlowState::BackingOff ||
      Flow == FlowState::None || Flow == FlowState::Closed) {
    if (answer.Kind == CallerReplyKind::Data)
      ++Counters.StrayAnswers;
    return;
  }
  if (Flow == FlowState::Opening) {
    switch (answer.Kind) {
    case CallerReplyKind::Accept:
      Flow = FlowState::Open;
      Token = answer.Token;
      OpenBackOff = Options.RetransmitMin;
      Unanswered = 0;
      NextKeepAlive = now + Options.KeepAliveInterval;
      return sendWaiting(now, output);
    case CallerReplyKind::Refused:
    case CallerReplyKind::Reset:
    case CallerReplyKind::Closed:
      return backOff(Duration(answer.RetryAfterMs), now);
    case CallerReplyKind::Data:
      return;
    }
    return;
  }
  switch (answer.Kind) {
  case CallerReplyKind::Accept:
  case CallerReplyKind::Refused:
    // Answers to repeats of the first packet.
    return;
  case CallerReplyKind::Reset:
  case CallerReplyKind::Closed:
    return loseFlow(now, output);
  case CallerReplyKind::Data:
    break;
  }
  // An agent of another incarnation holds the flow now, opened by a late first
  // packet. It has no records of this flow's requests.
  if (answer.Token.ProcessIncarnation != Token.ProcessIncarnation)
    return loseFlow(now, output);
  const auto message = decodeSession(answer.Payload);
  if (!message.ok())
    return;
  Token = answer.Token;
  Unanswered = 0;
  NextKeepAlive = now + Options.KeepAliveInterval;
  onMessage(*message, now, output);
}

void CallerSessionImpl::onMessage(const SessionMessage &message, TimePoint now,
                                  CallerOutput &output) {
  if (const auto *it = std::get_if<ResponseSegment>(&message))
    return onAnswerSegment(*it, now, output);
  if (const auto *it = std::get_if<NotRun>(&message))
    return onNotRun(*it, now, output);
  if (const auto *it = std::get_if<SegmentAck>(&message)) {
    const auto found = Requests.find(it->Request);
    if (found == Requests.end() || it->Attempt != found->second.Attempt ||
        found->second.Now != Phase::Sending || it->Received == 0)
      return;
    OpenRequest &request = found->second;
    const std::size_t total = request.Request.Body.size();
    std::vector<std::uint32_t> segments;
    request.Window->acknowledge(it->Received == total
                                    ? segmentCount(total)
                                    : it->Received / SegmentBytes,
                                now, Spread, segments);
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
  OpenRequest &it = found->second;
  if (refusal.Attempt < it.Attempt || !it.WasSent)
    return;
  it.WasSent = false;
  it.Window.reset();
  it.Answer.reset();
  const bool mayPass = refusal.Reason == RefusalReason::Overloaded ||
                       refusal.Reason == RefusalReason::RecordsFull;
  const Duration backOff =
      Options.RetransmitMin * (1U << std::min(it.Refusals, 5U));
  ++it.Refusals;
  const Duration wait =
      Spread.spread(std::max(Duration(refusal.RetryAfterMs),
                             std::min(Options.RetransmitMax, backOff)));
  if (!mayPass || it.Now == Phase::Cancelling || !mayRetryAfter(it, wait, now))
    finishUnanswered(found, output);
}

void CallerSessionImpl::onAnswerSegment(const ResponseSegment &segment,
                                        TimePoint now, CallerOutput &output) {
  const auto found = Requests.find(segment.Request);
  if (found == Requests.end()) {
    ++Counters.StrayAnswers;
    // Ends the agent's repeats of an answer that was received or is no longer
    // awaited.
    send(ResponseAck{segment.Request, segment.TotalBytes, true}, output);
    return;
  }
  OpenRequest &it = found->second;
  if (!it.WasSent || !SegmentAssembler::fits(segment.TotalBytes, segment.Offset,
                                             segment.Content.size()))
    return;
  if (!it.Answer) {
    it.Answer.emplace(segment.TotalBytes, segment.Checksum);
    it.Status = segment.Status;
  }
  if (it.Answer->totalBytes() != segment.TotalBytes ||
      it.Answer->checksum() != segment.Checksum || it.Status != segment.Status)
    return;
  bool isNew = false;
  it.Answer->add(segment.Offset, segment.Content, isNew);
  // An answer proves that the whole request has arrived.
  if (it.Now == Phase::Sending)
    it.Window.reset();
  if (isNew) {
    it.AskInterval = Options.RetransmitMax;
    it.AskAt = now + Spread.spread(it.AskInterval);
  }
  if (!it.Answer->isComplete()) {
    send(ResponseAck{segment.Request, it.Answer->received(), false}, output);
    return;
  }
  if (!it.Answer->verify()) {
    it.Answer.reset();
    if (++it.BadAnswers < MaxBadAnswers)
      return askForState(it, now, output);
    finishUnanswered(found, output);
    return;
  }
  send(ResponseAck{segment.Request, segment.TotalBytes, true}, output);
  CallerResult result;
  result.Kind = ResultKind::Answered;
  result.Status = it.Status;
  result.Body = it.Answer->take();
  finish(found, std::move(result), output);
}

void CallerSessionImpl::sendWaiting(TimePoint now, CallerOutput &output) {
  if (Flow != FlowState::Open)
    return;
  for (auto &[id, it] : Requests)
    if (it.Now == Phase::Waiting && it.NotBefore <= now && now < it.Deadline)
      beginAttempt(it, now, output);
}

void CallerSessionImpl::tickRequests(TimePoint now, CallerOutput &output) {
  for (auto found = Requests.begin(); found != Requests.end();) {
    OpenRequest &it = found->second;
    if (now >= it.Deadline) {
      // Saves the agent work that nobody waits for.
      if (it.WasSent && Flow == FlowState::Open)
        send(CancelRequest{it.Request.Id, Token.ProcessIncarnation, it.Attempt},
             output);
      found = finishUnanswered(found, output);
      continue;
    }
    if (Flow == FlowState::Open && it.Now != Phase::Waiting) {
      std::vector<std::uint32_t> segments;
      const bool isSending =
          it.Now == Phase::Sending && it.Window && !it.Window->isDone();
      if (isSending) {
        if (it.Window->tick(now, Spread, segments))
          ++Counters.Retransmits;
        sendSegments(it, segments, now, output);
      } else if (it.AskAt <= now) {
        ++Counters.Retransmits;
        askForState(it, now, output);
      }
    }
    ++found;
  }
}

void CallerSessionImpl::tickKeepAlive(TimePoint now, CallerOutput &output) {
  if (Flow != FlowState::Open || now < NextKeepAlive)
    return;
  if (Unanswered >= Options.KeepAliveMisses)
    return loseFlow(now, output);
  ++Unanswered;
  send(KeepAlive{++KeepAliveSequence}, output);
  NextKeepAlive = now + Options.KeepAliveInterval;
}

void CallerSessionImpl::tick(TimePoint now, CallerOutput &output) {
  if (Flow == FlowState::Closed)
    return;
  if (Flow == FlowState::None ||
      (Flow == FlowState::BackingOff && now >= ReopenAt)) {
    openFlow(now, output);
  } else if (Flow == FlowState::Opening) {
    if (now - OpenedAt >= Options.OpenTimeout) {
      openFlow(now, output);
    } else if (now >= NextFirst) {
      ++Counters.Retransmits;
      sendFirst(now, output);
    }
  }
  tickRequests(now, output);
  tickKeepAlive(now, output);
  sendWaiting(now, output);
}

void CallerSessionImpl::close(TimePoint now, CallerOutput &output) {
  static_cast<void>(now);
  if (Flow == FlowState::Open || Flow == FlowState::Opening)
    sendPacket(PacketFlag::Last |
                   (Flow == FlowState::Open ? PacketFlag::Established : 0),
               {}, output);
  Flow = FlowState::Closed;
  for (auto it = Requests.begin(); it != Requests.end();)
    it = finishUnanswered(it, output);
}

} // namespace

std::unique_ptr<CallerSession> makeCallerSession(CallerSessionOptions options) {
  return std::make_unique<CallerSessionImpl>(options);
}

} // namespace pistachio
