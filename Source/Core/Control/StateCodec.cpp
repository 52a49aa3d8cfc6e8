#include "Control/StateCodec.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Altered with every change of the layout below.
constexpr std::uint32_t LayoutVersion = 2;
/// The first layout has no routes; it is still read.
constexpr std::uint32_t FirstLayoutVersion = 1;
constexpr std::size_t MaxTextBytes = 2 * MaxRulesBytes;
constexpr std::size_t MaxItems = 16 * 1024 * 1024;

// The bounds of Wire do not apply here: the image is written and read by this
// process only. The functions have names of their own because Wire defines
// fields() for the same types.

template <typename Archive> void image(Archive &archive, std::string &it) {
  text(archive, it, MaxTextBytes);
}

template <typename Archive, typename Tag, typename Rep>
void image(Archive &archive, StrongId<Tag, Rep> &it) {
  field(archive, it);
}

template <typename Archive> void image(Archive &archive, ServiceRecord &it) {
  field(archive, it.Id);
  image(archive, it.Name);
  field(archive, it.Address);
}

template <typename Archive> void image(Archive &archive, DataCentreRecord &it) {
  field(archive, it.Id);
  image(archive, it.Name);
  field(archive, it.IsTakenOut);
}

template <typename Archive> void image(Archive &archive, UpstreamInfo &it) {
  field(archive, it.Record.Id);
  field(archive, it.Record.Service);
  field(archive, it.Record.DataCentre);
  field(archive, it.Record.Address);
  field(archive, it.Record.ProcessIncarnation);
  field(archive, it.Record.State);
  image(archive, it.Zone);
  image(archive, it.Machine);
  field(archive, it.Slots);
  field(archive, it.Announced);
}

template <typename Archive> void image(Archive &archive, BalancerRecord &it) {
  image(archive, it.Name);
  field(archive, it.DataCentre);
  field(archive, it.Address);
}

template <typename Archive> void image(Archive &archive, StoredResult &it) {
  image(archive, it.OperationId);
  field(archive, it.AtMs);
  auto code = static_cast<std::uint8_t>(it.Result.What);
  field(archive, code);
  if (code > static_cast<std::uint8_t>(ApplyResult::Code::NotPermitted))
    throw cereal::Exception("unknown result code");
  it.Result.What = static_cast<ApplyResult::Code>(code);
  field(archive, it.Result.RulesRevision);
  image(archive, it.Result.Text);
}

template <typename Archive> void image(Archive &archive, Endpoint &it) {
  field(archive, it);
}

template <typename Archive> void image(Archive &archive, RouteShare &it) {
  field(archive, it.Service);
  field(archive, it.Weight);
  field(archive, it.ColdMilliflowsPerSecond);
}

template <typename Container> void images(InputArchive &archive, Container &it);
template <typename Container>
void images(OutputArchive &archive, Container &it);

template <typename Archive> void image(Archive &archive, RouteRecord &it) {
  field(archive, it.Address);
  images(archive, it.Shares);
  images(archive, it.FormerServices);
}

template <typename Archive> void image(Archive &archive, TableChange &it) {
  field(archive, it.At);
  images(archive, it.Services);
  images(archive, it.DataCentres);
  images(archive, it.Upstreams);
  images(archive, it.Balancers);
}

template <typename Container>
void images(InputArchive &archive, Container &it) {
  it.resize(readCount(archive, MaxItems, 1));
  for (auto &item : it)
    image(archive, item);
}

template <typename Container>
void images(OutputArchive &archive, Container &it) {
  auto n = static_cast<std::uint32_t>(it.size());
  field(archive, n);
  for (auto &item : it)
    image(archive, item);
}

/// The routes of one entry of the history, which the first layout lacks.
struct RouteChange {
  std::vector<Endpoint> Routes;
};

template <typename Archive> void image(Archive &archive, RouteChange &it) {
  images(archive, it.Routes);
}

/// The parts of ControlData in the order in which they are stored.
struct StateImage {
  std::uint32_t Version = LayoutVersion;
  Revision Published;
  Revision RulesRevision;
  std::string Rules;
  ServiceId LastService;
  DataCentreId LastDataCentre;
  UpstreamId LastUpstream;
  std::vector<ServiceRecord> Services;
  std::vector<DataCentreRecord> DataCentres;
  std::vector<UpstreamInfo> Upstreams;
  std::vector<BalancerRecord> Balancers;
  std::uint64_t LogTimeMs = 0;
  std::deque<StoredResult> Results;
  Revision HistoryFloor;
  std::deque<TableChange> History;
  std::vector<RouteRecord> Routes;
  /// As many as History.
  std::vector<RouteChange> RouteHistory;
  std::uint64_t RoutingVersion = 0;
  std::string RoutingText;
};

template <typename Archive> void image(Archive &archive, StateImage &it) {
  field(archive, it.Version);
  if (it.Version < FirstLayoutVersion || it.Version > LayoutVersion)
    throw cereal::Exception("the state has another layout version");
  field(archive, it.Published);
  field(archive, it.RulesRevision);
  image(archive, it.Rules);
  field(archive, it.LastService);
  field(archive, it.LastDataCentre);
  field(archive, it.LastUpstream);
  images(archive, it.Services);
  images(archive, it.DataCentres);
  images(archive, it.Upstreams);
  images(archive, it.Balancers);
  field(archive, it.LogTimeMs);
  images(archive, it.Results);
  field(archive, it.HistoryFloor);
  images(archive, it.History);
  if (it.Version == FirstLayoutVersion)
    return;
  images(archive, it.Routes);
  images(archive, it.RouteHistory);
  if (it.RouteHistory.size() != it.History.size())
    throw cereal::Exception("the histories differ in length");
  field(archive, it.RoutingVersion);
  image(archive, it.RoutingText);
}

template <typename Map> auto valuesOf(const Map &map) {
  std::vector<typename Map::mapped_type> values;
  values.reserve(map.size());
  for (const auto &[key, value] : map)
    values.push_back(value);
  return values;
}

StateImage toImage(const ControlData &data) {
  StateImage it;
  it.Published = data.Published;
  it.RulesRevision = data.RulesRevision;
  it.Rules = data.Rules.text();
  it.LastService = data.LastService;
  it.LastDataCentre = data.LastDataCentre;
  it.LastUpstream = data.LastUpstream;
  it.Services = valuesOf(data.Services);
  it.DataCentres = valuesOf(data.DataCentres);
  it.Upstreams = valuesOf(data.Upstreams);
  it.Balancers = valuesOf(data.Balancers);
  it.LogTimeMs = data.Results.logTimeMs();
  it.Results = data.Results.stored();
  it.HistoryFloor = data.History.floor();
  it.History = data.History.changes();
  it.Routes = valuesOf(data.Routes);
  for (const TableChange &change : it.History)
    it.RouteHistory.push_back({change.Routes});
  it.RoutingVersion = data.Routing.Version;
  it.RoutingText = data.Routing.Text;
  return it;
}

ControlData fromImage(StateImage image, RuleSet rules) {
  ControlData data;
  data.Published = image.Published;
  data.RulesRevision = image.RulesRevision;
  data.Rules = std::move(rules);
  data.LastService = image.LastService;
  data.LastDataCentre = image.LastDataCentre;
  data.LastUpstream = image.LastUpstream;
  for (ServiceRecord &it : image.Services)
    data.Services.emplace(it.Name, it);
  for (DataCentreRecord &it : image.DataCentres)
    data.DataCentres.emplace(it.Name, it);
  for (UpstreamInfo &it : image.Upstreams)
    data.Upstreams.emplace(it.Record.Id, it);
  for (BalancerRecord &it : image.Balancers)
    data.Balancers.emplace(it.Name, it);
  for (std::size_t i = 0; i < image.RouteHistory.size(); ++i)
    image.History[i].Routes = std::move(image.RouteHistory[i].Routes);
  for (RouteRecord &it : image.Routes)
    data.Routes.emplace(it.Address, std::move(it));
  data.Routing = {image.RoutingVersion, std::move(image.RoutingText)};
  data.Results.restore(image.LogTimeMs, std::move(image.Results));
  data.History.restore(image.HistoryFloor, std::move(image.History));
  return data;
}

} // namespace

Bytes saveControlData(const ControlData &data) {
  Bytes buf;
  OutputArchive archive(buf);
  StateImage it = toImage(data);
  image(archive, it);
  return buf;
}

absl::StatusOr<ControlData> loadControlData(std::span<const std::byte> buf) {
  StateImage it;
  try {
    InputArchive archive(buf);
    image(archive, it);
    if (archive.remaining() != 0)
      return absl::DataLossError("control state has trailing bytes");
  } catch (const cereal::Exception &e) {
    return absl::DataLossError(std::string("control state: ") + e.what());
  }
  Findings findings;
  std::optional<RuleSet> rules =
      RuleSet::parse(it.Rules, "stored rules", findings);
  if (!rules)
    return absl::DataLossError("control state: " + findings.format());
  return fromImage(std::move(it), *std::move(rules));
}

} // namespace pistachio
