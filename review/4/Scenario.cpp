// A new config sends the route of open flows to another service and no longer
// lists the service that holds them. The flows stay where they are. Then one
// entry instance is stopped and started again, as planned work, and its flows
// go through the others, which reset them although their servers are alive.

#include "../Harness.h"

#include <csignal>

using namespace review;

namespace {

constexpr std::uint16_t RoutePort = 8443;
constexpr std::uint16_t OtherRoutePort = 8080;
constexpr Milliseconds ConfigApplyMs = 3000;
constexpr Milliseconds GraceMs = 6000;
constexpr std::size_t FlowCount = 24;

std::string routeJson(const Deployment &site, std::uint16_t port,
                      const std::string &service) {
  const Address route = site.route(port);
  return "{\"name\":\"r-" + std::to_string(port) + "\",\"host\":\"" +
         ipText(route.Ip) + "\",\"path_prefix\":\"/" + std::to_string(port) +
         "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":100,"
         "\"priority\":2,\"service\":\"" +
         service + "\",\"max_attempts\":2}";
}

std::string serviceJson(const std::string &name) {
  return "{\"name\":\"" + name +
         "\",\"health_path\":\"/health\",\"max_conns\":2000,"
         "\"protocol\":\"h1\",\"tls\":false,\"cold_s\":2.0,"
         "\"cold_per_s\":0.0}";
}

std::string configJson(int version, const std::string &routes,
                       const std::string &services) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

int run(const std::string &folder) {
  World world(folder + "/record.txt");
  const TemporaryFolder temporary;
  DeploymentOptions options;
  options.Folder = temporary.Path;
  Deployment site(world, options);
  site.startFronts();
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (const char *service : {"sala", "letra"})
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
      const std::size_t side = site.startSide(zone, service);
      upstreams.push_back(
          std::make_unique<Upstream>(world, site, side, service));
      upstreams.back()->start(0);
    }
  world.record(withTrouble()
                   ? "version 8 moves the route and drops the service"
                   : "version 8 moves the route and still lists the service");
  const std::string first =
      configJson(7,
                 routeJson(site, RoutePort, "sala") + "," +
                     routeJson(site, OtherRoutePort, "letra"),
                 serviceJson("sala") + "," + serviceJson("letra"));
  const std::string second = configJson(
      8,
      routeJson(site, RoutePort, "letra") + "," +
          routeJson(site, OtherRoutePort, "letra"),
      (withTrouble() ? "" : serviceJson("sala") + ",") + serviceJson("letra"));
  if (site.order("PUT", "/-/config", first, 0, 20000) < 0)
    return CouldNotRun;
  const auto inRotation = [&] {
    std::size_t n = 0;
    for (const Machine &it : site.Fronts)
      n += it.InRotation ? 1 : 0;
    return n;
  };
  if (!world.runUntil([&] { return inRotation() == site.Fronts.size(); },
                      10000))
    return CouldNotRun;
  world.runFor(3000);

  Callers callers(world, site);
  for (std::size_t i = 0; i < FlowCount; ++i) {
    callers.open(site.route(RoutePort), 500);
    world.runFor(50);
  }
  world.runFor(3000);
  const auto count = [&](auto condition) {
    std::size_t n = 0;
    for (const Callers::Flow &it : callers.Flows)
      n += condition(it) ? 1 : 0;
    return n;
  };
  const std::size_t opened =
      count([](const Callers::Flow &it) { return it.IsOpen && !it.IsOver; });
  world.record("open flows at servers of sala: " + std::to_string(opened));
  if (opened < FlowCount)
    return CouldNotRun;

  if (site.order("PUT", "/-/config", second, 0, 5000) < 0)
    return CouldNotRun;
  world.record("version 8 is acknowledged");
  world.runFor(ConfigApplyMs + 2000);
  world.record(
      "flows that are still open: " +
      std::to_string(count([](const auto &it) { return !it.IsOver; })));

  // The entry instance that carries most flows is stopped, so that flows move.
  Machine *stopped = nullptr;
  std::size_t most = 0;
  for (Machine &it : site.Fronts) {
    const std::size_t n = count([&](const Callers::Flow &flow) {
      return site.routerChoice(flow.Caller) == &it;
    });
    if (stopped == nullptr || n > most) {
      stopped = &it;
      most = n;
    }
  }
  world.record("planned stop of " + stopped->Name + ", which carries " +
               std::to_string(most) + " of the flows: SIGTERM");
  const auto number = static_cast<std::size_t>(stopped - site.Fronts.data());
  for (const pid_t it : stopped->Processes)
    World::signal(it, SIGTERM);
  for (const pid_t it : stopped->Processes)
    world.awaitEnd(it, GraceMs);
  world.runFor(500);
  site.startFront(number);
  world.record(stopped->Name + " is started again");
  world.runFor(8000);

  std::size_t alive = 0;
  for (const auto &it : upstreams)
    alive += it->isRunning() ? 1 : 0;
  const std::size_t resets =
      count([](const Callers::Flow &it) { return it.WasResetBySystem; });
  for (const Callers::Flow &it : callers.Flows)
    if (it.WasResetBySystem)
      world.record("flow " + toString(it.Caller) + ", open for " +
                   std::to_string(it.ResetAt - it.OpenedAt) +
                   " ms, got a reset that its server did not send");
  world.record("servers alive: " + std::to_string(alive) + " of " +
               std::to_string(upstreams.size()));
  world.record("FLOW: open flows reset by the system: " +
               std::to_string(resets) + " of " + std::to_string(FlowCount));
  return resets > 0 ? Broken : Held;
}

} // namespace

int main(int, char **argv) { return run(argv[1]); }
