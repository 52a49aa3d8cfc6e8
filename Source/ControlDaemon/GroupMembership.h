#pragma once

#include "ControlDaemon/ReplicatedControl.h"

#include <optional>
#include <span>

namespace pistachio {

struct GroupMembershipOptions {
  /// Where the other members reach this instance.
  Endpoint Self;
  /// False without a disk: the instance stays a learner.
  bool MayVote = true;
  /// Set at the first start of a deployment: the instance at the lowest of the
  /// seeds makes the group, or names the one that does if it has no disk.
  bool BootstrapsGroup = false;
  /// Where instances of the group can be found.
  std::vector<Endpoint> Seeds;
};

/// Lets instances join the group: the leader adds a joiner as a learner and
/// makes it a voter once it has caught up. Removes voters that have been
/// replaced.
class GroupMembership {
public:
  GroupMembership(ReplicatedControl &control, GroupMembershipOptions options)
      : Control(control), Options(std::move(options)) {}

  JoinReply onJoinRequest(const JoinRequest &request, TimePoint now);
  void onJoinReply(const JoinReply &reply, TimePoint now);
  /// At the leader: promotes learners and removes silent members.
  void tick(TimePoint now);
  void setSeeds(std::vector<Endpoint> seeds) {
    Options.Seeds = std::move(seeds);
  }

  /// This instance is in no group, or its group may have removed it while it
  /// was away.
  bool needsToJoin(TimePoint now);
  JoinRequest joinRequest() const {
    return {Control.identity(), Options.Self, Options.MayVote};
  }
  /// Who should hear where this instance is, because it may know nobody: seeds
  /// outside the group, and all members while there is no leader.
  std::vector<Endpoint> advertiseTargets() const;
  /// Members of the group; without one, the instances that have greeted.
  std::vector<Endpoint> knownInstances() const;
  /// Where to ask for admission; each call names the next. Nothing if no other
  /// instance is known.
  std::optional<Endpoint> nextJoinTarget();

private:
  absl::Status admit(const JoinRequest &request, TimePoint now);
  void bootstrapGroup(TimePoint now);
  bool isInGroup() const;
  bool isLowestSeed() const;
  void removeSilentMembers(std::span<const Member> members, TimePoint now);
  void remove(const Member &member, TimePoint now);

  ReplicatedControl &Control;
  GroupMembershipOptions Options;
  /// The instance that was told to make the group.
  std::optional<JoinRequest> Bootstrapper;
  Endpoint JoinHint;
  std::vector<Endpoint> AdvertisedInstances;
  std::size_t NextTarget = 0;
  TimePoint LeaderSeenAt{};
};

} // namespace pistachio
