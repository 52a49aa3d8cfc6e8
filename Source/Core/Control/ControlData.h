#pragma once

#include "Control/ChangeHistory.h"
#include "Control/Control.h"
#include "Control/ResultTable.h"

#include <functional>
#include <map>
#include <string>

namespace pistachio {

/// Everything that a snapshot of the control state contains. Ordered maps make
/// the saved bytes the same on every member.
struct ControlData {
  Revision Published;
  Revision RulesRevision;
  RuleSet Rules;
  /// Last id given out. Ids of services and upstreams are never used again.
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
