#pragma once

#include "Wire/Wire.h"

#include <deque>
#include <string>
#include <vector>

namespace pistachio {

/// Ids of the records that one revision added, altered or removed.
struct TableChange {
  Revision AtRevision;
  std::vector<ServiceId> Services;
  std::vector<DataCentreId> DataCentres;
  std::vector<UpstreamId> Upstreams;
  std::vector<std::string> Balancers;
  /// Addresses of routes.
  std::vector<Endpoint> Routes;

  std::size_t size() const {
    return Services.size() + DataCentres.size() + Upstreams.size() +
           Balancers.size() + Routes.size();
  }
};

/// The most recent changes. It holds ids only: a delta takes the present
/// records of the ids and names those that are gone as removed.
class ChangeHistory {
public:
  /// Bounds of the history. At 110,000 changes a day the first one covers about
  /// an hour.
  static constexpr std::size_t MaxChanges = 4096;
  static constexpr std::size_t MaxIds = 65536;

  void add(TableChange change);
  /// True if all changes after \p have are known.
  bool covers(Revision have) const { return have && have >= FloorRevision; }
  /// All ids changed after \p have, sorted, each of them once.
  TableChange changesSince(Revision have) const;

  const std::deque<TableChange> &changes() const { return Changes; }
  Revision floorRevision() const { return FloorRevision; }
  /// Replaces the content by that of a snapshot.
  void restore(Revision floorRevision, std::deque<TableChange> changes);

private:
  std::deque<TableChange> Changes;
  /// Revision of the last change that was dropped.
  Revision FloorRevision;
  std::size_t IdCount = 0;
};

} // namespace pistachio
