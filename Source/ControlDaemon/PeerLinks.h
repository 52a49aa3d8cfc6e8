#pragma once

#include "Consensus/Consensus.h"
#include "Runtime/Runtime.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace pistachio {

/// Connections to the other members. They carry consensus messages, and calls
/// that have a reply and a deadline. A connection on which nothing arrives is
/// probed, and replaced if the probes have no reply: it may have gone silent
/// without a reset, while a new one would work.
class PeerLinks {
public:
  using ReplyHandler = std::function<void(absl::StatusOr<PeerMessage>)>;
  using SendReply = std::function<void(const PeerMessage &)>;

  struct Handlers {
    std::function<void(const ConsensusMessage &)> OnConsensus;
    /// \p reply may be called at most once, during the call or later.
    std::function<void(const PeerMessage &, SendReply reply)> OnCall;
  };

  PeerLinks(boost::asio::io_context &context, Handlers handlers);
  ~PeerLinks();

  absl::Status listen(const Endpoint &local);
  /// If \p to has no port, the message is sent on the connection whose message
  /// is currently being handled. Log entries and snapshots are dropped while
  /// the link is congested.
  void send(const Endpoint &to, const ConsensusMessage &message);
  /// Assigns the call id of \p message and sends it. \p done receives
  /// Unavailable if there is no connection, and DeadlineExceeded if no reply
  /// arrives in time.
  void call(const Endpoint &to, PeerMessage message, TimePoint deadline,
            ReplyHandler done);
  /// Must be called every few milliseconds.
  void tick(TimePoint now);
  /// Bytes that wait to be sent to a member.
  std::size_t queuedBytes(const Endpoint &to) const;
  /// Messages that were dropped because a link was congested.
  std::uint64_t skippedMessages() const { return SkippedMessages; }
  /// Opens connections to all of \p members except \p self in advance.
  /// Otherwise the first message of an election would be lost while its
  /// connection is being established.
  void connect(std::span<const Member> members, const Endpoint &self);
  /// Closes the connections to all endpoints that are not in \p members.
  void closeAllExcept(std::span<const Member> members);
  void stop();

private:
  struct PendingCall {
    TimePoint Deadline;
    ReplyHandler Done;
  };
  struct Link {
    std::unique_ptr<TcpClient> Client;
    /// How long nothing has arrived on the connection while this process ran.
    Duration Silence{0};
    Duration SinceProbe{0};
  };
  /// Sends a frame on the connection from which the current frame was read.
  using SendBack = std::function<void(std::span<const std::byte>)>;

  TcpClient &linkTo(const Endpoint &to);
  bool isCongested(const Endpoint &to);
  void expireCalls(TimePoint now);
  void checkLink(const Endpoint &to, Link &link, Duration elapsed);
  void onFrame(std::span<const std::byte> frame, const SendBack &sendBack);
  void onPeerMessage(PeerMessage message, const SendBack &sendBack);

  boost::asio::io_context &Context;
  Handlers Notify;
  std::unique_ptr<TcpServer> Server;
  std::map<Endpoint, Link> Links;
  TimePoint LastTick{};
  std::set<Endpoint> CongestedLinks;
  std::map<PeerCallId, PendingCall> PendingCalls;
  PeerCallId LastCallId;
  std::uint64_t SkippedMessages = 0;
  const SendBack *CurrentSendBack = nullptr;
};

} // namespace pistachio
