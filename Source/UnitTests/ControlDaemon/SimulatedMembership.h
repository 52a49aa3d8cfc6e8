#pragma once

#include "ControlDaemon/GroupMembership.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pistachio {

/// Control instances with their membership logic, on a simulated network with
/// simulated time. Instances can be added and lost while the group runs.
class SimulatedMembership {
public:
  /// Creates a group of \p voters instances that have a disk.
  SimulatedMembership(std::uint64_t seed, std::size_t voters) : Random(seed) {
    std::vector<Member> initial;
    for (std::size_t i = 0; i < voters; ++i)
      initial.push_back({MemberId{i + 1}, addressOf(i), true});
    for (std::size_t i = 0; i < voters; ++i)
      start(initial[i], initial);
  }

  /// Starts an instance with an empty disk at a new address, which asks to
  /// join.
  std::size_t add() {
    const std::size_t i = Instances.size();
    return start({MemberId{++LastId + 1000}, addressOf(i), true}, {});
  }

  /// Replaces an instance by one with an empty disk at the same address.
  std::size_t replaceDisk(std::size_t i) {
    lose(i);
    return start({MemberId{++LastId + 1000}, Instances[i].Address, true}, {});
  }

  /// The instance stops for good. Messages on their way from it still arrive.
  void lose(std::size_t i) { Instances[i].IsRunning = false; }

  /// A planned stop that the instance may announce to the group, after which it
  /// is gone for good.
  void stopForGood(std::size_t i) {
    run(StopMs);
    lose(i);
  }

  /// The instance answers, but log entries and snapshots no longer reach it.
  void slowDown(std::size_t i) { Instances[i].IsSlow = true; }

  void run(int ms) {
    for (int end = 0; end < ms; end += StepMs)
      step();
  }

  /// Returns false if the condition does not hold within \p ms.
  bool runUntil(int ms, const std::function<bool()> &condition) {
    for (int end = 0; end < ms && !condition(); end += StepMs)
      step();
    return condition();
  }

  /// Returns the running instance that can commit, if there is one.
  std::optional<std::size_t> leader() const {
    for (std::size_t i = 0; i < Instances.size(); ++i)
      if (Instances[i].IsRunning && Instances[i].Control->holdsLeaderLease(Now))
        return i;
    return std::nullopt;
  }

  /// Returns a running initial instance that is the leader, or is not.
  std::size_t pickInitial(bool isLeader) const {
    for (std::size_t i = 0; i < Instances.size(); ++i)
      if (Instances[i].IsRunning && (leader() == i) == isLeader)
        return i;
    throw std::runtime_error("no such instance");
  }

  /// Membership of instance \p i as the leader sees it.
  std::optional<Member> memberOf(std::size_t i) const {
    const auto at = leader();
    if (!at)
      return std::nullopt;
    for (const Member &it : Instances[*at].Control->node().members())
      if (it.Id == Instances[i].Control->identity())
        return it;
    return std::nullopt;
  }

  std::vector<Member> members() const {
    const auto at = leader();
    return at ? Instances[*at].Control->node().members()
              : std::vector<Member>{};
  }

  /// Returns whether there is a leader and all voters are running.
  bool isRepaired(std::size_t voters) const {
    const std::vector<Member> all = members();
    const auto n = std::ranges::count_if(all, &Member::Voter);
    return static_cast<std::size_t>(n) >= voters &&
           std::ranges::all_of(all, [&](const Member &it) {
             return !it.Voter || isRunning(it.Id);
           });
  }

private:
  static constexpr int StepMs = 20;
  static constexpr int StopMs = 200;
  static constexpr Duration JoinInterval{250};

  struct Instance {
    Endpoint Address;
    std::unique_ptr<LogStorage> Storage;
    std::unique_ptr<ReplicatedControl> Control;
    std::unique_ptr<GroupMembership> Membership;
    TimePoint LastJoinRequest{};
    bool IsRunning = true;
    bool IsSlow = false;
  };

  struct InFlightMessage {
    std::size_t From;
    std::size_t To;
    TimePoint DeliverAt;
    ConsensusMessage Message;
  };

  static Endpoint addressOf(std::size_t i) {
    return {0x7F000001, static_cast<std::uint16_t>(9000 + i)};
  }

  std::size_t start(const Member &self, const std::vector<Member> &initial) {
    const std::size_t i = Instances.size();
    Instances.emplace_back();
    Instance &it = Instances.back();
    it.Address = self.Address;
    it.Storage = makeMemoryLogStorage(self.Id);
    ReplicatedControl::Hooks hooks;
    hooks.Send = [this, i](const OutgoingMessage &out) {
      send(i, out.To.Address, out.Message);
    };
    ConsensusOptions options;
    options.Seed = Random();
    options.InitialMembers = initial;
    it.Control = std::make_unique<ReplicatedControl>(
        ReplicatedControlOptions{}, std::move(options), AnnouncementOptions{},
        *it.Storage, std::move(hooks), Now);
    GroupMembershipOptions membership;
    membership.Self = self.Address;
    membership.Seeds = {addressOf(0), addressOf(1), addressOf(2)};
    it.Membership =
        std::make_unique<GroupMembership>(*it.Control, std::move(membership));
    return i;
  }

  bool isRunning(MemberId id) const {
    return std::ranges::any_of(Instances, [&](const Instance &it) {
      return it.IsRunning && it.Control->identity() == id;
    });
  }

  /// A message without an address is a reply to the sender of the message that
  /// is being handled.
  void send(std::size_t from, const Endpoint &to, ConsensusMessage message) {
    std::optional<std::size_t> receiver;
    if (to.Port == 0)
      receiver = CurrentSender;
    for (std::size_t i = 0; i < Instances.size(); ++i)
      if (to.Port != 0 && Instances[i].IsRunning && Instances[i].Address == to)
        receiver = i;
    if (receiver)
      InFlight.push_back({from, *receiver,
                          Now + Duration(1 + Random() % MaxDelayMs),
                          std::move(message)});
  }

  static bool isBulk(const ConsensusMessage &message) {
    const auto *append = std::get_if<AppendRequest>(&message);
    return append != nullptr ? !append->Entries.empty()
                             : std::holds_alternative<SnapshotPart>(message);
  }

  void receive(std::size_t to, const ConsensusMessage &message) {
    Instance &it = Instances[to];
    if (!it.IsRunning || (it.IsSlow && isBulk(message)))
      return;
    if (const auto *request = std::get_if<JoinRequest>(&message))
      return send(to, {}, it.Membership->onJoinRequest(*request, Now));
    if (const auto *reply = std::get_if<JoinReply>(&message))
      return it.Membership->onJoinReply(*reply, Now);
    it.Control->receive(message, Now);
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
      CurrentSender = it.From;
      receive(it.To, it.Message);
      CurrentSender.reset();
    }
  }

  void step() {
    Now += Duration(StepMs);
    deliver();
    for (std::size_t i = 0; i < Instances.size(); ++i) {
      Instance &it = Instances[i];
      if (!it.IsRunning)
        continue;
      it.Control->tick(Now);
      it.Control->flush(Now);
      it.Membership->tick(Now);
      if (!it.Membership->needsToJoin(Now) ||
          Now - it.LastJoinRequest < JoinInterval)
        continue;
      it.LastJoinRequest = Now;
      if (const auto target = it.Membership->nextJoinTarget())
        send(i, *target, it.Membership->joinRequest());
    }
  }

  static constexpr std::uint64_t MaxDelayMs = 30;

  std::mt19937_64 Random;
  TimePoint Now{Duration(1000)};
  std::vector<Instance> Instances;
  std::vector<InFlightMessage> InFlight;
  std::optional<std::size_t> CurrentSender;
  std::uint64_t LastId = 0;
};

} // namespace pistachio
