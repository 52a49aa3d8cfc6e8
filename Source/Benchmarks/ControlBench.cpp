#include "TargetSite.h"

#include "Consensus/Consensus.h"
#include "Control/Control.h"
#include "Routing/Routing.h"

#include <benchmark/benchmark.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace pistachio {
namespace {

SiteSize siteSizeFor(const benchmark::State &state) {
  const auto n = static_cast<std::uint32_t>(state.range(0));
  return {n,
          static_cast<std::uint32_t>(n * std::uint64_t{TargetSize.Upstreams} /
                                     TargetSize.Services),
          static_cast<std::uint32_t>(n * std::uint64_t{TargetSize.Balancers} /
                                     TargetSize.Services)};
}

void addSiteSizes(benchmark::internal::Benchmark *bench) {
  for (const std::int64_t it : {10, 1000, 9000, 72000})
    bench->Arg(it);
  bench->Unit(benchmark::kMicrosecond);
}

/// Returns the resident memory of this process in bytes. The second field of
/// statm is the resident size in pages.
double residentBytes() {
  constexpr double PageBytes = 4096;
  std::ifstream in("/proc/self/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * PageBytes;
}

/// Measures the time and the encoded size of one table update at a node, and
/// the memory of its table.
void nodeChange(benchmark::State &state) {
  const SiteSize size = siteSizeFor(state);
  TableReplica follower;
  const double before = residentBytes();
  for (const TableUpdate &it : makeTable(size))
    follower.apply(it).IgnoreError();
  std::uint32_t upstream = 0;
  for (auto it : state) {
    const TableUpdate delta =
        makeDelta(size, follower.table()->revision(), upstream);
    benchmark::DoNotOptimize(follower.apply(delta).ok());
    upstream = (upstream + 7919) % size.Upstreams;
  }
  Bytes buf;
  if (!encodeNode(makeDelta(size, Revision{1}, 0), buf).ok())
    state.SkipWithError("the table update cannot be encoded");
  state.counters["delta_bytes"] = static_cast<double>(buf.size());
  state.counters["resident_bytes"] = residentBytes() - before;
  state.counters["table_bytes"] =
      static_cast<double>(follower.table()->memoryBytes());
}
BENCHMARK(nodeChange)->Apply(addSiteSizes);

/// Measures a node that starts without a table: encoded size of the complete
/// table and time to apply it.
void nodeSnapshot(benchmark::State &state) {
  const std::vector<TableUpdate> parts = makeTable(siteSizeFor(state));
  std::size_t n = 0;
  for (const TableUpdate &it : parts) {
    Bytes buf;
    if (!encodeNode(it, buf).ok())
      state.SkipWithError("a part of the table cannot be encoded");
    n += buf.size();
  }
  for (auto it : state) {
    TableReplica follower;
    for (const TableUpdate &part : parts)
      follower.apply(part).IgnoreError();
    benchmark::DoNotOptimize(follower.table()->upstreamCount());
  }
  state.counters["snapshot_bytes"] = static_cast<double>(n);
}
BENCHMARK(nodeSnapshot)->Apply(addSiteSizes);

std::string makeRulesText(std::uint32_t services) {
  std::string text;
  for (std::uint32_t i = 0; i < DataCentreCount; ++i)
    text +=
        "datacentre data-centre-" + std::to_string(i) + " # asked by Bench\n";
  for (std::uint32_t i = 0; i < services; ++i)
    text += "service service-" + std::to_string(i) + " address 10." +
            std::to_string(i >> 16) + "." + std::to_string((i >> 8) & 255) +
            "." + std::to_string(i & 255) + ":443 slots 5 # asked by Bench\n";
  return text;
}

std::unique_ptr<ControlState> makeState(std::uint32_t services,
                                        std::uint32_t upstreams) {
  auto control = makeControlState();
  std::uint64_t index = 0;
  control->apply(++index, ApplyRules{"op-1", Revision{0}, "operators", "Bench",
                                     makeRulesText(services), 1});
  for (std::uint32_t i = 0; i < upstreams; ++i)
    control->apply(
        ++index,
        UpstreamJoined{"service-" + std::to_string(i % services),
                       "data-centre-" + std::to_string(i % DataCentreCount),
                       "zone",
                       "machine-" + std::to_string(i),
                       {0x0B000000 + i, 7000},
                       Incarnation{i + 1},
                       5});
  return control;
}

/// Measures one membership change in the replicated state: an upstream that
/// starts or stops draining.
void stateMembershipChange(benchmark::State &state) {
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const std::uint32_t upstreams = services * 2;
  auto control = makeState(services, upstreams);
  std::uint64_t index = control->publishedRevision().Value;
  const std::uint64_t first = index;
  std::uint32_t upstream = 0;
  for (auto it : state) {
    const UpstreamState next = (index - first) / upstreams % 2 == 0
                                   ? UpstreamState::Draining
                                   : UpstreamState::Active;
    control->apply(++index, UpstreamChanged{UpstreamId{upstream + 1},
                                            Incarnation{upstream + 1}, next});
    upstream = (upstream + 7919) % upstreams;
  }
  if (control->publishedRevision().Value != index)
    state.SkipWithError("a change was not published");
  state.counters["snapshot_bytes"] =
      static_cast<double>(control->save().size());
}
BENCHMARK(stateMembershipChange)
    ->Arg(10)
    ->Arg(1000)
    ->Arg(8000)
    ->Unit(benchmark::kMicrosecond);

/// Measures one rule change in the replicated state, which parses and compares
/// the complete text of the rules.
void stateRulesChange(benchmark::State &state) {
  const auto services = static_cast<std::uint32_t>(state.range(0));
  auto control = makeState(services, services * 2);
  const std::string rules = makeRulesText(services);
  std::uint64_t index = control->publishedRevision().Value;
  std::uint64_t operation = 1;
  for (auto it : state) {
    std::string text = rules;
    if (operation % 2 == 1)
      text += "out data-centre-3 # asked by Bench\n";
    control->apply(++index, ApplyRules{"op-" + std::to_string(++operation),
                                       control->rulesRevision(), "operators",
                                       "Bench", std::move(text), 1});
  }
  if (control->rulesRevision().Value != index)
    state.SkipWithError("a rule change was not applied");
  state.counters["rules_bytes"] = static_cast<double>(rules.size());
}
BENCHMARK(stateRulesChange)
    ->Arg(10)
    ->Arg(1000)
    ->Arg(8000)
    ->Unit(benchmark::kMicrosecond);

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "pistachio-bench-XXXXXX")
            .string();
    Path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  std::string Path;
};

LogEntry makeEntry(std::uint64_t index) {
  constexpr std::size_t EntryBytes = 150;
  return {1, index, EntryKind::Command, Bytes(EntryBytes, std::byte{7})};
}

/// Measures appending to the file storage, with one sync for each group of
/// entries.
void logAppend(benchmark::State &state) {
  const TemporaryFolder folder;
  auto storage = openFileLogStorage(folder.Path);
  if (!storage.ok())
    return state.SkipWithError("the storage cannot be opened");
  const auto group = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t index = (*storage)->lastIndex();
  for (auto it : state) {
    std::vector<LogEntry> entries;
    for (std::uint64_t i = 0; i < group; ++i)
      entries.push_back(makeEntry(++index));
    if (!(*storage)->append(entries).ok() || !(*storage)->sync().ok())
      return state.SkipWithError("log entries cannot be appended");
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(index));
}
BENCHMARK(logAppend)
    ->Arg(1)
    ->Arg(16)
    ->Arg(256)
    ->Unit(benchmark::kMicrosecond)
    ->UseRealTime();

/// Measures opening a storage with the given number of log entries after its
/// snapshot.
void logOpen(benchmark::State &state) {
  const TemporaryFolder folder;
  {
    auto storage = openFileLogStorage(folder.Path);
    std::vector<LogEntry> entries;
    for (std::int64_t i = 1; i <= state.range(0); ++i)
      entries.push_back(makeEntry(static_cast<std::uint64_t>(i)));
    if (!storage.ok() || !(*storage)->append(entries).ok() ||
        !(*storage)->sync().ok())
      return state.SkipWithError(
          "the storage cannot be prepared with log entries");
  }
  for (auto it : state) {
    auto storage = openFileLogStorage(folder.Path);
    if (!storage.ok() ||
        (*storage)->lastIndex() != static_cast<std::uint64_t>(state.range(0)))
      return state.SkipWithError("the storage cannot be opened");
  }
}
BENCHMARK(logOpen)
    ->Arg(100)
    ->Arg(10000)
    ->Unit(benchmark::kMillisecond)
    ->UseRealTime();

/// Measures loading a snapshot of the replicated state, as after a restart or
/// on a new member.
void stateLoad(benchmark::State &state) {
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const Bytes saved = makeState(services, services * 2)->save();
  for (auto it : state) {
    auto control = makeControlState();
    if (!control->load(saved).ok())
      return state.SkipWithError("the snapshot cannot be loaded");
  }
  state.counters["snapshot_bytes"] = static_cast<double>(saved.size());
}
BENCHMARK(stateLoad)->Arg(10)->Arg(1000)->Arg(8000)->Unit(
    benchmark::kMillisecond);

} // namespace
} // namespace pistachio
