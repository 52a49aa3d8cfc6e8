#pragma once

#include "Session/SegmentAssembler.h"
#include "Session/SegmentWindow.h"
#include "Session/Session.h"

namespace pistachio {

/// Holds the answer to one request and repeats its segments until the caller
/// has acknowledged all of them.
class AnswerSender {
public:
  AnswerSender(RequestId request, std::uint16_t status, Bytes body,
               const RequestRecordsOptions &options)
      : Request(request), Status(status), Body(std::move(body)),
        Checksum(checksum32(Body)),
        Window(segmentCount(Body.size()), options.AnswerWindow,
               options.RetransmitMin, options.RetransmitMax) {}

  std::size_t contentBytes() const { return Body.size(); }
  TimePoint due() const { return Window.due(); }
  bool isDone() const { return Window.isDone(); }

  void start(const SessionKey &flow, TimePoint now, Jitter &jitter,
             std::vector<SessionAnswer> &out) {
    std::vector<std::uint32_t> send;
    Window.restart(now, jitter, send);
    emit(flow, send, out);
  }
  void acknowledge(std::uint32_t receivedBytes, const SessionKey &flow,
                   TimePoint now, Jitter &jitter,
                   std::vector<SessionAnswer> &out) {
    std::vector<std::uint32_t> send;
    // The acknowledgement of an empty answer is its Complete flag.
    if (receivedBytes <= Body.size() && !Body.empty())
      Window.acknowledge(receivedBytes == Body.size()
                             ? segmentCount(Body.size())
                             : receivedBytes / SegmentBytes,
                         now, jitter, send);
    emit(flow, send, out);
  }
  void tick(const SessionKey &flow, TimePoint now, Jitter &jitter,
            std::vector<SessionAnswer> &out) {
    std::vector<std::uint32_t> send;
    Window.tick(now, jitter, send);
    emit(flow, send, out);
  }

private:
  void emit(const SessionKey &flow, std::span<const std::uint32_t> send,
            std::vector<SessionAnswer> &out) const {
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
