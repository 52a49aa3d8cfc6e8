#pragma once

#include "Routing/Routing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pistachio {

/// Asks other balancers for their lease and matches answers to queries. All on
/// the control thread.
class PeerLeaseQueries {
public:
  using Send = std::function<void(const PeerLeaseQuery &, const Endpoint &)>;

  PeerLeaseQueries(std::string node, Send send);

  /// Sends a query to a few peers of the table, different ones each time, other
  /// data centres first.
  void sendQueries(const ServiceTable &table, TimePoint now);

  struct Query {
    TimePoint SentAt;
    bool IsOtherDataCentre = false;
  };
  /// Empty for an answer to no open query.
  std::optional<Query> matchAnswer(const PeerLeaseAnswer &answer);

private:
  std::string Node;
  Send SendQuery;
  std::map<std::uint64_t, Query> OpenQueries;
  std::uint64_t LastNonce = 0;
  std::size_t NextPeer = 0;
};

} // namespace pistachio
