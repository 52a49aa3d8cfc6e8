#pragma once

#include "Placement/Placement.h"
#include "Runtime/Runtime.h"
#include "Session/Session.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pistachio {

struct RequestRunnerOptions {
  Endpoint BackEnd;
  std::uint32_t Slots = 1;
  Incarnation ProcessIncarnation;
};

/// Runs the requests of the flows that this agent holds at the back end, within
/// the admission limit. Lives on one thread of the context.
class RequestRunner : private AdmissionGate {
public:
  using SendAnswer =
      std::function<void(const SessionKey &, const SessionMessage &)>;

  RequestRunner(boost::asio::io_context &context,
                const RequestRunnerOptions &options, SendAnswer sendAnswer);

  void receive(const SessionKey &flow, std::span<const std::byte> payload,
               TimePoint now);
  void closeFlow(const SessionKey &flow, TimePoint now);
  void tick(TimePoint now);

  /// Requests that may run at the same time at the most.
  void setSlots(std::uint32_t slots);

  std::size_t unfinished() const { return Records->unfinished(); }
  std::uint64_t badPayloads() const { return Records->badPayloads(); }
  std::uint32_t limit() const { return Admission.limit(); }
  std::uint32_t inFlight() const { return Admission.inFlight(); }

  /// Load in permille that a limit below the announced slots adds; 0 for a warm
  /// back end.
  std::uint16_t coldLoad() const;

private:
  struct RunningCall {
    BackEndCallId Call;
    TimePoint StartedAt;
  };

  bool tryStart(TimePoint now) override { return Admission.tryStart(now); }
  Duration retryAfter() const override { return Admission.retryAfter(); }

  void startCall(BackEndCall call, TimePoint now);
  void finishCall(RequestId request, absl::StatusOr<BackEndResponse> answer);
  void cancelCall(RequestId request, TimePoint now);
  void carryOut(RequestRecordsOutput output, TimePoint now);

  std::uint32_t Slots;
  SendAnswer Send;
  AdmissionController Admission;
  std::unique_ptr<RequestRecords> Records;
  std::unordered_map<RequestId, RunningCall> Running;
  /// Smoothed share of the limit that is in use.
  double Busy = 0;
  /// Last, so that no handler of a call outlives what it refers to.
  std::unique_ptr<BackEndClient> BackEnd;
};

} // namespace pistachio
