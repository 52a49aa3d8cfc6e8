#pragma once

#include "ControlDaemon/ReplicatedControl.h"

#include <optional>
#include <span>

namespace pistachio {

struct GroupMembershipOptions {
  /// Address at which the other members reach this instance.
  Endpoint Self;
  /// False for an instance without a data folder, which always remains a
  /// learner.
  bool MayVote = true;
  /// Set at the first start of a deployment. The instance at the lowest seed
  /// address then creates the group. If that instance has no data folder, it
  /// selects another instance to create the group: the first one with a data
  /// folder that asks to join.
  bool BootstrapsGroup = false;
  /// Addresses at which instances of the group can be found.
  std::vector<Endpoint> Seeds;
};

/// Maintains the membership of the group. The leader adds a joining instance as
/// a learner and promotes it to a voter once it has caught up. It also removes
/// members that were replaced or have stopped answering.
class GroupMembership {
public:
  GroupMembership(ReplicatedControl &control, GroupMembershipOptions options)
      : Control(control), Options(std::move(options)) {}

  JoinReply onJoinRequest(const JoinRequest &request, TimePoint now);
  void onJoinReply(const JoinReply &reply, TimePoint now);
  /// On the leader, promotes learners and removes silent members.
  void tick(TimePoint now);
  void setSeeds(std::vector<Endpoint> seeds) {
    Options.Seeds = std::move(seeds);
  }

  /// True if this instance is in no group, or if its group may have removed it
  /// while it was disconnected.
  bool needsToJoin(TimePoint now);
  JoinRequest joinRequest() const {
    return {Control.identity(), Options.Self, Options.MayVote};
  }
  /// Instances that should be told the address of this one because they may not
  /// know any other instance: seeds outside the group and, while there is no
  /// leader, all members.
  std::vector<Endpoint> advertiseTargets() const;
  /// Addresses of the group's voters, to which nodes connect. If this instance
  /// is in no group, the instances that have advertised their address to it.
  std::vector<Endpoint> knownInstances() const;
  /// Returns the address to which the next join request should be sent, in
  /// turn. None if no other instance is known.
  std::optional<Endpoint> nextJoinTarget();

private:
  absl::Status admit(const JoinRequest &request, TimePoint now);
  void bootstrapGroup(TimePoint now);
  bool isInGroup() const;
  bool isLowestSeed() const;
  /// Returns whether the promotion of a learner has begun.
  bool promoteLearner(std::span<const Member> members, TimePoint now);
  void removeSilentMember(std::span<const Member> members, TimePoint now);
  void remove(const Member &member, TimePoint now);

  ReplicatedControl &Control;
  GroupMembershipOptions Options;
  /// The instance that was selected to create the group.
  std::optional<JoinRequest> Bootstrapper;
  /// Address that the latest join reply has named: that of the leader or of the
  /// instance that creates the group. Port 0 if there is none or if a join
  /// request has been sent to it.
  Endpoint SuggestedJoinTarget;
  std::vector<Endpoint> AdvertisedInstances;
  std::size_t NextTarget = 0;
  /// Time of the last tick at which this instance knew a leader.
  TimePoint LeaderLastKnownAt{};
};

} // namespace pistachio
