#pragma once

#include "Routing/Routing.h"
#include "Runtime/Runtime.h"

#include <deque>
#include <functional>
#include <memory>

namespace pistachio {

struct ControlLinkOptions {
  std::string Node;
  std::string DataCentre;
  /// Where this balancer receives datagrams.
  Endpoint Address;
  std::vector<Endpoint> Control;
};

/// The connection of a balancer to a control instance: table and lease. On one
/// thread.
class ControlLink {
public:
  struct Handlers {
    std::function<void()> OnTable;
    std::function<void(const LeaseGrant &, TimePoint sentAt)> OnGrant;
  };

  ControlLink(boost::asio::io_context &context, ControlLinkOptions options,
              Handlers handlers);

  ServiceTablePtr table() const { return Replica.table(); }
  /// Asks for a lease and goes on to the next control instance if none was
  /// granted for long.
  void renewLease(TimePoint now);
  /// Used from the next connection on.
  void setControl(std::vector<Endpoint> control) {
    Client->setServers(std::move(control));
  }
  void stop();

private:
  void onOpen();
  void onFrame(std::span<const std::byte> frame);
  void onUpdate(const TableUpdate &update);
  void requestLease(TimePoint now);

  ControlLinkOptions Options;
  Handlers Callbacks;
  TableReplica Replica;
  /// When the requests that have no answer yet were sent; answers come in the
  /// same order.
  std::deque<TimePoint> PendingRequestTimes;
  TimePoint LastGrantAt{};
  std::unique_ptr<TcpClient> Client;
};

} // namespace pistachio
