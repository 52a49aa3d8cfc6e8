#include "ControlDaemon/PeerLinks.h"

#include "Telemetry/Telemetry.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pistachio {
namespace {

/// A link with more bytes than this in its queue carries no log entries and no
/// snapshot. The leader sends them again, so queueing the copies would only
/// delay the heartbeats behind them: a link of 2 Mbit/s needs 0.5 s for this
/// much.
constexpr std::size_t MaxQueuedBytes = 128 * 1024;

/// A connection on which nothing arrives is probed at this interval.
constexpr Duration ProbeInterval{500};
/// Three probes without a reply. Shorter than the time after which an instance
/// without a leader sends join requests, so that elections find working
/// connections again.
constexpr Duration SilenceTimeout{1500};
/// A longer time between two ticks is not counted as silence: this process
/// stood still itself.
constexpr Duration MaxTickInterval{100};

/// Returns whether the message carries log entries or a part of a snapshot.
bool isBulk(const ConsensusMessage &message) {
  if (const auto *append = std::get_if<AppendRequest>(&message))
    return !append->Entries.empty();
  return std::holds_alternative<SnapshotPart>(message);
}

bool isReply(const PeerMessage &message) {
  return std::holds_alternative<ForwardedApplyReply>(message) ||
         std::holds_alternative<ForwardedNodeReply>(message) ||
         std::holds_alternative<LeaderReply>(message) ||
         std::holds_alternative<RulesReply>(message) ||
         std::holds_alternative<StatusReply>(message) ||
         std::holds_alternative<RoutingReply>(message) ||
         std::holds_alternative<OrderPermitReply>(message);
}

PeerCallId &callIdOf(PeerMessage &message) {
  return std::visit([](auto &it) -> PeerCallId & { return it.Call; }, message);
}

} // namespace

PeerLinks::PeerLinks(boost::asio::io_context &context, Handlers handlers)
    : Context(context), Notify(std::move(handlers)) {}

PeerLinks::~PeerLinks() { stop(); }

absl::Status PeerLinks::listen(const Endpoint &local) {
  TcpHandlers handlers;
  handlers.OnOpen = [](ConnectionId) {};
  handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [this](ConnectionId from,
                            std::span<const std::byte> frame) {
    onFrame(frame, [this, from](std::span<const std::byte> buf) {
      if (Server)
        Server->send(from, buf);
    });
  };
  auto server = listenTcp(Context, local, std::move(handlers));
  if (!server.ok())
    return server.status();
  Server = *std::move(server);
  return absl::OkStatus();
}

TcpClient &PeerLinks::linkTo(const Endpoint &to) {
  Link &link = Links[to];
  if (link.Client)
    return *link.Client;
  TcpHandlers handlers;
  handlers.OnOpen = [](ConnectionId) {};
  handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [this, to](ConnectionId,
                                std::span<const std::byte> frame) {
    if (const auto it = Links.find(to); it != Links.end())
      it->second.Silence = Duration{0};
    onFrame(frame, [this, to](std::span<const std::byte> buf) {
      if (const auto it = Links.find(to); it != Links.end())
        it->second.Client->send(buf);
    });
  };
  link.Client = connectTcp(Context, {to}, std::move(handlers));
  return *link.Client;
}

bool PeerLinks::isCongested(const Endpoint &to) {
  const std::size_t queued = linkTo(to).queuedBytes();
  const bool congested = queued > MaxQueuedBytes;
  const bool changed = congested ? CongestedLinks.insert(to).second
                                 : CongestedLinks.erase(to) > 0;
  if (changed)
    logEvent(congested ? LogLevel::Warning : LogLevel::Info,
             congested ? "peer_link_congested" : "peer_link_cleared",
             congested ? "log entries are held back until the queue is shorter"
                       : "",
             {{"member", toString(to)},
              {"queued_bytes", std::to_string(queued)},
              {"skipped_messages", std::to_string(SkippedMessages)}});
  return congested;
}

void PeerLinks::send(const Endpoint &to, const ConsensusMessage &message) {
  if (to.Port != 0 && isBulk(message) && isCongested(to)) {
    ++SkippedMessages;
    return;
  }
  Bytes buf;
  if (absl::Status encoded = encodeConsensus(message, buf); !encoded.ok()) {
    logEvent(LogLevel::Error, "peer_message_too_large", encoded.ToString());
    return;
  }
  if (to.Port != 0)
    linkTo(to).send(buf);
  else if (CurrentSendBack)
    (*CurrentSendBack)(buf);
}

void PeerLinks::call(const Endpoint &to, PeerMessage message,
                     TimePoint deadline, ReplyHandler done) {
  TcpClient &link = linkTo(to);
  if (!link.isOpen())
    return done(absl::UnavailableError("no connection to " + toString(to)));
  const PeerCallId id{++LastCallId.Value};
  callIdOf(message) = id;
  Bytes buf;
  if (absl::Status encoded = encodePeer(message, buf); !encoded.ok())
    return done(std::move(encoded));
  PendingCalls.emplace(id, PendingCall{deadline, std::move(done)});
  link.send(buf);
}

void PeerLinks::onFrame(std::span<const std::byte> frame,
                        const SendBack &sendBack) {
  if (const auto consensus = decodeConsensus(frame); consensus.ok()) {
    CurrentSendBack = &sendBack;
    Notify.OnConsensus(*consensus);
    CurrentSendBack = nullptr;
    return;
  }
  absl::StatusOr<PeerMessage> message = decodePeer(frame);
  if (message.ok())
    return onPeerMessage(*std::move(message), sendBack);
  logEvent(LogLevel::Warning, "peer_message_invalid",
           message.status().ToString());
}

void PeerLinks::onPeerMessage(PeerMessage message, const SendBack &sendBack) {
  if (isReply(message)) {
    auto call = PendingCalls.extract(callIdOf(message));
    // A reply that arrives after the deadline has no pending call and is
    // dropped.
    if (!call.empty())
      call.mapped().Done(std::move(message));
    return;
  }
  Notify.OnCall(message, [sendBack](const PeerMessage &reply) {
    Bytes buf;
    if (encodePeer(reply, buf).ok())
      sendBack(buf);
  });
}

void PeerLinks::tick(TimePoint now) {
  expireCalls(now);
  const Duration elapsed = std::min(now - LastTick, MaxTickInterval);
  LastTick = now;
  for (auto &[to, link] : Links)
    checkLink(to, link, elapsed);
}

void PeerLinks::checkLink(const Endpoint &to, Link &link, Duration elapsed) {
  if (!link.Client->isOpen()) {
    link.Silence = Duration{0};
    return;
  }
  link.Silence += elapsed;
  link.SinceProbe += elapsed;
  if (link.Silence >= SilenceTimeout) {
    logEvent(LogLevel::Warning, "peer_link_silent",
             "nothing arrives on the connection; connecting again",
             {{"member", toString(to)},
              {"silent_ms", std::to_string(link.Silence.count())}});
    link.Silence = Duration{0};
    return link.Client->reconnect();
  }
  if (link.Silence < ProbeInterval || link.SinceProbe < ProbeInterval)
    return;
  link.SinceProbe = Duration{0};
  // Every member replies to this query, whether it is the leader or not. No
  // call waits for the reply.
  Bytes buf;
  if (encodePeer(LeaderQuery{{++LastCallId.Value}}, buf).ok())
    link.Client->send(buf);
}

void PeerLinks::expireCalls(TimePoint now) {
  std::vector<ReplyHandler> expired;
  std::erase_if(PendingCalls, [&](auto &it) {
    if (now < it.second.Deadline)
      return false;
    expired.push_back(std::move(it.second.Done));
    return true;
  });
  for (const ReplyHandler &it : expired)
    it(absl::DeadlineExceededError(
        "no reply from the leader before the deadline"));
}

std::size_t PeerLinks::queuedBytes(const Endpoint &to) const {
  const auto it = Links.find(to);
  return it == Links.end() ? 0 : it->second.Client->queuedBytes();
}

void PeerLinks::connect(std::span<const Member> members, const Endpoint &self) {
  for (const Member &it : members)
    if (it.Address != self)
      linkTo(it.Address);
}

void PeerLinks::closeAllExcept(std::span<const Member> members) {
  std::erase_if(Links, [&](const auto &it) {
    return std::none_of(
        members.begin(), members.end(),
        [&](const Member &member) { return member.Address == it.first; });
  });
}

void PeerLinks::stop() {
  Links.clear();
  PendingCalls.clear();
  if (Server)
    Server->stop();
}

} // namespace pistachio
