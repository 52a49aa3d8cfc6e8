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

/// A thread with its own socket on the port that all workers share. It has its
/// own references to the table and the lease, which the control thread replaces
/// by posting to the worker's io_context, so handling a packet takes no lock.
class PacketWorker {
public:
  using PeerReplyHandler = std::function<void(const PeerLeaseReply &)>;

  /// \p onPeerReply is called on the worker's thread.
  PacketWorker(BalancerMetrics &metrics, NodeLease lease,
               PeerReplyHandler onPeerReply);
  ~PacketWorker();
  PacketWorker(const PacketWorker &) = delete;
  PacketWorker &operator=(const PacketWorker &) = delete;

  /// Opens the socket and starts the thread.
  absl::Status start(const Endpoint &listen);
  void stop();

  Endpoint endpoint() const { return Udp->endpoint(); }
  /// Thread-safe.
  void send(const DataMessage &message, const Endpoint &to);
  /// Thread-safe. The new table and lease are used for all packets read after
  /// the worker has run the posted update.
  void update(ServiceTablePtr table, NodeLease lease);

private:
  void onDatagram(std::span<const std::byte> buf, const Endpoint &from);
  void onCallerPacket(CallerPacket packet);
  void onChainExhausted(ForwardedPacket forwarded);
  void applyDecision(const RouteDecision &decision, CallerPacket packet);
  void onPeerQuery(const PeerLeaseQuery &query, const Endpoint &from);
  void replyToCaller(const CallerPacket &packet, CallerReplyKind kind,
                     std::uint32_t retryAfterMs);

  BalancerMetrics &Metrics;
  PeerReplyHandler OnPeerReply;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  ServiceTablePtr Table;
  NodeLease Lease;
  std::unique_ptr<UdpSocket> Udp;
  std::thread Thread;
  /// Reused for every packet to avoid allocations.
  Bytes SendBuffer;
};

} // namespace pistachio
