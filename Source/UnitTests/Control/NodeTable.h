#pragma once

#include "Wire/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pistachio {

/// A reference implementation of a node's copy of the published table. As
/// TableUpdate requires, it applies the parts of an update together once all
/// have arrived, and only if they lead to a higher revision.
class NodeTable {
public:
  /// Returns false for a delta that does not start at the applied revision. A
  /// real node would subscribe again.
  bool receive(const TableUpdate &update) {
    if (update.To <= AppliedRevision)
      return true;
    if (!update.Reset && update.From != AppliedRevision)
      return false;
    if (!Parts.empty() && (Parts.begin()->second.To != update.To ||
                           Parts.begin()->second.From != update.From))
      Parts.clear();
    Parts[update.Part] = update;
    if (Parts.size() < update.Parts)
      return true;
    if (update.Reset)
      clear();
    for (const auto &[number, it] : Parts)
      applyPart(it);
    Parts.clear();
    AppliedRevision = update.To;
    return true;
  }

  /// Returns false if receive() rejects any of the updates.
  bool receiveAll(const std::vector<TableUpdate> &updates) {
    bool fits = true;
    for (const TableUpdate &it : updates)
      fits = receive(it) && fits;
    return fits;
  }

  const UpstreamRecord *find(const Endpoint &address) const {
    for (const auto &[id, it] : Upstreams) {
      if (it.Address == address)
        return &it;
    }
    return nullptr;
  }

  Revision AppliedRevision;
  std::map<ServiceId, ServiceRecord> Services;
  std::map<DataCentreId, DataCentreRecord> DataCentres;
  std::map<UpstreamId, UpstreamRecord> Upstreams;
  std::map<std::string, BalancerRecord> Balancers;
  std::map<Endpoint, RouteRecord> Routes;

  friend bool operator==(const NodeTable &a, const NodeTable &b) {
    return a.AppliedRevision == b.AppliedRevision && a.Services == b.Services &&
           a.DataCentres == b.DataCentres && a.Upstreams == b.Upstreams &&
           a.Balancers == b.Balancers && a.Routes == b.Routes;
  }

private:
  void clear() {
    Services.clear();
    DataCentres.clear();
    Upstreams.clear();
    Balancers.clear();
    Routes.clear();
  }

  void applyPart(const TableUpdate &it) {
    for (const auto &id : it.RemovedServices)
      Services.erase(id);
    for (const auto &id : it.RemovedDataCentres)
      DataCentres.erase(id);
    for (const auto &id : it.RemovedUpstreams)
      Upstreams.erase(id);
    for (const auto &name : it.RemovedBalancers)
      Balancers.erase(name);
    for (const auto &record : it.Services)
      Services[record.Id] = record;
    for (const auto &record : it.DataCentres)
      DataCentres[record.Id] = record;
    for (const auto &record : it.Upstreams)
      Upstreams[record.Id] = record;
    for (const auto &record : it.Balancers)
      Balancers[record.Name] = record;
    for (const auto &address : it.RemovedRoutes)
      Routes.erase(address);
    for (const auto &record : it.Routes)
      Routes[record.Address] = record;
  }

  std::map<std::uint32_t, TableUpdate> Parts;
};

} // namespace pistachio
