#pragma once

#include "ControlDaemon/GroupMembership.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachio {

/// A group of control instances with a simulated network, storage and time. The
/// network loses and delays messages at random. Isolated members neither
/// receive nor send messages.
class SimulatedControlGroup {
public:
  explicit SimulatedControlGroup(std::uint64_t seed,
                                 std::uint64_t compactAfter = 10000)
      : Random(seed), CompactAfter(compactAfter) {
    for (std::size_t i = 0; i < Size; ++i)
      Initial.push_back({MemberId{i + 1},
                         {0x7F000001, static_cast<std::uint16_t>(9000 + i)},
                         true});
    for (std::size_t i = 0; i < Size; ++i) {
      Storages.push_back(makeMemoryLogStorage(Initial[i].Id));
      Members.push_back(nullptr);
      restart(i);
    }
  }

  static constexpr std::size_t Size = 3;

  ReplicatedControl &member(std::size_t i) { return *Members[i]; }

  /// Restarts the member with the same storage.
  void restart(std::size_t i) {
    Members[i].reset();
    ReplicatedControl::Hooks hooks;
    hooks.Send = [this, i](const OutgoingMessage &it) { send(i, it); };
    ConsensusOptions options;
    options.Seed = Random();
    options.InitialMembers = Initial;
    ReplicatedControlOptions controlOptions;
    controlOptions.CompactAfterEntries = CompactAfter;
    Members[i] = std::make_unique<ReplicatedControl>(
        controlOptions, std::move(options), AnnouncementOptions{}, *Storages[i],
        std::move(hooks), Now);
  }

  void run(int ms) {
    for (int end = 0; end < ms; end += StepMs) {
      Now += Duration(StepMs);
      deliver();
      for (auto &it : Members) {
        it->tick(Now);
        it->flush(Now);
      }
    }
  }

  /// Waits for a leader that can commit, up to a time limit.
  std::size_t waitForLeader() {
    for (int i = 0; i < 1000; ++i) {
      for (std::size_t n = 0; n < Size; ++n) {
        if (!Isolated.contains(n) && Members[n]->holdsLeaderLease(Now))
          return n;
      }
      run(StepMs);
    }
    throw std::runtime_error("no leader after 20 s");
  }

  void submit(std::size_t to, const ApplyRules &command,
              std::vector<absl::Status> &answers) {
    Members[to]->submit(command, Now + Duration(3000),
                        [&](const absl::Status &it) { answers.push_back(it); });
    Members[to]->flush(Now);
  }

  void isolate(std::size_t i) { Isolated.insert(i); }
  void heal() { Isolated.clear(); }

  std::size_t LostPerThousand = 0;
  TimePoint Now{Duration(1000)};

private:
  static constexpr int StepMs = 20;

  struct InFlightMessage {
    std::size_t From;
    std::size_t To;
    TimePoint DeliverAt;
    ConsensusMessage Message;
  };

  void send(std::size_t from, const OutgoingMessage &it) {
    if (it.To.Id.Value == 0 || it.To.Id.Value > Size ||
        Random() % 1000 < LostPerThousand)
      return;
    InFlight.push_back({from, static_cast<std::size_t>(it.To.Id.Value - 1),
                        Now + Duration(1 + Random() % 30), it.Message});
  }

  void deliver() {
    std::vector<InFlightMessage> due;
    std::erase_if(InFlight, [&](InFlightMessage &it) {
      if (it.DeliverAt > Now)
        return false;
      due.push_back(std::move(it));
      return true;
    });
    for (const InFlightMessage &it : due) {
      if (!Isolated.contains(it.From) && !Isolated.contains(it.To))
        Members[it.To]->receive(it.Message, Now);
    }
  }

  std::mt19937_64 Random;
  std::uint64_t CompactAfter;
  std::vector<Member> Initial;
  std::vector<std::unique_ptr<LogStorage>> Storages;
  std::vector<std::unique_ptr<ReplicatedControl>> Members;
  std::set<std::size_t> Isolated;
  std::vector<InFlightMessage> InFlight;
};

} // namespace pistachio
