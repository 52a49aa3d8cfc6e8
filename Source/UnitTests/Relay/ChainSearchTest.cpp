#include "RelayTestSupport.h"

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <functional>
#include <set>

namespace pistachio {
namespace {

/// IP and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;
/// Data of a caller's packet, which TestPacketFormat leaves out.
constexpr std::size_t PacketDataBytes = 1000;
constexpr Endpoint BalancerAddress{0x0B000001, 6000};
constexpr std::uint16_t CallerPort = 9000;
constexpr Duration LinkDelay{1};
/// Between data centres, whose agents alternate in TestTable.
constexpr Duration RemoteDelay{7};

/// What is wrong with every tenth agent.
enum class Fault : std::uint8_t {
  None,
  Gone,
  /// The agent answers queries and ends before the packet arrives.
  GoneAfterQuery,
  /// The agent knows queries but no chains.
  PreviousRelease
};

struct SearchLoad {
  const char *Name;
  /// The failure that the row guards against, printed when the row fails.
  const char *Guards;
  std::uint32_t Agents;
  std::uint16_t Flows;
  Fault TenthAgent;
  /// Time that the holder works before it answers.
  Duration Work;
  /// Any agent may hold a flow, not only those where placement starts: the
  /// flows were placed with another table.
  bool IsAnyHolder;
  /// Upper bound of the bytes on the balancer's link for each flow, in permille
  /// of those without chains.
  std::size_t MaxBytesPermille;
  Duration MaxDelay;
  /// Rate of the balancer's link; 0 if it is not limited.
  double LinkMbitPerSecond = 0;
  /// Between the first packets of two flows.
  Duration Interval{10};
};

struct SearchCost {
  std::size_t Packets = 0;
  std::size_t Bytes = 0;
  std::size_t Found = 0;
  std::size_t Resets = 0;
  /// Packets given to upstreams that do not hold their flow.
  std::size_t Strays = 0;
  /// Longest time for which packets of a flow reached only other upstreams.
  Duration MaxStrayTime{0};
  /// Longest time until a packet reached the holder.
  Duration MaxDelay{0};
  /// Flows whose first packet was sent a second after the restart or later, and
  /// those among them whose packet reached the holder within a second.
  std::size_t LaterFlows = 0;
  std::size_t LaterFlowsInTime = 0;
  /// From the first packet of the last flow until the link was not congested
  /// any more.
  Duration CongestedFor{0};
};

/// All agents and the balancer have restarted, and all upstreams hold their
/// flows. Connects a FlowRouter, driven as by a balancer, with the
/// UpstreamRelays of all agents. Callers retransmit after 200 ms, doubled up to
/// 1.6 s.
class SearchSimulation {
public:
  SearchSimulation(const SearchLoad &load, bool usesChains)
      : Load(load), Table(load.Agents), UsesChains(usesChains) {
    FlowRouterOptions options{.DataCentre = "x"};
    const auto former = makeFlowRouter(options);
    options.UsesChains = usesChains;
    if (load.LinkMbitPerSecond > 0) {
      Link = makeLinkScheduler(load.LinkMbitPerSecond);
      options.SearchBytesPerSecond =
          static_cast<std::uint32_t>(load.LinkMbitPerSecond * 1e6 / 8 / 2);
    }
    Router = makeFlowRouter(options);
    Router->confirmTable(TimePoint::max(), Revision{});
    for (std::uint32_t id = 1; id <= load.Agents; ++id)
      if (id != 100)
        startAgent(id);
    for (std::uint16_t caller = 1; caller <= load.Flows; ++caller)
      open(caller, *former);
  }

  SearchCost run() {
    for (const auto &[caller, holder] : Holders)
      at(caller * Load.Interval,
         [this, it = caller] { send(it, Duration(200)); });
    at(Duration(20), [this] { poll(); });
    const TimePoint end = Now + Duration(8000);
    while (!Events.empty() && Events.begin()->first <= end) {
      auto node = Events.extract(Events.begin());
      Now = node.key();
      node.mapped()();
    }
    Cost.Found = Delivered.size();
    return Cost;
  }

  std::size_t flows() const { return Holders.size(); }

private:
  void at(Duration delay, std::function<void()> action) {
    Events.emplace(Now + delay, std::move(action));
  }
  static Endpoint upstreamOf(const Endpoint &agent) {
    return {agent.Address, 8080};
  }
  bool isFaulty(const Endpoint &agent) const {
    return Load.TenthAgent != Fault::None && agent.Address % 10 == 4;
  }
  static Duration delayTo(const Endpoint &agent) {
    return agent.Address % 2 == 0 ? LinkDelay : RemoteDelay;
  }

  void startAgent(std::uint32_t id) {
    UpstreamRelayOptions options;
    options.Service = "a";
    options.Upstream = upstreamOf(agentEndpoint(id));
    options.CallerPort = CallerPort;
    options.StartedAtMs = 60'000;
    auto &agent = Agents[agentEndpoint(id)] =
        makeUpstreamRelay(options, Format);
    UpstreamReport report;
    report.Id = "i";
    report.Service = "a";
    report.Address = options.Upstream;
    report.Sequence = 9;
    report.StartedAtMs = 50'000;
    agent->onReport(report, Now);
  }
  void open(std::uint16_t caller, FlowRouter &former) {
    Endpoint holder =
        former.onCallerPacket(firstPacket(caller), *Table, Now).Agent;
    if (Load.IsAnyHolder)
      holder = std::next(Agents.begin(), caller * 131U % Agents.size())->first;
    const bool isLost =
        isFaulty(holder) && Load.TenthAgent != Fault::PreviousRelease;
    if (!isLost)
      Holders[caller] = holder;
  }

  // Callers.
  void send(std::uint16_t caller, Duration timeout) {
    if (Answered.contains(caller))
      return;
    const bool isLater = Now - StartedAt >= Duration(1000);
    if (SentAt.try_emplace(caller, Now).second && isLater)
      ++Cost.LaterFlows;
    const Bytes buf = TestPacketFormat::encode(dataPacket(caller, 501));
    route(buf);
    at(timeout,
       [=, this] { send(caller, std::min(2 * timeout, Duration(1600))); });
  }

  // The balancer, as RelayBalancer.
  void route(const Bytes &buf) {
    updateLinkState();
    const auto packet = *Format.decode(buf);
    apply(Router->onCallerPacket(packet, *Table, Now), packet, buf);
  }
  void apply(const RelayDecision &decision, const FlowPacket &packet,
             const Bytes &buf) {
    const FlowEndpoints flow{packet.Source, packet.Destination};
    Cost.Resets += decision.Action == RelayAction::Reset ? 1 : 0;
    if (decision.Action == RelayAction::Query) {
      Kept.add(flow, buf, Now);
      for (const QueryTarget &it : decision.Queries)
        Batcher.add(flow, it);
      sendQueries();
    }
    if (decision.Action != RelayAction::Forward)
      return;
    if (decision.Reason == RelayReason::Search)
      Kept.add(flow, buf, Now);
    if (decision.IsChain) {
      for (auto &[agent, chain] : makeChains(decision, buf))
        sendToAgent(std::move(chain), agent);
    } else {
      std::vector<Endpoint> all = decision.OtherAgents;
      all.insert(all.begin(), decision.Agent);
      for (const Endpoint &it : all)
        sendToAgent(RelayedPacket{decision.Service, decision.Attempt,
                                  decision.NeedsConfirmation, UnlimitedColdRate,
                                  buf},
                    it);
    }
    if (decision.Reason == RelayReason::Search)
      Kept.markSent(flow, buf);
  }
  void applyToKept(const RelayDecision &decision, const FlowEndpoints &flow) {
    if (const auto *kept = Kept.find(flow)) {
      const Bytes buf = kept->Data;
      apply(decision, *Format.decode(buf), buf);
    }
  }
  void sendQueries() {
    for (QueryBatcher::Batch &it : Batcher.take(Now)) {
      Router->eraseFoundFlows(it.Query.Flows);
      if (it.Query.Flows.empty())
        continue;
      Router->onQuerySent(it.Query, it.Agent, Now);
      sendToAgent(std::move(it.Query), it.Agent);
    }
  }
  void updateLinkState() {
    if (!Link)
      return;
    const bool isCongested = Link->isCongested(Now);
    Router->setLinkCongested(isCongested);
    if (isCongested)
      Cost.CongestedFor = Now - StartedAt - Load.Flows * Load.Interval;
  }
  void poll() {
    updateLinkState();
    sendQueries();
    for (const FlowDecision &it : Router->pollSearches(*Table, Now))
      applyToKept(it.Decision, it.Flow);
    at(Duration(20), [this] { poll(); });
  }
  void count(const DataMessage &message) {
    Bytes buf;
    ASSERT_TRUE(encodeData(message, buf).ok());
    const bool hasPacket = std::holds_alternative<RelayedPacket>(message) ||
                           std::holds_alternative<ReturnedPacket>(message) ||
                           std::holds_alternative<ChainedPacket>(message);
    ++Cost.Packets;
    Cost.Bytes +=
        buf.size() + DatagramHeaderBytes + (hasPacket ? PacketDataBytes : 0);
  }
  void sendToAgent(DataMessage message, const Endpoint &agent) {
    count(message);
    if (!Link)
      return deliver(std::move(message), agent, BalancerAddress);
    DatagramInfo info{.To = agent, .Flow = {}};
    Bytes buf;
    ASSERT_TRUE(encodeData(message, buf).ok());
    if (std::holds_alternative<FlowQuery>(message)) {
      info.Content = DatagramInfo::Kind::Query;
    } else {
      buf.resize(buf.size() + PacketDataBytes);
      const auto packet =
          *Format.decode(std::holds_alternative<ChainedPacket>(message)
                             ? std::get<ChainedPacket>(message).Packet
                             : std::get<RelayedPacket>(message).Packet);
      info.Flow = {packet.Source, packet.Destination};
      info.Sequence = packet.Sequence;
      info.DataBytes = PacketDataBytes;
    }
    // The number of the message stands in place of the data.
    Unsent.push_back(std::move(message));
    const std::size_t n = Unsent.size() - 1;
    std::memcpy(buf.data(), &n, sizeof(n));
    if (Link->add(info, buf, Now))
      return deliver(Unsent[n], agent, BalancerAddress);
    if (!std::exchange(IsLinkPolled, true))
      at(Duration(2), [this] { sendWaiting(); });
  }
  void sendWaiting() {
    for (const OutgoingPacket &it : Link->take(Now)) {
      std::size_t n = 0;
      std::memcpy(&n, it.Data.data(), sizeof(n));
      deliver(Unsent[n], it.Info.To, BalancerAddress);
    }
    IsLinkPolled = Link->waitTime(Now).has_value();
    if (IsLinkPolled)
      at(Duration(2), [this] { sendWaiting(); });
  }
  void onAgentMessage(const DataMessage &message, const Endpoint &agent) {
    if (const auto *returned = std::get_if<ReturnedPacket>(&message)) {
      const auto packet = *Format.decode(returned->Packet);
      apply(Router->onReturnedPacket(packet, *returned, agent, *Table, Now),
            packet, returned->Packet);
    }
    if (const auto *held = std::get_if<FlowHeld>(&message)) {
      const auto found = Router->onFlowHeld(*held, agent, Now);
      const auto kept = Kept.takeOne({held->Caller, held->Service}, Now);
      const bool isDelivered =
          UsesChains && found && found->GotPacket && kept && kept->WasSent;
      if (kept && !isDelivered)
        route(kept->Data);
    }
    if (const auto *notHeld = std::get_if<FlowsNotHeld>(&message))
      for (const FlowNotHeld &it : notHeld->Flows)
        applyToKept(
            Router->onFlowNotHeld(it, notHeld->Load, agent, *Table, Now),
            it.Flow);
  }

  // Agents and upstreams.
  void deliver(DataMessage message, const Endpoint &agent,
               const Endpoint &sender) {
    const bool isChain = std::holds_alternative<ChainedPacket>(message);
    const bool isQuery = std::holds_alternative<FlowQuery>(message);
    if (isFaulty(agent) &&
        (Load.TenthAgent == Fault::Gone ||
         (Load.TenthAgent == Fault::GoneAfterQuery && !isQuery) ||
         (Load.TenthAgent == Fault::PreviousRelease && isChain)))
      return;
    at(delayTo(agent), [=, this, it = std::move(message)] {
      UpstreamRelay &relay = *Agents.at(agent);
      RelayOutput out;
      if (const auto *query = std::get_if<FlowQuery>(&it))
        relay.onFlowQuery(*query, sender, Now, out);
      if (const auto *relayed = std::get_if<RelayedPacket>(&it))
        relay.onRelayedPacket(*relayed, sender, Now, out);
      if (const auto *chained = std::get_if<ChainedPacket>(&it))
        relay.onChainedPacket(*chained, sender, Now, out);
      execute(out, agent);
    });
  }
  void execute(const RelayOutput &out, const Endpoint &agent) {
    for (const RelayOutput::Datagram &it : out.Datagrams) {
      if (const auto *packet = std::get_if<Bytes>(&it.Content)) {
        if (it.To == upstreamOf(agent))
          onUpstreamInput(*packet, agent);
        else
          Answered.insert(static_cast<std::uint16_t>(
              Format.decode(*packet)->Destination.Port - 1000));
        continue;
      }
      const auto &message = std::get<DataMessage>(it.Content);
      if (it.To != BalancerAddress) {
        deliver(message, it.To, agent);
        continue;
      }
      count(message);
      at(delayTo(agent), [=, this] { onAgentMessage(message, agent); });
    }
  }
  void onUpstreamInput(const Bytes &buf, const Endpoint &agent) {
    FlowPacket packet = *Format.decode(buf);
    const auto caller = static_cast<std::uint16_t>(packet.Source.Port - 1000);
    const bool isHolder = Holders.at(caller) == agent;
    if (!isHolder) {
      ++Cost.Strays;
      FirstStrayAt.try_emplace(caller, Now);
      packet.Returned = true;
    } else {
      std::swap(packet.Source, packet.Destination);
      if (Delivered.insert(caller).second) {
        Cost.MaxDelay = std::max(Cost.MaxDelay, Now - SentAt.at(caller));
        const TimePoint sentAt = SentAt.at(caller);
        if (sentAt - StartedAt >= Duration(1000) &&
            Now - sentAt <= Duration(1000))
          ++Cost.LaterFlowsInTime;
        if (const auto stray = FirstStrayAt.find(caller);
            stray != FirstStrayAt.end())
          Cost.MaxStrayTime = std::max(Cost.MaxStrayTime, Now - stray->second);
      }
    }
    at(isHolder ? Load.Work : LinkDelay, [=, this] {
      RelayOutput out;
      Agents.at(agent)->onUpstreamPacket(TestPacketFormat::encode(packet), Now,
                                         out);
      execute(out, agent);
    });
  }

  SearchLoad Load;
  TestTable Table;
  bool UsesChains;
  TestPacketFormat Format;
  TimePoint Now{Duration(1000000)};
  std::multimap<TimePoint, std::function<void()>> Events;
  const TimePoint StartedAt = Now;
  std::unique_ptr<FlowRouter> Router;
  std::unique_ptr<LinkScheduler> Link;
  bool IsLinkPolled = false;
  /// Messages by their number.
  std::deque<DataMessage> Unsent;
  DeferredPackets Kept;
  QueryBatcher Batcher;
  std::map<Endpoint, std::unique_ptr<UpstreamRelay>> Agents;
  std::map<std::uint16_t, Endpoint> Holders;
  std::map<std::uint16_t, TimePoint> SentAt;
  std::map<std::uint16_t, TimePoint> FirstStrayAt;
  std::set<std::uint16_t> Delivered;
  std::set<std::uint16_t> Answered;
  SearchCost Cost;
};

class ChainSearchTest : public testing::TestWithParam<SearchLoad> {};

// Load pattern: all processes were killed and restarted while the upstreams
// live. Guards against copies of each packet that fill the balancer's narrow
// link, and against flows that are reset or not found.
TEST_P(ChainSearchTest, FindsHoldersWithFewBytesOnTheLink) {
  const SearchLoad &load = GetParam();
  const SearchCost before = SearchSimulation(load, false).run();
  SearchSimulation simulation(load, true);
  const SearchCost after = simulation.run();
  for (const auto &[name, it] :
       {std::pair("direct", before), std::pair("chained", after)})
    RecordProperty(name, concat(std::to_string(it.Packets * 10 / it.Found),
                                " packets for 10 flows, ",
                                std::to_string(it.Bytes / it.Found),
                                " bytes for one, ", std::to_string(it.Strays),
                                " strays, delay ",
                                std::to_string(it.MaxDelay.count()), " ms, ",
                                std::to_string(it.MaxStrayTime.count()),
                                " ms at other upstreams"));
  EXPECT_EQ(after.Found, simulation.flows()) << load.Guards;
  EXPECT_EQ(after.Resets, 0U) << load.Guards;
  EXPECT_LE(after.Bytes * 1000, before.Bytes * load.MaxBytesPermille)
      << load.Guards;
  EXPECT_LE(after.MaxDelay, load.MaxDelay) << load.Guards;
  // Several chains at a time may visit a few agents more than needed.
  EXPECT_LE(after.Strays * 10, before.Strays * 11) << load.Guards;
  EXPECT_LT(after.MaxStrayTime, Duration(2000)) << load.Guards;
}

const SearchLoad SearchLoads[] = {
    {"Agents60", "copies of each packet on the balancer's link", 60, 40,
     Fault::None, Duration(5), false, 200, Duration(50)},
    {"Agents300", "copies of each packet on the balancer's link", 300, 40,
     Fault::None, Duration(5), false, 200, Duration(50)},
    {"TenthGone", "a packet that waits until all other agents were queried",
     300, 40, Fault::Gone, Duration(5), false, 200, Duration(200)},
    {"TenthGoneAfterQuery", "a chain that ends with an agent", 300, 40,
     Fault::GoneAfterQuery, Duration(5), false, 200, Duration(200)},
    {"TenthOfPreviousRelease", "an agent that drops chained packets", 300, 40,
     Fault::PreviousRelease, Duration(5), false, 250, Duration(250)},
    {"WorkOf400Ms", "further copies while the holder is at work", 60, 40,
     Fault::None, Duration(400), false, 100, Duration(50)},
    {"AnyHolder60", "a holder that placement would not choose", 60, 40,
     Fault::None, Duration(5), true, 250, Duration(500)},
    {"AnyHolder300", "packets that reach only other upstreams for 2 s", 300, 10,
     Fault::None, Duration(5), true, 250, Duration(1500)},
    {"AnyHolderTenthGoneAfterQuery",
     "packets that reach only other upstreams for 2 s", 60, 40,
     Fault::GoneAfterQuery, Duration(5), true, 1000, Duration(1900)},
};

INSTANTIATE_TEST_SUITE_P(Loads, ChainSearchTest, testing::ValuesIn(SearchLoads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

class NarrowLinkSearchTest : public testing::TestWithParam<SearchLoad> {};

// Load pattern: as above, on a link that the searches can fill. Guards against
// searches that go on congesting the link by themselves: a balancer that took
// the wait in its own queue for the silence of agents sent each of them a copy
// of the packet, again with each retransmission, for 10 s.
TEST_P(NarrowLinkSearchTest, FindsHoldersWithoutLastingCongestion) {
  const SearchLoad &load = GetParam();
  SearchSimulation simulation(load, true);
  const SearchCost cost = simulation.run();
  RecordProperty(
      "cost",
      concat(std::to_string(cost.Packets / cost.Found), " packets, ",
             std::to_string(cost.Bytes / cost.Found), " bytes for a flow, ",
             std::to_string(cost.LaterFlowsInTime), " of ",
             std::to_string(cost.LaterFlows), " within 1 s, delay ",
             std::to_string(cost.MaxDelay.count()), " ms, congested ",
             std::to_string(cost.CongestedFor.count()), " ms, ",
             std::to_string(cost.MaxStrayTime.count()),
             " ms at other upstreams"));
  EXPECT_EQ(cost.Found, simulation.flows()) << load.Guards;
  EXPECT_EQ(cost.Resets, 0U) << load.Guards;
  EXPECT_GE(cost.LaterFlowsInTime * 100, cost.LaterFlows * 95) << load.Guards;
  EXPECT_LE(cost.MaxDelay, load.MaxDelay) << load.Guards;
  EXPECT_LE(cost.CongestedFor, Duration(2000)) << load.Guards;
  EXPECT_LT(cost.MaxStrayTime, Duration(2000)) << load.Guards;
}

/// 50 flows a second are nearly twice the requests a second of the busiest
/// balancer with such a link on the deployments.
const SearchLoad NarrowLinkLoads[] = {
    {"Agents60", "copies of each packet on the balancer's link", 60, 150,
     Fault::None, Duration(25), false, 0, Duration(1000), 2.8, Duration(20)},
    {"Agents300", "copies of each packet on the balancer's link", 300, 150,
     Fault::None, Duration(25), false, 0, Duration(1000), 2, Duration(20)},
    {"AnyHolder60", "a holder that placement would not choose", 60, 150,
     Fault::None, Duration(25), true, 0, Duration(2500), 2.8, Duration(20)},
    {"AnyHolder60TenthGone", "agents that are asked again and again", 60, 150,
     Fault::Gone, Duration(25), true, 0, Duration(2500), 2.8, Duration(20)},
    {"WorkOf400Ms", "further copies while the holder is at work", 60, 150,
     Fault::None, Duration(400), true, 0, Duration(2500), 2.8, Duration(20)},
};

INSTANTIATE_TEST_SUITE_P(Loads, NarrowLinkSearchTest,
                         testing::ValuesIn(NarrowLinkLoads),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace
} // namespace pistachio
