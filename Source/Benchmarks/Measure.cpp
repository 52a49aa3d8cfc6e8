#include "Placement/SimulatedSite.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

using namespace pistachio;

namespace {

constexpr Duration Second{1000};
/// Time after which no member counts as new.
constexpr Duration SettlingTime{45 * Second};
/// Callers send a keep-alive every 5 s and give a flow up after three of them
/// without an answer.
constexpr Duration KeepAlive{5 * Second};
constexpr Duration FlowSilenceLimit{16 * Second};
/// Share of the open flows that are closed, and of the initial number of flows
/// that are opened, each second.
constexpr unsigned ChurnPermillePerSecond = 10;
constexpr std::uint32_t ServiceCount = 2;

/// Number of threads. It leaves processors free for other users of the machine.
constexpr int WorkerThreads = 3;

/// Goals of docs/design.md, section 1.1.
constexpr double MaxSteadyImbalance = 1.10;
constexpr double MaxImbalanceAfterReturn = 1.25;
constexpr double MinOpenedShare = 0.999;
constexpr double MaxLastPacketMs = 3000;
constexpr double MaxSteadySecondHopShare = 0.01;

struct Deployment {
  const char *Name;
  std::uint16_t Upstreams[ServiceCount];
  NetworkConditions Net;
};

const Deployment Deployments[] = {
    {"Valukoda", {7, 3}, {"Valukoda", 0, 0, 1, 3}},
    {"Sala Sonora", {7, 3}, {"Sala Sonora", 0, 0, 1, 1}},
};

/// A simulated site on which flows are opened and closed at a constant rate.
/// Flows that were reset are opened again.
class Workload {
public:
  Workload(const Deployment &deployment, SiteOptions options, int flows,
           std::uint64_t seed, std::span<const Duration> lags)
      : Simulation(options, seed) {
    for (const Duration lag : lags)
      Simulation.addBalancer(lag);
    for (std::uint32_t service = 1; service <= ServiceCount; ++service) {
      const std::uint16_t count = deployment.Upstreams[service - 1];
      for (std::uint16_t n = 0; n < count; ++n)
        Agents[service - 1].push_back(
            Simulation.join(service, static_cast<std::uint16_t>(1 + (n % 3))));
      Flows[service - 1] = flows * count;
    }
    Simulation.run(SettlingTime);
    for (std::uint32_t service = 1; service <= ServiceCount; ++service)
      Simulation.openFlows(service, Flows[service - 1]);
    Simulation.run(5 * Second);
  }

  SimulatedSite &site() { return Simulation; }
  /// Returns the first upstream of the service.
  std::size_t agent(std::uint32_t service) const {
    return Agents[service - 1].front();
  }

  void run(int seconds) {
    for (int n = 0; n < seconds; ++n) {
      for (std::uint32_t service = 1; service <= ServiceCount; ++service) {
        const int reset =
            Simulation.flowStatistics(service, FlowSilenceLimit).Reset;
        const int reopened = reset - SeenResets[service - 1];
        SeenResets[service - 1] = reset;
        Simulation.closeFlows(service, ChurnPermillePerSecond);
        Simulation.openFlows(
            service,
            reopened + (Flows[service - 1] *
                        static_cast<int>(ChurnPermillePerSecond) / 1000));
      }
      Simulation.run(Second);
    }
  }

private:
  SimulatedSite Simulation;
  std::vector<std::size_t> Agents[ServiceCount];
  int Flows[ServiceCount] = {};
  int SeenResets[ServiceCount] = {};
};

void setFirstDraining(Workload &it, bool isDraining) {
  for (std::uint32_t service = 1; service <= ServiceCount; ++service)
    it.site().drain(it.agent(service), isDraining);
}

void joinOnePerService(Workload &it) {
  for (std::uint32_t service = 1; service <= ServiceCount; ++service)
    it.site().join(service, 1);
}

/// Sequence of changes during which flows, balance and hops are measured.
struct Scenario {
  const char *Name;
  /// Runs before the measured part of the scenario.
  void (*Prepare)(Workload &);
  void (*Run)(Workload &);
  std::array<Duration, 3> TableLags;
  /// The goals of docs/design.md, section 1.1, that apply to this scenario. The
  /// goal for broken flows always applies.
  double MaxImbalance;
  bool HasRemoval;
  bool IsSteady;
};

constexpr std::array<Duration, 3> DefaultTableLags{Duration(0), Duration(100),
                                                   Duration(200)};
constexpr std::array<Duration, 3> LargeTableLags{Duration(0), Duration(700),
                                                 Duration(2500)};
constexpr int MinuteSeconds = 60;

void noPreparation(Workload &) {}

const Scenario Scenarios[] = {
    {"calm", noPreparation, [](Workload &it) { it.run(MinuteSeconds); },
     DefaultTableLags, MaxSteadyImbalance, false, true},
    {"drain", noPreparation,
     [](Workload &it) {
       setFirstDraining(it, true);
       it.run(MinuteSeconds);
     },
     DefaultTableLags, MaxSteadyImbalance, false, false},
    {"undrain",
     [](Workload &it) {
       setFirstDraining(it, true);
       it.run(MinuteSeconds);
     },
     [](Workload &it) {
       setFirstDraining(it, false);
       it.run(MinuteSeconds);
     },
     DefaultTableLags, MaxImbalanceAfterReturn, false, false},
    {"join", noPreparation,
     [](Workload &it) {
       joinOnePerService(it);
       it.run(MinuteSeconds);
     },
     DefaultTableLags, MaxSteadyImbalance, false, false},
    {"balancer loss", noPreparation,
     [](Workload &it) {
       it.site().killBalancer(1);
       it.run(MinuteSeconds);
     },
     DefaultTableLags, MaxSteadyImbalance, false, false},
    {"versions apart", noPreparation,
     [](Workload &it) {
       joinOnePerService(it);
       it.run(1);
       setFirstDraining(it, true);
       it.run(1);
       setFirstDraining(it, false);
       it.run(1);
       joinOnePerService(it);
       it.run(MinuteSeconds);
     },
     LargeTableLags, MaxSteadyImbalance, false, false},
    // One balancer loses its connection to the control instance when the data
    // centre is taken out.
    {"data centre out", noPreparation,
     [](Workload &it) {
       it.site().setBalancerPartitioned(2, true, false);
       it.site().setDataCentreOut(1, true);
       it.run(10);
       it.site().setBalancerPartitioned(2, false, true);
       it.run(20);
       it.site().setDataCentreOut(1, false);
       it.run(MinuteSeconds);
     },
     DefaultTableLags, MaxImbalanceAfterReturn, true, false},
};

/// Variant of the routing that a scenario is measured with.
struct Mode {
  const char *Name;
  bool HasRanking;
  bool UsesToken;
};

const Mode Modes[] = {{"token", true, true},
                      {"no token", true, false},
                      {"baseline", false, false}};

struct Result {
  std::string Site;
  std::string Scenario;
  std::string Mode;
  /// Flows that were reset or got no answer.
  int Broken = 0;
  /// Flows of agents whose data centre was taken out while they were open.
  int HadToBreak = 0;
  /// Broken flows that did not have to break.
  int BrokenInVain = 0;
  /// Ratio of the flows of the busiest upstream to the mean.
  double Imbalance = 0;
  /// Share of the requested flows that were opened.
  double Opened = 0;
  /// Negative if the scenario removes no data centre.
  double LastPacketToRemovedMs = -1;
  double HopsPerPacket = 0;
  /// Share of the packets that took a second hop between agents.
  double SecondHops = 0;
  std::string Goals;
};

void evaluateGoals(const Scenario &scenario, Result &it) {
  std::string missed;
  const auto check = [&missed](bool isMet, const char *name) {
    if (!isMet)
      missed += std::string(missed.empty() ? "" : ",") + name;
  };
  check(it.BrokenInVain == 0, "broken");
  check(it.Imbalance <= scenario.MaxImbalance, "balance");
  check(!scenario.HasRemoval || it.Opened >= MinOpenedShare, "opened");
  check(!scenario.HasRemoval || it.LastPacketToRemovedMs <= MaxLastPacketMs,
        "last");
  check(!scenario.IsSteady || it.SecondHops < MaxSteadySecondHopShare,
        "second");
  it.Goals = missed.empty() ? "met" : "missed:" + missed;
}

Result measure(const Deployment &deployment, const Scenario &scenario,
               const Mode &mode, int flows, std::uint64_t seed) {
  SiteOptions options;
  options.Net = deployment.Net;
  options.UsesToken = mode.UsesToken;
  options.HasRanking = mode.HasRanking;
  options.KeepAliveInterval = KeepAlive;
  Workload work(deployment, options, flows, seed, scenario.TableLags);
  scenario.Prepare(work);
  SimulatedSite &site = work.site();
  // Flows that are still being opened must not count as opened during the
  // scenario.
  site.run(3 * Second);
  site.clearTraffic();
  SiteFlows before;
  SiteFlows after;
  const auto add = [&site](SiteFlows &sum) {
    for (std::uint32_t service = 1; service <= ServiceCount; ++service) {
      const SiteFlows it = site.flowStatistics(service, FlowSilenceLimit);
      sum.Attempted += it.Attempted;
      sum.Opened += it.Opened;
      sum.Broken += it.Broken;
      sum.InRemovedDataCentre += it.InRemovedDataCentre;
      sum.AvoidablyBroken += it.AvoidablyBroken;
    }
  };
  add(before);
  scenario.Run(work);
  Result out;
  out.Site = deployment.Name;
  out.Scenario = scenario.Name;
  out.Mode = mode.Name;
  for (std::uint32_t service = 1; service <= ServiceCount; ++service)
    out.Imbalance = std::max(out.Imbalance, site.maxToMeanFlowRatio(service));
  const SiteTraffic traffic = site.traffic();
  // Waits until outstanding first packets are answered and flows without
  // answers are detected.
  site.run(FlowSilenceLimit + KeepAlive);
  add(after);
  out.Broken = after.Broken - before.Broken;
  out.HadToBreak = after.InRemovedDataCentre - before.InRemovedDataCentre;
  out.BrokenInVain = after.AvoidablyBroken - before.AvoidablyBroken;
  out.Opened = static_cast<double>(after.Opened - before.Opened) /
               (after.Attempted - before.Attempted);
  if (scenario.HasRemoval)
    out.LastPacketToRemovedMs =
        static_cast<double>(traffic.LastArrivalAfterRemoval.count());
  const auto packets = static_cast<double>(traffic.ForwardedPackets);
  out.HopsPerPacket = static_cast<double>(traffic.AgentArrivals) / packets;
  out.SecondHops = static_cast<double>(traffic.SecondHops) / packets;
  evaluateGoals(scenario, out);
  return out;
}

/// Measures every scenario of every deployment in every mode. Each run has its
/// own site and random numbers, so the results do not depend on the number of
/// threads.
std::vector<Result> measureAll(int flows, std::uint64_t seed) {
  constexpr std::size_t Runs =
      std::size(Deployments) * std::size(Scenarios) * std::size(Modes);
  std::vector<Result> out(Runs);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t n = next++; n < Runs; n = next++) {
      const std::size_t pair = n / std::size(Modes);
      out[n] = measure(Deployments[pair / std::size(Scenarios)],
                       Scenarios[pair % std::size(Scenarios)],
                       Modes[n % std::size(Modes)], flows, seed);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(WorkerThreads);
  for (int n = 0; n < WorkerThreads; ++n)
    workers.emplace_back(work);
  for (std::thread &it : workers)
    it.join();
  return out;
}

std::string formatFixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

using Row = std::vector<std::string>;

const Row Heading{"site",    "scenario", "mode",     "broken",
                  "had to",  "in vain",  "balance",  "opened %",
                  "last ms", "hops",     "second %", "goals"};

Row toRow(const Result &it) {
  return {it.Site,
          it.Scenario,
          it.Mode,
          std::to_string(it.Broken),
          std::to_string(it.HadToBreak),
          std::to_string(it.BrokenInVain),
          formatFixed(it.Imbalance, 3),
          formatFixed(it.Opened * 100, 2),
          it.LastPacketToRemovedMs < 0
              ? "-"
              : formatFixed(it.LastPacketToRemovedMs, 0),
          formatFixed(it.HopsPerPacket, 4),
          formatFixed(it.SecondHops * 100, 3),
          it.Goals};
}

void printTable(const std::vector<Row> &rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const Row &it : rows) {
    for (std::size_t n = 0; n < it.size(); ++n)
      widths[n] = std::max(widths[n], it[n].size());
  }
  for (const Row &it : rows) {
    for (std::size_t n = 0; n < it.size(); ++n)
      std::cout << std::left << std::setw(static_cast<int>(widths[n]) + 2)
                << it[n];
    std::cout << "\n";
  }
}

boost::json::object resultToJson(const Result &it) {
  return {{"site", it.Site},
          {"scenario", it.Scenario},
          {"mode", it.Mode},
          {"broken", it.Broken},
          {"hadToBreak", it.HadToBreak},
          {"brokenInVain", it.BrokenInVain},
          {"busiestToMean", it.Imbalance},
          {"opened", it.Opened},
          {"lastPacketMs", it.LastPacketToRemovedMs},
          {"hopsPerPacket", it.HopsPerPacket},
          {"secondHops", it.SecondHops},
          {"goals", it.Goals}};
}

Result resultFromJson(const boost::json::object &it) {
  const auto text = [&it](const char *name) {
    return std::string(it.at(name).as_string());
  };
  const auto number = [&it](const char *name) {
    return it.at(name).to_number<double>();
  };
  return {text("site"),
          text("scenario"),
          text("mode"),
          static_cast<int>(number("broken")),
          static_cast<int>(number("hadToBreak")),
          static_cast<int>(number("brokenInVain")),
          number("busiestToMean"),
          number("opened"),
          number("lastPacketMs"),
          number("hopsPerPacket"),
          number("secondHops"),
          text("goals")};
}

struct Run {
  std::string Commit;
  std::uint64_t Seed = 0;
  int FlowsPerUpstream = 0;
  std::vector<Result> Results;
};

bool save(const Run &run, const std::string &file) {
  boost::json::array results;
  for (const Result &it : run.Results)
    results.push_back(resultToJson(it));
  const boost::json::object all{{"commit", run.Commit},
                                {"seed", run.Seed},
                                {"flowsPerUpstream", run.FlowsPerUpstream},
                                {"results", results}};
  std::ofstream out(file);
  out << boost::json::serialize(all) << "\n";
  return out.good();
}

/// Reads a run from a file. Throws std::exception if save() did not write the
/// file.
Run load(const std::string &file) {
  std::ifstream in(file);
  if (!in)
    throw std::runtime_error("cannot read " + file);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const boost::json::value parsed = boost::json::parse(text);
  const boost::json::object &all = parsed.as_object();
  Run out{std::string(all.at("commit").as_string()),
          all.at("seed").to_number<std::uint64_t>(),
          all.at("flowsPerUpstream").to_number<int>(),
          {}};
  for (const boost::json::value &it : all.at("results").as_array())
    out.Results.push_back(resultFromJson(it.as_object()));
  return out;
}

void printRunHeader(const char *title, const Run &it) {
  std::cout << title << ": commit " << it.Commit << ", seed " << it.Seed << ", "
            << it.FlowsPerUpstream << " flows per upstream\n";
}

/// Prints each value as OLD > NEW, or once if both are equal.
void printComparison(const Run &previousRun, const Run &currentRun) {
  std::vector<Row> rows{Heading};
  for (const Result &it : currentRun.Results) {
    const auto former =
        std::ranges::find_if(previousRun.Results, [&it](const Result &n) {
          return n.Site == it.Site && n.Scenario == it.Scenario &&
                 n.Mode == it.Mode;
        });
    Row row = toRow(it);
    const Row before = former == previousRun.Results.end()
                           ? Row(row.size(), "none")
                           : toRow(*former);
    for (std::size_t n = 3; n < row.size(); ++n) {
      if (before[n] != row[n])
        row[n].insert(0, before[n] + " > ");
    }
    rows.push_back(std::move(row));
  }
  printRunHeader("old", previousRun);
  printRunHeader("new", currentRun);
  printTable(rows);
}

} // namespace

int main(int argc, char **argv) {
  TCLAP::CmdLine line(
      "Measures broken flows, balance and hops of the placement and "
      "routing "
      "libraries during planned and unplanned changes.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> json("", "json", "writes the results to FILE",
                                    false, "", "FILE", line);
  TCLAP::ValueArg<std::string> compare(
      "", "compare", "prints the results of FILE next to those of this run",
      false, "", "FILE", line);
  TCLAP::ValueArg<std::string> commit("", "commit",
                                      "commit that the results belong to",
                                      false, "unknown", "ID", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random numbers",
                                      false, 1, "N", line);
  TCLAP::ValueArg<int> flows("", "flows", "flows per upstream", false, 2000,
                             "N", line);
  line.parse(argc, argv);
  try {
    Run previousRun;
    // The file is read before the measurement, so that an invalid file is
    // reported immediately.
    if (compare.isSet())
      previousRun = load(compare.getValue());
    Run currentRun{commit.getValue(), seed.getValue(), flows.getValue(), {}};
    const auto start = std::chrono::steady_clock::now();
    currentRun.Results = measureAll(flows.getValue(), seed.getValue());
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - start;
    if (compare.isSet()) {
      printComparison(previousRun, currentRun);
    } else {
      std::vector<Row> rows{Heading};
      for (const Result &it : currentRun.Results)
        rows.push_back(toRow(it));
      printRunHeader("run", currentRun);
      printTable(rows);
    }
    std::cout
        << "goals: no flow broken without need (in vain); ratio of the busiest "
           "upstream to the mean (balance) at most "
        << MaxSteadyImbalance << ", at most " << MaxImbalanceAfterReturn
        << " one minute after a return to service; with a removal, opened at "
           "least "
        << MinOpenedShare * 100
        << " % of the flows and last packet to the removed data centre "
           "within "
        << MaxLastPacketMs << " ms; calm: second hops below "
        << MaxSteadySecondHopShare * 100 << " % of the packets\n"
        << "took " << formatFixed(took.count(), 1) << " s\n";
    if (json.isSet() && !save(currentRun, json.getValue())) {
      std::cerr << "cannot write " << json.getValue() << "\n";
      return 3;
    }
  } catch (const std::exception &it) {
    std::cerr << it.what() << "\n";
    return 2;
  }
  return 0;
}
