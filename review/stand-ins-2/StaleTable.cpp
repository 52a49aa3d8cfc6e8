/// The operator sends configurations in quick succession, each of which changes
/// the time-outs of all routes, and then one that drops a route.

#include "StandIns.h"

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

using namespace standins;

namespace {

constexpr const char *Queue = "sala-queue";
constexpr const char *Store = "letra-store";
constexpr std::uint16_t ServedPort = 8443;
constexpr std::uint16_t DroppedPort = 8080;
constexpr std::uint16_t IdlePort = 9000;

/// Routes without traffic: the 8 of the site and two times 390 more, which is
/// the largest count of big_config in its days.
constexpr int IdleRoutes = 8 + 2 * 390;
constexpr int RoutesPerAddress = 250;

/// config_storm: a change each 0.33 s for 4 s.
constexpr int StormChanges = 12;
constexpr Milliseconds StormGap{330};

/// config_apply_ms of the site.
constexpr Milliseconds ApplyLimit{3000};
/// Requests on the dropped route are sent for this long, one by each caller in
/// each interval.
constexpr Milliseconds ProbeTime{9000};
constexpr Milliseconds ProbeInterval{150};

class Case {
public:
  Case(World &world, Record &record) : Platform(world), Events(record) {}
  bool prepare();
  /// Returns whether the rule was broken, or nothing if the last configuration
  /// was not acknowledged.
  std::optional<bool> play(bool isTrouble);

private:
  struct Totals {
    int Ran = 0;
    int RanLate = 0;
  };
  Config configOf(std::uint64_t version, int timeoutMs, bool hasDropped) const;
  std::optional<TimePoint> change(bool hasDropped);
  void sendRequests(TimePoint ackedAt);
  void onAnswer(TimePoint sentAt, TimePoint ackedAt,
                const std::string &upstream);
  void writeTableAge() const;

  World &Platform;
  Record &Events;
  std::vector<Front> Fronts;
  std::vector<Caller *> Callers;
  Address Served;
  Address Dropped;
  std::uint64_t Version = 10;
  int TimeoutMs = 1000;
  Totals Requests;
};

Config Case::configOf(std::uint64_t version, int timeoutMs,
                      bool hasDropped) const {
  Config config;
  config.Version = version;
  config.Services = {Queue, Store};
  config.Routes.push_back({Served, {{Queue, 1}}, "safe", 1500});
  if (hasDropped)
    config.Routes.push_back({Dropped, {{Queue, 1}}, "safe", 1500});
  for (int i = 0; i < IdleRoutes; ++i)
    config.Routes.push_back(
        {{Platform.ip(201 + i / RoutesPerAddress, 1 + i % RoutesPerAddress),
          IdlePort},
         {{Store, 1}},
         "download",
         timeoutMs});
  return config;
}

bool Case::prepare() {
  std::vector<UpstreamSpec> upstreams;
  for (int zone = 1; zone <= 3; ++zone) {
    const std::string name = "sul-br-" + std::string(1, "abc"[zone - 1]);
    for (int i = 1; i <= 2; ++i)
      Fronts.push_back({"front-" + name + "-" + std::to_string(i), name,
                        Platform.ip(zone, 10 + i), i == 1, true});
    upstreams.push_back(
        {"side-" + name + "-1", name, Queue, Platform.ip(zone, 21)});
    upstreams.push_back(
        {"side-" + name + "-s", name, Store, Platform.ip(zone, 30)});
  }
  Served = {Platform.ip(200, 1), ServedPort};
  Dropped = {Platform.ip(200, 1), DroppedPort};
  for (const Front &it : Fronts)
    Platform.addFront(it);
  Platform.run();
  if (!Platform.startFronts())
    return false;
  for (const UpstreamSpec &it : upstreams) {
    Platform.startAgent(it);
    Platform.startUpstream(it, Milliseconds(300));
  }
  const Config first = configOf(Version, TimeoutMs, true);
  if (!Platform.apply(first, Milliseconds(10000)))
    return false;
  Events.write("config " + std::to_string(Version) + " with " +
               std::to_string(first.Routes.size()) + " routes, " +
               std::to_string(first.toJson().size()) +
               " bytes, is acknowledged");
  for (int zone = 1; zone <= 3; ++zone)
    Callers.push_back(
        &Platform.addCaller("sul-br-" + std::string(1, "abc"[zone - 1]),
                            Platform.ip(100 + zone, 1)));
  const Address route = Served;
  for (Caller *it : Callers)
    Platform.post(
        [it, route] { it->keepFlows(route, 10, Milliseconds(1000)); });
  // Longer than stability_window_ms.
  sleepFor(6);
  return Platform.counters().Answered > 50;
}

std::optional<TimePoint> Case::change(bool hasDropped) {
  const auto ackedAt = Platform.apply(
      configOf(++Version, ++TimeoutMs, hasDropped), Milliseconds(5000));
  Events.write("config " + std::to_string(Version) +
               (hasDropped ? "" : " without the dropped route") +
               (ackedAt ? " is acknowledged" : " has no acknowledgement"));
  return ackedAt;
}

void Case::onAnswer(TimePoint sentAt, TimePoint ackedAt,
                    const std::string &upstream) {
  const auto age = std::chrono::duration_cast<Milliseconds>(sentAt - ackedAt);
  ++Requests.Ran;
  if (age <= ApplyLimit)
    return;
  ++Requests.RanLate;
  Events.write("a request on the dropped route, sent " +
               std::to_string(age.count()) +
               " ms after the acknowledgement, was run by " + upstream);
}

/// For the reader of the record only: what the processes say of themselves.
void Case::writeTableAge() const {
  for (const Front &it : Fronts)
    for (const auto &[port, name] :
         {std::pair<std::uint16_t, std::string>{
              9464, "pistachio_balancer_table_behind_seconds "},
          {9465, "pistachio_control_node_queued_bytes "}}) {
      const HttpReply reply =
          callHttp({it.Ip, port}, "GET", "/metrics", "", Milliseconds(300));
      const auto at = reply.Body.find("\n" + name);
      if (at != std::string::npos)
        Events.write(
            it.Name + " " +
            reply.Body.substr(at + 1, reply.Body.find('\n', at + 1) - at - 1));
    }
}

/// Opens a flow to the dropped route for each request, from all zones.
void Case::sendRequests(TimePoint ackedAt) {
  bool isAgeWritten = false;
  for (TimePoint next = ackedAt; next - ackedAt < ProbeTime;
       next += ProbeInterval) {
    std::this_thread::sleep_until(next);
    for (Caller *it : Callers)
      Platform.post([this, it, ackedAt] {
        const TimePoint sentAt = Clock::now();
        it->requestOnce(Dropped, [this, sentAt, ackedAt](
                                     AttemptResult, const std::string &id) {
          if (!id.empty())
            onAnswer(sentAt, ackedAt, id);
        });
      });
    if (!isAgeWritten && next - ackedAt >= ApplyLimit) {
      isAgeWritten = true;
      writeTableAge();
    }
  }
  sleepFor(2);
}

std::optional<bool> Case::play(bool isTrouble) {
  for (int i = 0; isTrouble && i < StormChanges; ++i) {
    const TimePoint next = Clock::now() + StormGap;
    change(true);
    std::this_thread::sleep_until(next);
  }
  const auto ackedAt = change(false);
  if (!ackedAt)
    return std::nullopt;
  sendRequests(*ackedAt);
  Events.write(
      "requests on the dropped route that were run: " +
      std::to_string(Requests.Ran) + ", of these sent later than " +
      std::to_string(ApplyLimit.count()) +
      " ms after the acknowledgement: " + std::to_string(Requests.RanLate));
  return Requests.RanLate > 0;
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
  const std::optional<bool> isBroken = it.play(isTrouble);
  if (!isBroken) {
    record.write("the last configuration was not acknowledged");
    return CouldNotRun;
  }
  record.write(*isBroken ? "RULE BROKEN: CONFIG" : "rule held");
  return *isBroken ? RuleBroken : RuleHeld;
}
