#include "RequestRunner.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr int HttpServiceUnavailable = 503;

/// Weight of one tick in the exponentially smoothed share of busy slots.
constexpr double BusySmoothingFactor = 0.2;

/// Load of an upstream whose admission limit is far below its slots and fully
/// used. It is lower than the load of a full agent, because a cold upstream
/// needs some requests to warm up.
constexpr double MaxColdLoadPermille = 500;

std::string toHex(const RequestId &id) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string text;
  for (const std::uint64_t half : {id.High, id.Low}) {
    for (int shift = 60; shift >= 0; shift -= 4)
      text += Digits[(half >> shift) & 15];
  }
  return text;
}

} // namespace

RequestRunner::RequestRunner(boost::asio::io_context &context,
                             const RequestRunnerOptions &options,
                             SendAnswer sendAnswer)
    : Slots(std::max(options.Slots, 1U)), SendToCaller(std::move(sendAnswer)),
      Admission({.Slots = options.Slots}),
      Records(
          makeRequestRecords({.ProcessIncarnation = options.ProcessIncarnation,
                              .Seed = options.ProcessIncarnation.Value},
                             *this)),
      BackEnd(makeBackEndClient(context, options.BackEnd)) {}

void RequestRunner::receive(const SessionKey &flow,
                            std::span<const std::byte> payload, TimePoint now) {
  RequestRecordsOutput output;
  Records->receive(flow, payload, now, output);
  executeOutput(std::move(output), now);
}

void RequestRunner::closeFlow(const SessionKey &flow, TimePoint now) {
  RequestRecordsOutput output;
  Records->onFlowClosed(flow, now, output);
  executeOutput(std::move(output), now);
}

void RequestRunner::setSlots(std::uint32_t slots) {
  Slots = std::max(slots, 1U);
  Admission.setSlots(Slots);
}

void RequestRunner::tick(TimePoint now) {
  const double usedShare =
      static_cast<double>(inFlight()) / std::max(limit(), 1U);
  BusyShare += (std::min(usedShare, 1.0) - BusyShare) * BusySmoothingFactor;
  RequestRecordsOutput output;
  Records->tick(now, output);
  executeOutput(std::move(output), now);
}

std::uint16_t RequestRunner::coldLoadPermille() const {
  const double missingShare =
      1.0 - static_cast<double>(std::min(limit(), Slots)) / Slots;
  return static_cast<std::uint16_t>(MaxColdLoadPermille * missingShare *
                                    BusyShare);
}

void RequestRunner::executeOutput(RequestRecordsOutput output, TimePoint now) {
  for (const SessionReply &it : output.Replies)
    SendToCaller(it.Flow, it.Message);
  for (const RequestId &it : output.Cancelled)
    cancelCall(it, now);
  for (BackEndCall &it : output.Calls)
    startCall(std::move(it), now);
}

void RequestRunner::startCall(BackEndCall call, TimePoint now) {
  const RequestId request = call.Request;
  BackEndRequest http;
  http.Method = std::move(call.Method);
  http.Path = std::move(call.Path);
  http.Body = std::move(call.Body);
  http.IdempotencyKey = toHex(request);
  http.Deadline = call.RemainingTime;
  const BackEndCallId id = BackEnd->call(
      std::move(http), [this, request](absl::StatusOr<BackEndResponse> answer) {
        finishCall(request, std::move(answer));
      });
  RunningCalls[request] = {id, now};
}

void RequestRunner::finishCall(RequestId request,
                               absl::StatusOr<BackEndResponse> answer) {
  const auto it = RunningCalls.find(request);
  if (it == RunningCalls.end())
    return;
  const TimePoint now = steadyNow();
  const Duration latency = now - it->second.StartedAt;
  RunningCalls.erase(it);

  using Outcome = AdmissionController::Outcome;
  RequestRecordsOutput output;
  if (answer.ok() && answer->Status == HttpServiceUnavailable) {
    Admission.finish(Outcome::Shed, latency, now);
    Records->onBackEndShed(request, answer->RetryAfter, now, output);
  } else if (answer.ok()) {
    Admission.finish(Outcome::Served, latency, now);
    Records->onBackEndResponse(request,
                               static_cast<std::uint16_t>(answer->Status),
                               std::move(answer->Body), now, output);
  } else {
    const bool wasSent =
        answer.status().code() != absl::StatusCode::kUnavailable;
    Admission.finish(Outcome::Failed, latency, now);
    if (!wasSent) {
      // A back end that refuses connections has stopped. It is cold after its
      // restart, so admission starts again from its initial limit.
      Admission.restart(now);
    }
    Records->onBackEndFailure(request, wasSent, now, output);
  }
  executeOutput(std::move(output), now);
}

void RequestRunner::cancelCall(RequestId request, TimePoint now) {
  const auto it = RunningCalls.find(request);
  if (it == RunningCalls.end())
    return;
  BackEnd->cancel(it->second.Call);
  Admission.finish(AdmissionController::Outcome::Cancelled,
                   now - it->second.StartedAt, now);
  RunningCalls.erase(it);
}

} // namespace pistachio
