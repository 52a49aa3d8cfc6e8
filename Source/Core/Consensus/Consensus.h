#pragma once

/// Public header of the Consensus library, an implementation of Raft. The
/// library opens no sockets, starts no threads and reads no clock: the caller
/// passes in the time and received messages, and gets back messages to send,
/// committed entries and the current role.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

struct Member {
  MemberId Id;
  Endpoint Address;
  /// False for a learner, which receives the log but has no vote.
  bool Voter = true;
  /// An instance without a data folder. It loses its state at a restart and
  /// therefore always remains a learner.
  bool Relay = false;
  friend bool operator==(const Member &, const Member &) = default;
};

/// The state that Raft requires a member to persist in addition to the log.
struct HardState {
  std::uint64_t Term = 0;
  MemberId VotedFor;
  friend bool operator==(const HardState &, const HardState &) = default;
};

/// Encodes the payload of a Membership entry. \p members holds at most
/// MaxMembers elements.
Bytes encodeMembers(std::span<const Member> members);
/// Returns DataLoss if \p buf is not a valid member list.
absl::StatusOr<std::vector<Member>>
decodeMembers(std::span<const std::byte> buf);

struct Snapshot {
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::vector<Member> Members;
  Bytes Content;
};

/// Persistent state of one member. A write is durable only after sync() has
/// returned OK. ResourceExhausted means that the disk is full; data that was
/// synced earlier is then still intact.
class LogStorage {
public:
  virtual ~LogStorage() = default;

  /// Identity of the data folder, generated when the folder is first used.
  virtual MemberId identity() const = 0;
  virtual HardState hardState() const = 0;
  /// Returns the latest snapshot including its content, or none if there is no
  /// snapshot.
  virtual std::optional<Snapshot> snapshot() const = 0;
  /// Index of the first entry after the snapshot, or lastIndex() + 1 if the log
  /// holds no such entry.
  virtual std::uint64_t firstIndex() const = 0;
  virtual std::uint64_t lastIndex() const = 0;
  /// Term of the entry at \p index, which may also be the last entry of the
  /// snapshot. Returns 0 if the term is unknown.
  virtual std::uint64_t term(std::uint64_t index) const = 0;
  /// Returns entries starting at \p first: at most \p maxEntries of them, with
  /// a total payload of at most \p maxBytes. The first entry is returned even
  /// if it alone exceeds \p maxBytes.
  virtual std::vector<LogEntry> entries(std::uint64_t first,
                                        std::size_t maxEntries,
                                        std::size_t maxBytes) const = 0;

  virtual absl::Status append(std::span<const LogEntry> entries) = 0;
  virtual absl::Status truncateFrom(std::uint64_t index) = 0;
  virtual absl::Status saveHardState(const HardState &state) = 0;
  /// Stores the snapshot and removes the log entries that it covers.
  virtual absl::Status saveSnapshot(const Snapshot &snapshot) = 0;
  virtual absl::Status sync() = 0;

  /// Commit index that was saved by saveCommitIndex() before the storage was
  /// opened. It is a lower bound of the group's commit index; 0 if none was
  /// saved.
  virtual std::uint64_t savedCommitIndex() const { return 0; }
  /// Saves the commit index so that a restarted member can apply these entries
  /// before it hears from a leader. Durable after sync().
  virtual absl::Status saveCommitIndex(std::uint64_t /*index*/) {
    return absl::OkStatus();
  }
};

/// Opens the storage in \p folder and creates it if necessary. An incomplete
/// record at the end of the log is dropped as a torn write. A corrupt record
/// before it returns DataLoss with the file and the offset.
absl::StatusOr<std::unique_ptr<LogStorage>>
openFileLogStorage(const std::string &folder);

/// Creates a non-persistent storage, for tests and for control instances
/// without a data folder (relays).
std::unique_ptr<LogStorage> makeMemoryLogStorage(MemberId identity);

struct ConsensusOptions {
  Duration HeartbeatInterval{100};
  Duration ElectionTimeoutMin{400};
  Duration ElectionTimeoutMax{800};
  /// Delay before a failed pre-vote is repeated. It covers several round trips
  /// between data centres and disk syncs, and is randomized so that two members
  /// do not keep asking at the same time.
  Duration PreVoteRetryMin{50};
  Duration PreVoteRetryMax{100};
  std::size_t MaxEntriesInFlight = MaxEntriesInAppend;
  /// Seed of the random election timeouts.
  std::uint64_t Seed = 1;
  /// Members of a new group. Ignored if the storage already holds a member
  /// list.
  std::vector<Member> InitialMembers;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

struct OutgoingMessage {
  /// The port of the address is 0 if the configuration of this member does not
  /// contain the receiver yet. The message is then a reply and must be sent on
  /// the connection on which the request arrived.
  Member To;
  ConsensusMessage Message;
};

/// Result of one step of the node. The caller first installs the snapshot, then
/// applies the committed entries in order, and sends the messages.
struct ConsensusOutput {
  std::vector<OutgoingMessage> Messages;
  /// Replaces the whole state machine, before Committed is applied.
  std::optional<Snapshot> Restored;
  std::vector<LogEntry> Committed;
};

class ConsensusNode {
public:
  virtual ~ConsensusNode() = default;

  virtual ConsensusOutput tick(TimePoint now) = 0;
  virtual ConsensusOutput receive(const ConsensusMessage &message,
                                  TimePoint now) = 0;

  /// Appends \p commands to the leader's log with one sync and returns the
  /// index of the first one. Returns Unavailable if this member is not the
  /// leader and ResourceExhausted if its disk is full. A command is accepted
  /// once it is emitted as committed with the term in which it was proposed.
  virtual absl::StatusOr<std::uint64_t> propose(std::span<const Bytes> commands,
                                                TimePoint now,
                                                ConsensusOutput &output) = 0;

  /// Membership changes: add a learner, promote a learner that has caught up to
  /// a voter, or remove a member. FailedPrecondition if another change is still
  /// in progress.
  virtual absl::Status addLearner(const Member &member, TimePoint now,
                                  ConsensusOutput &output) = 0;
  virtual absl::Status promote(MemberId id, TimePoint now,
                               ConsensusOutput &output) = 0;
  virtual absl::Status remove(MemberId id, TimePoint now,
                              ConsensusOutput &output) = 0;

  /// Creates a new group of \p members, which must include this member.
  /// FailedPrecondition if this member already has a log or a term.
  virtual absl::Status bootstrapGroup(std::span<const Member> members,
                                      TimePoint now) = 0;

  /// On the leader, the time at which the latest request that member \p id has
  /// answered was sent, or the start of the leadership (or the time at which
  /// the member was added, if later) if it has answered none. None on other
  /// members, and for this member itself.
  virtual std::optional<TimePoint> lastContact(MemberId id) const = 0;

  /// Starts a linearizable read and returns its identifier. isReadConfirmed()
  /// becomes true once a majority has confirmed this leader after the call and
  /// the entries up to the read index have been applied.
  virtual absl::StatusOr<std::uint64_t> startRead(TimePoint now,
                                                  ConsensusOutput &output) = 0;
  virtual bool isReadConfirmed(std::uint64_t read) const = 0;

  /// True on a leader if a majority has answered requests that were sent less
  /// than the minimum election timeout ago. Until that timeout has passed, no
  /// other leader can be elected.
  virtual bool hasLeaderLease(TimePoint now) const = 0;

  /// Replaces the log up to the last applied entry by a snapshot with \p
  /// content.
  virtual absl::Status compact(const Bytes &content) = 0;

  virtual Role role() const = 0;
  virtual std::uint64_t term() const = 0;
  virtual std::uint64_t commitIndex() const = 0;
  /// None if the leader is unknown.
  virtual std::optional<Member> leader() const = 0;
  virtual std::vector<Member> members() const = 0;
  /// Not OK after a failed write or sync. The member then stops participating
  /// in the group until it is restarted.
  virtual absl::Status health() const = 0;
};

/// \p storage must outlive the node. The first step of the node emits the
/// stored snapshot as Restored, and as Committed the entries up to the saved
/// commit index. Later entries follow once they are known to be committed.
std::unique_ptr<ConsensusNode>
makeConsensusNode(ConsensusOptions options, LogStorage &storage, TimePoint now);

} // namespace pistachio
