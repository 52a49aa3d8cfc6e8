#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {

void Node::resetElectionDeadline(TimePoint now) {
  randomizeElectionDeadline(now, Options.ElectionTimeoutMin,
                            Options.ElectionTimeoutMax);
}

void Node::randomizeElectionDeadline(TimePoint now, Duration min,
                                     Duration max) {
  const auto span = static_cast<std::uint64_t>((max - min).count());
  // The random sequence depends on the member's identity. If two members had
  // the same sequence of timeouts, they would split the votes in every
  // election.
  const std::uint64_t stream =
      mix64(Options.Seed * 0x9E3779B97F4A7C15ULL ^ mix64(Self.Value));
  const std::uint64_t randomValue = mix64(stream + ++RandomDeadlineCount);
  ElectionDeadline =
      now + min + Duration(static_cast<std::int64_t>(randomValue % (span + 1)));
}

/// Returns false if the new term could not be stored.
bool Node::becomeFollower(std::uint64_t term, MemberId leader, TimePoint now) {
  if (term > State.Term && !persistHardState({term, MemberId{}}))
    return false;
  CurrentRole = Role::Follower;
  LeaderId = leader;
  Votes.clear();
  Peers.clear();
  PendingReads.clear();
  RoundSentAt.clear();
  LatestSnapshot.reset();
  resetElectionDeadline(now);
  return true;
}

// A pre-vote checks whether this member could win an election, without raising
// its term. Otherwise a member that was disconnected would depose a working
// leader with its higher term when it reconnects.
void Node::startPreVote(TimePoint now, ConsensusOutput &output) {
  // Members that have just started reject votes until the lease of a former
  // leader must have expired. A pre-vote does not change their state, so it can
  // be repeated after a short delay.
  randomizeElectionDeadline(now, Options.PreVoteRetryMin,
                            Options.PreVoteRetryMax);
  LeaderId = {};
  if (!mayLead())
    return;
  CurrentRole = Role::PreCandidate;
  voteForSelf();
  if (Votes.size() >= majority())
    return startElection(now, output);
  requestVotes(/*preVote=*/true, output);
}

void Node::startElection(TimePoint now, ConsensusOutput &output) {
  if (!persistHardState({State.Term + 1, Self}))
    return;
  CurrentRole = Role::Candidate;
  LeaderId = {};
  voteForSelf();
  resetElectionDeadline(now);
  if (Votes.size() >= majority())
    return becomeLeader(now, output);
  requestVotes(/*preVote=*/false, output);
}

void Node::requestVotes(bool preVote, ConsensusOutput &output) {
  const std::uint64_t last = Storage.lastIndex();
  const VoteRequest request{Self, State.Term + (preVote ? 1 : 0), last,
                            Storage.term(last), preVote};
  for (const Member &it : config()) {
    if (it.Voter && it.Id != Self)
      send(it, request, output);
  }
}

void Node::becomeLeader(TimePoint now, ConsensusOutput &output) {
  CurrentRole = Role::Leader;
  LeaderId = Self;
  LeaderSince = now;
  Votes.clear();
  Peers.clear();
  updatePeers(now);
  // A leader may commit entries of earlier terms only together with an entry of
  // its own term (Raft, section 5.4.2), so it appends one that has no effect.
  TermStartIndex = Storage.lastIndex() + 1;
  const LogEntry first{State.Term, TermStartIndex, EntryKind::NoOp, {}};
  if (!appendAndSync(std::span(&first, 1)).ok()) {
    becomeFollower(State.Term, MemberId{}, now);
    return;
  }
  broadcast(/*heartbeat=*/true, now, output);
  advanceCommit();
}

/// A member that does not occur in its own log has lost its log or never had
/// one, so it must not vote. A member that the last configuration removes still
/// votes, because that entry may be overwritten.
bool Node::isInAnyConfiguration() const {
  return std::ranges::any_of(Configurations, [&](const Configuration &it) {
    return std::ranges::find(it.Members, Self, &Member::Id) != it.Members.end();
  });
}

// Until the removal of a member is committed, this member may be the only one
// whose log is complete enough to win an election.
bool Node::mayLead() const {
  if (isVoter(Self))
    return true;
  const std::size_t n = Configurations.size();
  return n > 1 && Configurations[n - 1].Index > CommitIndex &&
         std::ranges::any_of(
             Configurations[n - 2].Members,
             [&](const Member &it) { return it.Id == Self && it.Voter; });
}

void Node::voteForSelf() {
  Votes.clear();
  if (isVoter(Self))
    Votes.insert(Self);
}

// The start of the process counts as contact, because the member may have
// acknowledged a leader's request, and thereby extended its lease, just before
// it was restarted.
bool Node::hasRecentLeaderContact(TimePoint now) const {
  return CurrentRole == Role::Leader ||
         now < LastLeaderContact + Options.ElectionTimeoutMin;
}

bool Node::shouldGrantVote(const VoteRequest &request, TimePoint now) const {
  if (!isInAnyConfiguration() || hasRecentLeaderContact(now))
    return false;
  if (request.PreVote ? request.Term <= State.Term : request.Term < State.Term)
    return false;
  if (!request.PreVote && request.Term == State.Term && State.VotedFor &&
      State.VotedFor != request.From)
    return false;
  const std::uint64_t last = Storage.lastIndex();
  const std::uint64_t lastTerm = Storage.term(last);
  return request.LastTerm > lastTerm ||
         (request.LastTerm == lastTerm && request.LastIndex >= last);
}

void Node::handle(const VoteRequest &request, TimePoint now,
                  ConsensusOutput &output) {
  // While there is a working leader, the higher term of a vote request is
  // ignored as well.
  if (!request.PreVote && request.Term > State.Term &&
      !hasRecentLeaderContact(now) &&
      !becomeFollower(request.Term, MemberId{}, now))
    return;
  const bool granted = shouldGrantVote(request, now);
  if (granted && !request.PreVote) {
    if (State.VotedFor != request.From &&
        !persistHardState({State.Term, request.From}))
      return;
    resetElectionDeadline(now);
  }
  // The reply to a granted pre-vote contains the requested term.
  const std::uint64_t term =
      granted && request.PreVote ? request.Term : State.Term;
  send(memberOrUnknown(request.From),
       VoteReply{Self, term, request.PreVote, granted}, output);
}

void Node::handle(const VoteReply &reply, TimePoint now,
                  ConsensusOutput &output) {
  if (!reply.Granted && reply.Term > State.Term) {
    becomeFollower(reply.Term, MemberId{}, now);
    return;
  }
  const Role expected = reply.PreVote ? Role::PreCandidate : Role::Candidate;
  const std::uint64_t term = State.Term + (reply.PreVote ? 1 : 0);
  if (CurrentRole != expected || reply.Term != term || !reply.Granted ||
      !isVoter(reply.From))
    return;
  Votes.insert(reply.From);
  if (Votes.size() < majority())
    return;
  if (reply.PreVote)
    startElection(now, output);
  else
    becomeLeader(now, output);
}

void Node::checkQuorum(TimePoint now) {
  const auto contact = lastQuorumContact(now);
  const TimePoint last =
      contact ? std::max(*contact, LeaderSince) : LeaderSince;
  if (now >= last + Options.ElectionTimeoutMax)
    becomeFollower(State.Term, MemberId{}, now);
}

} // namespace pistachio
