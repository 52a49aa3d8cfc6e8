#pragma once

#include "Consensus/Consensus.h"
#include "Runtime/Runtime.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <memory>
#include <span>

namespace pistachio {

/// Connections to the other members: consensus messages, and calls with a reply
/// and a deadline.
class PeerLinks {
public:
  using ReplyHandler = std::function<void(absl::StatusOr<PeerMessage>)>;
  using SendReply = std::function<void(const PeerMessage &)>;

  struct Handlers {
    std::function<void(const ConsensusMessage &)> OnConsensus;
    /// \p reply may be used once, also later.
    std::function<void(const PeerMessage &, SendReply reply)> OnCall;
  };

  PeerLinks(boost::asio::io_context &context, Handlers handlers);
  ~PeerLinks();

  absl::Status listen(const Endpoint &local);
  /// A receiver without a port gets the message on the connection whose message
  /// is being handled.
  void send(const Endpoint &to, const ConsensusMessage &message);
  /// Sets the call id of \p message. Unavailable if there is no connection,
  /// DeadlineExceeded if no reply arrives in time.
  void call(const Endpoint &to, PeerMessage message, TimePoint deadline,
            ReplyHandler done);
  void tick(TimePoint now);
  /// Opens links to all of \p members but \p self: the first message of an
  /// election would be lost while its connection is made.
  void connect(std::span<const Member> members, const Endpoint &self);
  /// Closes links to endpoints that are not in \p members.
  void closeAllExcept(std::span<const Member> members);
  void stop();

private:
  struct PendingCall {
    TimePoint Deadline;
    ReplyHandler Done;
  };
  /// Sends a frame back on the connection that is being read.
  using SendBack = std::function<void(std::span<const std::byte>)>;

  TcpClient &linkTo(const Endpoint &to);
  void onFrame(std::span<const std::byte> frame, const SendBack &sendBack);
  void onPeerMessage(PeerMessage message, const SendBack &sendBack);

  boost::asio::io_context &Context;
  Handlers Notify;
  std::unique_ptr<TcpServer> Server;
  std::map<Endpoint, std::unique_ptr<TcpClient>> Links;
  std::map<PeerCallId, PendingCall> PendingCalls;
  PeerCallId LastCallId;
  const SendBack *CurrentSendBack = nullptr;
};

} // namespace pistachio
