#include "Consensus/Node.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Number of rounds whose send time is kept. A reply to an older round counts
/// neither for the leader lease nor for the confirmation of reads.
constexpr std::size_t MaxRoundsKept = 4096;

} // namespace

void Node::beginRound(TimePoint now) {
  RoundSentAt[++Round] = now;
  if (RoundSentAt.size() > MaxRoundsKept)
    RoundSentAt.erase(RoundSentAt.begin());
}

void Node::broadcast(bool heartbeat, TimePoint now, ConsensusOutput &output) {
  beginRound(now);
  if (heartbeat && now >= HeartbeatDue) {
    HeartbeatDue = now + Options.HeartbeatInterval;
    for (auto &[id, peer] : Peers)
      rewindIfStalled(peer);
  }
  for (auto &[id, peer] : Peers)
    sendAppend(peer, heartbeat, output);
}

// If the member made no progress during a heartbeat interval, the requests in
// flight are considered lost and are sent again. Entries that were only delayed
// may arrive twice, which is harmless.
void Node::rewindIfStalled(Progress &peer) {
  if (peer.Match == peer.MatchAtHeartbeat && !peer.Probing)
    peer.Next = peer.Match + 1;
  peer.MatchAtHeartbeat = peer.Match;
  if (peer.SnapshotOffset <= peer.SnapshotOffsetAtHeartbeat)
    peer.SnapshotPartDue = true;
  peer.SnapshotOffsetAtHeartbeat = peer.SnapshotOffset;
}

void Node::sendAppend(Progress &peer, bool sendIfEmpty,
                      ConsensusOutput &output) {
  if (!peer.LostLog && peer.Next < Storage.firstIndex()) {
    sendSnapshot(peer, output);
    // Heartbeats prevent the member from starting an election during the
    // transfer.
    if (sendIfEmpty)
      sendEntries(peer, 0, output);
    return;
  }
  peer.SnapshotInTransfer.reset();
  if (peer.Probing || peer.LostLog) {
    if (sendIfEmpty)
      sendEntries(peer, 0, output);
    return;
  }
  const std::uint64_t inFlight = peer.Next - peer.Match - 1;
  const std::size_t freeSlots =
      Options.MaxEntriesInFlight -
      std::min<std::uint64_t>(inFlight, Options.MaxEntriesInFlight);
  if (sendIfEmpty || (freeSlots > 0 && peer.Next <= Storage.lastIndex()))
    sendEntries(peer, freeSlots, output);
}

void Node::sendEntries(Progress &peer, std::size_t maxEntries,
                       ConsensusOutput &output) {
  // If the entry before Next has been compacted away, the request carries no
  // entries and refers to the end of the snapshot. It still confirms the
  // leader's term.
  const bool known = peer.Next >= Storage.firstIndex();
  const std::uint64_t previous =
      known ? peer.Next - 1 : Storage.firstIndex() - 1;
  AppendRequest request{
      Self,        State.Term, previous, Storage.term(previous),
      CommitIndex, Round,      {}};
  if (maxEntries > 0)
    request.Entries = Storage.entries(
        peer.Next, std::min(maxEntries, MaxEntriesInAppend), MaxEntryBytes);
  peer.Next += request.Entries.size();
  send(peer.MemberInfo, std::move(request), output);
}

void Node::handle(const AppendRequest &request, TimePoint now,
                  ConsensusOutput &output) {
  AppendReply reply{Self, State.Term, request.Round, false, 0};
  if (request.Term < State.Term)
    return send(memberOrUnknown(request.From), reply, output);
  // A term has at most one leader, so such a message is forged or corrupt.
  if (request.Term == State.Term && CurrentRole == Role::Leader)
    return;
  if (!becomeFollower(request.Term, request.From, now))
    return;
  LastLeaderContact = now;
  reply = appendFromLeader(request);
  send(memberOrUnknown(request.From), reply, output);
}

AppendReply Node::appendFromLeader(const AppendRequest &request) {
  AppendReply reply{Self, State.Term, request.Round, false, 0};
  const std::uint64_t previous = request.PreviousIndex;
  const bool isCompacted = previous < Storage.firstIndex() - 1;
  if (!isCompacted && (previous > Storage.lastIndex() ||
                       Storage.term(previous) != request.PreviousTerm)) {
    reply.MatchIndex = conflictHint(previous);
    return reply;
  }
  std::uint64_t next = previous;
  for (const LogEntry &it : request.Entries) {
    if (it.Index != ++next || it.Term > request.Term) {
      reply.MatchIndex = conflictHint(previous);
      return reply;
    }
  }
  if (!storeNewEntries(request)) {
    // The entries were not stored: the disk is full, or this member has halted
    // after a storage error or a conflict with a committed entry. The index
    // tells the leader from where to retry.
    reply.MatchIndex = Storage.lastIndex() + 1;
    return reply;
  }
  const std::uint64_t match = previous + request.Entries.size();
  commitTo(std::min(request.CommitIndex, match));
  reply.Success = true;
  reply.MatchIndex = match;
  return reply;
}

/// Returns the index from which the leader should retry. Index 1 is returned
/// only by a member with an empty log.
std::uint64_t Node::conflictHint(std::uint64_t index) const {
  const std::uint64_t last = Storage.lastIndex();
  if (index > last)
    return last + 1;
  // All entries of the conflicting term are skipped at once.
  const std::uint64_t term = Storage.term(index);
  const std::uint64_t lowest = std::max<std::uint64_t>(CommitIndex + 1, 2);
  while (index > lowest && Storage.term(index - 1) == term)
    --index;
  return std::max(index, lowest);
}

bool Node::storeNewEntries(const AppendRequest &request) {
  std::span<const LogEntry> entries = request.Entries;
  while (!entries.empty() &&
         (entries[0].Index < Storage.firstIndex() ||
          Storage.term(entries[0].Index) == entries[0].Term))
    entries = entries.subspan(1);
  if (entries.empty())
    return true;
  if (entries[0].Index <= CommitIndex)
    return haltOnError(absl::DataLossError(
        "the leader's log conflicts with a committed entry at index " +
        std::to_string(entries[0].Index)));
  if (entries[0].Index <= Storage.lastIndex())
    truncate(entries[0].Index);
  return Health.ok() && appendAndSync(entries).ok();
}

void Node::recordAcknowledgement(Progress &peer, std::uint64_t round) const {
  const auto sent = RoundSentAt.find(round);
  if (sent == RoundSentAt.end() || round <= peer.AckedRound)
    return;
  peer.AckedRound = round;
  peer.AckedSentAt = sent->second;
}

void Node::handle(const AppendReply &reply, TimePoint now,
                  ConsensusOutput &output) {
  if (reply.Term > State.Term) {
    becomeFollower(reply.Term, MemberId{}, now);
    return;
  }
  const auto it = Peers.find(reply.From);
  if (CurrentRole != Role::Leader || reply.Term < State.Term ||
      it == Peers.end() || reply.MatchIndex > Storage.lastIndex() + 1)
    return;
  Progress &peer = it->second;
  // The log of a voter is never empty. An empty log under a voter's identity
  // therefore means that its disk is lost, and with it the record of the votes
  // that it has given.
  if (!reply.Success && reply.MatchIndex <= 1 && peer.MemberInfo.Voter &&
      reply.Round > peer.VoterSinceRound)
    peer.LostLog = true;
  if (peer.LostLog)
    return;
  const std::uint64_t next = peer.Next;
  updateProgress(peer, reply);
  recordAcknowledgement(peer, reply.Round);
  advanceCommit();
  // A probe is sent only if the reply has moved Next back, so that duplicated
  // replies do not cause additional probes.
  sendAppend(peer, /*sendIfEmpty=*/peer.Probing && peer.Next < next, output);
}

void Node::updateProgress(Progress &peer, const AppendReply &reply) {
  if (reply.Success) {
    peer.Probing = false;
    peer.Match = std::max(peer.Match, reply.MatchIndex);
    peer.Next = std::max(peer.Next, peer.Match + 1);
    return;
  }
  const std::uint64_t hint = std::max<std::uint64_t>(reply.MatchIndex, 1);
  // The member has lost the end of its log. The entries from this index on are
  // sent to it again.
  if (reply.Round > peer.AckedRound && hint <= peer.Match)
    peer.Match = hint - 1;
  peer.Next = peer.Probing ? std::min(peer.Next, hint) : peer.Match + 1;
}

// Only entries of the leader's own term are committed by counting replicas. An
// entry of an earlier term may be missing in the log of a later leader even if
// a majority holds it.
void Node::advanceCommit() {
  if (CurrentRole != Role::Leader)
    return;
  std::vector<std::uint64_t> matches;
  for (const Member &it : config()) {
    if (it.Voter)
      matches.push_back(it.Id == Self ? Storage.lastIndex()
                                      : Peers.at(it.Id).Match);
  }
  std::ranges::sort(matches, std::greater<>());
  const std::uint64_t index = matches[majority() - 1];
  if (index > CommitIndex && Storage.term(index) == State.Term)
    commitTo(index);
}

} // namespace pistachio
