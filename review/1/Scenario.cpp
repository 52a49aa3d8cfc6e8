// A machine of the core is to be replaced, the new one first. The new machine
// is lost for good just after it has joined, before it has become a voter, and
// a further one takes its place. The group keeps the lost one as a learner for
// ever, and with it in the list no later machine becomes a voter. The old
// machine is then taken away as planned. When one more machine is lost, which
// the deployment has to bear, the group has no majority and never gets one.

#include "../Harness.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>

using namespace review;

namespace {

constexpr std::uint16_t RoutePort = 8443;
/// Longer than catch_up_s, during which a new machine counts as lost.
constexpr Milliseconds CatchUpMs = 12000;
/// Time between the loss of a machine and the start of its successor.
constexpr Milliseconds ReplaceMs = 2000;
constexpr Milliseconds ReadBackMs = 15000;
constexpr Milliseconds GraceMs = 6000;
/// Longer than the time after which a lost voter is removed from a group of
/// four.
constexpr Milliseconds VoterRemovalMs = 6000;

std::string configBody(const Deployment &site, int version) {
  const Address route = site.route(RoutePort);
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + ipText(route.Ip) +
         "\",\"path_prefix\":\"/" + std::to_string(route.Port) +
         "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":100,"
         "\"priority\":2,\"service\":\"sala\",\"max_attempts\":2}],"
         "\"services\":[{\"name\":\"sala\",\"health_path\":\"/health\","
         "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
         "\"cold_s\":2.0,\"cold_per_s\":0.0}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// Returns how often the control instance has logged a change of the members.
std::size_t memberChanges(const std::string &path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  std::size_t n = 0;
  for (std::size_t at = 0;
       (at = text.find("members_changed", at)) != std::string::npos; ++at)
    ++n;
  return n;
}

int run(const std::string &folder) {
  World world(folder + "/record.txt");
  const TemporaryFolder temporary;
  DeploymentOptions options;
  options.Folder = temporary.Path;
  Deployment site(world, options);
  site.startFronts();
  world.record(withTrouble() ? "with the machine that fails"
                             : "without the machine that fails");
  const int version = 7;
  if (site.order("PUT", "/-/config", configBody(site, version), 0, 20000) < 0)
    return CouldNotRun;
  world.runFor(8000);
  const int leaderNumber = site.leader();
  if (leaderNumber < 0)
    return CouldNotRun;
  const auto leader = static_cast<std::size_t>(leaderNumber);
  const std::string log = site.controlLog(leader);
  world.record("control leads at " + site.Fronts[leader].Name);

  // The planned replacement: the new machine comes first.
  const std::size_t before = memberChanges(log);
  std::size_t added = site.addFront(site.Fronts[(leader + 1) % 3].Zone);
  site.startFront(added);
  world.record(site.Fronts[added].Name + " is added, empty");
  if (!world.runUntil([&] { return memberChanges(log) > before; }, 5000))
    return CouldNotRun;
  if (withTrouble()) {
    site.removeFront(added);
    world.record(site.Fronts[added].Name + " is lost for good");
    world.runFor(ReplaceMs);
    added = site.addFront(site.Fronts[added].Zone);
    const std::size_t changes = memberChanges(log);
    site.startFront(added);
    world.record(site.Fronts[added].Name + " is added in its place, empty");
    world.runFor(VoterRemovalMs);
    // If the lost machine had become a voter already, the group has removed it
    // after a while, and the new one is a voter.
    if (changes > before + 1 || memberChanges(log) > changes + 1) {
      world.record("the lost machine had become a voter already");
      return CouldNotRun;
    }
  }
  world.runFor(CatchUpMs);

  const std::size_t old = (leader + 1) % 3;
  world.record(site.Fronts[old].Name + " is taken away as planned: SIGTERM");
  const std::vector<pid_t> stopped = site.Fronts[old].Processes;
  site.signalAll(site.Fronts[old], SIGTERM);
  for (const pid_t it : stopped)
    world.awaitEnd(it, GraceMs);
  site.Fronts[old].IsGone = true;
  world.runFor(CatchUpMs);

  const std::size_t lost = (leader + 2) % 3;
  world.record(site.Fronts[lost].Name + " is lost for good");
  site.removeFront(lost);
  world.runFor(ReplaceMs);
  added = site.addFront(site.Fronts[lost].Zone);
  site.startFront(added);
  world.record(site.Fronts[added].Name + " is added in its place, empty");
  world.runFor(CatchUpMs);

  world.record("the operator reads the config back for " +
               std::to_string(ReadBackMs) + " ms");
  bool isRead = false;
  std::map<int, int> statuses;
  const Milliseconds end = world.now() + ReadBackMs;
  for (std::size_t i = 0; world.now() < end && !isRead; ++i) {
    const Machine &it = site.Fronts[i % site.Fronts.size()];
    if (it.IsGone)
      continue;
    int result = -1;
    world.http(site.control(it), "GET", "/-/config", "", 1000,
               [&](int status, const std::string &body) {
                 result = status;
                 isRead = status == 200 && body == configBody(site, version);
               });
    world.runUntil([&] { return result >= 0; }, 2000);
    ++statuses[result];
    world.runFor(200);
  }
  for (const auto &[status, n] : statuses)
    world.record("reads with status " + std::to_string(status) + ": " +
                 std::to_string(n));
  world.record(std::string("CONFIG: the acknowledged config ") +
               (isRead ? "is read back" : "does not come"));
  if (!isRead)
    site.order("PUT", "/-/config", configBody(site, version + 1), 0, 6000);
  return isRead ? Held : Broken;
}

} // namespace

int main(int, char **argv) { return run(argv[1]); }
