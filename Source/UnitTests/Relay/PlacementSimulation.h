#pragma once

#include "Relay/PlacementPolicy.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace pistachio {

/// One service, its upstreams with their agents, and balancers that know of the
/// agents only what these answered. Times are in milliseconds. The flows arrive
/// at random; each carries one request.
struct PlacementLoad {
  std::uint32_t Upstreams = 60;
  /// With more balancers each one's reports are older.
  std::uint32_t Balancers = 6;
  std::uint32_t Slots = 4;
  double ServiceTime = 20;
  double Utilisation = 0.6;
  double Seconds = 6;
  /// Repeated over the upstreams.
  std::vector<double> Speeds = {1};
  bool StatesServiceTime = true;
  /// Called once for each simulated second, for loads that change.
  std::function<void(std::uint32_t second, class PlacementSimulation &)>
      OnSecond = {};
};

struct PlacementResult {
  /// The largest and the mean ratio, over the seconds, of the busiest upstream
  /// to the mean, in new flows for each unit of speed.
  double WorstRatio = 0;
  double MeanRatio = 0;
  double OffersPerFlow = 0;
  double Declined = 0;
  double Refused = 0;
  double MeanWait = 0;
  /// Accepted flows by upstream.
  std::vector<std::uint32_t> Flows;
};

class PlacementSimulation {
public:
  struct Upstream {
    double Speed = 1;
    std::uint32_t Busy = 0;
    std::deque<double> Waiting;
    std::uint32_t Running = 0;
    std::uint32_t Flows = 0;
    /// Multiplies the busy flows that the agent reports.
    double ReportedShare = 1;
    bool Silent = false;
    bool Cold = false;
  };

  PlacementSimulation(PlacementLoad load, const PlacementPolicy &policy)
      : Load(std::move(load)), Policy(policy), Upstreams(Load.Upstreams),
        Balancers(Load.Balancers) {
    for (std::uint32_t i = 0; i < Load.Upstreams; ++i) {
      Upstreams[i].Speed = Load.Speeds[i % Load.Speeds.size()];
      ServiceMember it;
      it.Id = {i + 1};
      it.Address = {0x0A000000 + i + 1, 7000};
      it.DataCentre = {1};
      Members.push_back(it);
      Capacity += Upstreams[i].Speed * Load.Slots / Load.ServiceTime;
    }
  }

  std::vector<Upstream> &upstreams() { return Upstreams; }

  PlacementResult run() {
    schedule(nextArrival(), [this] { arrive(); });
    std::uint32_t second = 0;
    std::vector<std::uint32_t> before(Upstreams.size());
    double ratios = 0;
    for (; second < Load.Seconds; ++second) {
      if (Load.OnSecond)
        Load.OnSecond(second, *this);
      runUntil(1000.0 * (second + 1));
      double busiest = 0;
      double flows = 0;
      double speed = 0;
      for (std::size_t i = 0; i < Upstreams.size(); ++i) {
        const double n = Upstreams[i].Flows - before[i];
        busiest = std::max(busiest, n / Upstreams[i].Speed);
        flows += n;
        speed += Upstreams[i].Speed;
        before[i] = Upstreams[i].Flows;
      }
      // The first second starts without knowledge.
      if (second == 0) {
        Result = {};
        Accepted = Offers = 0;
        Wait = 0;
        continue;
      }
      const double ratio = busiest / (flows / speed);
      Result.WorstRatio = std::max(Result.WorstRatio, ratio);
      ratios += ratio;
    }
    Result.MeanRatio = ratios / (second - 1);
    Result.OffersPerFlow = Offers / std::max(Accepted, 1.0);
    Result.Declined = Result.Declined / std::max(Accepted, 1.0);
    Result.Refused = Result.Refused / std::max(Accepted, 1.0);
    Result.MeanWait = Wait / std::max(Accepted, 1.0);
    for (const Upstream &it : Upstreams)
      Result.Flows.push_back(it.Flows);
    return Result;
  }

private:
  static constexpr double NetworkDelay = 1;
  static constexpr double RetryInterval = 15;
  static constexpr double MaxDeferral = 100;
  static constexpr double AnswerTimeout = 150;

  struct Event {
    double At = 0;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Event &other) const {
      return At != other.At ? At > other.At : Order > other.Order;
    }
  };
  struct NewFlow {
    FlowEndpoints Endpoints;
    std::uint32_t Balancer = 0;
    std::uint32_t Attempt = 0;
    double Arrived = 0;
    std::vector<RankedMember> Candidates;
  };

  void schedule(double at, std::function<void()> run) {
    Events.push({at, NextOrder++, std::move(run)});
  }
  void runUntil(double end) {
    while (!Events.empty() && Events.top().At < end) {
      const Event it = Events.top();
      Events.pop();
      Time = it.At;
      it.Run();
    }
    Time = end;
  }
  TimePoint now() const {
    return TimePoint{Duration{1'000'000 + static_cast<std::int64_t>(Time)}};
  }
  double nextArrival() {
    std::exponential_distribution<double> gap(Capacity * Load.Utilisation);
    return Time + gap(Random);
  }

  void arrive() {
    schedule(nextArrival(), [this] { arrive(); });
    NewFlow flow;
    const auto id = static_cast<std::uint32_t>(NextFlow++);
    flow.Endpoints = {{0x64400000 + id / 50000,
                       static_cast<std::uint16_t>(1000 + id % 50000)},
                      {0xC6120001, 443}};
    flow.Balancer = static_cast<std::uint32_t>(Random() % Balancers.size());
    flow.Arrived = Time;
    rank(flow);
    offer(std::move(flow));
  }

  /// A random order in the place of the hash of the flow: ranking 10,000
  /// members would take most of the time.
  void rank(NewFlow &flow) {
    const std::size_t n = std::min<std::size_t>(Members.size(), 16);
    while (flow.Candidates.size() < n) {
      const ServiceMember *it = &Members[Random() % Members.size()];
      if (std::ranges::find(flow.Candidates, it, &RankedMember::Member) ==
          flow.Candidates.end())
        flow.Candidates.push_back(
            {it, static_cast<std::uint32_t>(flow.Candidates.size() / 4)});
    }
    // A member that is never reached makes the policies choose by tiers, as in
    // all services of more than 16 members.
    if (Members.size() > n)
      flow.Candidates.push_back({flow.Candidates[0].Member, 100});
  }

  void offer(NewFlow flow) {
    AgentLoads &agents = Balancers[flow.Balancer];
    const ServiceMember *chosen =
        Policy.choose(flow.Endpoints, flow.Candidates, {1}, agents, now());
    if (chosen == nullptr) {
      if (Time - flow.Arrived >= MaxDeferral) {
        ++Result.Refused;
        return;
      }
      schedule(Time + RetryInterval,
               [this, flow]() mutable { offer(std::move(flow)); });
      return;
    }
    ++Offers;
    agents.recordPlacement(chosen->Address, now());
    const std::uint32_t i = chosen->Id.Value - 1;
    schedule(Time + NetworkDelay,
             [this, flow, i]() mutable { onOffer(std::move(flow), i); });
  }

  UpstreamLoad loadOf(const Upstream &it) const {
    const auto busy = static_cast<std::uint16_t>(it.Busy * it.ReportedShare);
    UpstreamLoad load{busy, busy, static_cast<std::uint16_t>(Load.Slots)};
    if (Load.StatesServiceTime)
      load.ServiceTimeMs =
          static_cast<std::uint16_t>(std::lround(Load.ServiceTime / it.Speed));
    return load;
  }

  void onOffer(NewFlow flow, std::uint32_t i) {
    Upstream &it = Upstreams[i];
    const Endpoint agent = Members[i].Address;
    const std::uint32_t balancer = flow.Balancer;
    if (it.Silent) {
      schedule(flow.Arrived + AnswerTimeout, [this, flow, agent]() mutable {
        Balancers[flow.Balancer].recordTimeout(agent, now() + Duration(1000));
        offer(std::move(flow));
      });
      return;
    }
    const double serviceTime = Load.ServiceTime / it.Speed;
    const double limit =
        Load.Slots *
        (flow.Attempt == 0 ? 1 : std::min(4.0, 1 + 100 / serviceTime));
    if (it.Busy >= limit || it.Cold) {
      ++Result.Declined;
      ++flow.Attempt;
      schedule(Time + NetworkDelay,
               [this, flow, agent, load = loadOf(it)]() mutable {
                 AgentLoads &agents = Balancers[flow.Balancer];
                 agents.recordAnswer(agent, load, now());
                 agents.recordDecline(agent, now() + Duration(20));
                 offer(std::move(flow));
               });
      return;
    }
    ++it.Busy;
    ++it.Flows;
    ++Accepted;
    if (it.Running < Load.Slots)
      start(i, Time);
    else
      it.Waiting.push_back(Time);
    schedule(Time + NetworkDelay, [this, balancer, agent, load = loadOf(it)] {
      Balancers[balancer].recordAnswer(agent, load, now());
    });
  }

  void start(std::uint32_t i, double queued) {
    Wait += Time - queued;
    ++Upstreams[i].Running;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    schedule(Time + spread(Random) * Load.ServiceTime / Upstreams[i].Speed,
             [this, i] {
               Upstream &it = Upstreams[i];
               --it.Busy;
               --it.Running;
               if (it.Waiting.empty())
                 return;
               const double next = it.Waiting.front();
               it.Waiting.pop_front();
               start(i, next);
             });
  }

  PlacementLoad Load;
  const PlacementPolicy &Policy;
  std::vector<ServiceMember> Members;
  std::vector<Upstream> Upstreams;
  std::vector<AgentLoads> Balancers;
  std::priority_queue<Event> Events;
  std::mt19937_64 Random{1};
  std::uint64_t NextOrder = 0;
  std::uint64_t NextFlow = 0;
  double Time = 0;
  /// Requests per millisecond.
  double Capacity = 0;
  double Offers = 0;
  double Accepted = 0;
  double Wait = 0;
  PlacementResult Result;
};

} // namespace pistachio
