#pragma once

#include "Placement/Placement.h"
#include "Runtime/Runtime.h"
#include "Session/Session.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pistachio {

struct RequestRunnerOptions {
  /// Address of the back end's HTTP server.
  Endpoint BackEnd;
  std::uint32_t Slots = 1;
  Incarnation ProcessIncarnation;
};

/// Executes the requests of the agent's flows as HTTP calls to the back end,
/// within the limit of the admission control. Runs on the thread of the
/// io_context.
class RequestRunner : private AdmissionGate {
public:
  using SendAnswer =
      std::function<void(const SessionKey &, const SessionMessage &)>;

  RequestRunner(boost::asio::io_context &context,
                const RequestRunnerOptions &options, SendAnswer sendAnswer);

  void receive(const SessionKey &flow, std::span<const std::byte> payload,
               TimePoint now);
  /// Rejects the requests of the flow that have not started.
  void closeFlow(const SessionKey &flow, TimePoint now);
  void tick(TimePoint now);

  /// Sets the upper bound on the number of concurrent requests.
  void setSlots(std::uint32_t slots);

  std::size_t unfinished() const { return Records->unfinished(); }
  std::uint64_t badPayloads() const { return Records->badPayloads(); }
  std::uint32_t limit() const { return Admission.limit(); }
  std::uint32_t inFlight() const { return Admission.inFlight(); }

  /// Additional load, in permille, to report while the admission limit is below
  /// the announced slots; 0 for a warm back end.
  std::uint16_t coldLoadPermille() const;

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
  void executeOutput(RequestRecordsOutput output, TimePoint now);

  std::uint32_t Slots;
  SendAnswer SendToCaller;
  AdmissionController Admission;
  std::unique_ptr<RequestRecords> Records;
  std::unordered_map<RequestId, RunningCall> RunningCalls;
  /// Exponentially smoothed share of the admission limit that is in use.
  double BusyShare = 0;
  /// Declared last, so that it is destroyed first: the handlers of its calls
  /// refer to the other members.
  std::unique_ptr<BackEndClient> BackEnd;
};

} // namespace pistachio
