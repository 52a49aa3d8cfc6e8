#pragma once

#include "Consensus/Consensus.h"

#include <deque>
#include <map>
#include <set>

namespace pistachio {

/// The leader's view of the replication to one other member.
struct Progress {
  Member MemberInfo;
  TimePoint AddedAt;
  std::uint64_t Next = 1;
  std::uint64_t Match = 0;
  /// Latest heartbeat round that the member has answered, and the time at which
  /// that round was sent.
  std::uint64_t AckedRound = 0;
  std::optional<TimePoint> AckedSentAt;
  /// Value of Match at the previous heartbeat. If Match has not changed since,
  /// the entries in flight are considered lost.
  std::uint64_t MatchAtHeartbeat = 0;
  /// Snapshot that is being sent to the member, and the offset of the next byte
  /// to send. None while the member receives log entries.
  std::shared_ptr<const Snapshot> SnapshotInTransfer;
  std::uint64_t SnapshotOffset = 0;
  std::uint64_t SnapshotOffsetAtHeartbeat = 0;
  bool SnapshotPartDue = false;
  /// True until the member has accepted a request, which shows up to which
  /// index its log matches that of the leader. While probing, only one request
  /// without entries is in flight at a time.
  bool Probing = true;
  /// True if a voter has reported an empty log. Its disk is lost, so it must
  /// not be counted for a majority.
  bool LostLog = false;
  /// Replies to this round or an earlier one may have been sent while the
  /// member was still a learner.
  std::uint64_t VoterSinceRound = 0;
};

/// A member list and the index of the log entry that contains it.
struct Configuration {
  std::uint64_t Index = 0;
  std::vector<Member> Members;
};

/// A partially received snapshot.
struct IncomingSnapshot {
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t TotalBytes = 0;
  std::uint32_t Checksum = 0;
  Bytes Content;
};

class Node final : public ConsensusNode {
public:
  Node(ConsensusOptions options, LogStorage &storage, TimePoint now);

  ConsensusOutput tick(TimePoint now) override;
  ConsensusOutput receive(const ConsensusMessage &message,
                          TimePoint now) override;
  absl::StatusOr<std::uint64_t> propose(std::span<const Bytes> commands,
                                        TimePoint now,
                                        ConsensusOutput &output) override;
  absl::Status addLearner(const Member &member, TimePoint now,
                          ConsensusOutput &output) override;
  absl::Status promote(MemberId id, TimePoint now,
                       ConsensusOutput &output) override;
  absl::Status remove(MemberId id, TimePoint now,
                      ConsensusOutput &output) override;
  absl::Status bootstrapGroup(std::span<const Member> members,
                              TimePoint now) override;
  std::optional<TimePoint> lastContact(MemberId id) const override;
  absl::StatusOr<std::uint64_t> startRead(TimePoint now,
                                          ConsensusOutput &output) override;
  bool isReadConfirmed(std::uint64_t read) const override;
  bool hasLeaderLease(TimePoint now) const override;
  absl::Status compact(const Bytes &content) override;

  Role role() const override { return CurrentRole; }
  std::uint64_t term() const override { return State.Term; }
  std::uint64_t commitIndex() const override { return CommitIndex; }
  std::optional<Member> leader() const override { return find(LeaderId); }
  std::vector<Member> members() const override { return config(); }
  absl::Status health() const override { return Health; }

private:
  // Node.cpp
  void loadConfigurations();
  void writeInitialMembership(std::span<const Member> members);
  bool haltOnError(const absl::Status &status);
  bool persistHardState(HardState state);
  absl::Status appendAndSync(std::span<const LogEntry> entries);
  void addConfigurations(std::span<const LogEntry> entries);
  void truncate(std::uint64_t index);
  absl::Status requireLeader() const;
  void commitTo(std::uint64_t index);
  void saveCommitIndexIfDue(TimePoint now);
  void emitCommitted(ConsensusOutput &output);
  const std::vector<Member> &config() const;
  std::optional<Member> find(MemberId id) const;
  /// Returns a member without an address if the current configuration does not
  /// contain \p id.
  Member memberOrUnknown(MemberId id) const;
  bool isVoter(MemberId id) const;
  std::size_t majority() const;
  void send(const Member &to, ConsensusMessage message,
            ConsensusOutput &output) const;

  // Election.cpp
  void resetElectionDeadline(TimePoint now);
  void randomizeElectionDeadline(TimePoint now, Duration min, Duration max);
  bool becomeFollower(std::uint64_t term, MemberId leader, TimePoint now);
  void startPreVote(TimePoint now, ConsensusOutput &output);
  void startElection(TimePoint now, ConsensusOutput &output);
  void becomeLeader(TimePoint now, ConsensusOutput &output);
  void requestVotes(bool preVote, ConsensusOutput &output);
  bool isInAnyConfiguration() const;
  bool mayLead() const;
  void voteForSelf();
  bool hasRecentLeaderContact(TimePoint now) const;
  bool shouldGrantVote(const VoteRequest &request, TimePoint now) const;
  void handle(const VoteRequest &request, TimePoint now,
              ConsensusOutput &output);
  void handle(const VoteReply &reply, TimePoint now, ConsensusOutput &output);
  void checkQuorum(TimePoint now);

  // Replication.cpp
  void broadcast(bool heartbeat, TimePoint now, ConsensusOutput &output);
  /// Starts a round, in which the leader sends an AppendRequest to every other
  /// member. The members' replies to a round confirm that it was still the
  /// leader when the round was sent.
  void beginRound(TimePoint now);
  /// Sends the next entries or snapshot part to the member. With
  /// \p sendIfEmpty, a request is sent even if it carries no entries, as a
  /// heartbeat or to probe which entries the member has.
  void sendAppend(Progress &peer, bool sendIfEmpty, ConsensusOutput &output);
  void sendEntries(Progress &peer, std::size_t maxEntries,
                   ConsensusOutput &output);
  void rewindIfStalled(Progress &peer);
  void handle(const AppendRequest &request, TimePoint now,
              ConsensusOutput &output);
  void handle(const AppendReply &reply, TimePoint now, ConsensusOutput &output);
  AppendReply appendFromLeader(const AppendRequest &request);
  std::uint64_t conflictHint(std::uint64_t index) const;
  bool storeNewEntries(const AppendRequest &request);
  void recordAcknowledgement(Progress &peer, std::uint64_t round) const;
  void updateProgress(Progress &peer, const AppendReply &reply);
  void advanceCommit();

  // SnapshotTransfer.cpp
  void startSnapshotTransfer(Progress &peer);
  void sendSnapshot(Progress &peer, ConsensusOutput &output);
  void handle(const SnapshotPart &part, TimePoint now, ConsensusOutput &output);
  void handle(const SnapshotReply &reply, TimePoint now,
              ConsensusOutput &output);
  std::optional<std::uint64_t> receiveSnapshotPart(const SnapshotPart &part,
                                                   ConsensusOutput &output);
  bool installSnapshot(const SnapshotPart &part, ConsensusOutput &output);

  // Membership.cpp
  absl::Status requireMembershipChangeAllowed() const;
  absl::Status changeMembers(std::vector<Member> members, TimePoint now,
                             ConsensusOutput &output);
  void updatePeers(TimePoint now);

  // Reads.cpp
  std::uint64_t confirmedRound() const;
  std::optional<TimePoint> lastQuorumContact(TimePoint now) const;

  // Join messages are handled by the process that runs the node.
  void handle(const JoinRequest &, TimePoint, ConsensusOutput &) {}
  void handle(const JoinReply &, TimePoint, ConsensusOutput &) {}

  const ConsensusOptions Options;
  LogStorage &Storage;
  const MemberId Self;
  absl::Status Health;

  HardState State;
  Role CurrentRole = Role::Follower;
  MemberId LeaderId;
  TimePoint LastLeaderContact;
  TimePoint ElectionDeadline;
  std::uint64_t RandomDeadlineCount = 0;
  std::set<MemberId> Votes;

  /// Member lists in the log, oldest first; the last one is in effect.
  std::vector<Configuration> Configurations;
  std::uint64_t CommitIndex = 0;
  /// Index of the last entry that was emitted as committed.
  std::uint64_t AppliedIndex = 0;
  /// Commit index that was last written to the storage, and the time of that
  /// write.
  std::uint64_t SavedCommitIndex = 0;
  TimePoint CommitIndexSavedAt;
  std::optional<Snapshot> SnapshotToRestore;
  std::optional<IncomingSnapshot> Incoming;

  // State that is only used while this member is the leader.
  std::map<MemberId, Progress> Peers;
  TimePoint LeaderSince;
  TimePoint HeartbeatDue;
  std::uint64_t TermStartIndex = 0;
  /// Number of the latest round; see beginRound().
  std::uint64_t Round = 0;
  std::map<std::uint64_t, TimePoint> RoundSentAt;
  /// Maps the round that confirms a read to the index that must be applied
  /// before the read is served.
  std::map<std::uint64_t, std::uint64_t> PendingReads;
  /// The latest stored snapshot, shared by all transfers that send it.
  std::shared_ptr<const Snapshot> LatestSnapshot;
};

} // namespace pistachio
