#pragma once

#include "BalancerMetrics.h"

#include "Routing/Routing.h"
#include "Runtime/Runtime.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace pistachio {

/// One thread with a socket of its own on the shared port. It holds its own
/// references to table and lease, which the control thread replaces by posting,
/// so that a packet takes no lock.
class PacketWorker {
public:
  using PeerAnswerHandler = std::function<void(const PeerLeaseReply &)>;

  /// \p onPeerAnswer is run on the worker's thread.
  PacketWorker(BalancerMetrics &metrics, NodeLease lease,
               PeerAnswerHandler onPeerAnswer);
  ~PacketWorker();
  PacketWorker(const PacketWorker &) = delete;
  PacketWorker &operator=(const PacketWorker &) = delete;

  /// Opens the socket and starts the thread.
  absl::Status start(const Endpoint &listen);
  void stop();

  Endpoint endpoint() const { return Udp->endpoint(); }
  /// Thread-safe.
  void send(const DataMessage &message, const Endpoint &to);
  /// Thread-safe; in force for all packets that are read after it was carried
  /// out.
  void update(ServiceTablePtr table, NodeLease lease);

private:
  void onDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onCallerPacket(CallerPacket packet);
  void onChainExhausted(ForwardedPacket forwarded);
  void carryOut(const RouteDecision &decision, CallerPacket packet);
  void answerPeer(const PeerLeaseQuery &query, const Endpoint &from);
  void answerCaller(const CallerPacket &packet, CallerReplyKind kind,
                    std::uint32_t retryAfterMs);

  BalancerMetrics &Metrics;
  PeerAnswerHandler OnPeerAnswer;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  ServiceTablePtr Table;
  NodeLease Lease;
  std::unique_ptr<UdpSocket> Udp;
  std::thread Thread;
  /// Reused for every packet.
  Bytes Output;
};

} // namespace pistachio
