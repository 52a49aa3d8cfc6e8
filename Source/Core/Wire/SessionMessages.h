#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace pistachio {

/// Maximum content of one segment. Together with the other fields of a segment
/// it fits into MaxPayloadBytes.
inline constexpr std::size_t SegmentBytes = 1000;

/// Largest body of a request or response.
inline constexpr std::size_t MaxContentBytes = 4 * 1024 * 1024;

/// Caller to agent: one segment of a request. Every segment repeats the method,
/// path and other header fields, because segments may arrive in any order.
struct RequestSegment {
  RequestId Request;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  /// Remaining time for which the caller waits for the response.
  std::uint32_t DeadlineMs = 0;
  std::uint32_t TotalBytes = 0;
  std::uint32_t Offset = 0;
  /// Checksum of the complete body, see checksum32().
  std::uint32_t Checksum = 0;
  Bytes Content;
  /// Incarnation of the agent that accepted the flow. An agent of another
  /// incarnation has no records of the requests of the flow and must not run
  /// them, since they may have been run before.
  Incarnation ProcessIncarnation;
  /// Number of the attempt, starting at 0. A refused attempt is never run; the
  /// caller retries with the next number. Segments and refusals of earlier
  /// attempts that arrive late are recognised by it.
  std::uint32_t Attempt = 0;
  friend bool operator==(const RequestSegment &,
                         const RequestSegment &) = default;
};

/// Agent to caller: all bytes of the request below offset Received have
/// arrived.
struct SegmentAck {
  RequestId Request;
  std::uint32_t Received = 0;
  std::uint32_t Attempt = 0;
  friend bool operator==(const SegmentAck &, const SegmentAck &) = default;
};

/// Agent to caller: one segment of the response.
struct ResponseSegment {
  RequestId Request;
  std::uint16_t Status = 0;
  std::uint32_t TotalBytes = 0;
  std::uint32_t Offset = 0;
  std::uint32_t Checksum = 0;
  Bytes Content;
  friend bool operator==(const ResponseSegment &,
                         const ResponseSegment &) = default;
};

/// Caller to agent: all bytes of the response below offset Received have
/// arrived. If Complete is set, the agent may discard the content of the
/// response.
struct ResponseAck {
  RequestId Request;
  std::uint32_t Received = 0;
  bool Complete = false;
  friend bool operator==(const ResponseAck &, const ResponseAck &) = default;
};

enum class RefusalReason : std::uint8_t {
  /// The agent has reached its admission limit.
  Overloaded,
  /// The deadline passed before the request was sent to the back end.
  DeadlineExceeded,
  Cancelled,
  /// The agent cannot store records of further requests.
  RecordsFull,
  /// The request is malformed.
  Invalid,
  Max = Invalid
};

/// Agent to caller: no attempt of the request up to and including Attempt was
/// run or ever will be.
struct NotRun {
  RequestId Request;
  RefusalReason Reason = RefusalReason::Overloaded;
  std::uint32_t RetryAfterMs = 0;
  std::uint32_t Attempt = 0;
  friend bool operator==(const NotRun &, const NotRun &) = default;
};

/// Agent to caller: the request may have been run, but its response is not
/// available.
struct OutcomeUnknown {
  RequestId Request;
  friend bool operator==(const OutcomeUnknown &,
                         const OutcomeUnknown &) = default;
};

/// Caller to agent: asks the agent to cancel a request. ProcessIncarnation and
/// Attempt have the same meaning as in RequestSegment.
struct CancelRequest {
  RequestId Request;
  Incarnation ProcessIncarnation;
  std::uint32_t Attempt = 0;
  friend bool operator==(const CancelRequest &,
                         const CancelRequest &) = default;
};

/// Caller to agent, and back as the reply with the same sequence number.
struct KeepAlive {
  std::uint32_t Sequence = 0;
  friend bool operator==(const KeepAlive &, const KeepAlive &) = default;
};

using SessionMessage =
    std::variant<RequestSegment, SegmentAck, ResponseSegment, ResponseAck,
                 NotRun, OutcomeUnknown, CancelRequest, KeepAlive>;

absl::StatusOr<SessionMessage> decodeSession(std::span<const std::byte> buf);
absl::Status encodeSession(const SessionMessage &message, Bytes &out);

} // namespace pistachio
