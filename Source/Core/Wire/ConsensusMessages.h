#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace pistachio {

/// Identifies a member of the control group. The identifier is generated when
/// the data folder of the member is created, so a new folder is a new member.
using MemberId = StrongId<struct MemberIdTag, std::uint64_t>;

inline constexpr std::size_t MaxEntryBytes = 800 * 1024;
inline constexpr std::size_t MaxEntriesInAppend = 256;
inline constexpr std::size_t MaxMembers = 16;
inline constexpr std::size_t MaxSnapshotPartBytes = 64 * 1024;

enum class EntryKind : std::uint8_t {
  /// First entry of a term. Committing it also commits the entries of earlier
  /// terms, which a leader must not commit on their own.
  NoOp,
  Command,
  /// Payload is the encoded list of members that applies from this entry on.
  Membership,
  Max = Membership
};

struct LogEntry {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  EntryKind Kind = EntryKind::Command;
  Bytes Payload;
  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

struct VoteRequest {
  MemberId From;
  std::uint64_t Term = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  /// Pre-vote: asks whether the receiver would grant a vote. It changes no
  /// state at the receiver.
  bool PreVote = false;
  friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
};

struct VoteReply {
  MemberId From;
  std::uint64_t Term = 0;
  bool PreVote = false;
  bool Granted = false;
  friend bool operator==(const VoteReply &, const VoteReply &) = default;
};

struct AppendRequest {
  MemberId From;
  std::uint64_t Term = 0;
  std::uint64_t PreviousIndex = 0;
  std::uint64_t PreviousTerm = 0;
  std::uint64_t CommitIndex = 0;
  /// Number of the heartbeat round. Replies repeat it; replies of a majority to
  /// one round confirm the leader for linearizable reads.
  std::uint64_t Round = 0;
  std::vector<LogEntry> Entries;
  friend bool operator==(const AppendRequest &,
                         const AppendRequest &) = default;
};

struct AppendReply {
  MemberId From;
  std::uint64_t Term = 0;
  std::uint64_t Round = 0;
  bool Success = false;
  /// If Success, the last log index that is durable at the sender. Otherwise
  /// the index from which the leader should retry.
  std::uint64_t MatchIndex = 0;
  friend bool operator==(const AppendReply &, const AppendReply &) = default;
};

/// One chunk of a snapshot of the state up to LastIndex.
struct SnapshotPart {
  MemberId From;
  std::uint64_t Term = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0;
  std::uint32_t Checksum = 0;
  Bytes Members;
  Bytes Content;
  friend bool operator==(const SnapshotPart &, const SnapshotPart &) = default;
};

struct SnapshotReply {
  MemberId From;
  std::uint64_t Term = 0;
  std::uint64_t LastIndex = 0;
  /// Number of bytes received. It reaches TotalBytes only when the snapshot is
  /// installed and durable.
  std::uint64_t Received = 0;
  friend bool operator==(const SnapshotReply &,
                         const SnapshotReply &) = default;
};

/// Asks to be added to the group as a learner. The control daemon handles it;
/// the consensus node ignores it.
struct JoinRequest {
  MemberId From;
  Endpoint Address;
  /// True if the sender has a data folder and may therefore be promoted to a
  /// voter.
  bool MayVote = true;
  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

struct JoinReply {
  bool Accepted = false;
  /// Member to which the request should be sent instead; port 0 if the leader
  /// is unknown.
  Endpoint Leader;
  /// No group exists yet, and the receiver of this reply is the instance that
  /// has to bootstrap it.
  bool ShouldBootstrap = false;
  friend bool operator==(const JoinReply &, const JoinReply &) = default;
};

using ConsensusMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotPart, SnapshotReply, JoinRequest, JoinReply>;

absl::StatusOr<ConsensusMessage>
decodeConsensus(std::span<const std::byte> buf);
absl::Status encodeConsensus(const ConsensusMessage &message, Bytes &out);

} // namespace pistachio
