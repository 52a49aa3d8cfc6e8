#include "ControlDaemon/GroupMembership.h"

#include <algorithm>

namespace pistachio {

JoinReply GroupMembership::onJoinRequest(const JoinRequest &request,
                                         TimePoint now) {
  if (!Control.isLeader()) {
    const std::optional<Member> leader = Control.node().leader();
    return {false, leader ? leader->Address : Endpoint{}};
  }
  return {admit(request, now).ok(), Self};
}

absl::Status GroupMembership::admit(const JoinRequest &request, TimePoint now) {
  for (const Member &it : Control.node().members()) {
    if (it.Id == request.From)
      return absl::OkStatus();
    // The former member at this address lost its data folder. One change at a
    // time: the joiner asks again and is added then.
    if (it.Address == request.Address)
      return Control.change(
          now, [&](ConsensusNode &node, ConsensusOutput &output) {
            absl::Status removed = node.remove(it.Id, now, output);
            return removed.ok() ? absl::UnavailableError("being replaced")
                                : removed;
          });
  }
  return Control.change(now, [&](ConsensusNode &node, ConsensusOutput &output) {
    return node.addLearner({request.From, request.Address, false}, now, output);
  });
}

void GroupMembership::tick(TimePoint now) {
  if (!Control.isLeader())
    return;
  const std::vector<Member> members = Control.node().members();
  const auto learner = std::find_if(members.begin(), members.end(),
                                    [](const Member &it) { return !it.Voter; });
  if (learner == members.end())
    return;
  // Refused until the learner has caught up; the next tick asks again.
  (void)Control.change(now, [&](ConsensusNode &node, ConsensusOutput &output) {
    return node.promote(learner->Id, now, output);
  });
}

bool GroupMembership::needsToJoin() const {
  const std::vector<Member> members = Control.node().members();
  return std::none_of(members.begin(), members.end(), [&](const Member &it) {
    return it.Id == Control.identity();
  });
}

} // namespace pistachio
