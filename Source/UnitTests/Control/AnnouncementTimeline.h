#pragma once

#include "ControlStateHarness.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// Announcements of one incarnation at machine 1, sent once a second from
/// FromMs to ToMs.
struct AnnouncementSeries {
  int FromMs;
  int ToMs;
  std::uint64_t ProcessIncarnation = 1;
  bool Draining = false;
  bool Leaving = false;
};

/// The expected record of machine 1 in the table of a node at a point in time.
/// No state means that the table must not contain the upstream.
struct Expectation {
  int AtMs;
  std::optional<UpstreamState> State;
  std::uint64_t ProcessIncarnation = 1;
};

/// A scenario: announcements, changes of leader, and the expected states.
struct Timeline {
  const char *Name;
  const char *GuardedFailure;
  std::vector<AnnouncementSeries> Announced;
  std::vector<Expectation> Expected;
  std::vector<int> LeaderChangesAtMs = {};
  int CommitDelayMs = 40;
  std::size_t MaxCommands = 8;
};

/// Runs a timeline in simulated time and returns the deviations of the node's
/// table from the expectations.
inline std::vector<std::string> runTimeline(const Timeline &row,
                                            AnnouncementOptions options) {
  constexpr int StepMs = 20;
  constexpr int EndMs = 25000;
  ControlStateHarness harness;
  harness.apply(BaseRules);
  const std::size_t rulesCommands = harness.Log.size();
  std::unique_ptr<AnnouncementTracker> tracker =
      makeAnnouncementTracker(options);
  tracker->onLeadershipGained(*harness.State, TimePoint{});
  std::deque<std::pair<int, LogCommand>> pendingCommits;
  std::vector<std::string> violations;
  NodeTable node;

  for (int at = 0; at <= EndMs; at += StepMs) {
    const TimePoint now{Duration(at)};
    std::vector<LogCommand> proposals;
    for (const int it : row.LeaderChangesAtMs) {
      if (it != at)
        continue;
      tracker = makeAnnouncementTracker(options);
      tracker->onLeadershipGained(*harness.State, now);
    }
    for (const AnnouncementSeries &it : row.Announced) {
      if (at < it.FromMs || at > it.ToMs || (at - it.FromMs) % 1000 != 0)
        continue;
      const Announce announce{"workshop-api",
                              "ee-north-a",
                              "zone-1",
                              "machine-1",
                              upstreamAddress(1),
                              Incarnation{it.ProcessIncarnation},
                              5,
                              17,
                              it.Draining,
                              it.Leaving};
      tracker->onAnnounce(announce, *harness.State, now, proposals);
    }
    tracker->tick(*harness.State, now, proposals);
    for (LogCommand &it : proposals)
      pendingCommits.emplace_back(at + row.CommitDelayMs, std::move(it));
    for (; !pendingCommits.empty() && pendingCommits.front().first <= at;
         pendingCommits.pop_front())
      harness.commit(pendingCommits.front().second);
    node.receiveAll(harness.State->updatesSince(node.AppliedRevision));
    for (const Expectation &it : row.Expected) {
      if (it.AtMs != at)
        continue;
      const UpstreamRecord *record = node.find(upstreamAddress(1));
      const bool matches = it.State ? record && record->State == *it.State &&
                                          record->ProcessIncarnation ==
                                              Incarnation{it.ProcessIncarnation}
                                    : !record;
      if (!matches)
        violations.push_back("at " + std::to_string(at) + " ms");
    }
  }
  if (harness.Log.size() - rulesCommands > row.MaxCommands)
    violations.push_back(std::to_string(harness.Log.size() - rulesCommands) +
                         " commands");
  return violations;
}

inline std::vector<Timeline> timelines() {
  using enum UpstreamState;
  return {
      {"SilentThenBack",
       "a silent upstream keeps getting new flows, or gets none after it "
       "announces itself again",
       {{0, 2000}, {7000, 25000}},
       {{1500, Active}, {4900, Active}, {5500, Suspect}, {7500, Active}}},
      {"SilentForGood",
       "a dead upstream stays in the table",
       {{0, 2000}},
       {{16900, Suspect}, {17500, std::nullopt}, {25000, std::nullopt}}},
      {"BackAfterRemoval",
       "a running upstream that was disconnected cannot join again",
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
       "a delayed announcement registers a stopped process again",
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
       "a new leader removes upstreams that could not announce themselves "
       "during the election",
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
