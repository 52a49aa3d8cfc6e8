#include "Session/AnswerSender.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>

namespace pistachio {
namespace {

enum class State : std::uint8_t {
  Receiving,
  Queued,
  Running,
  /// Answered; the content is kept until the caller has it or stops waiting.
  Done,
  /// Not run in any attempt up to the present one.
  Refused,
  /// May have run; there will be no answer.
  Unknown
};

struct Record {
  State Now = State::Receiving;
  SessionKey Flow;
  bool IsFlowOpen = true;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  std::uint32_t TotalBytes = 0;
  std::uint32_t Checksum = 0;
  std::uint32_t Attempt = 0;
  TimePoint Deadline{};
  /// Only packets that are still under way can ask for the record after this.
  TimePoint LastUse{};
  TimePoint Expires{};
  /// Bytes that this record holds of the bound.
  std::size_t Held = 0;
  std::optional<SegmentAssembler> Request;
  std::optional<AnswerSender> Answer;
  RefusalReason Reason = RefusalReason::Overloaded;
  Duration RetryAfter{0};
  /// Entries of this record in the two ordered sets.
  TimePoint TimerKey{};
  TimePoint EvictionKey{};
};

bool isFinal(State state) {
  return state == State::Done || state == State::Refused ||
         state == State::Unknown;
}

class RequestRecordsImpl final : public RequestRecords {
public:
  RequestRecordsImpl(RequestRecordsOptions options, AdmissionGate &gate)
      : Options(options), Gate(gate), Spread(options.Seed) {}

  void receive(const SessionKey &flow, std::span<const std::byte> payload,
               TimePoint now, RequestRecordsOutput &output) override;
  void onBackEndAnswer(RequestId request, std::uint16_t status, Bytes body,
                       TimePoint now, RequestRecordsOutput &output) override;
  void onBackEndFailure(RequestId request, bool wasSent, TimePoint now,
                        RequestRecordsOutput &output) override;
  void onBackEndShed(RequestId request, Duration retryAfter, TimePoint now,
                     RequestRecordsOutput &output) override;
  void onFlowClosed(const SessionKey &flow, TimePoint now,
                    RequestRecordsOutput &output) override;
  void tick(TimePoint now, RequestRecordsOutput &output) override;
  std::size_t unfinished() const override { return Unfinished.size(); }
  std::size_t recordCount() const override { return Records.size(); }
  std::uint64_t badPayloads() const override { return BadPayloads; }

private:
  void onSegment(const SessionKey &flow, const RequestSegment &segment,
                 TimePoint now, RequestRecordsOutput &output);
  void onAnswerAck(const SessionKey &flow, const ResponseAck &ack,
                   TimePoint now, RequestRecordsOutput &output);
  void onCancel(const SessionKey &flow, const CancelRequest &cancel,
                TimePoint now, RequestRecordsOutput &output);

  bool beginReceiving(RequestId id, const SessionKey &flow,
                      const RequestSegment &segment, TimePoint now,
                      RequestRecordsOutput &output);
  void collect(RequestId id, Record &record, const RequestSegment &segment,
               TimePoint now, RequestRecordsOutput &output);
  void repeatState(RequestId id, Record &record, const SessionKey &flow,
                   TimePoint now, RequestRecordsOutput &output);
  void refuse(RequestId id, Record &record, RefusalReason reason,
              Duration retryAfter, TimePoint now, RequestRecordsOutput &output);
  void refuseUnrecorded(RequestId id, const SessionKey &flow,
                        std::uint32_t attempt, RefusalReason reason,
                        TimePoint now, RequestRecordsOutput &output);
  void giveUp(RequestId id, Record &record, TimePoint now,
              RequestRecordsOutput &output);
  void startQueued(TimePoint now, RequestRecordsOutput &output);
  void makeRoom(TimePoint now);
  void setHeld(Record &record, std::size_t n);
  /// Brings the timer, the place in the eviction order and the set of
  /// unfinished records in line with the state.
  void update(RequestId id, Record &record);
  void erase(RequestId id, Record &record);
  void touch(Record &record, TimePoint now);
  Record *findRunning(RequestId id);
  static void say(const Record &record, SessionMessage message,
                  RequestRecordsOutput &output) {
    if (record.IsFlowOpen)
      output.Answers.push_back({record.Flow, std::move(message)});
  }

  RequestRecordsOptions Options;
  AdmissionGate &Gate;
  Jitter Spread;
  std::unordered_map<RequestId, Record> Records;
  std::set<std::pair<TimePoint, RequestId>> Timers;
  std::set<std::pair<TimePoint, RequestId>> Evictable;
  std::set<RequestId> Unfinished;
  std::deque<RequestId> Queue;
  std::size_t HeldBytes = 0;
  std::uint64_t BadPayloads = 0;
};

void RequestRecordsImpl::setHeld(Record &record, std::size_t n) {
  HeldBytes = HeldBytes - record.Held + n;
  record.Held = n;
}

void RequestRecordsImpl::touch(Record &record, TimePoint now) {
  record.LastUse = std::max({record.LastUse, now, record.Deadline});
  record.Expires = record.LastUse + Options.RecordLifetime;
}

void RequestRecordsImpl::update(RequestId id, Record &record) {
  Timers.erase({record.TimerKey, id});
  Evictable.erase({record.EvictionKey, id});
  TimePoint due = record.Expires;
  switch (record.Now) {
  case State::Receiving:
  case State::Queued:
    due = record.Deadline;
    break;
  case State::Running:
    // The back-end call ends by itself, after which the record gets a due time
    // again.
    due = TimePoint::max();
    break;
  case State::Done:
    if (record.Answer)
      due = record.IsFlowOpen && !record.Answer->isDone()
                ? std::min(record.Answer->due(), record.Deadline)
                : record.Deadline;
    break;
  case State::Refused:
  case State::Unknown:
    break;
  }
  record.TimerKey = due;
  Timers.insert({due, id});
  const bool isFinished = isFinal(record.Now) && !record.Answer;
  if (isFinished) {
    record.EvictionKey = record.LastUse + Options.LatePacketLifetime;
    Evictable.insert({record.EvictionKey, id});
    Unfinished.erase(id);
  } else {
    Unfinished.insert(id);
  }
}

void RequestRecordsImpl::erase(RequestId id, Record &record) {
  setHeld(record, 0);
  Timers.erase({record.TimerKey, id});
  Evictable.erase({record.EvictionKey, id});
  Unfinished.erase(id);
  Records.erase(id);
}

void RequestRecordsImpl::makeRoom(TimePoint now) {
  while (Records.size() >= Options.MaxRecords && !Evictable.empty() &&
         Evictable.begin()->first <= now) {
    const RequestId id = Evictable.begin()->second;
    erase(id, Records.at(id));
  }
}

void RequestRecordsImpl::receive(const SessionKey &flow,
                                 std::span<const std::byte> payload,
                                 TimePoint now, RequestRecordsOutput &output) {
  // First and last packets of a flow carry no session message.
  if (payload.empty())
    return;
  auto message = decodeSession(payload);
  if (!message.ok()) {
    ++BadPayloads;
    return;
  }
  if (const auto *it = std::get_if<RequestSegment>(&*message))
    return onSegment(flow, *it, now, output);
  if (const auto *it = std::get_if<ResponseAck>(&*message))
    return onAnswerAck(flow, *it, now, output);
  if (const auto *it = std::get_if<CancelRequest>(&*message))
    return onCancel(flow, *it, now, output);
  if (const auto *it = std::get_if<KeepAlive>(&*message)) {
    output.Answers.push_back({flow, *it});
    return;
  }
  ++BadPayloads;
}

void RequestRecordsImpl::onSegment(const SessionKey &flow,
                                   const RequestSegment &segment, TimePoint now,
                                   RequestRecordsOutput &output) {
  if (segment.ProcessIncarnation != Options.ProcessIncarnation) {
    // The request may have run under the other incarnation. The token of the
    // answer tells the caller that the flow is lost.
    output.Answers.push_back({flow, KeepAlive{}});
    return;
  }
  const RequestId id = segment.Request;
  auto found = Records.find(id);
  if (found == Records.end()) {
    if (!beginReceiving(id, flow, segment, now, output))
      return;
    found = Records.find(id);
  }
  Record &record = found->second;
  if (record.Now == State::Refused && segment.Attempt > record.Attempt) {
    erase(id, record);
    if (!beginReceiving(id, flow, segment, now, output))
      return;
    return collect(id, Records.at(id), segment, now, output);
  }
  if (segment.Attempt >= record.Attempt) {
    record.Flow = flow;
    record.IsFlowOpen = true;
    if (record.Now != State::Refused)
      record.Attempt = segment.Attempt;
  }
  touch(record, now);
  if (record.Now == State::Receiving)
    return collect(id, record, segment, now, output);
  repeatState(id, record, flow, now, output);
}

bool RequestRecordsImpl::beginReceiving(RequestId id, const SessionKey &flow,
                                        const RequestSegment &segment,
                                        TimePoint now,
                                        RequestRecordsOutput &output) {
  makeRoom(now);
  const auto refuse = [&](RefusalReason reason) {
    refuseUnrecorded(id, flow, segment.Attempt, reason, now, output);
    return false;
  };
  if (!SegmentAssembler::fits(segment.TotalBytes, segment.Offset,
                              segment.Content.size()) ||
      segment.DeadlineMs > Options.RecordLifetime.count())
    return refuse(RefusalReason::Invalid);
  if (segment.DeadlineMs == 0)
    return refuse(RefusalReason::DeadlineExceeded);
  if (Records.size() >= Options.MaxRecords ||
      HeldBytes + segment.TotalBytes > Options.MaxContentBytes / 2)
    return refuse(RefusalReason::RecordsFull);
  Record &record = Records[id];
  record.Flow = flow;
  record.Method = segment.Method;
  record.Path = segment.Path;
  record.Idempotent = segment.Idempotent;
  record.TotalBytes = segment.TotalBytes;
  record.Checksum = segment.Checksum;
  record.Attempt = segment.Attempt;
  record.Deadline = now + Duration(segment.DeadlineMs);
  record.Request.emplace(segment.TotalBytes, segment.Checksum);
  setHeld(record, segment.TotalBytes);
  touch(record, now);
  update(id, record);
  return true;
}

void RequestRecordsImpl::collect(RequestId id, Record &record,
                                 const RequestSegment &segment, TimePoint now,
                                 RequestRecordsOutput &output) {
  record.Deadline =
      std::min(record.Deadline, now + Duration(segment.DeadlineMs));
  if (now >= record.Deadline)
    return refuse(id, record, RefusalReason::DeadlineExceeded, Duration(0), now,
                  output);
  bool isNew = false;
  const bool isSame = segment.Method == record.Method &&
                      segment.Path == record.Path &&
                      segment.Idempotent == record.Idempotent &&
                      segment.TotalBytes == record.TotalBytes &&
                      segment.Checksum == record.Checksum;
  if (!isSame || !record.Request->add(segment.Offset, segment.Content, isNew))
    return refuse(id, record, RefusalReason::Invalid, Duration(0), now, output);
  say(record, SegmentAck{id, record.Request->received(), record.Attempt},
      output);
  if (!record.Request->isComplete()) {
    update(id, record);
    return;
  }
  if (!record.Request->verify())
    return refuse(id, record, RefusalReason::Invalid, Duration(0), now, output);
  record.Now = State::Queued;
  Queue.push_back(id);
  update(id, record);
  startQueued(now, output);
  if (Queue.size() > Options.MaxQueued)
    refuse(id, record, RefusalReason::Overloaded, Gate.retryAfter(), now,
           output);
}

void RequestRecordsImpl::repeatState(RequestId id, Record &record,
                                     const SessionKey &flow, TimePoint now,
                                     RequestRecordsOutput &output) {
  const auto reply = [&](SessionMessage message) {
    output.Answers.push_back({flow, std::move(message)});
  };
  switch (record.Now) {
  case State::Receiving:
    break;
  case State::Queued:
  case State::Running:
    reply(SegmentAck{id, record.TotalBytes, record.Attempt});
    break;
  case State::Done:
    if (!record.Answer) {
      reply(OutcomeUnknown{id});
      break;
    }
    reply(SegmentAck{id, record.TotalBytes, record.Attempt});
    if (flow == record.Flow)
      record.Answer->start(flow, now, Spread, output.Answers);
    break;
  case State::Refused:
    reply(NotRun{id, record.Reason,
                 static_cast<std::uint32_t>(record.RetryAfter.count()),
                 record.Attempt});
    break;
  case State::Unknown:
    reply(OutcomeUnknown{id});
    break;
  }
  update(id, record);
}

void RequestRecordsImpl::refuse(RequestId id, Record &record,
                                RefusalReason reason, Duration retryAfter,
                                TimePoint now, RequestRecordsOutput &output) {
  std::erase(Queue, id);
  record.Now = State::Refused;
  record.Reason = reason;
  record.RetryAfter = retryAfter;
  record.Request.reset();
  setHeld(record, 0);
  touch(record, now);
  say(record,
      NotRun{id, reason, static_cast<std::uint32_t>(retryAfter.count()),
             record.Attempt},
      output);
  update(id, record);
}

void RequestRecordsImpl::refuseUnrecorded(RequestId id, const SessionKey &flow,
                                          std::uint32_t attempt,
                                          RefusalReason reason, TimePoint now,
                                          RequestRecordsOutput &output) {
  if (Records.size() >= 2 * Options.MaxRecords)
    return;
  Record &record = Records[id];
  record.Flow = flow;
  record.Attempt = attempt;
  refuse(id, record, reason,
         reason == RefusalReason::RecordsFull ? Gate.retryAfter() : Duration(0),
         now, output);
}

void RequestRecordsImpl::giveUp(RequestId id, Record &record, TimePoint now,
                                RequestRecordsOutput &output) {
  record.Now = State::Unknown;
  record.Answer.reset();
  setHeld(record, 0);
  touch(record, now);
  say(record, OutcomeUnknown{id}, output);
  update(id, record);
}

void RequestRecordsImpl::onAnswerAck(const SessionKey &flow,
                                     const ResponseAck &ack, TimePoint now,
                                     RequestRecordsOutput &output) {
  const auto found = Records.find(ack.Request);
  if (found == Records.end() || found->second.Now != State::Done ||
      !found->second.Answer)
    return;
  Record &record = found->second;
  if (ack.Complete) {
    record.Answer.reset();
    setHeld(record, 0);
    // The caller does not ask again, so the deadline no longer matters.
    record.LastUse = now;
  } else if (flow == record.Flow) {
    record.Answer->acknowledge(ack.Received, flow, now, Spread, output.Answers);
    touch(record, now);
  }
  update(ack.Request, record);
}

void RequestRecordsImpl::onCancel(const SessionKey &flow,
                                  const CancelRequest &cancel, TimePoint now,
                                  RequestRecordsOutput &output) {
  if (cancel.ProcessIncarnation != Options.ProcessIncarnation) {
    output.Answers.push_back({flow, KeepAlive{}});
    return;
  }
  const RequestId id = cancel.Request;
  const auto found = Records.find(id);
  if (found == Records.end()) {
    // Remembered, because segments of the request may arrive after this.
    makeRoom(now);
    return refuseUnrecorded(id, flow, cancel.Attempt, RefusalReason::Cancelled,
                            now, output);
  }
  Record &record = found->second;
  if (cancel.Attempt < record.Attempt)
    return;
  record.Flow = flow;
  record.IsFlowOpen = true;
  record.Attempt = cancel.Attempt;
  touch(record, now);
  switch (record.Now) {
  case State::Receiving:
  case State::Queued:
    return refuse(id, record, RefusalReason::Cancelled, Duration(0), now,
                  output);
  case State::Running:
    output.Cancelled.push_back(id);
    giveUp(id, record, now, output);
    return startQueued(now, output);
  case State::Done:
  case State::Refused:
  case State::Unknown:
    return repeatState(id, record, flow, now, output);
  }
}

void RequestRecordsImpl::startQueued(TimePoint now,
                                     RequestRecordsOutput &output) {
  while (!Queue.empty()) {
    const RequestId id = Queue.front();
    Record &record = Records.at(id);
    if (now >= record.Deadline) {
      refuse(id, record, RefusalReason::DeadlineExceeded, Duration(0), now,
             output);
      continue;
    }
    if (!Gate.tryStart(now))
      return;
    Queue.pop_front();
    record.Now = State::Running;
    output.Calls.push_back(
        {id, record.Method, record.Path, record.Request->take(),
         record.Idempotent,
         std::chrono::duration_cast<Duration>(record.Deadline - now)});
    record.Request.reset();
    setHeld(record, 0);
    update(id, record);
  }
}

Record *RequestRecordsImpl::findRunning(RequestId id) {
  const auto found = Records.find(id);
  if (found == Records.end() || found->second.Now != State::Running)
    return nullptr;
  return &found->second;
}

void RequestRecordsImpl::onBackEndAnswer(RequestId request,
                                         std::uint16_t status, Bytes body,
                                         TimePoint now,
                                         RequestRecordsOutput &output) {
  if (Record *record = findRunning(request)) {
    touch(*record, now);
    if (body.size() > MaxContentBytes ||
        HeldBytes + body.size() > Options.MaxContentBytes ||
        now >= record->Deadline) {
      giveUp(request, *record, now, output);
    } else {
      record->Now = State::Done;
      setHeld(*record, body.size());
      record->Answer.emplace(request, status, std::move(body), Options);
      if (record->IsFlowOpen)
        record->Answer->start(record->Flow, now, Spread, output.Answers);
      update(request, *record);
    }
  }
  startQueued(now, output);
}

void RequestRecordsImpl::onBackEndFailure(RequestId request, bool wasSent,
                                          TimePoint now,
                                          RequestRecordsOutput &output) {
  if (Record *record = findRunning(request)) {
    if (wasSent)
      giveUp(request, *record, now, output);
    else
      refuse(request, *record, RefusalReason::Overloaded, Gate.retryAfter(),
             now, output);
  }
  startQueued(now, output);
}

void RequestRecordsImpl::onBackEndShed(RequestId request, Duration retryAfter,
                                       TimePoint now,
                                       RequestRecordsOutput &output) {
  if (Record *record = findRunning(request))
    refuse(request, *record, RefusalReason::Overloaded, retryAfter, now,
           output);
  startQueued(now, output);
}

void RequestRecordsImpl::onFlowClosed(const SessionKey &flow, TimePoint now,
                                      RequestRecordsOutput &output) {
  std::vector<RequestId> ids;
  for (const RequestId id : Unfinished)
    if (const Record &record = Records.at(id);
        record.IsFlowOpen && record.Flow == flow)
      ids.push_back(id);
  for (const RequestId id : ids) {
    Record &record = Records.at(id);
    record.IsFlowOpen = false;
    if (record.Now == State::Receiving || record.Now == State::Queued)
      refuse(id, record, RefusalReason::Cancelled, Duration(0), now, output);
    else
      update(id, record);
  }
}

void RequestRecordsImpl::tick(TimePoint now, RequestRecordsOutput &output) {
  startQueued(now, output);
  while (!Timers.empty() && Timers.begin()->first <= now) {
    const RequestId id = Timers.begin()->second;
    Record &record = Records.at(id);
    switch (record.Now) {
    case State::Receiving:
    case State::Queued:
      refuse(id, record, RefusalReason::DeadlineExceeded, Duration(0), now,
             output);
      break;
    case State::Done:
      if (record.Answer) {
        if (now >= record.Deadline) {
          // The caller has stopped waiting.
          record.Answer.reset();
          setHeld(record, 0);
        } else {
          record.Answer->tick(record.Flow, now, Spread, output.Answers);
        }
        update(id, record);
        break;
      }
      [[fallthrough]];
    case State::Refused:
    case State::Unknown:
      erase(id, record);
      break;
    case State::Running:
      update(id, record);
      break;
    }
  }
}

} // namespace

std::unique_ptr<RequestRecords>
makeRequestRecords(RequestRecordsOptions options, AdmissionGate &gate) {
  return std::make_unique<RequestRecordsImpl>(options, gate);
}

} // namespace pistachio
