#pragma once

#include "Wire/Wire.h"

#include <deque>
#include <string>
#include <vector>

namespace pistachio {

/// Ids of the records that one revision added, altered or removed.
struct TableChange {
  Revision At;
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
  bool reaches(Revision have) const { return have && have >= Floor; }
  /// All ids changed after \p have, sorted, each of them once.
  TableChange since(Revision have) const;

  const std::deque<TableChange> &changes() const { return Changes; }
  Revision floor() const { return Floor; }
  /// Replaces the content by that of a snapshot.
  void restore(Revision floor, std::deque<TableChange> changes);

private:
  std::deque<TableChange> Changes;
  /// Revision of the last change that was dropped.
  Revision Floor;
  std::size_t Ids = 0;
};

} // namespace pistachio
