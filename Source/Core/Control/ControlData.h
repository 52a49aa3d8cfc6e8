#pragma once

#include "Control/ChangeHistory.h"
#include "Control/Control.h"
#include "Control/ResultTable.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace pistachio {

/// An upstream that was removed because its announcements timed out. It may
/// still run and hold flows, and its agent may announce it again.
struct LostUpstream {
  Endpoint Address;
  ServiceId Service;
};

/// The complete content of a snapshot of the control state. The maps are
/// ordered, so that the serialized bytes are identical on every member.
struct ControlData {
  Revision Published;
  Revision RulesRevision;
  RuleSet Rules;
  /// The last id that was assigned. Ids of services and upstreams are never
  /// reused.
  ServiceId LastServiceId;
  DataCentreId LastDataCentreId;
  UpstreamId LastUpstreamId;
  std::map<std::string, ServiceRecord, std::less<>> Services;
  std::map<std::string, DataCentreRecord, std::less<>> DataCentres;
  std::map<UpstreamId, UpstreamInfo> Upstreams;
  /// Oldest first.
  std::deque<LostUpstream> LostUpstreams;
  std::map<std::string, BalancerRecord, std::less<>> Balancers;
  std::map<Endpoint, RouteRecord> Routes;
  RoutingDocument Routing;
  ResultTable Results;
  ChangeHistory History;
};

} // namespace pistachio
