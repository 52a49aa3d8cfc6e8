#include "Wire/SessionMessages.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstSessionType = 32;
constexpr std::size_t MaxMethodBytes = 8;
constexpr std::size_t MaxPathBytes = 96;

} // namespace

template <typename Archive> void fields(Archive &archive, RequestSegment &it) {
  field(archive, it.Request);
  text(archive, it.Method, MaxMethodBytes);
  text(archive, it.Path, MaxPathBytes);
  field(archive, it.Idempotent);
  field(archive, it.DeadlineMs);
  field(archive, it.TotalBytes);
  field(archive, it.Offset);
  field(archive, it.Checksum);
  bytes(archive, it.Content, SegmentBytes);
  field(archive, it.ProcessIncarnation);
  field(archive, it.Attempt);
}

template <typename Archive> void fields(Archive &archive, SegmentAck &it) {
  field(archive, it.Request);
  field(archive, it.Received);
  field(archive, it.Attempt);
}

template <typename Archive> void fields(Archive &archive, ResponseSegment &it) {
  field(archive, it.Request);
  field(archive, it.Status);
  field(archive, it.TotalBytes);
  field(archive, it.Offset);
  field(archive, it.Checksum);
  bytes(archive, it.Content, SegmentBytes);
}

template <typename Archive> void fields(Archive &archive, ResponseAck &it) {
  field(archive, it.Request);
  field(archive, it.Received);
  field(archive, it.Complete);
}

template <typename Archive> void fields(Archive &archive, NotRun &it) {
  field(archive, it.Request);
  field(archive, it.Reason);
  field(archive, it.RetryAfterMs);
  field(archive, it.Attempt);
}

template <typename Archive> void fields(Archive &archive, OutcomeUnknown &it) {
  field(archive, it.Request);
}
template <typename Archive> void fields(Archive &archive, CancelRequest &it) {
  field(archive, it.Request);
  field(archive, it.ProcessIncarnation);
  field(archive, it.Attempt);
}
template <typename Archive> void fields(Archive &archive, KeepAlive &it) {
  field(archive, it.Sequence);
}

absl::StatusOr<SessionMessage> decodeSession(std::span<const std::byte> buf) {
  return decodeVariant<SessionMessage>(buf, FirstSessionType,
                                       MaxPayloadBytes - EnvelopeBytes);
}

absl::Status encodeSession(const SessionMessage &message, Bytes &out) {
  return encodeVariant(message, FirstSessionType,
                       MaxPayloadBytes - EnvelopeBytes, out);
}

} // namespace pistachio
