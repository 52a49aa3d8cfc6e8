/// A balancer searches for the holders of flows while an upstream is replaced
/// by one of another service at the same address.

#include "StandIns.h"

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

using namespace standins;

namespace {

constexpr const char *Queue = "sala-queue";
constexpr const char *Store = "letra-store";
constexpr std::uint16_t RoutePort = 8443;

/// Flows that stay open in one zone of callers, and the mean pause between two
/// requests of a flow: 150 requests a second in each zone.
constexpr int CallersPerZone = 30;
constexpr int FlowsPerCaller = 10;
constexpr Milliseconds Pause{2000};

/// The address of an upstream that is gone is used again after this long; not
/// before reuse_after_s, which is 2 s.
constexpr double ReuseAfterSeconds = 3.0;
/// Time from the loss of the upstreams to the stop of the second balancer.
constexpr double SecondStopSeconds = 1.9;

/// 2 of 10 upstreams: replace_with_reuse has a share of up to 0.25 in the days.
constexpr std::size_t LostUpstreams = 2;

struct Site {
  std::vector<Front> Fronts;
  std::vector<UpstreamSpec> Upstreams;
};

Site makeSite(const World &world) {
  Site site;
  for (int zone = 1; zone <= 3; ++zone) {
    const std::string name = "sul-br-" + std::string(1, "abc"[zone - 1]);
    for (int i = 1; i <= 2; ++i)
      site.Fronts.push_back({"front-" + name + "-" + std::to_string(i), name,
                             world.ip(zone, 10 + i), i == 1, true});
    const int queues = zone == 1 ? 3 : 2;
    for (int i = 1; i <= queues; ++i)
      site.Upstreams.push_back({"side-" + name + "-" + std::to_string(i), name,
                                Queue, world.ip(zone, 20 + i)});
    site.Upstreams.push_back(
        {"side-" + name + "-s", name, Store, world.ip(zone, 30)});
  }
  return site;
}

class Case {
public:
  Case(World &world, Record &record)
      : Platform(world), Events(record), Deployment(makeSite(world)) {}

  bool prepare();
  void rollAgents();
  /// Two upstreams of the queue in \p zone are lost with their machines, and
  /// their addresses are used by the other service, while the balancers of the
  /// zone are stopped and started in turn. Two upstreams of the queue are added
  /// afterwards.
  void replaceDuringRoll(const std::string &zone);
  void report() const;

private:
  std::vector<const Front *> frontsOf(const std::string &zone) const;
  std::vector<UpstreamSpec> queuesOf(const std::string &zone) const;
  void waitUntilInRotation(const Front &front, double seconds);

  World &Platform;
  Record &Events;
  Site Deployment;
};

bool Case::prepare() {
  for (const Front &it : Deployment.Fronts)
    Platform.addFront(it);
  Platform.run();
  if (!Platform.startFronts())
    return false;
  for (const UpstreamSpec &it : Deployment.Upstreams) {
    Platform.startAgent(it);
    Platform.startUpstream(it, Milliseconds(300));
  }
  Config config;
  config.Version = 3;
  config.Services = {Queue, Store};
  // As in the example of PROTOCOL.md: nine of ten new flows to one service, the
  // rest to the other.
  const Address route{Platform.ip(200, 1), RoutePort};
  config.Routes.push_back({route, {{Queue, 90}, {Store, 10}}, "safe", 1500});
  if (!Platform.apply(config, Milliseconds(10000)))
    return false;
  sleepFor(3);
  for (int zone = 1; zone <= 3; ++zone)
    for (int i = 1; i <= CallersPerZone; ++i) {
      Caller &caller =
          Platform.addCaller("sul-br-" + std::string(1, "abc"[zone - 1]),
                             Platform.ip(100 + zone, i));
      Platform.post(
          [&caller, route] { caller.keepFlows(route, FlowsPerCaller, Pause); });
    }
  sleepFor(6);
  report();
  return Platform.counters().Answered > 1000;
}

void Case::report() const {
  const Counters &it = Platform.counters();
  Events.write("requests answered " + std::to_string(it.Answered) +
               ", refused " + std::to_string(it.Refused) + ", given up " +
               std::to_string(it.GivenUp) + ", open flows reset " +
               std::to_string(it.ResetWhileOpen) + ", wrong answers " +
               std::to_string(it.WrongAnswers) +
               ", processes that ended by themselves " +
               std::to_string(Platform.processes().endedByThemselves()));
}

std::vector<const Front *> Case::frontsOf(const std::string &zone) const {
  std::vector<const Front *> all;
  for (const Front &it : Deployment.Fronts)
    if (it.Zone == zone)
      all.push_back(&it);
  return all;
}

std::vector<UpstreamSpec> Case::queuesOf(const std::string &zone) const {
  std::vector<UpstreamSpec> all;
  for (const UpstreamSpec &it : Deployment.Upstreams)
    if (it.Zone == zone && it.Service == Queue)
      all.push_back(it);
  return all;
}

void Case::waitUntilInRotation(const Front &front, double seconds) {
  for (double waited = 0; waited < seconds; waited += 0.05) {
    if (Platform.isInRotation(front.Name))
      return;
    sleepFor(0.05);
  }
}

/// Nodes beside upstreams are stopped and started in turn, one each second.
void Case::rollAgents() {
  for (const UpstreamSpec &it : Deployment.Upstreams) {
    Platform.processes().stop(Platform.agentName(it), Milliseconds(300));
    sleepFor(1);
  }
  sleepFor(2);
  report();
}

void Case::replaceDuringRoll(const std::string &zone) {
  const auto fronts = frontsOf(zone);
  auto queues = queuesOf(zone);
  queues.resize(LostUpstreams);
  Supervisor &programs = Platform.processes();
  programs.stop(Platform.balancerName(*fronts[0]), Milliseconds(300));
  sleepFor(2.5);
  waitUntilInRotation(*fronts[0], 3);
  // The flows of the first balancer return to it.
  sleepFor(0.8);
  for (const UpstreamSpec &it : queues) {
    Platform.crashUpstream(it.Machine);
    programs.kill(Platform.agentName(it));
  }
  sleepFor(SecondStopSeconds);
  programs.stop(Platform.balancerName(*fronts[1]), Milliseconds(300));
  sleepFor(ReuseAfterSeconds - SecondStopSeconds);
  const UpstreamSpec successor{queues[0].Machine + "-new", zone, Store,
                               queues[0].Ip};
  Events.write("address " + ipText(successor.Ip) +
               " is used by an upstream of " + Store);
  Platform.startAgent(successor);
  Platform.startUpstream(successor, Milliseconds(300));
  sleepFor(4);
  waitUntilInRotation(*fronts[1], 3);
  const UpstreamSpec second{queues[1].Machine + "-new", zone, Store,
                            queues[1].Ip};
  Platform.startAgent(second);
  Platform.startUpstream(second, Milliseconds(300));
  for (std::uint32_t i = 0; i < LostUpstreams; ++i) {
    const UpstreamSpec added{queues[i].Machine + "-added", zone, Queue,
                             queues[i].Ip + 20};
    Platform.startAgent(added);
    Platform.startUpstream(added, Milliseconds(300));
  }
  sleepFor(3);
  report();
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s REPOSITORY FOLDER RECORD\n", argv[0]);
    return CouldNotRun;
  }
  const char *variable = std::getenv("TROUBLE");
  const bool isTrouble = variable == nullptr || std::strcmp(variable, "0") != 0;
  Record record(argv[3]);
  World world(argv[1], argv[2], record);
  Case it(world, record);
  if (!it.prepare()) {
    record.write("the deployment did not come up");
    return CouldNotRun;
  }
  if (isTrouble) {
    it.rollAgents();
    it.replaceDuringRoll("sul-br-c");
    it.replaceDuringRoll("sul-br-b");
    it.replaceDuringRoll("sul-br-a");
  } else {
    sleepFor(45);
  }
  it.report();
  const int ended = world.processes().endedByThemselves();
  record.write(ended > 0 ? "RULE BROKEN: processes ended by themselves"
                         : "rule held: no process ended by itself");
  return ended > 0 ? RuleBroken : RuleHeld;
}
