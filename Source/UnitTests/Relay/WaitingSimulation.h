#pragma once

#include "RelayTestSupport.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace pistachio {

/// Flows of one route. Callers differ in their addresses.
struct RouteLoad {
  RouteTerms Terms;
  /// New flows, relative to what all upstreams together can serve.
  double Share = 0;
  std::uint32_t Callers = 50;
};

struct WaitingLoad {
  std::uint32_t Balancers = 1;
  std::uint32_t Upstreams = 30;
  std::uint32_t Slots = 2;
  double ServiceTimeMs = 50;
  std::vector<RouteLoad> Routes;
  std::uint32_t Seconds = 6;
  /// Called once for each simulated second.
  std::function<void(std::uint32_t second, class WaitingSimulation &)>
      OnSecond = {};
};

struct RouteResult {
  std::uint32_t Flows = 0;
  std::uint32_t Refused = 0;
  std::uint32_t OnTime = 0;
  std::uint32_t Opened = 0;
  /// Longest time in which no flow of the route opened.
  Duration MaxGap{0};
  std::map<std::uint32_t, std::uint32_t> OpenedByCaller;
  TimePoint LastOpened{};
};

struct WaitingResult {
  std::vector<RouteResult> Routes;
  /// Offers for each opened flow in the worst second.
  double WorstOffers = 0;
  /// Work done, relative to what all upstreams together can do.
  double Utilisation = 0;
  /// Resets of flows that an upstream had opened.
  std::uint32_t FalseResets = 0;
};

/// Connects FlowRouters, driven as by balancers, with the UpstreamRelays of all
/// agents. Each flow carries one request; callers repeat the first packet after
/// 200 and 600 ms.
class WaitingSimulation {
public:
  explicit WaitingSimulation(const WaitingLoad &load)
      : Load(load), Table(load.Upstreams), Balancers(load.Balancers) {
    TableUpdate update;
    for (std::uint32_t i = 0; i < Load.Routes.size(); ++i)
      update.Routes.push_back(
          {routeAddress(i), {{{1}, 1}}, {}, Load.Routes[i].Terms});
    Table.apply(std::move(update));
    Result.Routes.resize(Load.Routes.size());
    for (RouteResult &it : Result.Routes)
      it.LastOpened = Now;
    for (std::uint32_t i = 0; i < Load.Balancers; ++i) {
      Balancers[i].Router =
          makeFlowRouter({.DataCentre = "x",
                          .Placement = PlacementKind::ExpectedWait,
                          .PlacementSeed = i});
      every(Duration(5), [this, i] { tryWaiting(i); });
      every(Duration(15), [this, i] { retryDeferred(i); });
    }
    for (std::uint32_t id = 1; id <= Load.Upstreams; ++id)
      startAgent(id);
    every(Duration(1000), [this] { report(); });
  }

  WaitingResult run() {
    for (std::uint32_t i = 0; i < Load.Routes.size(); ++i)
      arrive(i);
    for (std::uint32_t second = 0; second < Load.Seconds; ++second) {
      if (Load.OnSecond)
        Load.OnSecond(second, *this);
      const TimePoint end = Now + Duration(1000);
      Offers = Opened = 0;
      while (!Events.empty() && Events.begin()->first <= end) {
        auto node = Events.extract(Events.begin());
        Now = node.key();
        node.mapped()();
      }
      Now = end;
      // The first second starts without knowledge.
      if (second > 0)
        Result.WorstOffers =
            std::max(Result.WorstOffers, Offers / std::max(Opened, 1.0));
    }
    Result.Utilisation =
        Work / (Load.Upstreams * Load.Slots * 1000.0 * Load.Seconds);
    for (RouteResult &it : Result.Routes)
      it.MaxGap = std::max(it.MaxGap, Now - it.LastOpened);
    return std::move(Result);
  }

  void drain(std::uint32_t id) {
    Upstreams.at(agentEndpoint(id)).Draining = true;
    Table.setState(id, UpstreamState::Draining);
    report();
  }
  /// The agent and its upstream end. Control suspects them after a second.
  void kill(std::uint32_t id) {
    Upstreams.at(agentEndpoint(id)).Gone = true;
    at(Duration(1000),
       [this, id] { Table.setState(id, UpstreamState::Suspect); });
  }

private:
  struct Upstream {
    std::unique_ptr<UpstreamRelay> Relay;
    std::vector<FlowPacket> Queue;
    std::uint32_t Running = 0;
    std::uint64_t Sequence = 0;
    bool Draining = false;
    bool Gone = false;
  };
  struct Balancer {
    std::unique_ptr<FlowRouter> Router;
    DeferredPackets Deferred;
  };
  struct Request {
    std::uint32_t Route = 0;
    TimePoint SentAt{};
    bool IsOpen = false;
    bool IsRefused = false;
  };

  static Endpoint routeAddress(std::uint32_t i) { return {0xC6130001 + i, 1}; }
  static Endpoint balancerEndpoint(std::uint32_t i) {
    return {0x0B000001 + i, 6000};
  }
  void at(Duration delay, std::function<void()> action) {
    Events.emplace(Now + delay, std::move(action));
  }
  void every(Duration interval, const std::function<void()> &action) {
    at(interval, [this, interval, action] {
      action();
      every(interval, action);
    });
  }

  // Callers.
  void arrive(std::uint32_t route) {
    const double perMs = Load.Routes[route].Share * Load.Upstreams *
                         Load.Slots / Load.ServiceTimeMs;
    std::exponential_distribution<double> gap(perMs);
    NextArrival.resize(Load.Routes.size());
    NextArrival[route] += gap(Random);
    const auto due = Duration(static_cast<std::int64_t>(NextArrival[route]));
    at(std::max(Duration(0), due - (Now - Start)), [this, route] {
      FlowPacket packet;
      const std::uint32_t n = NextFlow++;
      packet.Source = {
          0x64400000 + (route << 16) +
              static_cast<std::uint32_t>(Random() % Load.Routes[route].Callers),
          static_cast<std::uint16_t>(1 + n % 60000)};
      packet.Destination = routeAddress(route);
      packet.Opens = true;
      packet.Sequence = n;
      Requests[n] = {route, Now};
      ++Result.Routes[route].Flows;
      for (const int ms : {0, 200, 600})
        at(Duration(ms), [this, packet] {
          const Request &it = Requests.at(packet.Sequence);
          if (!it.IsOpen && !it.IsRefused)
            send(packet, static_cast<std::uint32_t>(packet.Sequence %
                                                    Balancers.size()));
        });
      arrive(route);
    });
  }

  // Balancers, as RelayBalancer.
  void send(const FlowPacket &packet, std::uint32_t i) {
    apply(Balancers[i].Router->onCallerPacket(packet, *Table, Now), packet, i);
  }
  void apply(const RelayDecision &decision, const FlowPacket &packet,
             std::uint32_t i) {
    const FlowEndpoints flow{packet.Source, packet.Destination};
    const Bytes buf = TestPacketFormat::encode(packet);
    Request &request = Requests.at(packet.Sequence);
    if (decision.Action == RelayAction::Reset) {
      Result.FalseResets += request.IsOpen ? 1 : 0;
      Result.Routes[request.Route].Refused += request.IsRefused ? 0 : 1;
      request.IsRefused = true;
    }
    if (decision.Action == RelayAction::Defer && decision.Wait)
      Balancers[i].Router->waiting().add(flow, buf, *decision.Wait);
    else if (decision.Action == RelayAction::Defer)
      Balancers[i].Deferred.add(flow, buf, Now);
    if (decision.Action != RelayAction::Forward)
      return;
    Offers += packet.Opens && decision.Reason == RelayReason::Placed ? 1 : 0;
    at(Delay, [this, i, agent = decision.Agent,
               message = RelayedPacket{decision.Service, decision.Attempt,
                                       decision.NeedsConfirmation,
                                       UnlimitedColdRate, buf}] {
      Upstream &it = Upstreams.at(agent);
      RelayOutput out;
      if (!it.Gone)
        it.Relay->onRelayedPacket(message, balancerEndpoint(i), Now, out);
      execute(out, agent);
    });
  }
  void tryWaiting(std::uint32_t i) {
    for (const auto &it : Balancers[i].Router->takeWaiting(*Table, Now))
      send(*Format.decode(it.Data), i);
  }
  void retryDeferred(std::uint32_t i) {
    for (const auto &it : Balancers[i].Deferred.take(Now))
      send(*Format.decode(it.Data), i);
  }
  void onAgentMessage(const DataMessage &message, const Endpoint &agent,
                      std::uint32_t i) {
    FlowRouter &router = *Balancers[i].Router;
    if (const auto *returned = std::get_if<ReturnedPacket>(&message)) {
      const auto packet = *Format.decode(returned->Packet);
      apply(router.onReturnedPacket(packet, *returned, agent, *Table, Now),
            packet, i);
    }
    if (const auto *held = std::get_if<FlowHeld>(&message))
      router.onFlowHeld(*held, agent, Now);
  }

  // Agents and upstreams.
  void startAgent(std::uint32_t id) {
    UpstreamRelayOptions options;
    options.Service = "a";
    options.Upstream = {agentEndpoint(id).Address, 8080};
    options.CallerPort = 9000;
    options.ReportsServiceTime = true;
    options.StartedAtMs = 60'000;
    Upstreams[agentEndpoint(id)].Relay = makeUpstreamRelay(options, Format);
    report();
  }
  void report() {
    for (auto &[agent, it] : Upstreams) {
      UpstreamReport report;
      report.Id = "i";
      report.Service = "a";
      report.Address = {agent.Address, 8080};
      report.Slots = Load.Slots;
      report.Draining = it.Draining;
      report.Sequence = ++it.Sequence + 8;
      report.StartedAtMs = 50'000;
      it.Relay->onReport(report, Now);
      RelayOutput out;
      it.Relay->tick(Now, out);
      execute(out, agent);
    }
  }
  void execute(const RelayOutput &out, const Endpoint &agent) {
    for (const RelayOutput::Datagram &it : out.Datagrams) {
      if (const auto *message = std::get_if<DataMessage>(&it.Content)) {
        at(Delay, [this, agent, content = *message,
                   i = it.To.Address - balancerEndpoint(0).Address] {
          onAgentMessage(content, agent, i);
        });
      } else if (it.To.Port == 8080) {
        onUpstreamInput(*Format.decode(std::get<Bytes>(it.Content)), agent);
      }
    }
  }
  void answer(FlowPacket packet, const Endpoint &agent) {
    std::swap(packet.Source, packet.Destination);
    RelayOutput out;
    if (!Upstreams.at(agent).Gone)
      Upstreams.at(agent).Relay->onUpstreamPacket(
          TestPacketFormat::encode(packet), Now, out);
    execute(out, agent);
  }
  void onUpstreamInput(FlowPacket packet, const Endpoint &agent) {
    packet.Acknowledges = true;
    if (!packet.Opens) {
      Upstreams.at(agent).Queue.push_back(packet);
      return work(agent);
    }
    Request &request = Requests.at(packet.Sequence);
    RouteResult &route = Result.Routes[request.Route];
    if (request.IsOpen)
      return answer(packet, agent);
    request.IsOpen = true;
    ++Opened;
    ++route.Opened;
    ++route.OpenedByCaller[packet.Source.Address];
    route.MaxGap = std::max(route.MaxGap, Now - route.LastOpened);
    route.LastOpened = Now;
    answer(packet, agent);
    // The caller's request, which passes the balancer as well.
    packet.Opens = false;
    packet.Ends = true;
    packet.Acknowledgement = packet.Sequence + 1;
    packet.DataBytes = 100;
    at(4 * Delay, [this, packet, agent] {
      RelayOutput out;
      if (!Upstreams.at(agent).Gone)
        Upstreams.at(agent).Relay->onRelayedPacket(
            {hashServiceName("a"), 0, false, UnlimitedColdRate,
             TestPacketFormat::encode(packet)},
            balancerEndpoint(
                static_cast<std::uint32_t>(packet.Sequence % Balancers.size())),
            Now, out);
      execute(out, agent);
    });
  }
  void work(const Endpoint &agent) {
    Upstream &it = Upstreams.at(agent);
    if (it.Queue.empty() || it.Running >= Load.Slots)
      return;
    const FlowPacket packet = it.Queue.front();
    it.Queue.erase(it.Queue.begin());
    ++it.Running;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double time = spread(Random) * Load.ServiceTimeMs;
    at(Duration(static_cast<std::int64_t>(time)), [this, packet, agent, time] {
      const Request &request = Requests.at(packet.Sequence);
      const auto &terms = Load.Routes[request.Route].Terms;
      Work += time;
      if (Now - request.SentAt <= terms.Objective.value_or(Duration(1000)))
        ++Result.Routes[request.Route].OnTime;
      answer(packet, agent);
      --Upstreams.at(agent).Running;
      work(agent);
    });
  }

  static constexpr Duration Delay{1};

  WaitingLoad Load;
  TestTable Table;
  TestPacketFormat Format;
  std::vector<Balancer> Balancers;
  std::map<Endpoint, Upstream> Upstreams;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::uint32_t, Request> Requests;
  std::vector<double> NextArrival;
  std::mt19937_64 Random{1};
  std::uint32_t NextFlow = 1;
  double Offers = 0;
  double Opened = 0;
  double Work = 0;
  WaitingResult Result;
  TimePoint Start{Duration(1000000)};
  TimePoint Now = Start;
};

} // namespace pistachio
