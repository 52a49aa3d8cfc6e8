#pragma once

#include "Runtime/Runtime.h"
#include "Wire/NodeMessages.h"

#include <functional>
#include <memory>
#include <optional>

namespace pistachio {

/// The connection of an agent to a control instance: announcements and their
/// replies. On one thread.
class AnnouncementLink {
public:
  struct Handlers {
    /// A control instance has been reached; it expects an announcement.
    std::function<void()> OnOpen;
    /// Never AnnounceResult::Unavailable: the next control instance is tried.
    std::function<void(const AnnounceReply &)> OnReply;
  };

  AnnouncementLink(boost::asio::io_context &context,
                   std::vector<Endpoint> control, Handlers handlers);

  /// Goes on to the next control instance if none has answered for long.
  void send(const Announce &message, TimePoint now);
  /// Used from the next connection on.
  void setControlServers(std::vector<Endpoint> control) {
    Client->setServers(std::move(control));
  }
  /// Frames of control that could not be decoded.
  std::uint64_t invalidFrames() const { return InvalidFrames; }
  void stop() { Client->stop(); }

private:
  void onFrame(std::span<const std::byte> frame);
  void logResultChange(const AnnounceReply &reply);

  Handlers Callbacks;
  TimePoint LastReplyAt;
  std::optional<AnnounceResult> LastResult;
  std::uint64_t InvalidFrames = 0;
  std::unique_ptr<TcpClient> Client;
};

} // namespace pistachio
