#pragma once

#include "Routing/Routing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pistachio {

/// Queries other balancers for their leases and matches the replies to the
/// queries. All calls are made on the control thread.
class PeerLeaseQueries {
public:
  using Send = std::function<void(const PeerLeaseQuery &, const Endpoint &)>;

  PeerLeaseQueries(std::string node, Send send);

  /// Queries a few peers of the table, in turn. Peers in other data centres are
  /// used if there are any.
  void sendQueries(const ServiceTable &table, TimePoint now);

  struct Query {
    TimePoint SentAt;
    bool IsOtherDataCentre = false;
  };
  /// Returns nullopt if the reply matches no pending query.
  std::optional<Query> matchReply(const PeerLeaseReply &reply);

private:
  std::string Node;
  Send SendQuery;
  std::map<std::uint64_t, Query> OpenQueries;
  std::uint64_t LastNonce = 0;
  std::size_t NextPeer = 0;
};

} // namespace pistachio
