// A zone is evacuated, taken back and evacuated again. The machine that gets
// the order to take it back is frozen at that moment, so the operator sends the
// order to the next machine, which acknowledges it. When the frozen machine
// wakes, it carries out the order that it has kept, and so ends the second
// evacuation, which was acknowledged and not taken back.

#include "../Harness.h"

#include <algorithm>
#include <csignal>
#include <optional>

using namespace review;

namespace {

constexpr Milliseconds EvacuateMs = 5000;
constexpr Milliseconds StabilityWindowMs = 4000;
constexpr Milliseconds FreezeMs = 7000;
/// A round breaks the rule unless the machine takes long to find the leader.
constexpr int Rounds = 3;
constexpr std::uint16_t RoutePort = 8443;

std::string configBody(const Deployment &site) {
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

std::size_t
openedInZone(const Callers &callers,
             const std::vector<std::unique_ptr<Upstream>> &upstreams,
             const Deployment &site, const std::string &zone,
             Milliseconds after) {
  std::size_t n = 0;
  for (const auto &it : upstreams) {
    if (site.Sides[it->Side].Zone != zone)
      continue;
    for (const Upstream::Opening &opening : it->Openings) {
      const auto sent = [&] {
        for (const Callers::Flow &flow : callers.Flows)
          if (flow.Caller == opening.Caller)
            return flow.SynAt;
        return Milliseconds{0};
      }();
      n += sent > after && opening.At > after ? 1 : 0;
    }
  }
  return n;
}

/// Takes zone-a out, back and out again; one machine is frozen from before the
/// second order until after the third. Returns how many flows reached a server
/// of the zone although the last evacuation should be in force.
std::optional<std::size_t>
evacuateTwice(World &world, Deployment &site, const Callers &callers,
              const std::vector<std::unique_ptr<Upstream>> &upstreams) {
  const std::string path = "/-/evacuation/zone-a";
  if (site.order("POST", path, "", 0, 5000) < 0)
    return std::nullopt;
  world.runFor(EvacuateMs + 1000);
  if (openedInZone(callers, upstreams, site, "zone-a", world.now() - 1000) >
      0) {
    world.record("the first evacuation is not in force");
    return std::nullopt;
  }
  world.record("the first evacuation is in force");

  const int leader = site.leader();
  if (leader < 0)
    return std::nullopt;
  const std::size_t frozen = (static_cast<std::size_t>(leader) + 1) % 3;
  const Machine &machine = site.Fronts[frozen];
  world.record("control leads at " +
               site.Fronts[static_cast<std::size_t>(leader)].Name);
  const Milliseconds frozenAt = world.now();
  if (withTrouble()) {
    world.record("freeze of " + machine.Name);
    site.signalAll(machine, SIGSTOP);
  }
  if (site.order("DELETE", path, "", frozen, 5000) < 0)
    return std::nullopt;
  world.runFor(3000);
  const Milliseconds evacuatedAt =
      site.order("POST", path, "", static_cast<std::size_t>(leader), 5000);
  if (evacuatedAt < 0)
    return std::nullopt;
  world.record("the second evacuation is acknowledged");
  world.runFor(std::max<Milliseconds>(0, frozenAt + FreezeMs - world.now()));
  const Milliseconds wokenAt = world.now();
  if (withTrouble()) {
    world.record(machine.Name + " wakes");
    site.signalAll(machine, SIGCONT);
  }
  const Milliseconds judgedFrom =
      std::max(evacuatedAt + EvacuateMs, wokenAt + StabilityWindowMs);
  world.runFor(judgedFrom + 6000 - world.now());
  const std::size_t broken =
      openedInZone(callers, upstreams, site, "zone-a", judgedFrom);
  world.record("EVAC: flows that reached a server in zone-a, sent more than " +
               std::to_string(judgedFrom - evacuatedAt) +
               " ms after the evacuation was acknowledged and before it was "
               "taken back: " +
               std::to_string(broken));
  if (site.order("DELETE", path, "", static_cast<std::size_t>(leader), 5000) <
      0)
    return std::nullopt;
  world.runFor(4000);
  return broken;
}

int run(const std::string &folder) {
  World world(folder + "/record.txt");
  const TemporaryFolder temporary;
  DeploymentOptions options;
  options.Folder = temporary.Path;
  Deployment site(world, options);
  site.startFronts();
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (const char *zone :
       {"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}) {
    const std::size_t side = site.startSide(zone, "sala");
    upstreams.push_back(std::make_unique<Upstream>(world, site, side, "sala"));
    upstreams.back()->start(0);
  }
  world.record(withTrouble() ? "with the freeze" : "without the freeze");
  if (site.order("PUT", "/-/config", configBody(site), 0, 20000) < 0)
    return CouldNotRun;
  Callers callers(world, site);
  world.every(40, [&] { callers.open(site.route(RoutePort), 0); });
  const auto servesZone = [&](const std::string &zone) {
    return openedInZone(callers, upstreams, site, zone, world.now() - 1000) > 0;
  };
  if (!world.runUntil(
          [&] {
            return servesZone("zone-a") && servesZone("zone-b") &&
                   servesZone("zone-c");
          },
          20000))
    return CouldNotRun;
  world.record("all zones serve");
  world.runFor(3000);

  std::size_t broken = 0;
  for (int round = 0; round < Rounds && broken == 0; ++round) {
    const std::optional<std::size_t> found =
        evacuateTwice(world, site, callers, upstreams);
    if (!found)
      return CouldNotRun;
    broken = *found;
  }
  std::size_t answered = 0;
  for (const Callers::Flow &it : callers.Flows)
    answered += it.Answers;
  world.record("flows opened: " + std::to_string(callers.Flows.size()) +
               ", requests answered: " + std::to_string(answered));
  return broken > 0 ? Broken : Held;
}

} // namespace

int main(int, char **argv) { return run(argv[1]); }
