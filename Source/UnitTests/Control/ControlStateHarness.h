#pragma once

#include "Control/Control.h"
#include "Control/NodeTable.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pistachio {

inline const std::string BaseRules =
    "datacentre ee-north-a # asked by Maarja\n"
    "datacentre ee-north-b # asked by Maarja\n"
    "service workshop-api address 10.20.0.1:443 slots 5 # asked by Maarja\n"
    "service intake-api address 10.20.0.2:443 slots 5 # asked by Maarja\n"
    "team valukoda services workshop-api # asked by Maarja\n";

inline Endpoint upstreamAddress(std::uint16_t machine) {
  return {0x7F000001, static_cast<std::uint16_t>(7000 + machine)};
}

inline ApplyRules makeApplyRules(std::string id, Revision expected,
                                 std::string rules,
                                 std::string team = "operators",
                                 std::uint64_t atMs = 0) {
  return {std::move(id), expected,         std::move(team),
          "Maarja",      std::move(rules), atMs};
}

inline UpstreamJoined
makeUpstreamJoined(std::uint16_t machine, std::uint64_t processIncarnation,
                   std::string service = "workshop-api",
                   std::string dataCentre = "ee-north-a") {
  return {std::move(service),
          std::move(dataCentre),
          "zone-1",
          "machine-1",
          upstreamAddress(machine),
          Incarnation{processIncarnation},
          5};
}

/// Applies commands to a control state at consecutive log indices and records
/// them.
class ControlStateHarness {
public:
  std::uint64_t commit(const LogCommand &command) {
    Log.push_back(command);
    State->apply(Log.size(), command);
    return Log.size();
  }
  /// The test fails with an exception if no result is stored.
  ApplyResult apply(const ApplyRules &command) {
    commit(command);
    return State->findResult(command.OperationId).value();
  }
  /// Replaces the rules, with the current revision as the expected one.
  ApplyResult apply(const std::string &rules) {
    return apply(makeApplyRules("op-" + std::to_string(Log.size()),
                                State->rulesRevision(), rules));
  }

  /// Returns the table of a node that has just started and received all
  /// updates.
  NodeTable makeUpToDateNode() const {
    NodeTable node;
    node.receiveAll(State->updatesSince(node.AppliedRevision));
    return node;
  }

  std::unique_ptr<ControlState> State = makeControlState();
  std::vector<LogCommand> Log;
};

/// Generates random commands, most of which are valid for the current state.
class RandomCommandSource {
public:
  explicit RandomCommandSource(std::uint64_t seed) : Random(seed) {}

  /// Three of ten equally likely cases add an upstream; each of the others
  /// gives one of the seven remaining commands.
  LogCommand next(const ControlState &state) {
    const auto machine = static_cast<std::uint16_t>(pick(12));
    switch (pick(10)) {
    case 8:
      return routing(state);
    case 9:
      return SetDataCentre{"dc-" + std::to_string(++Operation),
                           pick(2) ? "ee-north-a" : "ee-north-b",
                           static_cast<DataCentreChange>(pick(3)), "Tiina",
                           Operation * 1000};
    case 0:
      return rules(state);
    case 1:
    case 2:
    case 3:
      return makeUpstreamJoined(machine, ++ProcessIncarnation,
                                pick(2) ? "workshop-api" : "intake-api",
                                pick(2) ? "ee-north-a" : "ee-north-b");
    case 4:
      if (const auto it = state.findUpstream(upstreamAddress(machine)))
        return UpstreamLeft{it->Record.Id, it->Record.ProcessIncarnation};
      return UpstreamLeft{UpstreamId{99}, Incarnation{1}};
    case 5:
      return BalancerJoined{"balancer-" + std::to_string(pick(3)),
                            pick(2) ? "ee-north-a" : "ee-north-b",
                            upstreamAddress(machine)};
    case 6:
      return BalancerLeft{"balancer-" + std::to_string(pick(3))};
    default:
      if (const auto it = state.findUpstream(upstreamAddress(machine)))
        return UpstreamChanged{it->Record.Id, it->Record.ProcessIncarnation,
                               static_cast<UpstreamState>(pick(3))};
      return UpstreamChanged{};
    }
  }

  std::size_t pick(std::size_t n) { return Random() % n; }

private:
  /// Returns a routing command whose version is usually higher than the current
  /// one, and sometimes equal to it.
  LogCommand routing(const ControlState &state) {
    std::string lines;
    const bool hasBoth = pick(4) > 0;
    for (const char *name : {"workshop-api", "intake-api"})
      if (hasBoth || name[0] == 'w')
        lines += std::string("service ") + name + " slots 5 # asked by Tiina\n";
    for (std::size_t i = 0, n = pick(4); i < n; ++i)
      lines += "route r-" + std::to_string(i) +
               " address 10.30.0.1:" + std::to_string(500 + i) +
               " to workshop-api weight " + std::to_string(1 + pick(9)) +
               (hasBoth && pick(2) ? " and intake-api weight 1" : "") +
               " # asked by Tiina\n";
    const std::uint64_t version = state.routing().Version + pick(4);
    return ApplyRouting{"routing-" + std::to_string(++Operation), version,
                        lines, "document " + std::to_string(version),
                        Operation * 1000};
  }

  LogCommand rules(const ControlState &state) {
    std::string text = "datacentre ee-north-a # asked by Maarja\n";
    if (pick(4))
      text += "datacentre ee-north-b # asked by Maarja\n";
    if (pick(3) == 0)
      text += "out ee-north-a # asked by Maarja\n";
    for (const char *name : {"workshop-api", "intake-api"}) {
      if (pick(4))
        text += std::string("service ") + name + " address 10.20.0." +
                (name[0] == 'w' ? "1:" : "2:") + std::to_string(443 + pick(2)) +
                " slots 5 # asked by Maarja\n";
    }
    text += "drain upstream " + std::to_string(1 + pick(20)) +
            " # asked by Maarja\n";
    // Sometimes the operator has read an older revision of the rules.
    const Revision expected =
        pick(5) ? state.rulesRevision() : Revision{pick(4)};
    ++Operation;
    return makeApplyRules("random-" + std::to_string(Operation), expected, text,
                          "operators", Operation * 1000);
  }

  std::mt19937_64 Random;
  std::uint64_t ProcessIncarnation = 0;
  std::uint64_t Operation = 0;
};

} // namespace pistachio
