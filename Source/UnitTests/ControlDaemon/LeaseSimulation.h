#pragma once

#include "ControlDaemon/LeaseAuthority.h"

#include <random>
#include <string>
#include <vector>

namespace pistachio {

/// Simulates a leader that accepts a change every 100 ms, a member that follows
/// it with a delay, and a node that renews its lease at the member. After
/// DisconnectMs the member loses its connection to the leader without noticing.
struct LeaseSimulation {
  std::uint64_t Seed;
  /// False disables the mechanism under test: the member then grants full
  /// leases without confirmation by the leader.
  bool QueriesLeader = true;

  static constexpr int LeaseMs = 3000;
  static constexpr int DisconnectMs = 5000;

  /// Returns all times at which the node held a lease although the member
  /// lacked a change that had been accepted more than one lease time before.
  std::vector<std::string> run() const {
    constexpr int StepMs = 10;
    std::mt19937_64 random(Seed);
    LeaseAuthority authority{Duration(LeaseMs)};
    struct Reply {
      int ArrivesAt;
      int SentAt;
      std::uint64_t CommitIndex;
    };
    std::vector<Reply> replies;
    std::vector<int> acceptedAt{0};
    std::uint64_t applied = 0;
    int leaseEnd = 0;
    int leasedSteps = 0;
    std::vector<std::string> violations;
    for (int at = 0; at < 4 * DisconnectMs; at += StepMs) {
      if (at % 100 == 0)
        acceptedAt.push_back(at);
      if (at < DisconnectMs) {
        // The member applies all accepted changes at once, in one step of 16 on
        // average.
        if (random() % 8 == 0)
          applied += (acceptedAt.size() - 1 - applied) * (random() % 2);
        // The reply contains the leader's commit index at the time of the
        // query.
        if (at % 250 == 0 && random() % 4 != 0)
          replies.push_back({at + static_cast<int>(random() % 900), at,
                             acceptedAt.size() - 1});
      }
      std::erase_if(replies, [&](const Reply &it) {
        if (it.ArrivesAt > at || it.ArrivesAt >= DisconnectMs)
          return false;
        authority.onConfirmed(time(it.SentAt), it.CommitIndex);
        return true;
      });
      if (at % 500 == 0) {
        const Duration validity = QueriesLeader
                                      ? authority.validity(time(at), applied)
                                      : Duration(LeaseMs);
        leaseEnd = std::max(leaseEnd, at + static_cast<int>(validity.count()));
      }
      const bool isLeased = at < leaseEnd;
      leasedSteps += isLeased ? 1 : 0;
      const bool isBehind = applied + 1 < acceptedAt.size();
      if (isLeased && isBehind && at - acceptedAt[applied + 1] > LeaseMs)
        violations.push_back("at " + std::to_string(at) + " ms");
    }
    // Guards against a member that has no violations only because it never
    // grants a lease.
    if (leasedSteps * StepMs < DisconnectMs / 2)
      violations.push_back(
          "the node was leased for less than half of the connected time");
    return violations;
  }

private:
  static TimePoint time(int ms) { return TimePoint{Duration(ms)}; }
};

} // namespace pistachio
