#pragma once

#include "ControlDaemon/ReplicatedControl.h"

namespace pistachio {

/// Lets instances join the group: the leader adds a joiner as a learner and
/// makes it a voter once it has caught up.
class GroupMembership {
public:
  GroupMembership(ReplicatedControl &control, Endpoint self)
      : Control(control), Self(self) {}

  JoinReply onJoinRequest(const JoinRequest &request, TimePoint now);
  /// At the leader: promotes learners.
  void tick(TimePoint now);

  /// This instance is in no group yet.
  bool needsToJoin() const;
  JoinRequest joinRequest() const { return {Control.identity(), Self}; }

private:
  absl::Status admit(const JoinRequest &request, TimePoint now);

  ReplicatedControl &Control;
  Endpoint Self;
};

} // namespace pistachio
