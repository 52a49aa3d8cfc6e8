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
  Ids += change.size();
  Changes.push_back(std::move(change));
  while (!Changes.empty() && (Changes.size() > MaxChanges || Ids > MaxIds)) {
    Floor = Changes.front().At;
    Ids -= Changes.front().size();
    Changes.pop_front();
  }
}

TableChange ChangeHistory::since(Revision have) const {
  TableChange all;
  const auto first =
      std::upper_bound(Changes.begin(), Changes.end(), have,
                       [](Revision revision, const TableChange &it) {
                         return revision < it.At;
                       });
  for (auto it = first; it != Changes.end(); ++it) {
    all.At = it->At;
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

void ChangeHistory::restore(Revision floor, std::deque<TableChange> changes) {
  Floor = floor;
  Changes = std::move(changes);
  Ids = 0;
  for (const TableChange &it : Changes)
    Ids += it.size();
}

} // namespace pistachio
