// A server is added while an entry instance is stopped and started again, both
// as planned. The control instance that starts with it publishes the table that
// it knew before the stop, and the balancer beside it takes packets with that
// table. It does not know the new server, so it resets the flows that are open
// there.

#include "../Harness.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr std::uint16_t RoutePort = 8443;
constexpr Milliseconds GraceMs = 6000;
/// The processes of a machine start within 0.3 s of each other.
constexpr Milliseconds StartGapMs = 80;
constexpr int Rounds = 14;
constexpr int FlowsInRound = 30;

std::string configJson(const Deployment &site) {
  const Address route = site.route(RoutePort);
  return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" +
         ipText(route.Ip) + "\",\"path_prefix\":\"/" +
         std::to_string(route.Port) +
         "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":100,"
         "\"priority\":2,\"service\":\"sala\",\"max_attempts\":2}],"
         "\"services\":[{\"name\":\"sala\",\"health_path\":\"/health\","
         "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
         "\"cold_s\":2.0,\"cold_per_s\":0.0}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

int run(const std::string &folder) {
  World world(folder + "/record.txt");
  const TemporaryFolder temporary;
  DeploymentOptions options;
  options.Folder = temporary.Path;
  options.StartGapMs = StartGapMs;
  Deployment site(world, options);
  site.startFronts();
  std::vector<std::unique_ptr<Upstream>> servers;
  const auto addServer = [&](const std::string &zone) {
    const std::size_t side = site.startSide(zone, "sala");
    servers.push_back(std::make_unique<Upstream>(world, site, side, "sala"));
    servers.back()->start(0);
  };
  for (const std::string &zone : site.Options.Zones)
    addServer(zone);
  world.record(withTrouble() ? "a server is added during each stop"
                             : "no server is added");
  if (site.order("PUT", "/-/config", configJson(site), 0, 20000) < 0)
    return CouldNotRun;
  if (!world.runUntil(
          [&] {
            return std::ranges::all_of(site.Fronts, &Machine::InRotation);
          },
          10000))
    return CouldNotRun;
  world.runFor(5000);

  Callers callers(world, site);
  std::size_t resets = 0;
  for (int round = 0; round < Rounds && resets == 0; ++round) {
    // The first seed is the machine itself, so its balancer asks the control
    // instance beside it first.
    Machine &machine = site.Fronts[0];
    const std::vector<pid_t> stopped = machine.Processes;
    world.record("planned stop of " + machine.Name + ": SIGTERM");
    site.signalAll(machine, SIGTERM);
    if (!world.runUntil([&] { return !machine.InRotation; }, 2000))
      return CouldNotRun;
    if (withTrouble()) {
      addServer(site.Options.Zones[static_cast<std::size_t>(round) %
                                   site.Options.Zones.size()]);
      world.record("a server is added");
    }
    world.runFor(1000);
    const std::size_t firstFlow = callers.Flows.size();
    for (int i = 0; i < FlowsInRound; ++i) {
      callers.open(site.route(RoutePort), 100);
      world.runFor(25);
    }
    for (const pid_t it : stopped)
      world.awaitEnd(it, GraceMs);
    const std::size_t opened = static_cast<std::size_t>(std::ranges::count_if(
        callers.Flows.begin() + static_cast<std::ptrdiff_t>(firstFlow),
        callers.Flows.end(),
        [](const Callers::Flow &it) { return it.IsOpen && !it.IsOver; }));
    site.startFront(0);
    world.record(site.Fronts[0].Name +
                 " is started again; flows open: " + std::to_string(opened));
    world.runFor(3000);
    for (std::size_t i = firstFlow; i < callers.Flows.size(); ++i) {
      Callers::Flow &it = callers.Flows[i];
      if (it.WasResetBySystem && it.OpenedAt > 0) {
        ++resets;
        const auto server = std::ranges::find_if(servers, [&](const auto &s) {
          return std::ranges::any_of(s->Openings,
                                     [&](const Upstream::Opening &opening) {
                                       return opening.Caller == it.Caller;
                                     });
        });
        world.record(
            "flow " + toString(it.Caller) + ", open for " +
            std::to_string(it.ResetAt - it.OpenedAt) + " ms at the server on " +
            (server == servers.end() ? "?" : site.Sides[(*server)->Side].Name) +
            ", got a reset that its server did not send");
      }
      it.IsOver = true;
    }
  }
  const bool allAlive = std::ranges::all_of(
      servers, [](const auto &it) { return it->isRunning(); });
  world.record(std::string("servers alive: ") + (allAlive ? "all" : "not all"));
  world.record("FLOW: open flows reset by the system: " +
               std::to_string(resets));
  return resets > 0 ? Broken : Held;
}

} // namespace

int main(int, char **argv) { return run(argv[1]); }
