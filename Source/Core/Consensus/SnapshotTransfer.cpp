#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {

// A transfer continues with the snapshot with which it started, even if the
// leader stores a newer one in the meantime.
void Node::startSnapshotTransfer(Progress &peer) {
  if (!LatestSnapshot ||
      LatestSnapshot->LastIndex + 1 != Storage.firstIndex()) {
    auto latest = Storage.snapshot();
    if (!latest)
      return;
    LatestSnapshot = std::make_shared<const Snapshot>(*std::move(latest));
  }
  peer.SnapshotInTransfer = LatestSnapshot;
  peer.SnapshotOffset = 0;
  peer.SnapshotPartDue = true;
}

void Node::sendSnapshot(Progress &peer, ConsensusOutput &output) {
  if (!peer.SnapshotInTransfer)
    startSnapshotTransfer(peer);
  if (!peer.SnapshotInTransfer || !std::exchange(peer.SnapshotPartDue, false))
    return;
  const Snapshot &from = *peer.SnapshotInTransfer;
  const auto rest = std::span(from.Content).subspan(peer.SnapshotOffset);
  const auto part = rest.first(std::min(rest.size(), MaxSnapshotPartBytes));
  send(peer.MemberInfo,
       SnapshotPart{Self,
                    State.Term,
                    from.LastIndex,
                    from.LastTerm,
                    peer.SnapshotOffset,
                    from.Content.size(),
                    checksum32(from.Content),
                    encodeMembers(from.Members),
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
  LastLeaderContact = now;
  if (const auto received = receiveSnapshotPart(part, output))
    send(memberOrUnknown(part.From),
         SnapshotReply{Self, State.Term, part.LastIndex, *received}, output);
}

/// Returns the number of bytes received so far, or none if the snapshot could
/// not be stored. In that case the leader retries.
std::optional<std::uint64_t>
Node::receiveSnapshotPart(const SnapshotPart &part, ConsensusOutput &output) {
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
  const bool installed = installSnapshot(part, output);
  Incoming.reset();
  return installed ? std::optional(part.TotalBytes) : std::nullopt;
}

bool Node::installSnapshot(const SnapshotPart &part, ConsensusOutput &output) {
  auto members = decodeMembers(part.Members);
  if (!members.ok() || checksum32(Incoming->Content) != part.Checksum)
    return false;
  Snapshot snapshot{part.LastIndex, part.LastTerm, *std::move(members),
                    std::move(Incoming->Content)};
  absl::Status status = Storage.saveSnapshot(snapshot);
  if (absl::IsResourceExhausted(status))
    return false;
  if (!haltOnError(status) || !haltOnError(Storage.sync()))
    return false;
  CommitIndex = AppliedIndex = part.LastIndex;
  Configurations.clear();
  SnapshotToRestore = snapshot;
  loadConfigurations();
  SnapshotToRestore.reset();
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
  if (!peer.SnapshotInTransfer ||
      reply.LastIndex != peer.SnapshotInTransfer->LastIndex)
    return;
  if (reply.Received >= peer.SnapshotInTransfer->Content.size()) {
    peer.SnapshotInTransfer.reset();
    peer.Probing = false;
    peer.Match = std::max(peer.Match, reply.LastIndex);
    peer.Next = std::max(peer.Next, peer.Match + 1);
    advanceCommit();
  } else {
    // The next part is sent immediately only if the reply shows progress, so
    // that duplicated replies do not cause additional parts. Otherwise it is
    // sent with the next heartbeat.
    peer.SnapshotPartDue = reply.Received > peer.SnapshotOffset;
    peer.SnapshotOffset = reply.Received;
  }
  sendAppend(peer, /*sendIfEmpty=*/false, output);
}

} // namespace pistachio
