#include "Session/ResponseSender.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>

namespace pistachio {
namespace {

enum class RecordState : std::uint8_t {
  Receiving,
  Queued,
  Running,
  /// Answered. The answer is kept until the caller has acknowledged it or the
  /// deadline passes.
  Done,
  /// Neither the current attempt nor an earlier one was run or will be run.
  Refused,
  /// The request may have run, and there will be no response.
  Unknown
};

/// What the agent knows about one request id.
struct Record {
  RecordState State = RecordState::Receiving;
  SessionKey Flow;
  bool IsFlowOpen = true;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  std::uint32_t TotalBytes = 0;
  std::uint32_t Checksum = 0;
  std::uint32_t Attempt = 0;
  TimePoint Deadline{};
  /// Time after which only delayed packets can refer to the record.
  TimePoint NeededUntil{};
  /// Time at which the record is erased.
  TimePoint Expires{};
  /// Number of bytes of this record that count towards MaxBufferedBytes.
  std::size_t BufferedBytes = 0;
  std::optional<SegmentAssembler> Request;
  std::optional<ResponseSender> Response;
  RefusalReason Reason = RefusalReason::Overloaded;
  Duration RetryAfter{0};
  /// Keys of this record in the ordered sets Timers and Evictable.
  TimePoint TimerKey{};
  TimePoint EvictionKey{};
};

/// Whether the request has ended, with or without a response.
bool isFinal(RecordState state) {
  return state == RecordState::Done || state == RecordState::Refused ||
         state == RecordState::Unknown;
}

class RequestRecordsImpl final : public RequestRecords {
public:
  RequestRecordsImpl(RequestRecordsOptions options, AdmissionGate &gate)
      : Options(options), Gate(gate), RetransmitJitter(options.Seed) {}

  void receive(const SessionKey &flow, std::span<const std::byte> payload,
               TimePoint now, RequestRecordsOutput &output) override;
  void onBackEndResponse(RequestId request, std::uint16_t status, Bytes body,
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
  void onResponseAck(const SessionKey &flow, const ResponseAck &ack,
                     TimePoint now, RequestRecordsOutput &output);
  void onCancel(const SessionKey &flow, const CancelRequest &cancel,
                TimePoint now, RequestRecordsOutput &output);

  /// Creates a record for the first segment of an attempt. Returns false if the
  /// attempt was refused.
  bool createRecord(RequestId id, const SessionKey &flow,
                    const RequestSegment &segment, TimePoint now,
                    RequestRecordsOutput &output);
  /// Adds a segment to a request that is being received, and queues the request
  /// when it is complete.
  void addSegment(RequestId id, Record &record, const RequestSegment &segment,
                  TimePoint now, RequestRecordsOutput &output);
  /// Answers a repeated packet with the state of its request.
  void resendState(RequestId id, Record &record, const SessionKey &flow,
                   TimePoint now, RequestRecordsOutput &output);
  void refuse(RequestId id, Record &record, RefusalReason reason,
              Duration retryAfter, TimePoint now, RequestRecordsOutput &output);
  /// Refuses a request that has no record, and records the refusal.
  void recordRefusal(RequestId id, const SessionKey &flow,
                     std::uint32_t attempt, RefusalReason reason, TimePoint now,
                     RequestRecordsOutput &output);
  /// Ends a request that may have run and whose response is not available.
  void endAsUnknown(RequestId id, Record &record, TimePoint now,
                    RequestRecordsOutput &output);
  /// Starts queued requests while the gate allows it.
  void startQueued(TimePoint now, RequestRecordsOutput &output);
  /// Evicts finished records while the table is full.
  void evictFinished(TimePoint now);
  void setBufferedBytes(Record &record, std::size_t n);
  /// Updates the sets Timers, Evictable and Unfinished after a change of the
  /// record.
  void updateIndexes(RequestId id, Record &record);
  void erase(RequestId id, Record &record);
  /// Postpones the expiry of a record that was used.
  void extendLifetime(Record &record, TimePoint now);
  Record *findRunning(RequestId id);
  static void sendToCaller(const Record &record, SessionMessage message,
                           RequestRecordsOutput &output) {
    if (record.IsFlowOpen)
      output.Replies.push_back({record.Flow, std::move(message)});
  }

  RequestRecordsOptions Options;
  AdmissionGate &Gate;
  Jitter RetransmitJitter;
  std::unordered_map<RequestId, Record> Records;
  std::set<std::pair<TimePoint, RequestId>> Timers;
  std::set<std::pair<TimePoint, RequestId>> Evictable;
  std::set<RequestId> Unfinished;
  std::deque<RequestId> Queue;
  std::size_t TotalBufferedBytes = 0;
  std::uint64_t BadPayloads = 0;
};

void RequestRecordsImpl::setBufferedBytes(Record &record, std::size_t n) {
  TotalBufferedBytes = TotalBufferedBytes - record.BufferedBytes + n;
  record.BufferedBytes = n;
}

void RequestRecordsImpl::extendLifetime(Record &record, TimePoint now) {
  record.NeededUntil = std::max({record.NeededUntil, now, record.Deadline});
  record.Expires = record.NeededUntil + Options.RecordLifetime;
}

void RequestRecordsImpl::updateIndexes(RequestId id, Record &record) {
  Timers.erase({record.TimerKey, id});
  Evictable.erase({record.EvictionKey, id});
  TimePoint due = record.Expires;
  switch (record.State) {
  case RecordState::Receiving:
  case RecordState::Queued:
    due = record.Deadline;
    break;
  case RecordState::Running:
    // The end of the back-end call sets the next timer of the record.
    due = TimePoint::max();
    break;
  case RecordState::Done:
    if (record.Response)
      due = record.IsFlowOpen && !record.Response->isDone()
                ? std::min(record.Response->retransmitAt(), record.Deadline)
                : record.Deadline;
    break;
  case RecordState::Refused:
  case RecordState::Unknown:
    break;
  }
  record.TimerKey = due;
  Timers.insert({due, id});
  const bool isFinished = isFinal(record.State) && !record.Response;
  if (isFinished) {
    record.EvictionKey = record.NeededUntil + Options.EvictionDelay;
    Evictable.insert({record.EvictionKey, id});
    Unfinished.erase(id);
  } else {
    Unfinished.insert(id);
  }
}

void RequestRecordsImpl::erase(RequestId id, Record &record) {
  setBufferedBytes(record, 0);
  Timers.erase({record.TimerKey, id});
  Evictable.erase({record.EvictionKey, id});
  Unfinished.erase(id);
  Records.erase(id);
}

void RequestRecordsImpl::evictFinished(TimePoint now) {
  while (Records.size() >= Options.MaxRecords && !Evictable.empty() &&
         Evictable.begin()->first <= now) {
    const RequestId id = Evictable.begin()->second;
    erase(id, Records.at(id));
  }
}

void RequestRecordsImpl::receive(const SessionKey &flow,
                                 std::span<const std::byte> payload,
                                 TimePoint now, RequestRecordsOutput &output) {
  // The first and the last packet of a flow carry no session message.
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
    return onResponseAck(flow, *it, now, output);
  if (const auto *it = std::get_if<CancelRequest>(&*message))
    return onCancel(flow, *it, now, output);
  if (const auto *it = std::get_if<KeepAlive>(&*message)) {
    output.Replies.push_back({flow, *it});
    return;
  }
  ++BadPayloads;
}

void RequestRecordsImpl::onSegment(const SessionKey &flow,
                                   const RequestSegment &segment, TimePoint now,
                                   RequestRecordsOutput &output) {
  if (segment.ProcessIncarnation != Options.ProcessIncarnation) {
    // The request may have run under the other incarnation. The token of this
    // reply tells the caller that the flow is lost.
    output.Replies.push_back({flow, KeepAlive{}});
    return;
  }
  const RequestId id = segment.Request;
  auto found = Records.find(id);
  if (found == Records.end()) {
    if (!createRecord(id, flow, segment, now, output))
      return;
    found = Records.find(id);
  }
  Record &record = found->second;
  if (record.State == RecordState::Refused &&
      segment.Attempt > record.Attempt) {
    erase(id, record);
    if (!createRecord(id, flow, segment, now, output))
      return;
    return addSegment(id, Records.at(id), segment, now, output);
  }
  if (segment.Attempt >= record.Attempt) {
    record.Flow = flow;
    record.IsFlowOpen = true;
    if (record.State != RecordState::Refused)
      record.Attempt = segment.Attempt;
  }
  extendLifetime(record, now);
  if (record.State == RecordState::Receiving)
    return addSegment(id, record, segment, now, output);
  resendState(id, record, flow, now, output);
}

bool RequestRecordsImpl::createRecord(RequestId id, const SessionKey &flow,
                                      const RequestSegment &segment,
                                      TimePoint now,
                                      RequestRecordsOutput &output) {
  evictFinished(now);
  const auto refuse = [&](RefusalReason reason) {
    recordRefusal(id, flow, segment.Attempt, reason, now, output);
    return false;
  };
  if (!SegmentAssembler::isValidSegment(segment.TotalBytes, segment.Offset,
                                        segment.Content.size()) ||
      segment.DeadlineMs > Options.RecordLifetime.count())
    return refuse(RefusalReason::Invalid);
  if (segment.DeadlineMs == 0)
    return refuse(RefusalReason::DeadlineExceeded);
  if (Records.size() >= Options.MaxRecords ||
      TotalBufferedBytes + segment.TotalBytes > Options.MaxBufferedBytes / 2)
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
  setBufferedBytes(record, segment.TotalBytes);
  extendLifetime(record, now);
  updateIndexes(id, record);
  return true;
}

void RequestRecordsImpl::addSegment(RequestId id, Record &record,
                                    const RequestSegment &segment,
                                    TimePoint now,
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
  sendToCaller(
      record, SegmentAck{id, record.Request->contiguousBytes(), record.Attempt},
      output);
  if (!record.Request->isComplete()) {
    updateIndexes(id, record);
    return;
  }
  if (!record.Request->verify())
    return refuse(id, record, RefusalReason::Invalid, Duration(0), now, output);
  record.State = RecordState::Queued;
  Queue.push_back(id);
  updateIndexes(id, record);
  startQueued(now, output);
  if (Queue.size() > Options.MaxQueued)
    refuse(id, record, RefusalReason::Overloaded, Gate.retryAfter(), now,
           output);
}

void RequestRecordsImpl::resendState(RequestId id, Record &record,
                                     const SessionKey &flow, TimePoint now,
                                     RequestRecordsOutput &output) {
  const auto reply = [&](SessionMessage message) {
    output.Replies.push_back({flow, std::move(message)});
  };
  switch (record.State) {
  case RecordState::Receiving:
    break;
  case RecordState::Queued:
  case RecordState::Running:
    reply(SegmentAck{id, record.TotalBytes, record.Attempt});
    break;
  case RecordState::Done:
    if (!record.Response) {
      reply(OutcomeUnknown{id});
      break;
    }
    reply(SegmentAck{id, record.TotalBytes, record.Attempt});
    if (flow == record.Flow)
      record.Response->sendFromStart(flow, now, RetransmitJitter,
                                     output.Replies);
    break;
  case RecordState::Refused:
    reply(NotRun{id, record.Reason,
                 static_cast<std::uint32_t>(record.RetryAfter.count()),
                 record.Attempt});
    break;
  case RecordState::Unknown:
    reply(OutcomeUnknown{id});
    break;
  }
  updateIndexes(id, record);
}

void RequestRecordsImpl::refuse(RequestId id, Record &record,
                                RefusalReason reason, Duration retryAfter,
                                TimePoint now, RequestRecordsOutput &output) {
  std::erase(Queue, id);
  record.State = RecordState::Refused;
  record.Reason = reason;
  record.RetryAfter = retryAfter;
  record.Request.reset();
  setBufferedBytes(record, 0);
  extendLifetime(record, now);
  sendToCaller(record,
               NotRun{id, reason,
                      static_cast<std::uint32_t>(retryAfter.count()),
                      record.Attempt},
               output);
  updateIndexes(id, record);
}

void RequestRecordsImpl::recordRefusal(RequestId id, const SessionKey &flow,
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

void RequestRecordsImpl::endAsUnknown(RequestId id, Record &record,
                                      TimePoint now,
                                      RequestRecordsOutput &output) {
  record.State = RecordState::Unknown;
  record.Response.reset();
  setBufferedBytes(record, 0);
  extendLifetime(record, now);
  sendToCaller(record, OutcomeUnknown{id}, output);
  updateIndexes(id, record);
}

void RequestRecordsImpl::onResponseAck(const SessionKey &flow,
                                       const ResponseAck &ack, TimePoint now,
                                       RequestRecordsOutput &output) {
  const auto found = Records.find(ack.Request);
  if (found == Records.end() || found->second.State != RecordState::Done ||
      !found->second.Response)
    return;
  Record &record = found->second;
  if (ack.Complete) {
    record.Response.reset();
    setBufferedBytes(record, 0);
    // The caller does not refer to the record any more, so it need not be kept
    // until the deadline.
    record.NeededUntil = now;
  } else if (flow == record.Flow) {
    record.Response->acknowledge(ack.Received, flow, now, RetransmitJitter,
                                 output.Replies);
    extendLifetime(record, now);
  }
  updateIndexes(ack.Request, record);
}

void RequestRecordsImpl::onCancel(const SessionKey &flow,
                                  const CancelRequest &cancel, TimePoint now,
                                  RequestRecordsOutput &output) {
  if (cancel.ProcessIncarnation != Options.ProcessIncarnation) {
    output.Replies.push_back({flow, KeepAlive{}});
    return;
  }
  const RequestId id = cancel.Request;
  const auto found = Records.find(id);
  if (found == Records.end()) {
    // The refusal is recorded, because segments of the request may arrive
    // later.
    evictFinished(now);
    return recordRefusal(id, flow, cancel.Attempt, RefusalReason::Cancelled,
                         now, output);
  }
  Record &record = found->second;
  if (cancel.Attempt < record.Attempt)
    return;
  record.Flow = flow;
  record.IsFlowOpen = true;
  record.Attempt = cancel.Attempt;
  extendLifetime(record, now);
  switch (record.State) {
  case RecordState::Receiving:
  case RecordState::Queued:
    return refuse(id, record, RefusalReason::Cancelled, Duration(0), now,
                  output);
  case RecordState::Running:
    output.Cancelled.push_back(id);
    endAsUnknown(id, record, now, output);
    return startQueued(now, output);
  case RecordState::Done:
  case RecordState::Refused:
  case RecordState::Unknown:
    return resendState(id, record, flow, now, output);
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
    record.State = RecordState::Running;
    output.Calls.push_back(
        {id, record.Method, record.Path, record.Request->takeBody(),
         record.Idempotent,
         std::chrono::duration_cast<Duration>(record.Deadline - now)});
    record.Request.reset();
    setBufferedBytes(record, 0);
    updateIndexes(id, record);
  }
}

Record *RequestRecordsImpl::findRunning(RequestId id) {
  const auto found = Records.find(id);
  if (found == Records.end() || found->second.State != RecordState::Running)
    return nullptr;
  return &found->second;
}

void RequestRecordsImpl::onBackEndResponse(RequestId request,
                                           std::uint16_t status, Bytes body,
                                           TimePoint now,
                                           RequestRecordsOutput &output) {
  if (Record *record = findRunning(request)) {
    extendLifetime(*record, now);
    if (body.size() > MaxContentBytes ||
        TotalBufferedBytes + body.size() > Options.MaxBufferedBytes ||
        now >= record->Deadline) {
      endAsUnknown(request, *record, now, output);
    } else {
      record->State = RecordState::Done;
      setBufferedBytes(*record, body.size());
      record->Response.emplace(request, status, std::move(body), Options);
      if (record->IsFlowOpen)
        record->Response->sendFromStart(record->Flow, now, RetransmitJitter,
                                        output.Replies);
      updateIndexes(request, *record);
    }
  }
  startQueued(now, output);
}

void RequestRecordsImpl::onBackEndFailure(RequestId request, bool wasSent,
                                          TimePoint now,
                                          RequestRecordsOutput &output) {
  if (Record *record = findRunning(request)) {
    if (wasSent)
      endAsUnknown(request, *record, now, output);
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
    if (record.State == RecordState::Receiving ||
        record.State == RecordState::Queued)
      refuse(id, record, RefusalReason::Cancelled, Duration(0), now, output);
    else
      updateIndexes(id, record);
  }
}

void RequestRecordsImpl::tick(TimePoint now, RequestRecordsOutput &output) {
  startQueued(now, output);
  while (!Timers.empty() && Timers.begin()->first <= now) {
    const RequestId id = Timers.begin()->second;
    Record &record = Records.at(id);
    switch (record.State) {
    case RecordState::Receiving:
    case RecordState::Queued:
      refuse(id, record, RefusalReason::DeadlineExceeded, Duration(0), now,
             output);
      break;
    case RecordState::Done:
      if (record.Response) {
        if (now >= record.Deadline) {
          // The deadline has passed, and the caller no longer waits for the
          // response.
          record.Response.reset();
          setBufferedBytes(record, 0);
        } else {
          record.Response->tick(record.Flow, now, RetransmitJitter,
                                output.Replies);
        }
        updateIndexes(id, record);
        break;
      }
      [[fallthrough]];
    case RecordState::Refused:
    case RecordState::Unknown:
      erase(id, record);
      break;
    case RecordState::Running:
      updateIndexes(id, record);
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
