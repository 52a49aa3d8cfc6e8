#pragma once

#include "Wire/Wire.h"

#include <deque>
#include <string>
#include <vector>

namespace pistachio {

/// Ids of the records that were added, changed or removed at one revision.
struct TableChange {
  /// Published revision at which the records changed.
  Revision AtRevision;
  std::vector<ServiceId> Services;
  std::vector<DataCentreId> DataCentres;
  std::vector<UpstreamId> Upstreams;
  /// Names of balancers.
  std::vector<std::string> Balancers;
  /// Addresses of routes.
  std::vector<Endpoint> Routes;

  std::size_t size() const {
    return Services.size() + DataCentres.size() + Upstreams.size() +
           Balancers.size() + Routes.size();
  }
};

/// The most recent changes of the published table. It stores only ids: a delta
/// contains the current records of the changed ids and lists the ids that no
/// longer exist as removed.
class ChangeHistory {
public:
  /// Limits on the number of changes and on the total number of ids in them. At
  /// 110,000 changes a day, MaxChanges covers about an hour.
  static constexpr std::size_t MaxChanges = 4096;
  static constexpr std::size_t MaxIds = 65536;

  void add(TableChange change);
  /// Returns true if the history contains all changes after \p have.
  bool covers(Revision have) const { return have && have >= FloorRevision; }
  /// Returns all ids changed after \p have, sorted and without duplicates.
  TableChange changesSince(Revision have) const;

  const std::deque<TableChange> &changes() const { return Changes; }
  Revision floorRevision() const { return FloorRevision; }
  /// Replaces the content by that of a snapshot.
  void restore(Revision floorRevision, std::deque<TableChange> changes);

private:
  std::deque<TableChange> Changes;
  /// Revision of the newest change that was dropped from the history.
  Revision FloorRevision;
  /// Total number of ids in Changes.
  std::size_t IdCount = 0;
};

} // namespace pistachio
