#include "TargetSite.h"

#include "Placement/Placement.h"
#include "Relay/LinkScheduler.h"
#include "Relay/PlacementPolicy.h"
#include "Routing/Routing.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdlib>
#include <new>
#include <random>

namespace {

/// Number of calls of operator new in this process. Not atomic, because the
/// benchmarks run in one thread.
std::uint64_t AllocationCount = 0;

void *allocate(std::size_t size) {
  ++AllocationCount;
  if (void *it = std::malloc(size == 0 ? 1 : size))
    return it;
  throw std::bad_alloc();
}

} // namespace

void *operator new(std::size_t size) { return allocate(size); }
void *operator new[](std::size_t size) { return allocate(size); }
void operator delete(void *it) noexcept { std::free(it); }
void operator delete[](void *it) noexcept { std::free(it); }
void operator delete(void *it, std::size_t) noexcept { std::free(it); }
void operator delete[](void *it, std::size_t) noexcept { std::free(it); }

namespace pistachio {
namespace {

/// Number of different packet heads, high enough that the entries of a large
/// service table that they look up do not stay in the CPU cache.
constexpr std::size_t PacketHeadCount = 1 << 16;
constexpr std::uint64_t Seed = 1;

enum class PacketKind : std::uint8_t { Established, Token, First };

std::vector<RoutingHeader> makeHeads(const ServiceTable &table,
                                     std::uint32_t services, PacketKind kind) {
  std::mt19937_64 random(Seed);
  std::vector<RoutingHeader> out;
  out.reserve(PacketHeadCount);
  while (out.size() < PacketHeadCount) {
    const auto id = static_cast<std::uint32_t>(random() % services) + 1;
    const Service &service = *table.find(ServiceId{id});
    RoutingHeader it;
    it.ServiceAddress = service.address();
    it.Caller = {static_cast<std::uint32_t>(random()),
                 static_cast<std::uint16_t>(random())};
    it.Flow = {random()};
    it.Flags =
        kind == PacketKind::First ? PacketFlag::First : PacketFlag::Established;
    if (kind == PacketKind::Token) {
      const auto members = service.members();
      const ServiceMember &holder = members[random() % members.size()];
      it.Token = {holder.Id, holder.ProcessIncarnation};
    }
    out.push_back(it);
  }
  return out;
}

/// Measures one routing decision for random flows of random services. The
/// argument is the number of services.
void packetDecision(benchmark::State &state, PacketKind kind) {
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const SiteSize size{
      services,
      static_cast<std::uint32_t>(
          services * std::uint64_t{TargetSize.Upstreams} / TargetSize.Services),
      static_cast<std::uint32_t>(services *
                                 std::uint64_t{TargetSize.Balancers} /
                                 TargetSize.Services)};
  TableReplica follower;
  for (const TableUpdate &it : makeTable(size))
    follower.apply(it).IgnoreError();
  const ServiceTablePtr table = follower.table();
  const std::vector<RoutingHeader> heads = makeHeads(*table, services, kind);
  std::size_t next = 0;
  std::uint64_t forwarded = 0;
  const std::uint64_t before = AllocationCount;
  for (auto it : state) {
    const RouteDecision decision =
        routePacket(*table, LeaseMode::Leased, heads[next]);
    forwarded += decision.Action == RouteAction::Forward ? 1 : 0;
    benchmark::DoNotOptimize(&decision);
    benchmark::ClobberMemory();
    next = (next + 1) % PacketHeadCount;
  }
  const std::uint64_t allocations = AllocationCount - before;
  if (forwarded != static_cast<std::uint64_t>(state.iterations()))
    state.SkipWithError("a packet was not forwarded");
  state.counters["allocations"] = static_cast<double>(allocations);
  state.counters["upstreams"] = static_cast<double>(table->upstreamCount());
  state.counters["table_bytes"] = static_cast<double>(table->memoryBytes());
}

void addSiteSizes(benchmark::internal::Benchmark *bench) {
  for (const std::int64_t it : {10, 1000, 9000, 72000})
    bench->Arg(it);
}
BENCHMARK_CAPTURE(packetDecision, established, PacketKind::Established)
    ->Apply(addSiteSizes);
BENCHMARK_CAPTURE(packetDecision, token, PacketKind::Token)
    ->Apply(addSiteSizes);
BENCHMARK_CAPTURE(packetDecision, first, PacketKind::First)
    ->Apply(addSiteSizes);

/// Measures the ranking of the first members of random buckets. The argument is
/// the number of members of the service.
void ranking(benchmark::State &state) {
  std::vector<ServiceMember> members;
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    const auto id = static_cast<std::uint32_t>(n + 1);
    members.push_back(
        {UpstreamId{id}, Incarnation{id}, {0x0B000000 + id, 7000}});
  }
  const Service service(ServiceId{1}, "service-1", {0x0A000000, 443},
                        std::move(members));
  std::array<std::uint16_t, MaxChainEntries> chain{};
  std::uint64_t bucket = Seed;
  const std::uint64_t before = AllocationCount;
  for (auto it : state) {
    bucket = mix64(bucket + 1);
    benchmark::DoNotOptimize(service.readRanking(
        static_cast<std::uint16_t>(bucket % BucketCount), 0, chain));
    benchmark::ClobberMemory();
  }
  state.counters["allocations"] = static_cast<double>(AllocationCount - before);
  state.counters["service_bytes"] = static_cast<double>(service.memoryBytes());
}
BENCHMARK(ranking)->Arg(7)->Arg(32)->Arg(33)->Arg(500);

/// Measures the choice of an upstream for new flows among ranked members whose
/// agents have all reported a load. The ranking is not included, see
/// placementRanking(). The argument is the number of upstreams.
void placementChoice(benchmark::State &state, PlacementKind kind) {
  constexpr TimePoint Now{Duration(1000000)};
  constexpr std::size_t FlowCount = 64;
  std::vector<ServiceMember> members;
  AgentLoads agents;
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    const auto id = static_cast<std::uint32_t>(n + 1);
    const ServiceMember &it =
        members.emplace_back(ServiceMember{UpstreamId{id},
                                           Incarnation{id},
                                           {0x0B000000 + id, 7000},
                                           CandidateState::Accepting,
                                           DataCentreId{1}});
    const auto busy = static_cast<std::uint16_t>(n % 5);
    agents.recordPlacement(it.Address, Now - Duration(n % 200));
    agents.recordAnswer(it.Address, {busy, 40, 4, 20}, Now - Duration(n % 200));
  }
  std::vector<FlowEndpoints> flows;
  std::vector<std::vector<RankedMember>> rankings;
  for (std::uint16_t i = 0; i < FlowCount; ++i) {
    flows.push_back({{0x64400001, i}, {0xC6120001, 443}});
    rankings.push_back(rankMembers(flows.back(), members, {}, DataCentreId{1}));
  }
  const auto policy = makePlacementPolicy(kind, Seed);
  std::size_t next = 0;
  const std::uint64_t before = AllocationCount;
  for (auto it : state) {
    benchmark::DoNotOptimize(policy->choose(flows[next], rankings[next],
                                            DataCentreId{1}, agents, Now));
    next = (next + 1) % FlowCount;
  }
  state.counters["allocations"] = static_cast<double>(AllocationCount - before);
}
BENCHMARK_CAPTURE(placementChoice, least_loaded, PlacementKind::LeastLoaded)
    ->Arg(10)
    ->Arg(2000);
BENCHMARK_CAPTURE(placementChoice, expected_wait, PlacementKind::ExpectedWait)
    ->Arg(10)
    ->Arg(2000);
BENCHMARK_CAPTURE(placementChoice, adaptive, PlacementKind::Adaptive)
    ->Arg(10)
    ->Arg(2000);

/// Measures the ranking that precedes each choice.
void placementRanking(benchmark::State &state) {
  std::vector<ServiceMember> members;
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    const auto id = static_cast<std::uint32_t>(n + 1);
    members.push_back(
        {UpstreamId{id}, Incarnation{id}, {0x0B000000 + id, 7000}});
  }
  std::uint16_t caller = 0;
  for (auto it : state)
    benchmark::DoNotOptimize(
        rankMembers({{0x64400001, ++caller}, {0xC6120001, 443}}, members, {},
                    DataCentreId{1}));
}
BENCHMARK(placementRanking)->Arg(10)->Arg(2000);

constexpr TimePoint StartTime{Duration(1000000)};
/// Time of regular announcements after which an agent stops probing, in
/// milliseconds.
constexpr Duration ProbingPeriod{45000};

ForwardedPacket makePacket(std::uint64_t flow, std::uint8_t flags) {
  ForwardedPacket it;
  it.Packet.ServiceAddress = {0x0A000000, 443};
  it.Packet.Caller = {static_cast<std::uint32_t>(0x0D000000 + flow), 5000};
  it.Packet.Flow = {mix64(flow)};
  it.Packet.Flags = flags;
  it.Service = ServiceId{1};
  it.EndsRanking = true;
  it.TableRevision = Revision{1};
  it.Chain = {{UpstreamId{1}, Incarnation{1}, {0x0B000000, 7000}}};
  return it;
}

/// Returns an agent that has been active for longer than the probing period.
std::unique_ptr<FlowPlacement> makeAgent(std::uint32_t maxFlows) {
  PlacementOptions options;
  options.ProcessIncarnation = Incarnation{1};
  options.Address = {0x0B000000, 7000};
  options.MaxFlows = maxFlows;
  auto agent = makeFlowPlacement(options, StartTime);
  PlacementOutput output;
  for (Duration it{0}; it <= ProbingPeriod; it += Duration(1000))
    agent->onAnnounceReply(
        {AnnounceResult::Accepted, UpstreamId{1}, ServiceId{1}, ""},
        StartTime + it, output);
  return agent;
}

/// Opens flows in an agent that has none. The argument is their number. Reports
/// the time per flow, and the bytes per flow once all are open.
void newFlows(benchmark::State &state) {
  const auto flows = static_cast<std::uint64_t>(state.range(0));
  double bytes = 0;
  for (auto it : state) {
    state.PauseTiming();
    auto agent = makeAgent(static_cast<std::uint32_t>(flows) * 2);
    std::vector<ForwardedPacket> packets;
    for (std::uint64_t n = 0; n < flows; ++n)
      packets.push_back(makePacket(n, PacketFlag::First));
    state.ResumeTiming();
    for (ForwardedPacket &packet : packets) {
      PlacementOutput output;
      agent->onForwarded(std::move(packet), StartTime + ProbingPeriod, output);
      benchmark::DoNotOptimize(output.Delivered.size());
    }
    state.PauseTiming();
    if (agent->flowCount() != flows)
      state.SkipWithError("a flow was not accepted");
    bytes = static_cast<double>(agent->flowTableBytes());
    agent.reset();
    packets.clear();
    state.ResumeTiming();
  }
  state.counters["bytes_per_flow"] = bytes / static_cast<double>(flows);
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
// With 57,345 flows the table has just doubled its capacity, which is the
// highest memory use per flow.
BENCHMARK(newFlows)->Arg(10000)->Arg(57345)->Arg(100000)->Unit(
    benchmark::kMillisecond);

/// Measures one packet of an established flow at its agent. The time includes
/// the construction of the packet with a payload of one byte.
void establishedFlow(benchmark::State &state) {
  const auto flows = static_cast<std::uint64_t>(state.range(0));
  auto agent = makeAgent(static_cast<std::uint32_t>(flows) * 2);
  for (std::uint64_t n = 0; n < flows; ++n) {
    PlacementOutput output;
    agent->onForwarded(makePacket(n, PacketFlag::First),
                       StartTime + ProbingPeriod, output);
  }
  std::uint64_t next = Seed;
  std::uint64_t delivered = 0;
  for (auto it : state) {
    next = mix64(next + 1);
    PlacementOutput output;
    ForwardedPacket packet = makePacket(next % flows, PacketFlag::Established);
    packet.Packet.Payload = {std::byte{1}};
    agent->onForwarded(std::move(packet), StartTime + ProbingPeriod, output);
    delivered += output.Delivered.size();
  }
  if (delivered != static_cast<std::uint64_t>(state.iterations()))
    state.SkipWithError("a packet was not delivered");
}
BENCHMARK(establishedFlow)->Arg(10000)->Arg(100000);

/// Measures one packet of a balancer with a link scheduler, at 100,000 packets
/// per second. The arguments are the number of flows, of which the scheduler
/// remembers 65,536, and the rate of the link in Mbit/s: 100 is a third of what
/// arrives.
void scheduledPacket(benchmark::State &state) {
  constexpr std::int64_t PacketsPerMs = 100;
  const auto flows = static_cast<std::uint64_t>(state.range(0));
  const auto link = makeLinkScheduler(static_cast<double>(state.range(1)));
  const Bytes data(350);
  std::uint64_t next = Seed;
  std::int64_t n = 0;
  std::size_t sent = 0;
  DatagramInfo info{.To = {1, 1}, .Flow = {{}, {2, 2}}, .DataBytes = 300};
  for (auto it : state) {
    next = mix64(next + 1);
    info.Flow.Caller = {static_cast<std::uint32_t>(next % flows), 1};
    info.Sequence = static_cast<std::uint32_t>(++n) * 300;
    const TimePoint now = StartTime + Duration(n / PacketsPerMs);
    sent += link->add(info, data, now) ? 1 : 0;
    if (n % PacketsPerMs == 0)
      sent += link->take(now).size();
  }
  state.counters["sent"] =
      static_cast<double>(sent) / static_cast<double>(state.iterations());
}
BENCHMARK(scheduledPacket)
    ->ArgsProduct({{1000, 60'000, 200'000}, {100, 100'000}});

} // namespace
} // namespace pistachio
