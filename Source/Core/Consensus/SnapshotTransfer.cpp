#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {

// The leader keeps sending the snapshot that it began with, even if it makes a
// newer one meanwhile.
void Node::sendSnapshot(Progress &peer, ConsensusOutput &output) {
  if (!peer.SnapshotOffset) {
    const auto busy = [](const auto &it) {
      return it.second.SnapshotOffset.has_value();
    };
    if (!Sending || std::ranges::none_of(Peers, busy))
      Sending = Storage.snapshot();
    if (!Sending)
      return;
    peer.SnapshotOffset = 0;
    peer.SnapshotPartDue = true;
  }
  if (!std::exchange(peer.SnapshotPartDue, false))
    return;
  const Bytes &content = Sending->Content;
  const auto offset =
      std::min<std::uint64_t>(*peer.SnapshotOffset, content.size());
  const std::span<const std::byte> rest = std::span(content).subspan(offset);
  const auto part = rest.first(std::min(rest.size(), MaxSnapshotPartBytes));
  send(peer.Peer,
       SnapshotPart{Self,
                    State.Term,
                    Sending->LastIndex,
                    Sending->LastTerm,
                    offset,
                    content.size(),
                    checksum32(content),
                    encodeMembers(Sending->Members),
                    {part.begin(), part.end()}},
       output);
}

void Node::handle(const SnapshotPart &part, TimePoint now,
                  ConsensusOutput &output) {
  if (part.Term < State.Term ||
      (part.Term == State.Term && CurrentRole == Role::Leader))
    return;
  if (!becomeFollower(part.Term, part.From, now))
    return;
  LeaderHeardAt = now;
  if (const auto received = collect(part, output))
    send(memberOrUnknown(part.From),
         SnapshotReply{Self, State.Term, part.LastIndex, *received}, output);
}

/// Bytes that have arrived; none if the snapshot could not be stored, in which
/// case the leader tries again.
std::optional<std::uint64_t> Node::collect(const SnapshotPart &part,
                                           ConsensusOutput &output) {
  if (part.LastIndex <= CommitIndex)
    return part.TotalBytes;
  const bool same = Incoming && Incoming->LastIndex == part.LastIndex &&
                    Incoming->LastTerm == part.LastTerm &&
                    Incoming->TotalBytes == part.TotalBytes &&
                    Incoming->Checksum == part.Checksum;
  if (!same)
    Incoming = IncomingSnapshot{
        part.LastIndex, part.LastTerm, part.TotalBytes, part.Checksum, {}};
  Bytes &content = Incoming->Content;
  if (part.Offset != content.size() ||
      part.Content.size() > part.TotalBytes - content.size())
    return content.size();
  content.insert(content.end(), part.Content.begin(), part.Content.end());
  if (content.size() < part.TotalBytes)
    return content.size();
  const bool installed = install(part, output);
  Incoming.reset();
  return installed ? std::optional(part.TotalBytes) : std::nullopt;
}

bool Node::install(const SnapshotPart &part, ConsensusOutput &output) {
  auto members = decodeMembers(part.Members);
  if (!members.ok() || checksum32(Incoming->Content) != part.Checksum)
    return false;
  Snapshot snapshot{part.LastIndex, part.LastTerm, *std::move(members),
                    std::move(Incoming->Content)};
  absl::Status status = Storage.saveSnapshot(snapshot);
  if (absl::IsResourceExhausted(status))
    return false;
  if (!check(status) || !check(Storage.sync()))
    return false;
  CommitIndex = AppliedIndex = part.LastIndex;
  Configurations.clear();
  ToRestore = snapshot;
  loadConfigurations();
  ToRestore.reset();
  output.Committed.clear();
  output.Restored = std::move(snapshot);
  return true;
}

void Node::handle(const SnapshotReply &reply, TimePoint now,
                  ConsensusOutput &output) {
  if (reply.Term > State.Term) {
    becomeFollower(reply.Term, MemberId{}, now);
    return;
  }
  const auto it = Peers.find(reply.From);
  if (CurrentRole != Role::Leader || reply.Term < State.Term ||
      it == Peers.end())
    return;
  Progress &peer = it->second;
  if (!peer.SnapshotOffset || !Sending || reply.LastIndex != Sending->LastIndex)
    return;
  if (reply.Received >= Sending->Content.size()) {
    peer.SnapshotOffset.reset();
    peer.Probing = false;
    peer.Match = std::max(peer.Match, reply.LastIndex);
    peer.Next = std::max(peer.Next, peer.Match + 1);
    advanceCommit();
  } else {
    // Only progress is answered at once, so that repeated replies do not
    // multiply; the rest waits for the next heartbeat.
    peer.SnapshotPartDue = reply.Received > *peer.SnapshotOffset;
    peer.SnapshotOffset = reply.Received;
  }
  sendAppend(peer, /*heartbeat=*/false, output);
}

} // namespace pistachio
