#include "Consensus/Node.h"

#include <algorithm>
#include <limits>

namespace pistachio {
namespace {

constexpr std::uint64_t BootstrapTerm = 1;
/// Limits how often the commit index is synced. After a restart, the state that
/// is available before an election is at most this much older than the state
/// that was committed.
constexpr Duration CommitIndexSaveInterval{200};
constexpr std::size_t LoadBatchEntries = 1024;
constexpr std::size_t NoByteLimit = std::numeric_limits<std::size_t>::max();

} // namespace

Node::Node(ConsensusOptions options, LogStorage &storage, TimePoint now)
    : Options(std::move(options)), Storage(storage), Self(storage.identity()),
      State(storage.hardState()), LastLeaderContact(now) {
  if (Storage.lastIndex() == 0)
    writeInitialMembership(Options.InitialMembers);
  SnapshotToRestore = Storage.snapshot();
  if (SnapshotToRestore)
    CommitIndex = AppliedIndex = SnapshotToRestore->LastIndex;
  loadConfigurations();
  // Entries that are known to be committed are emitted immediately, so that
  // nodes receive the last known table before an election has finished.
  SavedCommitIndex = Storage.savedCommitIndex();
  if (!Configurations.empty())
    commitTo(SavedCommitIndex);
  resetElectionDeadline(now);
  // The only member of a group starts an election immediately, because no other
  // member can hold a leader lease. This does not apply if an uncommitted
  // removal has made it the only member: the former leader may still hold a
  // lease.
  if (Configurations.size() == 1 && isVoter(Self) && majority() == 1)
    ElectionDeadline = now;
}

// All initial members write an identical first entry, so it counts as
// committed. A member whose folder was wiped has a new identity, is not in the
// list, and starts with an empty log.
void Node::writeInitialMembership(std::span<const Member> members) {
  const auto isSelf = [&](const Member &it) { return it.Id == Self; };
  if (std::ranges::none_of(members, isSelf))
    return;
  const LogEntry first{BootstrapTerm, 1, EntryKind::Membership,
                       encodeMembers(members)};
  if (!haltOnError(Storage.append(std::span(&first, 1))))
    return;
  persistHardState({std::max(State.Term, BootstrapTerm), State.VotedFor});
}

absl::Status Node::bootstrapGroup(std::span<const Member> members,
                                  TimePoint now) {
  if (Storage.lastIndex() != 0 || Storage.snapshot() || State.Term != 0)
    return absl::FailedPreconditionError(
        "the member already belongs to a group");
  writeInitialMembership(members);
  loadConfigurations();
  if (Configurations.empty())
    return Health.ok()
               ? absl::InvalidArgumentError(
                     "the list of initial members does not contain this member")
               : Health;
  resetElectionDeadline(now);
  if (isVoter(Self) && majority() == 1)
    ElectionDeadline = now;
  return Health;
}

void Node::loadConfigurations() {
  if (SnapshotToRestore)
    Configurations.push_back(
        {SnapshotToRestore->LastIndex, SnapshotToRestore->Members});
  for (std::uint64_t i = Storage.firstIndex(); i <= Storage.lastIndex();) {
    const auto batch = Storage.entries(i, LoadBatchEntries, NoByteLimit);
    addConfigurations(batch);
    i += batch.size();
  }
}

/// Takes this member out of service if \p status is an error. Returns true if
/// it is OK.
bool Node::haltOnError(const absl::Status &status) {
  if (!status.ok() && Health.ok())
    Health = status;
  return status.ok();
}

bool Node::persistHardState(HardState state) {
  if (!haltOnError(Storage.saveHardState(state)) ||
      !haltOnError(Storage.sync()))
    return false;
  State = state;
  return true;
}

// If the disk is full, the append is rejected and the log is unchanged, so the
// member stays in service. After any other error the state of the disk is
// unknown.
absl::Status Node::appendAndSync(std::span<const LogEntry> entries) {
  absl::Status status = Storage.append(entries);
  if (absl::IsResourceExhausted(status))
    return status;
  if (!haltOnError(status) || !haltOnError(Storage.sync()))
    return Health;
  addConfigurations(entries);
  return status;
}

void Node::addConfigurations(std::span<const LogEntry> entries) {
  for (const LogEntry &it : entries) {
    if (it.Kind != EntryKind::Membership)
      continue;
    auto members = decodeMembers(it.Payload);
    if (haltOnError(members.status()))
      Configurations.push_back({it.Index, *std::move(members)});
  }
}

void Node::truncate(std::uint64_t index) {
  if (!haltOnError(Storage.truncateFrom(index)))
    return;
  while (!Configurations.empty() && Configurations.back().Index >= index)
    Configurations.pop_back();
}

ConsensusOutput Node::tick(TimePoint now) {
  ConsensusOutput output;
  if (!Health.ok())
    return output;
  output.Restored = std::exchange(SnapshotToRestore, std::nullopt);
  if (CurrentRole == Role::Leader)
    checkQuorum(now);
  if (CurrentRole == Role::Leader && now >= HeartbeatDue)
    broadcast(/*heartbeat=*/true, now, output);
  if (CurrentRole != Role::Leader && now >= ElectionDeadline)
    startPreVote(now, output);
  emitCommitted(output);
  saveCommitIndexIfDue(now);
  return output;
}

ConsensusOutput Node::receive(const ConsensusMessage &message, TimePoint now) {
  ConsensusOutput output;
  if (!Health.ok())
    return output;
  // The snapshot of a restarted member must be emitted before any effect of the
  // message.
  output.Restored = std::exchange(SnapshotToRestore, std::nullopt);
  std::visit([&](const auto &it) { handle(it, now, output); }, message);
  // A member out of service must not reply: the reply would confirm a write
  // that has failed.
  if (!Health.ok())
    return {};
  emitCommitted(output);
  return output;
}

absl::Status Node::requireLeader() const {
  if (!Health.ok())
    return absl::UnavailableError("member is out of service: " +
                                  Health.ToString());
  if (CurrentRole != Role::Leader)
    return absl::UnavailableError("member is not the leader");
  return absl::OkStatus();
}

absl::StatusOr<std::uint64_t> Node::propose(std::span<const Bytes> commands,
                                            TimePoint now,
                                            ConsensusOutput &output) {
  if (absl::Status status = requireLeader(); !status.ok())
    return status;
  if (commands.empty())
    return absl::InvalidArgumentError("the proposal contains no command");
  const std::uint64_t first = Storage.lastIndex() + 1;
  std::vector<LogEntry> batch;
  batch.reserve(commands.size());
  for (const Bytes &it : commands) {
    if (it.size() > MaxEntryBytes)
      return absl::InvalidArgumentError(
          "command exceeds the maximum size of a log entry");
    batch.push_back({State.Term, first + batch.size(), EntryKind::Command, it});
  }
  if (absl::Status status = appendAndSync(batch); !status.ok())
    return status;
  broadcast(/*heartbeat=*/false, now, output);
  advanceCommit();
  emitCommitted(output);
  return first;
}

absl::Status Node::compact(const Bytes &content) {
  if (!Health.ok())
    return Health;
  if (AppliedIndex < Storage.firstIndex())
    return absl::OkStatus();
  Snapshot snapshot{AppliedIndex, Storage.term(AppliedIndex), {}, content};
  while (Configurations.size() > 1 && Configurations[1].Index <= AppliedIndex)
    Configurations.erase(Configurations.begin());
  if (!Configurations.empty() && Configurations[0].Index <= AppliedIndex)
    snapshot.Members = Configurations[0].Members;
  absl::Status status = Storage.saveSnapshot(snapshot);
  // The snapshot is written to a new file, so the log is unchanged if the disk
  // is full.
  if (absl::IsResourceExhausted(status))
    return status;
  if (haltOnError(status))
    haltOnError(Storage.sync());
  return Health;
}

void Node::commitTo(std::uint64_t index) {
  CommitIndex = std::max(CommitIndex, std::min(index, Storage.lastIndex()));
}

void Node::saveCommitIndexIfDue(TimePoint now) {
  if (CommitIndex == SavedCommitIndex ||
      now - CommitIndexSavedAt < CommitIndexSaveInterval)
    return;
  CommitIndexSavedAt = now;
  SavedCommitIndex = CommitIndex;
  // A failure to save the commit index is tolerated: the member only has to
  // wait for an election after its next start. A failed sync is not, because
  // the state of the disk is then unknown.
  if (Storage.saveCommitIndex(CommitIndex).ok())
    haltOnError(Storage.sync());
}

void Node::emitCommitted(ConsensusOutput &output) {
  while (Health.ok() && AppliedIndex < CommitIndex) {
    const auto n = static_cast<std::size_t>(CommitIndex - AppliedIndex);
    auto batch = Storage.entries(AppliedIndex + 1, n, NoByteLimit);
    if (batch.empty()) {
      haltOnError(
          absl::InternalError("a committed entry is missing from the log"));
      return;
    }
    AppliedIndex += batch.size();
    std::ranges::move(batch, std::back_inserter(output.Committed));
  }
  // A removed leader continues to lead until its removal is committed.
  if (CurrentRole == Role::Leader && !find(Self) &&
      Configurations.back().Index <= CommitIndex) {
    CurrentRole = Role::Follower;
    LeaderId = {};
  }
}

const std::vector<Member> &Node::config() const {
  static const std::vector<Member> None;
  return Configurations.empty() ? None : Configurations.back().Members;
}

std::optional<Member> Node::find(MemberId id) const {
  const auto it = std::ranges::find(config(), id, &Member::Id);
  return it == config().end() ? std::nullopt : std::optional(*it);
}

Member Node::memberOrUnknown(MemberId id) const {
  return find(id).value_or(Member{id, {}, true});
}

bool Node::isVoter(MemberId id) const {
  const auto it = find(id);
  return it && it->Voter;
}

std::size_t Node::majority() const {
  const auto n = std::ranges::count_if(config(), &Member::Voter);
  return static_cast<std::size_t>(n) / 2 + 1;
}

void Node::send(const Member &to, ConsensusMessage message,
                ConsensusOutput &output) const {
  output.Messages.push_back({to, std::move(message)});
}

std::unique_ptr<ConsensusNode> makeConsensusNode(ConsensusOptions options,
                                                 LogStorage &storage,
                                                 TimePoint now) {
  return std::make_unique<Node>(std::move(options), storage, now);
}

} // namespace pistachio
