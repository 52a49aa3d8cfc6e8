#pragma once

#include "Routing/Routing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pistachio {

/// Asks other balancers for their lease and matches answers to queries. All on
/// the control thread.
class PeerLeases {
public:
  using Send = std::function<void(const PeerLeaseQuery &, const Endpoint &)>;

  PeerLeases(std::string node, Send send);

  /// Sends a query to a few peers of the table, different ones each time, other
  /// data centres first.
  void ask(const ServiceTable &table, TimePoint now);

  struct Matched {
    TimePoint SentAt;
    bool IsOtherDataCentre = false;
  };
  /// Empty for an answer to no open query.
  std::optional<Matched> match(const PeerLeaseReply &answer);

private:
  std::string Node;
  Send SendQuery;
  std::map<std::uint64_t, Matched> Open;
  std::uint64_t LastNonce = 0;
  std::size_t Next = 0;
};

} // namespace pistachio
