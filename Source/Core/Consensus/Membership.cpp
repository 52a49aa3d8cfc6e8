#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {

// Overlapping changes could produce two majorities without a common member. So
// could a change by a new leader before an entry of its own term is committed.
absl::Status Node::requireMembershipChangeAllowed() const {
  if (absl::Status status = requireLeader(); !status.ok())
    return status;
  if (Configurations.back().Index > CommitIndex)
    return absl::FailedPreconditionError("a membership change is in progress");
  if (CommitIndex < TermStartIndex)
    return absl::FailedPreconditionError(
        "the leader has not committed an entry of its term yet");
  return absl::OkStatus();
}

absl::Status Node::addLearner(const Member &member, TimePoint now,
                              ConsensusOutput &output) {
  if (absl::Status status = requireMembershipChangeAllowed(); !status.ok())
    return status;
  if (!member.Id)
    return absl::InvalidArgumentError("member has no identity");
  if (find(member.Id))
    return absl::AlreadyExistsError(
        "the group already has a member with this identity");
  std::vector<Member> members = config();
  // A restarted relay joins with a new identity. Learners are not counted for a
  // majority, so its old entry can be removed in the same change.
  std::erase_if(members, [&](const Member &it) {
    return !it.Voter && it.Address == member.Address;
  });
  if (members.size() >= MaxMembers)
    return absl::FailedPreconditionError(
        "the group already has the maximum number of members");
  members.push_back({member.Id, member.Address, /*Voter=*/false, member.Relay});
  return changeMembers(std::move(members), now, output);
}

absl::Status Node::promote(MemberId id, TimePoint now,
                           ConsensusOutput &output) {
  if (absl::Status status = requireMembershipChangeAllowed(); !status.ok())
    return status;
  std::vector<Member> members = config();
  const auto it = std::ranges::find(members, id, &Member::Id);
  if (it == members.end())
    return absl::NotFoundError("the member is unknown to this group");
  if (it->Voter)
    return absl::AlreadyExistsError("member is already a voter");
  if (it->Relay)
    return absl::FailedPreconditionError(
        "a relay has no disk and cannot become a voter");
  const Progress &peer = Peers.at(id);
  const bool recent =
      peer.AckedSentAt && now < *peer.AckedSentAt + Options.ElectionTimeoutMin;
  if (!recent || peer.Match < CommitIndex)
    return absl::FailedPreconditionError(
        "learner has not caught up with the log yet");
  it->Voter = true;
  return changeMembers(std::move(members), now, output);
}

absl::Status Node::remove(MemberId id, TimePoint now, ConsensusOutput &output) {
  if (absl::Status status = requireMembershipChangeAllowed(); !status.ok())
    return status;
  std::vector<Member> members = config();
  const auto it = std::ranges::find(members, id, &Member::Id);
  if (it == members.end())
    return absl::NotFoundError("the member is unknown to this group");
  members.erase(it);
  if (std::ranges::none_of(members, &Member::Voter))
    return absl::FailedPreconditionError("the last voter cannot be removed");
  return changeMembers(std::move(members), now, output);
}

std::optional<TimePoint> Node::lastContact(MemberId id) const {
  const auto it = Peers.find(id);
  if (CurrentRole != Role::Leader || it == Peers.end())
    return std::nullopt;
  return std::max(it->second.AckedSentAt.value_or(LeaderSince),
                  it->second.AddedAt);
}

absl::Status Node::changeMembers(std::vector<Member> members, TimePoint now,
                                 ConsensusOutput &output) {
  const LogEntry entry{State.Term, Storage.lastIndex() + 1,
                       EntryKind::Membership, encodeMembers(members)};
  if (absl::Status status = appendAndSync(std::span(&entry, 1)); !status.ok())
    return status;
  // The entry is sent before the peers are updated, so that a removed member
  // receives it once and stops requesting votes. New members receive it with
  // the next request.
  broadcast(/*heartbeat=*/false, now, output);
  updatePeers(now);
  advanceCommit();
  emitCommitted(output);
  return absl::OkStatus();
}

void Node::updatePeers(TimePoint now) {
  std::erase_if(Peers, [&](const auto &it) { return !find(it.first); });
  for (const Member &it : config()) {
    if (it.Id == Self)
      continue;
    Progress &peer = Peers[it.Id];
    if (!peer.MemberInfo.Id) {
      peer.Next = Storage.lastIndex() + 1;
      peer.AddedAt = now;
    }
    if (it.Voter && (!peer.MemberInfo.Id || !peer.MemberInfo.Voter))
      peer.VoterSinceRound = Round;
    peer.MemberInfo = it;
  }
}

} // namespace pistachio
