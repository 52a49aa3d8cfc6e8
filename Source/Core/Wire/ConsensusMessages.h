#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace pistachio {

/// A member of the control group: the identity that its data folder was given
/// when it was made.
using MemberId = StrongId<struct MemberIdTag, std::uint64_t>;

inline constexpr std::size_t MaxEntryBytes = 800 * 1024;
inline constexpr std::size_t MaxEntriesInAppend = 256;
inline constexpr std::size_t MaxMembers = 16;
inline constexpr std::size_t MaxSnapshotPartBytes = 64 * 1024;

enum class EntryKind : std::uint8_t {
  /// First entry of a term; commits the entries of earlier terms.
  NoOp,
  Command,
  /// Payload is an encoded member list.
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
  /// A pre-vote changes no state at the receiver.
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
  /// Grows with each round; a reply repeats it, which confirms the leader for
  /// reads.
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
  /// Success: last index that is synced here. Otherwise: where the leader
  /// should try next.
  std::uint64_t MatchIndex = 0;
  friend bool operator==(const AppendReply &, const AppendReply &) = default;
};

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
  /// Bytes that have arrived; TotalBytes once the snapshot is installed and
  /// synced.
  std::uint64_t Received = 0;
  friend bool operator==(const SnapshotReply &,
                         const SnapshotReply &) = default;
};

/// Asks to be added as a learner. The process that carries the node handles it;
/// the node ignores it.
struct JoinRequest {
  MemberId From;
  Endpoint Address;
  /// Has a disk, and may become a voter.
  bool MayVote = true;
  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

struct JoinReply {
  bool Accepted = false;
  /// Where to ask instead; port 0 if the leader is unknown.
  Endpoint Leader;
  /// There is no group yet, and the receiver is the one that makes it.
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
