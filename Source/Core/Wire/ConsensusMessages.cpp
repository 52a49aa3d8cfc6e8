#include "Wire/ConsensusMessages.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstConsensusType = 96;
constexpr std::size_t MaxMemberListBytes = 4096;
constexpr std::size_t MinLogEntryBytes = 21;

} // namespace

template <typename Archive> void fields(Archive &archive, LogEntry &it) {
  field(archive, it.Term);
  field(archive, it.Index);
  field(archive, it.Kind);
  bytes(archive, it.Payload, MaxEntryBytes);
}

template <typename Archive> void fields(Archive &archive, VoteRequest &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.LastIndex);
  field(archive, it.LastTerm);
  field(archive, it.PreVote);
}

template <typename Archive> void fields(Archive &archive, VoteReply &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.PreVote);
  field(archive, it.Granted);
}

template <typename Archive> void fields(Archive &archive, AppendRequest &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.PreviousIndex);
  field(archive, it.PreviousTerm);
  field(archive, it.CommitIndex);
  field(archive, it.Round);
  list(archive, it.Entries, MaxEntriesInAppend, MinLogEntryBytes);
}

template <typename Archive> void fields(Archive &archive, AppendReply &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.Round);
  field(archive, it.Success);
  field(archive, it.MatchIndex);
}

template <typename Archive> void fields(Archive &archive, SnapshotPart &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.LastIndex);
  field(archive, it.LastTerm);
  field(archive, it.Offset);
  field(archive, it.TotalBytes);
  field(archive, it.Checksum);
  bytes(archive, it.Members, MaxMemberListBytes);
  bytes(archive, it.Content, MaxSnapshotPartBytes);
}

template <typename Archive> void fields(Archive &archive, SnapshotReply &it) {
  field(archive, it.From);
  field(archive, it.Term);
  field(archive, it.LastIndex);
  field(archive, it.Received);
}

template <typename Archive> void fields(Archive &archive, JoinRequest &it) {
  field(archive, it.From);
  field(archive, it.Address);
  field(archive, it.MayVote);
}

template <typename Archive> void fields(Archive &archive, JoinReply &it) {
  field(archive, it.Accepted);
  field(archive, it.Leader);
  field(archive, it.ShouldBootstrap);
}

absl::StatusOr<ConsensusMessage>
decodeConsensus(std::span<const std::byte> buf) {
  return decodeVariant<ConsensusMessage>(buf, FirstConsensusType, MaxBodyBytes);
}

absl::Status encodeConsensus(const ConsensusMessage &message, Bytes &out) {
  return encodeVariant(message, FirstConsensusType, MaxBodyBytes, out);
}

} // namespace pistachio
