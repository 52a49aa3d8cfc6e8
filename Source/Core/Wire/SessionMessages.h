#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace pistachio {

/// Bytes of content in one segment. Together with the headers it fits into
/// MaxPayloadBytes.
inline constexpr std::size_t SegmentBytes = 1000;

/// Largest request or answer body.
inline constexpr std::size_t MaxContentBytes = 4 * 1024 * 1024;

/// Caller to agent: a part of a request. Every segment repeats the head, so
/// that any of them may arrive first.
struct RequestSegment {
  RequestId Request;
  std::string Method;
  std::string Path;
  bool Idempotent = false;
  /// Time that the caller will still wait, in milliseconds.
  std::uint32_t DeadlineMs = 0;
  std::uint32_t TotalBytes = 0;
  std::uint32_t Offset = 0;
  /// Checksum of the whole body (checksum32).
  std::uint32_t Checksum = 0;
  Bytes Content;
  /// Incarnation of the agent that accepted the flow. An agent of another
  /// incarnation has no records of the flow's requests, so it must not run
  /// them.
  Incarnation Run;
  /// Counts from 0. A refused attempt never runs; the caller asks again with
  /// the next one, so that late segments and refusals of an earlier attempt are
  /// recognised.
  std::uint32_t Attempt = 0;
  friend bool operator==(const RequestSegment &,
                         const RequestSegment &) = default;
};

/// Agent to caller: all bytes below Received have arrived.
struct SegmentAck {
  RequestId Request;
  std::uint32_t Received = 0;
  std::uint32_t Attempt = 0;
  friend bool operator==(const SegmentAck &, const SegmentAck &) = default;
};

/// Agent to caller: a part of the answer.
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

/// Caller to agent: all bytes of the answer below Received have arrived.
/// Complete lets the agent forget the content of the answer.
struct ResponseAck {
  RequestId Request;
  std::uint32_t Received = 0;
  bool Complete = false;
  friend bool operator==(const ResponseAck &, const ResponseAck &) = default;
};

enum class RefusalReason : std::uint8_t {
  /// The admission limit is reached.
  Overloaded,
  /// The deadline passed before the request was handed to the back end.
  DeadlineExceeded,
  Cancelled,
  /// The table of request records is full.
  RecordsFull,
  /// The request is malformed.
  Invalid,
  Max = Invalid
};

/// Agent to caller: no attempt of the request up to Attempt was run, and none
/// of them ever will be.
struct NotRun {
  RequestId Request;
  RefusalReason Reason = RefusalReason::Overloaded;
  std::uint32_t RetryAfterMs = 0;
  std::uint32_t Attempt = 0;
  friend bool operator==(const NotRun &, const NotRun &) = default;
};

/// Agent to caller: the request may have run; no answer will come.
struct OutcomeUnknown {
  RequestId Request;
  friend bool operator==(const OutcomeUnknown &,
                         const OutcomeUnknown &) = default;
};

/// Caller to agent. Run and Attempt as in RequestSegment.
struct CancelRequest {
  RequestId Request;
  Incarnation Run;
  std::uint32_t Attempt = 0;
  friend bool operator==(const CancelRequest &,
                         const CancelRequest &) = default;
};

/// Both ways: the agent answers with the same sequence number.
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
