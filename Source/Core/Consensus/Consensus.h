#pragma once

/// Public header of the Consensus library: a replicated log without sockets,
/// threads or clocks. Time and messages go in; messages, committed entries and
/// role changes come out.

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
  /// A learner (false) receives the log and has no vote.
  bool Voter = true;
  /// Stays a learner: it keeps nothing across a restart.
  bool Relay = false;
  friend bool operator==(const Member &, const Member &) = default;
};

/// What a member must remember across restarts besides the log.
struct HardState {
  std::uint64_t Term = 0;
  MemberId VotedFor;
  friend bool operator==(const HardState &, const HardState &) = default;
};

/// At most MaxMembers, in the form that a Membership entry carries.
Bytes encodeMembers(std::span<const Member> members);
/// DataLoss if \p buf is not a member list.
absl::StatusOr<std::vector<Member>>
decodeMembers(std::span<const std::byte> buf);

struct Snapshot {
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::vector<Member> Members;
  Bytes Content;
};

/// Durable state of one member. A write counts only once sync() has returned
/// OK. ResourceExhausted means that the disk is full and that nothing that was
/// synced earlier is lost.
class LogStorage {
public:
  virtual ~LogStorage() = default;

  /// Identity of the data folder, made at its first use.
  virtual MemberId identity() const = 0;
  virtual HardState hardState() const = 0;
  /// Empty if there is none; Content is loaded.
  virtual std::optional<Snapshot> snapshot() const = 0;
  /// Index of the first entry that is not covered by the snapshot; lastIndex()
  /// + 1 if there is none.
  virtual std::uint64_t firstIndex() const = 0;
  virtual std::uint64_t lastIndex() const = 0;
  /// Term of the entry at \p index, also for the last one of the snapshot; 0 if
  /// unknown.
  virtual std::uint64_t term(std::uint64_t index) const = 0;
  /// Entries from \p first on, at most \p maxEntries and, beyond the first one,
  /// at most \p maxBytes.
  virtual std::vector<LogEntry> entries(std::uint64_t first,
                                        std::size_t maxEntries,
                                        std::size_t maxBytes) const = 0;

  virtual absl::Status append(std::span<const LogEntry> entries) = 0;
  virtual absl::Status truncateFrom(std::uint64_t index) = 0;
  virtual absl::Status saveHardState(const HardState &state) = 0;
  /// Stores the snapshot and drops the entries that it covers.
  virtual absl::Status saveSnapshot(const Snapshot &snapshot) = 0;
  virtual absl::Status sync() = 0;

  /// Entries up to here were committed when this was last noted; 0 if unknown.
  /// A lower bound of the entries that are committed; 0 if none is known.
  virtual std::uint64_t savedCommitIndex() const { return 0; }
  /// Durable after sync().
  virtual absl::Status saveCommitIndex(std::uint64_t /*index*/) {
    return absl::OkStatus();
  }
};

/// Opens or creates the storage in \p folder. A torn last record is dropped; a
/// corrupt record before it is DataLoss with file and offset.
absl::StatusOr<std::unique_ptr<LogStorage>>
openFileLogStorage(const std::string &folder);

/// Storage for tests and for a control instance that is only a relay.
std::unique_ptr<LogStorage> makeMemoryLogStorage(MemberId identity);

struct ConsensusOptions {
  Duration HeartbeatInterval{100};
  Duration ElectionTimeoutMin{400};
  Duration ElectionTimeoutMax{800};
  /// Pause after a pre-vote that did not win: some round trips between data
  /// centres and syncs, spread so that two members do not ask in step.
  Duration PreVoteRetryMin{50};
  Duration PreVoteRetryMax{100};
  std::size_t MaxEntriesInFlight = MaxEntriesInAppend;
  /// Seeds the election timeouts.
  std::uint64_t Seed = 1;
  /// Members of a new group; ignored if the storage already holds a member
  /// list.
  std::vector<Member> InitialMembers;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

struct OutgoingMessage {
  /// The port is 0 if the log of this member does not list the receiver yet;
  /// then the message is an answer and goes back the way the request came.
  Member To;
  ConsensusMessage Message;
};

/// What the carrier does after a step: install the snapshot, apply the entries
/// in order, send.
struct ConsensusOutput {
  std::vector<OutgoingMessage> Messages;
  /// Replaces the whole state machine; comes before Committed.
  std::optional<Snapshot> Restored;
  std::vector<LogEntry> Committed;
};

class ConsensusNode {
public:
  virtual ~ConsensusNode() = default;

  virtual ConsensusOutput tick(TimePoint now) = 0;
  virtual ConsensusOutput receive(const ConsensusMessage &message,
                                  TimePoint now) = 0;

  /// Appends commands at the leader with one sync and returns the index of the
  /// first. Unavailable if this member does not lead, ResourceExhausted if the
  /// disk is full. They are accepted once they come out as committed with the
  /// same term.
  virtual absl::StatusOr<std::uint64_t> propose(std::span<const Bytes> commands,
                                                TimePoint now,
                                                ConsensusOutput &output) = 0;

  /// Adds a learner, makes a learner that has caught up a voter, or removes a
  /// member; one change at a time (FailedPrecondition otherwise).
  virtual absl::Status addLearner(const Member &member, TimePoint now,
                                  ConsensusOutput &output) = 0;
  virtual absl::Status promote(MemberId id, TimePoint now,
                               ConsensusOutput &output) = 0;
  virtual absl::Status remove(MemberId id, TimePoint now,
                              ConsensusOutput &output) = 0;

  /// Makes a new group of \p members, this one among them.
  /// FailedPrecondition if the member has a log or a term already.
  virtual absl::Status bootstrapGroup(std::span<const Member> members,
                                      TimePoint now) = 0;

  /// At the leader: when the last request that the member answered was sent, or
  /// the start of the leadership. None at other members and for this one.
  virtual std::optional<TimePoint> lastContact(MemberId id) const = 0;

  /// Starts a linearizable read; isReadConfirmed() becomes true once a majority
  /// has confirmed the leader after this call and the state machine has applied
  /// the read index.
  virtual absl::StatusOr<std::uint64_t> startRead(TimePoint now,
                                                  ConsensusOutput &output) = 0;
  virtual bool isReadConfirmed(std::uint64_t read) const = 0;

  /// True while a majority has answered this leader within the shortest
  /// election timeout, counted from the time at which the requests were sent:
  /// no other leader can exist until then.
  virtual bool hasLeaderLease(TimePoint now) const = 0;

  /// Replaces the log up to the last applied entry by \p content.
  virtual absl::Status compact(const Bytes &content) = 0;

  virtual Role role() const = 0;
  virtual std::uint64_t term() const = 0;
  virtual std::uint64_t commitIndex() const = 0;
  /// None if unknown.
  virtual std::optional<Member> leader() const = 0;
  virtual std::vector<Member> members() const = 0;
  /// A failed write or sync. The member then takes no further part until it is
  /// restarted.
  virtual absl::Status health() const = 0;
};

/// The storage must outlive the node. Entries and snapshot that were committed
/// earlier come out of the first tick() as Restored and, once their commitment
/// is known again, Committed.
std::unique_ptr<ConsensusNode>
makeConsensusNode(ConsensusOptions options, LogStorage &storage, TimePoint now);

} // namespace pistachio
