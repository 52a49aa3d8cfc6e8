#pragma once

#include "GrantWatch.h"
#include "Routing/Routing.h"
#include "Runtime/Runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace pistachio {

struct ControlLinkOptions {
  std::string Node;
  std::string DataCentre;
  /// Address at which this balancer receives datagrams.
  Endpoint Address;
  std::vector<Endpoint> Control;
};

/// Connection of a balancer to a control instance, over which it receives the
/// table and its lease. All calls and handlers run on one thread.
class ControlLink {
public:
  struct Handlers {
    std::function<void()> OnTable;
    std::function<void(const LeaseGrant &, TimePoint sentAt)> OnGrant;
    /// Control has confirmed that no revision after \p committed had been
    /// committed at \p askedAt.
    std::function<void(TimePoint askedAt, Revision committed)> OnConfirmed{};
  };

  ControlLink(boost::asio::io_context &context, ControlLinkOptions options,
              Handlers handlers);

  ServiceTablePtr table() const { return Replica.table(); }
  /// Requests a lease. If none was granted in time, it connects to the next
  /// control instance instead.
  void renewLease(TimePoint now);
  /// Asks control for the latest committed revision. Does nothing while a
  /// query is outstanding, or shortly after the latest one.
  void queryTable(TimePoint now);
  /// Sets the control instances for the next connection.
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
  /// Send times of the requests without an answer. Answers arrive in the order
  /// of the requests.
  std::deque<TimePoint> PendingRequestTimes;
  GrantWatch Watch;
  /// The latest TableQuery, and when it was sent.
  std::uint32_t LastQuery = 0;
  std::optional<TimePoint> LastQueryAt;
  bool IsQueryOutstanding = false;
  std::unique_ptr<TcpClient> Client;
};

} // namespace pistachio
