#include "Routing/Routing.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>

namespace pistachio {
namespace {

using ServicePtr = std::shared_ptr<const Service>;
using RoutePtr = std::shared_ptr<const RouteRecord>;

/// A new table copies the array of shard pointers and each changed shard. Both
/// are smallest together near the square root of the number of services at the
/// target scale.
constexpr std::size_t ShardCount = 512;

/// Limit on the parts of an update. A full table at the target scale has about
/// 50 parts.
constexpr std::uint32_t MaxParts = 4096;

std::size_t shardOf(std::uint64_t key) { return mix64(key + 1) % ShardCount; }

std::uint64_t shardKeyOf(const Endpoint &address) {
  return (std::uint64_t{address.Address} << 16) | address.Port;
}
std::uint64_t shardKeyOf(ServiceId id) { return id.Value; }

/// An immutable hash map that is divided into shards. A changed copy shares all
/// unchanged shards with the original.
template <typename Key, typename Value> class ShardedMap {
public:
  using Pointer = std::shared_ptr<const Value>;

  const Value *find(const Key &key) const {
    const auto &shard = Shards[shardOf(shardKeyOf(key))];
    if (!shard)
      return nullptr;
    const auto it = shard->find(key);
    return it == shard->end() ? nullptr : it->second.get();
  }

  Pointer findShared(const Key &key) const {
    const auto &shard = Shards[shardOf(shardKeyOf(key))];
    if (!shard)
      return nullptr;
    const auto it = shard->find(key);
    return it == shard->end() ? nullptr : it->second;
  }

  std::size_t memoryBytes() const {
    std::size_t n = sizeof(Shards);
    for (const auto &it : Shards) {
      if (it)
        n += sizeof(Shard) +
             (it->capacity() * (sizeof(typename Shard::value_type) + 1));
    }
    return n;
  }

  template <typename Visitor> void forEach(Visitor visit) const {
    for (const auto &shard : Shards) {
      if (!shard)
        continue;
      for (const auto &[key, value] : *shard)
        visit(*value);
    }
  }

private:
  using Shard = absl::flat_hash_map<Key, Pointer, std::hash<Key>>;
  template <typename, typename> friend class ShardedMapEditor;
  std::array<std::shared_ptr<const Shard>, ShardCount> Shards;
};

/// Edits a map before it is published to readers. Each changed shard is copied
/// once.
template <typename Key, typename Value> class ShardedMapEditor {
public:
  explicit ShardedMapEditor(ShardedMap<Key, Value> &map) : Map(map) {}

  void set(const Key &key, const std::shared_ptr<const Value> &value) {
    shard(key)[key] = value;
  }
  void erase(const Key &key) { shard(key).erase(key); }

private:
  using Shard = typename ShardedMap<Key, Value>::Shard;

  Shard &shard(const Key &key) {
    const std::size_t n = shardOf(shardKeyOf(key));
    auto &copied = CopiedShards[n];
    if (copied == nullptr) {
      auto copy = Map.Shards[n] ? std::make_shared<Shard>(*Map.Shards[n])
                                : std::make_shared<Shard>();
      copied = copy.get();
      Map.Shards[n] = std::move(copy);
    }
    return *copied;
  }

  ShardedMap<Key, Value> &Map;
  std::array<Shard *, ShardCount> CopiedShards{};
};

using BalancerList = std::vector<BalancerRecord>;
using WithdrawnMap = std::map<ServiceId, std::vector<ServiceMember>>;

class Snapshot final : public ServiceTable {
public:
  Revision revision() const override { return TableRevision; }
  const Service *findByAddress(const Endpoint &address) const override {
    return ByAddress.find(address);
  }
  const Service *find(ServiceId id) const override { return ById.find(id); }
  const RouteRecord *findRoute(const Endpoint &address) const override {
    return Routes.find(address);
  }
  std::size_t routeCount() const override { return RouteCount; }
  std::span<const ServiceMember> withdrawnMembers(ServiceId id) const override {
    const auto it = Withdrawn->find(id);
    return it == Withdrawn->end() ? std::span<const ServiceMember>{}
                                  : std::span(it->second);
  }
  DataCentreId findDataCentre(std::string_view name) const override {
    const auto it = DataCentres.find(name);
    return it == DataCentres.end() ? DataCentreId{} : it->second;
  }
  std::string_view dataCentreName(DataCentreId id) const override {
    for (const auto &[name, it] : DataCentres)
      if (it == id)
        return name;
    return {};
  }
  std::span<const BalancerRecord> balancers() const override {
    return *Balancers;
  }
  std::size_t serviceCount() const override { return Services; }
  std::size_t upstreamCount() const override { return Upstreams; }
  std::size_t memoryBytes() const override {
    std::size_t n = sizeof(Snapshot) + ById.memoryBytes() +
                    ByAddress.memoryBytes() +
                    (Balancers->capacity() * sizeof(BalancerRecord));
    ById.forEach([&n](const Service &it) { n += it.memoryBytes(); });
    return n;
  }

  Revision TableRevision;
  ShardedMap<ServiceId, Service> ById;
  ShardedMap<Endpoint, Service> ByAddress;
  ShardedMap<Endpoint, RouteRecord> Routes;
  std::size_t RouteCount = 0;
  /// Only services with withdrawn members have an entry.
  std::shared_ptr<const WithdrawnMap> Withdrawn =
      std::make_shared<WithdrawnMap>();
  std::map<std::string, DataCentreId, std::less<>> DataCentres;
  std::shared_ptr<const BalancerList> Balancers =
      std::make_shared<BalancerList>();
  std::size_t Services = 0;
  /// Number of members of all services.
  std::size_t Upstreams = 0;
};

CandidateState toCandidateState(UpstreamState state) {
  switch (state) {
  case UpstreamState::Draining:
    return CandidateState::Draining;
  case UpstreamState::Suspect:
    return CandidateState::Suspect;
  case UpstreamState::Active:
    break;
  }
  return CandidateState::Accepting;
}

bool isSame(const ServiceMember &a, const ServiceMember &b) {
  return a.Id == b.Id && a.ProcessIncarnation == b.ProcessIncarnation &&
         a.Address == b.Address && a.State == b.State;
}

/// Parts with the same key belong to the same update.
struct UpdateKey {
  Revision From;
  Revision To;
  bool Reset = false;
  std::uint32_t Parts = 0;
  friend bool operator==(const UpdateKey &, const UpdateKey &) = default;
};

} // namespace

class TableReplica::Impl {
public:
  absl::StatusOr<bool> apply(const TableUpdate &update);
  ServiceTablePtr table() const { return Table; }
  void discardParts() { PendingParts.clear(); }

private:
  struct UpstreamEntry {
    ServiceId Service;
    DataCentreId DataCentre;
    UpstreamState State = UpstreamState::Active;
    ServiceMember Member;
  };
  struct ServiceEntry {
    ServiceRecord Record;
    std::vector<UpstreamId> Upstreams;
  };

  void clear();
  void applyPart(const TableUpdate &update);
  void setUpstream(const UpstreamRecord &record);
  void removeUpstream(UpstreamId id);
  void setDataCentre(const DataCentreRecord &record);
  void markServicesOfDataCentre(DataCentreId id);
  void publish(Revision to);
  std::vector<ServiceMember> membersOf(const ServiceEntry &service,
                                       bool withdrawn) const;
  void publishWithdrawn(Snapshot &next) const;
  void publishRoutes(Snapshot &next);

  std::shared_ptr<const Snapshot> Table = std::make_shared<Snapshot>();

  UpdateKey PendingKey;
  std::map<std::uint32_t, TableUpdate> PendingParts;

  // All records of the table, including upstreams of withdrawn data centres and
  // of services that are not known yet.
  absl::flat_hash_map<ServiceId, ServiceEntry, std::hash<ServiceId>> Services;
  absl::flat_hash_map<UpstreamId, UpstreamEntry, std::hash<UpstreamId>>
      Upstreams;
  absl::flat_hash_map<DataCentreId, bool, std::hash<DataCentreId>>
      DataCentreIsOut;
  std::map<DataCentreId, std::string> DataCentreNames;
  std::map<std::string, BalancerRecord> Balancers;
  std::map<Endpoint, RoutePtr> Routes;

  /// Routes that changed since the last publication.
  std::vector<Endpoint> ChangedRoutes;
  /// Services whose Service object has to be rebuilt.
  absl::flat_hash_set<ServiceId, std::hash<ServiceId>> ChangedServices;
  bool HaveBalancersChanged = false;
};

void TableReplica::Impl::clear() {
  for (const auto &[id, entry] : Services)
    ChangedServices.insert(id);
  Services.clear();
  Upstreams.clear();
  DataCentreIsOut.clear();
  DataCentreNames.clear();
  for (const auto &[address, route] : Routes)
    ChangedRoutes.push_back(address);
  Routes.clear();
  Balancers.clear();
  HaveBalancersChanged = true;
}

void TableReplica::Impl::removeUpstream(UpstreamId id) {
  const auto it = Upstreams.find(id);
  if (it == Upstreams.end())
    return;
  const ServiceId service = it->second.Service;
  std::erase(Services[service].Upstreams, id);
  ChangedServices.insert(service);
  Upstreams.erase(it);
}

void TableReplica::Impl::setUpstream(const UpstreamRecord &record) {
  const auto it = Upstreams.find(record.Id);
  if (it != Upstreams.end() && it->second.Service != record.Service)
    removeUpstream(record.Id);
  const auto [entry, isNew] = Upstreams.try_emplace(record.Id);
  entry->second = {record.Service,
                   record.DataCentre,
                   record.State,
                   {record.Id, record.ProcessIncarnation, record.Address,
                    toCandidateState(record.State), record.DataCentre}};
  if (isNew)
    Services[record.Service].Upstreams.push_back(record.Id);
  ChangedServices.insert(record.Service);
}

void TableReplica::Impl::markServicesOfDataCentre(DataCentreId id) {
  for (const auto &[upstream, entry] : Upstreams) {
    if (entry.DataCentre == id)
      ChangedServices.insert(entry.Service);
  }
}

void TableReplica::Impl::setDataCentre(const DataCentreRecord &record) {
  bool &isOut = DataCentreIsOut[record.Id];
  if (isOut != record.IsTakenOut)
    markServicesOfDataCentre(record.Id);
  isOut = record.IsTakenOut;
  DataCentreNames[record.Id] = record.Name;
}

void TableReplica::Impl::applyPart(const TableUpdate &update) {
  for (const ServiceId it : update.RemovedServices) {
    // The entry is kept as long as upstreams refer to it. A record without an
    // id marks the service as unknown.
    Services[it].Record = {};
    ChangedServices.insert(it);
  }
  for (const UpstreamId it : update.RemovedUpstreams)
    removeUpstream(it);
  for (const DataCentreId it : update.RemovedDataCentres) {
    setDataCentre({it, "", false});
    DataCentreIsOut.erase(it);
    DataCentreNames.erase(it);
  }
  for (const Endpoint &it : update.RemovedRoutes) {
    Routes.erase(it);
    ChangedRoutes.push_back(it);
  }
  for (const RouteRecord &it : update.Routes) {
    Routes[it.Address] = std::make_shared<RouteRecord>(it);
    ChangedRoutes.push_back(it.Address);
  }
  for (const std::string &it : update.RemovedBalancers)
    Balancers.erase(it);
  for (const ServiceRecord &it : update.Services) {
    Services[it.Id].Record = it;
    ChangedServices.insert(it.Id);
  }
  for (const DataCentreRecord &it : update.DataCentres)
    setDataCentre(it);
  for (const UpstreamRecord &it : update.Upstreams)
    setUpstream(it);
  for (const BalancerRecord &it : update.Balancers)
    Balancers[it.Name] = it;
  HaveBalancersChanged = HaveBalancersChanged || !update.Balancers.empty() ||
                         !update.RemovedBalancers.empty();
}

std::vector<ServiceMember>
TableReplica::Impl::membersOf(const ServiceEntry &service,
                              bool withdrawn) const {
  std::vector<ServiceMember> out;
  out.reserve(service.Upstreams.size());
  for (const UpstreamId id : service.Upstreams) {
    const UpstreamEntry &it = Upstreams.at(id);
    const auto dataCentre = DataCentreIsOut.find(it.DataCentre);
    const bool isOut =
        dataCentre != DataCentreIsOut.end() && dataCentre->second;
    if (isOut == withdrawn)
      out.push_back(it.Member);
  }
  std::ranges::sort(out, {}, &ServiceMember::Id);
  return out;
}

void TableReplica::Impl::publishWithdrawn(Snapshot &next) const {
  if (ChangedServices.empty())
    return;
  auto map = std::make_shared<WithdrawnMap>(*next.Withdrawn);
  for (const ServiceId id : ChangedServices) {
    const auto it = Services.find(id);
    std::vector<ServiceMember> members;
    if (it != Services.end())
      members = membersOf(it->second, true);
    if (members.empty())
      map->erase(id);
    else
      (*map)[id] = std::move(members);
  }
  next.Withdrawn = std::move(map);
}

void TableReplica::Impl::publishRoutes(Snapshot &next) {
  next.DataCentres.clear();
  for (const auto &[id, name] : DataCentreNames)
    next.DataCentres[name] = id;
  ShardedMapEditor<Endpoint, RouteRecord> routes(next.Routes);
  for (const Endpoint &address : ChangedRoutes) {
    const auto it = Routes.find(address);
    if (it == Routes.end())
      routes.erase(address);
    else
      routes.set(address, it->second);
  }
  next.RouteCount = Routes.size();
  ChangedRoutes.clear();
}

void TableReplica::Impl::publish(Revision to) {
  auto next = std::make_shared<Snapshot>(*Table);
  next->TableRevision = to;
  publishWithdrawn(*next);
  publishRoutes(*next);
  ShardedMapEditor<ServiceId, Service> byId(next->ById);
  ShardedMapEditor<Endpoint, Service> byAddress(next->ByAddress);

  // An address may move from one service to another in the same update, so all
  // previous addresses are erased before new ones are set.
  std::vector<ServicePtr> built;
  for (const ServiceId id : ChangedServices) {
    const ServicePtr previous = Table->ById.findShared(id);
    const auto it = Services.find(id);
    const bool exists = it != Services.end() && it->second.Record.Id == id;
    if (previous) {
      --next->Services;
      next->Upstreams -= previous->members().size();
      if (previous->address().Port != 0)
        byAddress.erase(previous->address());
    }
    if (!exists) {
      if (previous)
        byId.erase(id);
      if (it != Services.end() && it->second.Upstreams.empty())
        Services.erase(it);
      continue;
    }
    const ServiceRecord &record = it->second.Record;
    std::vector<ServiceMember> members = membersOf(it->second, false);
    if (!previous) {
      built.push_back(std::make_shared<Service>(id, record.Name, record.Address,
                                                std::move(members), to));
    } else if (previous->name() == record.Name &&
               previous->address() == record.Address &&
               std::ranges::equal(previous->members(), members, isSame)) {
      built.push_back(previous);
    } else {
      built.push_back(std::make_shared<Service>(
          *previous, record.Name, record.Address, std::move(members), to));
    }
  }
  for (const ServicePtr &it : built) {
    ++next->Services;
    next->Upstreams += it->members().size();
    // Services that are reached only through routes have no address.
    if (it->address().Port != 0)
      byAddress.set(it->address(), it);
    byId.set(it->id(), it);
  }
  ChangedServices.clear();

  if (HaveBalancersChanged) {
    auto list = std::make_shared<BalancerList>();
    list->reserve(Balancers.size());
    for (const auto &[name, record] : Balancers)
      list->push_back(record);
    next->Balancers = std::move(list);
    HaveBalancersChanged = false;
  }
  Table = std::move(next);
}

absl::StatusOr<bool> TableReplica::Impl::apply(const TableUpdate &update) {
  if (update.Parts == 0 || update.Parts > MaxParts ||
      update.Part >= update.Parts)
    return absl::InvalidArgumentError(
        absl::StrCat("table update has part ", update.Part, " of ",
                     update.Parts, ", expected at most ", MaxParts, " parts"));
  if (update.To <= Table->revision())
    return false;
  if (!update.Reset && update.From != Table->revision()) {
    PendingParts.clear();
    return absl::FailedPreconditionError(
        absl::StrCat("table update starts at revision ", update.From.Value,
                     ", the table is at revision ", Table->revision().Value));
  }
  const UpdateKey key{update.From, update.To, update.Reset, update.Parts};
  if (!(key == PendingKey)) {
    PendingParts.clear();
    PendingKey = key;
  }
  PendingParts.insert_or_assign(update.Part, update);
  if (PendingParts.size() < update.Parts)
    return false;

  if (update.Reset)
    clear();
  for (const auto &[part, it] : PendingParts)
    applyPart(it);
  PendingParts.clear();
  publish(update.To);
  return true;
}

TableReplica::TableReplica() : Implementation(std::make_unique<Impl>()) {}
TableReplica::~TableReplica() = default;

absl::StatusOr<bool> TableReplica::apply(const TableUpdate &update) {
  return Implementation->apply(update);
}

ServiceTablePtr TableReplica::table() const { return Implementation->table(); }

void TableReplica::discardParts() { Implementation->discardParts(); }

} // namespace pistachio
