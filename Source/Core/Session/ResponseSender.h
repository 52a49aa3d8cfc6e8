#pragma once

#include "Session/SegmentAssembler.h"
#include "Session/SegmentWindow.h"
#include "Session/Session.h"

namespace pistachio {

/// Stores the response to a request, sends its segments and retransmits them
/// until the caller has acknowledged the whole response.
class ResponseSender {
public:
  ResponseSender(RequestId request, std::uint16_t status, Bytes body,
                 const RequestRecordsOptions &options)
      : Request(request), Status(status), Body(std::move(body)),
        Checksum(checksum32(Body)),
        Window(segmentCount(Body.size()), options.ResponseWindowSegments,
               options.MinRetransmitInterval, options.MaxRetransmitInterval) {}

  std::size_t contentBytes() const { return Body.size(); }
  TimePoint retransmitAt() const { return Window.retransmitAt(); }
  bool isDone() const { return Window.isDone(); }

  /// Sends the response from its first segment, for the first time or again.
  /// The segments are appended to \p out.
  void sendFromStart(const SessionKey &flow, TimePoint now, Jitter &jitter,
                     std::vector<SessionReply> &out) {
    std::vector<std::uint32_t> send;
    Window.restart(now, jitter, send);
    sendSegments(flow, send, out);
  }
  /// Handles the acknowledgement of the first \p receivedBytes of the response
  /// and sends the segments that the window now allows.
  void acknowledge(std::uint32_t receivedBytes, const SessionKey &flow,
                   TimePoint now, Jitter &jitter,
                   std::vector<SessionReply> &out) {
    std::vector<std::uint32_t> send;
    // An empty response is acknowledged by the Complete flag of ResponseAck,
    // because its number of received bytes is always zero.
    if (receivedBytes <= Body.size() && !Body.empty())
      Window.acknowledge(receivedBytes == Body.size()
                             ? segmentCount(Body.size())
                             : receivedBytes / SegmentBytes,
                         now, jitter, send);
    sendSegments(flow, send, out);
  }
  /// Retransmits unacknowledged segments whose timer has expired.
  void tick(const SessionKey &flow, TimePoint now, Jitter &jitter,
            std::vector<SessionReply> &out) {
    std::vector<std::uint32_t> send;
    Window.tick(now, jitter, send);
    sendSegments(flow, send, out);
  }

private:
  void sendSegments(const SessionKey &flow, std::span<const std::uint32_t> send,
                    std::vector<SessionReply> &out) const {
    for (const std::uint32_t index : send) {
      const auto content = segmentOf(Body, index);
      out.push_back(
          {flow, ResponseSegment{
                     Request, Status, static_cast<std::uint32_t>(Body.size()),
                     static_cast<std::uint32_t>(index * SegmentBytes), Checksum,
                     Bytes(content.begin(), content.end())}});
    }
  }

  RequestId Request;
  std::uint16_t Status;
  Bytes Body;
  std::uint32_t Checksum;
  SegmentWindow Window;
};

} // namespace pistachio
