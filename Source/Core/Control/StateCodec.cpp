#include "Control/StateCodec.h"

#include "Wire/Codec.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Increased with every change of the layout below.
constexpr std::uint32_t CurrentLayoutVersion = 4;
/// The first layout has no routes. It can still be read.
constexpr std::uint32_t FirstLayoutVersion = 1;
/// This layout has no lost upstreams. It is written while there are none, so
/// that members of the previous release can load the snapshot during an
/// upgrade.
constexpr std::uint32_t LayoutVersionWithoutLostUpstreams = 2;
/// This layout has no terms of routes. It is written while no route has any,
/// for the same reason.
constexpr std::uint32_t LayoutVersionWithoutRouteTerms = 3;
constexpr std::size_t MaxTextBytes = 2 * MaxRulesBytes;
constexpr std::size_t MaxItems = 16 * 1024 * 1024;

// The size limits of the Wire library do not apply here, because only control
// instances write and read snapshots. The functions are not called fields()
// because Wire defines that name for the same types.

template <typename Archive>
void archiveFields(Archive &archive, std::string &it) {
  text(archive, it, MaxTextBytes);
}

template <typename Archive, typename Tag, typename Rep>
void archiveFields(Archive &archive, StrongId<Tag, Rep> &it) {
  field(archive, it);
}

template <typename Archive>
void archiveFields(Archive &archive, ServiceRecord &it) {
  field(archive, it.Id);
  archiveFields(archive, it.Name);
  field(archive, it.Address);
}

template <typename Archive>
void archiveFields(Archive &archive, DataCentreRecord &it) {
  field(archive, it.Id);
  archiveFields(archive, it.Name);
  field(archive, it.IsTakenOut);
}

template <typename Archive>
void archiveFields(Archive &archive, UpstreamInfo &it) {
  field(archive, it.Record.Id);
  field(archive, it.Record.Service);
  field(archive, it.Record.DataCentre);
  field(archive, it.Record.Address);
  field(archive, it.Record.ProcessIncarnation);
  field(archive, it.Record.State);
  archiveFields(archive, it.Zone);
  archiveFields(archive, it.Machine);
  field(archive, it.Slots);
  field(archive, it.AnnouncedState);
}

template <typename Archive>
void archiveFields(Archive &archive, LostUpstream &it) {
  field(archive, it.Address);
  field(archive, it.Service);
}

template <typename Archive>
void archiveFields(Archive &archive, BalancerRecord &it) {
  archiveFields(archive, it.Name);
  field(archive, it.DataCentre);
  field(archive, it.Address);
}

template <typename Archive>
void archiveFields(Archive &archive, StoredResult &it) {
  archiveFields(archive, it.OperationId);
  field(archive, it.StoredAtMs);
  auto code = static_cast<std::uint8_t>(it.Result.Outcome);
  field(archive, code);
  if (code > static_cast<std::uint8_t>(ApplyResult::Code::NotPermitted))
    throw cereal::Exception("unknown result code");
  it.Result.Outcome = static_cast<ApplyResult::Code>(code);
  field(archive, it.Result.RulesRevision);
  archiveFields(archive, it.Result.Text);
}

template <typename Archive> void archiveFields(Archive &archive, Endpoint &it) {
  field(archive, it);
}

template <typename Archive>
void archiveFields(Archive &archive, RouteShare &it) {
  field(archive, it.Service);
  field(archive, it.Weight);
  field(archive, it.ColdMilliflowsPerSecond);
}

template <typename Container>
void archiveItems(InputArchive &archive, Container &it);
template <typename Container>
void archiveItems(OutputArchive &archive, Container &it);

template <typename Archive>
void archiveFields(Archive &archive, RouteRecord &it) {
  field(archive, it.Address);
  archiveItems(archive, it.Shares);
  archiveItems(archive, it.FormerServices);
}

template <typename Archive>
void archiveFields(Archive &archive, TableChange &it) {
  field(archive, it.AtRevision);
  archiveItems(archive, it.Services);
  archiveItems(archive, it.DataCentres);
  archiveItems(archive, it.Upstreams);
  archiveItems(archive, it.Balancers);
}

template <typename Container>
void archiveItems(InputArchive &archive, Container &it) {
  it.resize(readCount(archive, MaxItems, 1));
  for (auto &item : it)
    archiveFields(archive, item);
}

template <typename Container>
void archiveItems(OutputArchive &archive, Container &it) {
  auto n = static_cast<std::uint32_t>(it.size());
  field(archive, n);
  for (auto &item : it)
    archiveFields(archive, item);
}

/// The routes of one history entry. They are stored apart from TableChange,
/// because the first layout does not contain them.
struct RouteChanges {
  std::vector<Endpoint> Routes;
};

template <typename Archive>
void archiveFields(Archive &archive, RouteChanges &it) {
  archiveItems(archive, it.Routes);
}

/// The content of ControlData in the order in which it is stored.
struct ControlSnapshot {
  std::uint32_t Version = CurrentLayoutVersion;
  Revision Published;
  Revision RulesRevision;
  std::string Rules;
  ServiceId LastServiceId;
  DataCentreId LastDataCentreId;
  UpstreamId LastUpstreamId;
  std::vector<ServiceRecord> Services;
  std::vector<DataCentreRecord> DataCentres;
  std::vector<UpstreamInfo> Upstreams;
  std::vector<BalancerRecord> Balancers;
  std::uint64_t LogTimeMs = 0;
  std::deque<StoredResult> Results;
  Revision HistoryFloorRevision;
  std::deque<TableChange> History;
  std::vector<RouteRecord> Routes;
  /// Has one entry for each entry of History.
  std::vector<RouteChanges> RouteHistory;
  std::uint64_t RoutingVersion = 0;
  std::string RoutingText;
  std::deque<LostUpstream> LostUpstreams;
};

template <typename Archive>
void archiveFields(Archive &archive, ControlSnapshot &it) {
  field(archive, it.Version);
  if (it.Version < FirstLayoutVersion || it.Version > CurrentLayoutVersion)
    throw cereal::Exception("unsupported layout version of the state");
  field(archive, it.Published);
  field(archive, it.RulesRevision);
  archiveFields(archive, it.Rules);
  field(archive, it.LastServiceId);
  field(archive, it.LastDataCentreId);
  field(archive, it.LastUpstreamId);
  archiveItems(archive, it.Services);
  archiveItems(archive, it.DataCentres);
  archiveItems(archive, it.Upstreams);
  archiveItems(archive, it.Balancers);
  field(archive, it.LogTimeMs);
  archiveItems(archive, it.Results);
  field(archive, it.HistoryFloorRevision);
  archiveItems(archive, it.History);
  if (it.Version == FirstLayoutVersion)
    return;
  archiveItems(archive, it.Routes);
  archiveItems(archive, it.RouteHistory);
  if (it.RouteHistory.size() != it.History.size())
    throw cereal::Exception(
        "route history and change history differ in length");
  field(archive, it.RoutingVersion);
  archiveFields(archive, it.RoutingText);
  if (it.Version > LayoutVersionWithoutLostUpstreams)
    archiveItems(archive, it.LostUpstreams);
  if (it.Version > LayoutVersionWithoutRouteTerms)
    for (RouteRecord &route : it.Routes)
      fields(archive, route.Terms);
}

template <typename Map> auto valuesOf(const Map &map) {
  std::vector<typename Map::mapped_type> values;
  values.reserve(map.size());
  for (const auto &[key, value] : map)
    values.push_back(value);
  return values;
}

ControlSnapshot toSnapshot(const ControlData &data) {
  ControlSnapshot it;
  it.Published = data.Published;
  it.RulesRevision = data.RulesRevision;
  it.Rules = data.Rules.text();
  it.LastServiceId = data.LastServiceId;
  it.LastDataCentreId = data.LastDataCentreId;
  it.LastUpstreamId = data.LastUpstreamId;
  it.Services = valuesOf(data.Services);
  it.DataCentres = valuesOf(data.DataCentres);
  it.Upstreams = valuesOf(data.Upstreams);
  it.Balancers = valuesOf(data.Balancers);
  it.LogTimeMs = data.Results.logTimeMs();
  it.Results = data.Results.stored();
  it.HistoryFloorRevision = data.History.floorRevision();
  it.History = data.History.changes();
  it.Routes = valuesOf(data.Routes);
  for (const TableChange &change : it.History)
    it.RouteHistory.push_back({change.Routes});
  it.RoutingVersion = data.Routing.Version;
  it.RoutingText = data.Routing.Text;
  it.LostUpstreams = data.LostUpstreams;
  const bool hasTerms =
      std::ranges::any_of(it.Routes, [](const RouteRecord &route) {
        return !route.Terms.isEmpty();
      });
  if (!hasTerms)
    it.Version = it.LostUpstreams.empty() ? LayoutVersionWithoutLostUpstreams
                                          : LayoutVersionWithoutRouteTerms;
  return it;
}

ControlData fromSnapshot(ControlSnapshot snapshot, RuleSet rules) {
  ControlData data;
  data.Published = snapshot.Published;
  data.RulesRevision = snapshot.RulesRevision;
  data.Rules = std::move(rules);
  data.LastServiceId = snapshot.LastServiceId;
  data.LastDataCentreId = snapshot.LastDataCentreId;
  data.LastUpstreamId = snapshot.LastUpstreamId;
  for (ServiceRecord &it : snapshot.Services)
    data.Services.emplace(it.Name, it);
  for (DataCentreRecord &it : snapshot.DataCentres)
    data.DataCentres.emplace(it.Name, it);
  for (UpstreamInfo &it : snapshot.Upstreams)
    data.Upstreams.emplace(it.Record.Id, it);
  for (BalancerRecord &it : snapshot.Balancers)
    data.Balancers.emplace(it.Name, it);
  for (std::size_t i = 0; i < snapshot.RouteHistory.size(); ++i)
    snapshot.History[i].Routes = std::move(snapshot.RouteHistory[i].Routes);
  for (RouteRecord &it : snapshot.Routes)
    data.Routes.emplace(it.Address, std::move(it));
  data.Routing = {snapshot.RoutingVersion, std::move(snapshot.RoutingText)};
  data.LostUpstreams = std::move(snapshot.LostUpstreams);
  data.Results.restore(snapshot.LogTimeMs, std::move(snapshot.Results));
  data.History.restore(snapshot.HistoryFloorRevision,
                       std::move(snapshot.History));
  return data;
}

} // namespace

Bytes encodeControlData(const ControlData &data) {
  Bytes buf;
  OutputArchive archive(buf);
  ControlSnapshot it = toSnapshot(data);
  archiveFields(archive, it);
  return buf;
}

absl::StatusOr<ControlData> decodeControlData(std::span<const std::byte> buf) {
  ControlSnapshot it;
  try {
    InputArchive archive(buf);
    archiveFields(archive, it);
    if (archive.remaining() != 0)
      return absl::DataLossError(
          "control state: trailing bytes after the snapshot");
  } catch (const cereal::Exception &e) {
    return absl::DataLossError(std::string("control state: ") + e.what());
  }
  Findings findings;
  std::optional<RuleSet> rules =
      RuleSet::parse(it.Rules, "stored rules", findings);
  if (!rules)
    return absl::DataLossError("control state: " + findings.format());
  return fromSnapshot(std::move(it), *std::move(rules));
}

} // namespace pistachio
