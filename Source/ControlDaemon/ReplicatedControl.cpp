#include "ControlDaemon/ReplicatedControl.h"

#include <utility>

namespace pistachio {
namespace {

/// Deadline of commands that are proposed by the announcement tracker. They
/// have no callback; the tracker proposes a command again if it had no effect.
constexpr Duration TrackerCommandTimeout{2000};

} // namespace

ReplicatedControl::ReplicatedControl(ReplicatedControlOptions options,
                                     ConsensusOptions consensusOptions,
                                     AnnouncementOptions announcementOptions,
                                     LogStorage &storage, Hooks hooks,
                                     TimePoint now)
    : Options(options), Storage(storage), Notify(std::move(hooks)),
      State(makeControlState()),
      Tracker(makeAnnouncementTracker(announcementOptions)),
      Node(makeConsensusNode(std::move(consensusOptions), storage, now)) {}

ReplicatedControl::~ReplicatedControl() = default;

void ReplicatedControl::tick(TimePoint now) {
  handle(Node->tick(now), now);
  expireWaiters(now);
  if (isLeader() && now - LastTrackerTick >= Options.TrackerInterval) {
    LastTrackerTick = now;
    std::vector<LogCommand> proposals;
    Tracker->tick(*State, now, proposals);
    submitAll(std::move(proposals), now);
  }
  runCompletions();
}

void ReplicatedControl::receive(const ConsensusMessage &message,
                                TimePoint now) {
  handle(Node->receive(message, now), now);
  runCompletions();
}

void ReplicatedControl::submit(LogCommand command, TimePoint deadline,
                               Done done, TimePoint appendBy) {
  Queue.push_back({std::move(command), deadline, std::move(done), appendBy});
  if (Queue.size() == 1 && Notify.OnQueued)
    Notify.OnQueued();
}

void ReplicatedControl::submitAll(std::vector<LogCommand> proposals,
                                  TimePoint now) {
  for (LogCommand &it : proposals)
    submit(std::move(it), now + TrackerCommandTimeout, nullptr);
}

std::vector<Bytes> ReplicatedControl::takeBatch(std::vector<Queued> &batch,
                                                TimePoint now) {
  std::vector<Bytes> commands;
  while (!Queue.empty() && commands.size() < MaxEntriesInAppend) {
    Queued item = std::move(Queue.front());
    Queue.pop_front();
    if (now > item.AppendBy) {
      queueCompletion(
          std::move(item.OnDone),
          absl::UnavailableError("the command was delayed for too long and was "
                                 "not accepted"));
      continue;
    }
    Bytes buf;
    if (absl::Status encoded = encodeCommand(item.Command, buf);
        !encoded.ok()) {
      queueCompletion(std::move(item.OnDone), std::move(encoded));
      continue;
    }
    commands.push_back(std::move(buf));
    batch.push_back(std::move(item));
  }
  return commands;
}

void ReplicatedControl::flush(TimePoint now) {
  while (!Queue.empty()) {
    std::vector<Queued> batch;
    const std::vector<Bytes> commands = takeBatch(batch, now);
    if (commands.empty())
      break;
    ConsensusOutput output;
    const absl::StatusOr<std::uint64_t> first =
        Node->propose(commands, now, output);
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (!first.ok())
        queueCompletion(std::move(batch[i].OnDone), first.status());
      else if (batch[i].OnDone)
        Waiters.emplace(*first + i, Waiter{Node->term(), batch[i].Deadline,
                                           std::move(batch[i].OnDone)});
    }
    handle(std::move(output), now);
  }
  runCompletions();
}

void ReplicatedControl::read(TimePoint now, TimePoint deadline, Done done) {
  ConsensusOutput output;
  const absl::StatusOr<std::uint64_t> id = Node->startRead(now, output);
  if (!id.ok())
    queueCompletion(std::move(done), id.status());
  else
    Reads.push_back({*id, deadline, std::move(done)});
  handle(std::move(output), now);
  runCompletions();
}

absl::Status ReplicatedControl::changeMembership(
    TimePoint now,
    const std::function<absl::Status(ConsensusNode &, ConsensusOutput &)>
        &operation) {
  ConsensusOutput output;
  absl::Status status = operation(*Node, output);
  handle(std::move(output), now);
  return status;
}

AnnounceReply ReplicatedControl::onAnnounce(const Announce &announce,
                                            TimePoint now) {
  if (!isLeader())
    return {};
  std::vector<LogCommand> proposals;
  AnnounceReply reply = Tracker->onAnnounce(announce, *State, now, proposals);
  submitAll(std::move(proposals), now);
  return reply;
}

void ReplicatedControl::onSubscribe(const Subscribe &subscribe, TimePoint now) {
  if (!isLeader())
    return;
  std::vector<LogCommand> proposals;
  Tracker->onSubscribe(subscribe, *State, now, proposals);
  submitAll(std::move(proposals), now);
}

void ReplicatedControl::onLeaseRequest(const LeaseRequest &request,
                                       TimePoint now) {
  if (isLeader())
    Tracker->onLeaseRequest(request, now);
}

bool ReplicatedControl::holdsLeaderLease(TimePoint now) const {
  // A new leader does not know which entries its predecessor committed until an
  // entry of its own term is committed.
  return isLeader() && Node->hasLeaderLease(now) &&
         Storage.term(Node->commitIndex()) == Node->term();
}

absl::Status ReplicatedControl::health() const {
  return StateHealth.ok() ? Node->health() : StateHealth;
}

void ReplicatedControl::handle(ConsensusOutput output, TimePoint now) {
  if (output.Restored)
    restore(*output.Restored);
  for (const LogEntry &it : output.Committed)
    applyEntry(it);
  // Messages are sent first, so that replication does not wait for the
  // remaining work.
  for (const OutgoingMessage &it : output.Messages)
    Notify.Send(it);
  checkLeadership(now);
  finishReads(now);
  compactIfDue();
  if (State->publishedRevision() == LastPublished)
    return;
  LastPublished = State->publishedRevision();
  if (Notify.OnPublished)
    Notify.OnPublished();
}

void ReplicatedControl::restore(const Snapshot &snapshot) {
  std::unique_ptr<ControlState> newState = makeControlState();
  if (!snapshot.Content.empty())
    StateHealth.Update(newState->load(snapshot.Content));
  if (!StateHealth.ok())
    return;
  State = std::move(newState);
  AppliedIndex = CompactedIndex = snapshot.LastIndex;
  // A snapshot does not show which of the commands that it covers were
  // accepted.
  const auto end = Waiters.upper_bound(AppliedIndex);
  for (auto it = Waiters.begin(); it != end; ++it)
    queueCompletion(std::move(it->second.OnDone),
                    absl::DeadlineExceededError(
                        "a snapshot has replaced the log entry of the command; "
                        "the outcome is not known"));
  Waiters.erase(Waiters.begin(), end);
}

void ReplicatedControl::applyEntry(const LogEntry &entry) {
  if (!StateHealth.ok())
    return;
  if (entry.Kind == EntryKind::Command) {
    const absl::StatusOr<LogCommand> command = decodeCommand(entry.Payload);
    if (!command.ok()) {
      // Skipping the entry would make the state of this member diverge from
      // that of the other members.
      StateHealth = absl::DataLossError(
          "log entry " + std::to_string(entry.Index) + " cannot be decoded");
      return;
    }
    State->apply(entry.Index, *command);
  }
  AppliedIndex = entry.Index;
  BytesSinceCompaction += entry.Payload.size();
  finishWaiters(entry.Index, entry.Term);
}

void ReplicatedControl::finishWaiters(std::uint64_t index, std::uint64_t term) {
  const auto [begin, end] = Waiters.equal_range(index);
  for (auto it = begin; it != end; ++it)
    queueCompletion(
        std::move(it->second.OnDone),
        it->second.Term == term
            ? absl::OkStatus()
            : absl::UnavailableError("another leader took over; the "
                                     "command was not accepted"));
  Waiters.erase(begin, end);
}

void ReplicatedControl::finishReads(TimePoint now) {
  std::erase_if(Reads, [&](PendingRead &it) {
    if (!isLeader())
      queueCompletion(std::move(it.OnDone),
                      absl::UnavailableError("this member is not the leader"));
    else if (Node->isReadConfirmed(it.Id))
      queueCompletion(std::move(it.OnDone), absl::OkStatus());
    else if (now >= it.Deadline)
      queueCompletion(std::move(it.OnDone),
                      absl::UnavailableError(
                          "no majority has confirmed this leader in time"));
    else
      return false;
    return true;
  });
}

void ReplicatedControl::expireWaiters(TimePoint now) {
  std::erase_if(Waiters, [&](auto &it) {
    if (now < it.second.Deadline)
      return false;
    queueCompletion(std::move(it.second.OnDone),
                    absl::DeadlineExceededError(
                        "the command was not confirmed before the deadline; "
                        "the outcome is not known"));
    return true;
  });
}

void ReplicatedControl::checkLeadership(TimePoint now) {
  const bool leads = isLeader();
  if (leads && !WasLeader)
    Tracker->onLeadershipGained(*State, now);
  WasLeader = leads;
}

void ReplicatedControl::compactIfDue() {
  const bool isDue =
      AppliedIndex - CompactedIndex >= Options.CompactAfterEntries ||
      BytesSinceCompaction >= Options.CompactAfterBytes;
  if (!isDue || !StateHealth.ok())
    return;
  // After a failure the log remains in place, and compaction is tried again
  // once the same number of entries or bytes has been added.
  CompactedIndex = AppliedIndex;
  BytesSinceCompaction = 0;
  (void)Node->compact(State->save());
}

void ReplicatedControl::queueCompletion(Done done, absl::Status status) {
  if (done)
    Completions.emplace_back(std::move(done), std::move(status));
}

void ReplicatedControl::runCompletions() {
  while (!Completions.empty()) {
    auto ready = std::exchange(Completions, {});
    for (auto &[done, status] : ready)
      done(std::move(status));
  }
}

} // namespace pistachio
