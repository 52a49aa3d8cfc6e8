#include "Control/ChangeHistory.h"

#include <algorithm>

namespace pistachio {
namespace {

template <typename T>
void append(std::vector<T> &out, const std::vector<T> &in) {
  out.insert(out.end(), in.begin(), in.end());
}

template <typename T> void sortUnique(std::vector<T> &items) {
  std::sort(items.begin(), items.end());
  items.erase(std::unique(items.begin(), items.end()), items.end());
}

} // namespace

void ChangeHistory::add(TableChange change) {
  IdCount += change.size();
  Changes.push_back(std::move(change));
  while (!Changes.empty() &&
         (Changes.size() > MaxChanges || IdCount > MaxIds)) {
    FloorRevision = Changes.front().AtRevision;
    IdCount -= Changes.front().size();
    Changes.pop_front();
  }
}

TableChange ChangeHistory::changesSince(Revision have) const {
  TableChange all;
  const auto first =
      std::upper_bound(Changes.begin(), Changes.end(), have,
                       [](Revision revision, const TableChange &it) {
                         return revision < it.AtRevision;
                       });
  for (auto it = first; it != Changes.end(); ++it) {
    all.AtRevision = it->AtRevision;
    append(all.Services, it->Services);
    append(all.DataCentres, it->DataCentres);
    append(all.Upstreams, it->Upstreams);
    append(all.Balancers, it->Balancers);
    append(all.Routes, it->Routes);
  }
  sortUnique(all.Services);
  sortUnique(all.DataCentres);
  sortUnique(all.Upstreams);
  sortUnique(all.Balancers);
  sortUnique(all.Routes);
  return all;
}

void ChangeHistory::restore(Revision floorRevision,
                            std::deque<TableChange> changes) {
  FloorRevision = floorRevision;
  Changes = std::move(changes);
  IdCount = 0;
  for (const TableChange &it : Changes)
    IdCount += it.size();
}

} // namespace pistachio
