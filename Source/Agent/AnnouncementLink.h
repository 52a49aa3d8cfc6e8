#pragma once

#include "Runtime/Runtime.h"
#include "Wire/NodeMessages.h"

#include <functional>
#include <memory>
#include <optional>

namespace pistachio {

/// The connection of an agent to a control instance. It carries announcements
/// and their replies, and moves to another instance if the current one does not
/// reply or cannot reach the leader. Runs on a single thread.
class AnnouncementLink {
public:
  struct Handlers {
    /// Called when a connection is established. The instance expects an
    /// announcement.
    std::function<void()> OnOpen;
    /// Called for every reply but AnnounceResult::Unavailable, after which the
    /// link connects to the next control instance.
    std::function<void(const AnnounceReply &)> OnReply;
  };

  AnnouncementLink(boost::asio::io_context &context,
                   std::vector<Endpoint> control, Handlers handlers);

  /// Sends an announcement, and connects to the next control instance if there
  /// was no reply for ControlReplyTimeout.
  void send(const Announce &message, TimePoint now);
  /// Replaces the addresses of control. Takes effect with the next connection.
  void setControlServers(std::vector<Endpoint> control) {
    Client->setServers(std::move(control));
  }
  /// Number of frames from control that could not be decoded or had an
  /// unexpected type.
  std::uint64_t invalidFrames() const { return InvalidFrames; }
  void stop() { Client->stop(); }

private:
  void onFrame(std::span<const std::byte> frame);
  /// Logs the result of an announcement if it differs from the last one.
  void logResultChange(const AnnounceReply &reply);

  Handlers Callbacks;
  TimePoint LastReplyAt;
  std::optional<AnnounceResult> LastResult;
  std::uint64_t InvalidFrames = 0;
  std::unique_ptr<TcpClient> Client;
};

} // namespace pistachio
