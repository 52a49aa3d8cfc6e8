#include "PacketWorker.h"

#include <boost/asio/post.hpp>

#include <variant>

namespace pistachio {

PacketWorker::PacketWorker(BalancerMetrics &metrics, NodeLease lease,
                           PeerReplyHandler onPeerReply)
    : Metrics(metrics), OnPeerReply(std::move(onPeerReply)),
      WorkGuard(Context.get_executor()), Table(TableReplica().table()),
      Lease(std::move(lease)) {}

PacketWorker::~PacketWorker() { stop(); }

absl::Status PacketWorker::start(const Endpoint &listen) {
  auto udp = openUdp(
      Context, listen,
      [this](std::span<const std::byte> buf, const Endpoint &from) {
        onDatagram(buf, from);
      },
      true);
  if (!udp.ok())
    return udp.status();
  Udp = *std::move(udp);
  Thread = std::thread([this] { Context.run(); });
  return absl::OkStatus();
}

void PacketWorker::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
  Udp.reset();
}

void PacketWorker::update(ServiceTablePtr table, NodeLease lease) {
  boost::asio::post(Context, [this, table = std::move(table),
                              lease = std::move(lease)]() mutable {
    Table = std::move(table);
    Lease = std::move(lease);
  });
}

void PacketWorker::send(const DataMessage &message, const Endpoint &to) {
  Bytes buf;
  if (encodeData(message, buf).ok())
    Udp->send(buf, to);
}

void PacketWorker::onDatagram(std::span<const std::byte> buf,
                              const Endpoint &from) {
  auto message = decodeData(buf);
  if (!message.ok()) {
    Metrics.BadMessages.add();
    return;
  }
  if (auto *packet = std::get_if<CallerPacket>(&*message))
    onCallerPacket(std::move(*packet));
  else if (auto *exhausted = std::get_if<ChainExhausted>(&*message))
    onChainExhausted(std::move(exhausted->Forwarded));
  else if (const auto *query = std::get_if<PeerLeaseQuery>(&*message))
    onPeerQuery(*query, from);
  else if (const auto *reply = std::get_if<PeerLeaseReply>(&*message))
    OnPeerReply(*reply);
  else
    Metrics.BadMessages.add();
}

void PacketWorker::onCallerPacket(CallerPacket packet) {
  const RoutingHeader header{packet.ServiceAddress, packet.Caller, packet.Flow,
                             packet.Flags, packet.Token};
  const RouteDecision decision =
      routePacket(*Table, Lease.mode(steadyNow()), header);
  applyDecision(decision, std::move(packet));
}

void PacketWorker::onChainExhausted(ForwardedPacket forwarded) {
  Metrics.ChainsExtended.add();
  const RouteDecision decision =
      continueRoute(*Table, Lease.mode(steadyNow()), forwarded);
  applyDecision(decision, std::move(forwarded.Packet));
}

void PacketWorker::applyDecision(const RouteDecision &decision,
                                 CallerPacket packet) {
  switch (decision.Action) {
  case RouteAction::Forward: {
    const Endpoint to = decision.Chain[decision.ChainIndex].Address;
    const DataMessage message = makeForwardedPacket(
        decision, std::move(packet), Udp->endpoint(), Table->revision());
    SendBuffer.clear();
    if (!encodeData(message, SendBuffer).ok()) {
      Metrics.BadMessages.add();
      return;
    }
    Udp->send(SendBuffer, to);
    Metrics.Forwarded.add();
    return;
  }
  case RouteAction::Reset:
    Metrics.Resets.add();
    replyToCaller(packet, CallerReplyKind::Reset, 0);
    return;
  case RouteAction::Refuse:
    Metrics.Refused.add();
    replyToCaller(packet, CallerReplyKind::Refused, decision.RetryAfterMs);
    return;
  case RouteAction::Drop:
    Metrics.Dropped[static_cast<std::size_t>(decision.Reason)]->add();
    return;
  }
}

void PacketWorker::replyToCaller(const CallerPacket &packet,
                                 CallerReplyKind kind,
                                 std::uint32_t retryAfterMs) {
  CallerReply reply;
  reply.Flow = packet.Flow;
  reply.Kind = kind;
  reply.RetryAfterMs = retryAfterMs;
  send(reply, packet.Caller);
}

void PacketWorker::onPeerQuery(const PeerLeaseQuery &query,
                               const Endpoint &from) {
  PeerLeaseReply reply = Lease.makePeerReply(steadyNow(), Table->revision());
  reply.Nonce = query.Nonce;
  send(reply, from);
}

} // namespace pistachio
