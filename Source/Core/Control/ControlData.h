#pragma once

#include "Control/ChangeHistory.h"
#include "Control/Control.h"
#include "Control/ResultTable.h"

#include <functional>
#include <map>
#include <string>

namespace pistachio {

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
  std::map<std::string, BalancerRecord, std::less<>> Balancers;
  std::map<Endpoint, RouteRecord> Routes;
  RoutingDocument Routing;
  ResultTable Results;
  ChangeHistory History;
};

} // namespace pistachio
