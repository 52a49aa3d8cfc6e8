#pragma once

#include "ControlScript.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// Announcements of one incarnation at machine 1, once a second.
struct Renewals {
  int FromMs;
  int ToMs;
  std::uint64_t ProcessIncarnation = 1;
  bool Draining = false;
  bool Leaving = false;
};

/// What a node must hold for machine 1; no state means that the upstream must
/// be unknown to it.
struct Expectation {
  int AtMs;
  std::optional<UpstreamState> State;
  std::uint64_t ProcessIncarnation = 1;
};

struct Timeline {
  const char *Name;
  const char *Guards;
  std::vector<Renewals> Announced;
  std::vector<Expectation> Expected;
  std::vector<int> LeaderChangesAtMs = {};
  int CommitDelayMs = 40;
  std::size_t MaxCommands = 8;
};

/// Runs a timeline and returns how what the node holds differs from what is
/// expected.
inline std::vector<std::string> runTimeline(const Timeline &row,
                                            AnnouncementOptions options) {
  constexpr int StepMs = 20;
  constexpr int EndMs = 25000;
  ControlScript script;
  script.apply(BaseRules);
  const std::size_t rulesCommands = script.Log.size();
  std::unique_ptr<AnnouncementTracker> tracker =
      makeAnnouncementTracker(options);
  tracker->onLeadershipGained(*script.State, TimePoint{});
  std::deque<std::pair<int, LogCommand>> onTheWay;
  std::vector<std::string> violations;
  NodeTable node;

  for (int at = 0; at <= EndMs; at += StepMs) {
    const TimePoint now{Duration(at)};
    std::vector<LogCommand> proposals;
    for (const int it : row.LeaderChangesAtMs) {
      if (it != at)
        continue;
      tracker = makeAnnouncementTracker(options);
      tracker->onLeadershipGained(*script.State, now);
    }
    for (const Renewals &it : row.Announced) {
      if (at < it.FromMs || at > it.ToMs || (at - it.FromMs) % 1000 != 0)
        continue;
      const Announce announce{"workshop-api",
                              "ee-north-a",
                              "zone-1",
                              "machine-1",
                              addressOf(1),
                              Incarnation{it.ProcessIncarnation},
                              5,
                              17,
                              it.Draining,
                              it.Leaving};
      tracker->onAnnounce(announce, *script.State, now, proposals);
    }
    tracker->tick(*script.State, now, proposals);
    for (LogCommand &it : proposals)
      onTheWay.emplace_back(at + row.CommitDelayMs, std::move(it));
    for (; !onTheWay.empty() && onTheWay.front().first <= at;
         onTheWay.pop_front())
      script.commit(onTheWay.front().second);
    node.receiveAll(script.State->updatesSince(node.At));
    for (const Expectation &it : row.Expected) {
      if (it.AtMs != at)
        continue;
      const UpstreamRecord *record = node.find(addressOf(1));
      const bool matches = it.State ? record && record->State == *it.State &&
                                          record->ProcessIncarnation ==
                                              Incarnation{it.ProcessIncarnation}
                                    : !record;
      if (!matches)
        violations.push_back("at " + std::to_string(at) + " ms");
    }
  }
  if (script.Log.size() - rulesCommands > row.MaxCommands)
    violations.push_back(std::to_string(script.Log.size() - rulesCommands) +
                         " commands");
  return violations;
}

inline std::vector<Timeline> timelines() {
  using enum UpstreamState;
  return {
      {"SilentThenBack",
       "an upstream that missed renewals keeps getting new flows, or gets none "
       "after it is back",
       {{0, 2000}, {7000, 25000}},
       {{1500, Active}, {4900, Active}, {5500, Suspect}, {7500, Active}}},
      {"SilentForGood",
       "a dead upstream stays in the table",
       {{0, 2000}},
       {{16900, Suspect}, {17500, std::nullopt}, {25000, std::nullopt}}},
      {"BackAfterRemoval",
       "a live upstream that was cut off cannot come back",
       {{0, 2000}, {20000, 25000}},
       {{18000, std::nullopt}, {21000, Active}}},
      {"NewIncarnation",
       "packets go to the flows of a process that has ended",
       {{0, 5000}, {5500, 25000, 2}},
       {{5400, Active, 1}, {5600, Active, 2}}},
      {"EarlierIncarnationLate",
       "a delayed announcement replaces the running incarnation",
       {{0, 25000, 2}, {4500, 6500, 1}},
       {{4600, Active, 2}, {6600, Active, 2}, {24900, Active, 2}}},
      {"EarlierIncarnationAfterRemoval",
       "a delayed announcement brings a dead process back",
       {{0, 1000, 2}, {17500, 18500, 1}},
       {{17400, std::nullopt}, {17600, std::nullopt}, {18600, std::nullopt}}},
      {"LeavingThenDelayed",
       "an upstream that has left receives packets again",
       {{0, 3000}, {3500, 3500, 1, false, true}, {4000, 4000}},
       {{3600, std::nullopt}, {4100, std::nullopt}, {6000, std::nullopt}}},
      {"DrainingThenDelayed",
       "an upstream that was told to stop gets new flows again",
       {{0, 1000}, {2000, 25000, 1, true}, {4500, 4500}},
       {{2100, Draining}, {4600, Draining}, {5500, Draining}}},
      {"LeaderChange",
       "a new leader removes upstreams that could not renew meanwhile",
       {{0, 2000}},
       {{7400, Active},
        {8000, Suspect},
        {19400, Suspect},
        {20000, std::nullopt}},
       {4500}},
      {"LeaderChangesWhileRenewed",
       "a change of leader alone alters the state of an upstream",
       {{0, 25000}},
       {{1000, Active}, {9000, Active}, {25000, Active}},
       {3000, 3100, 8000},
       40,
       1},
      {"RepeatedAndSlowCommit",
       "announcements that are repeated before a commit fill the log",
       {{0, 25000}, {20, 25000}, {500, 25000}},
       {{500, std::nullopt}, {1600, Active}, {25000, Active}},
       {},
       1500,
       1}};
}

} // namespace pistachio
