#pragma once

#include "Consensus/Consensus.h"
#include "Control/Control.h"

#include "absl/status/status.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachio {

struct ReplicatedControlOptions {
  /// Number of applied entries after which the log is replaced by a snapshot.
  std::uint64_t CompactAfterEntries = 10000;
  /// The same limit for the total payload of the entries. It is small because a
  /// small disk must hold the log twice during compaction.
  std::uint64_t CompactAfterBytes = 4 * 1024 * 1024;
  /// Interval between checks for upstreams and balancers that have stopped
  /// renewing.
  Duration TrackerInterval{250};
};

/// Connects the control state machine to the replicated log: proposes commands,
/// applies committed entries and reports the results to the callers. It uses no
/// sockets and reads no clock.
class ReplicatedControl {
public:
  /// Receives the result of a command. OK: committed and applied. Unavailable:
  /// not accepted, and it never will be. ResourceExhausted: the disk is full
  /// and nothing has changed. DeadlineExceeded: the command may still be
  /// accepted.
  using Done = std::function<void(absl::Status)>;

  struct Hooks {
    std::function<void(const OutgoingMessage &)> Send;
    /// Called when the published revision has changed.
    std::function<void()> OnPublished;
    /// Called when commands have been queued; flush() should be called soon.
    std::function<void()> OnQueued;
  };

  ReplicatedControl(ReplicatedControlOptions options,
                    ConsensusOptions consensusOptions,
                    AnnouncementOptions announcementOptions,
                    LogStorage &storage, Hooks hooks, TimePoint now);
  ~ReplicatedControl();

  void tick(TimePoint now);
  void receive(const ConsensusMessage &message, TimePoint now);

  /// Queues a command. Commands that are queued together are appended to the
  /// log with one sync. A command that is not appended by \p appendBy is not
  /// accepted.
  void submit(LogCommand command, TimePoint deadline, Done done,
              TimePoint appendBy = TimePoint::max());
  void flush(TimePoint now);
  /// Runs \p done with OK once a linearizable read of the state is possible.
  void read(TimePoint now, TimePoint deadline, Done done);
  /// Runs a membership change on the node and processes its output.
  absl::Status changeMembership(
      TimePoint now,
      const std::function<absl::Status(ConsensusNode &, ConsensusOutput &)>
          &operation);

  /// Handle announcements, subscriptions and lease requests. They have no
  /// effect unless this member is the leader.
  AnnounceReply onAnnounce(const Announce &announce, TimePoint now);
  void onSubscribe(const Subscribe &subscribe, TimePoint now);
  void onLeaseRequest(const LeaseRequest &request, TimePoint now);

  bool isLeader() const { return Node->role() == Role::Leader; }
  /// True if no other leader can exist and all entries that earlier leaders
  /// accepted are committed on this member.
  bool holdsLeaderLease(TimePoint now) const;
  bool hasPendingCommands() const { return !Waiters.empty() || !Queue.empty(); }
  std::uint64_t appliedIndex() const { return AppliedIndex; }
  const ControlState &state() const { return *State; }
  const ConsensusNode &node() const { return *Node; }
  const AnnouncementTracker &tracker() const { return *Tracker; }
  MemberId identity() const { return Storage.identity(); }
  /// Not OK once the log or the state has become unusable. The process should
  /// then stop.
  absl::Status health() const;

private:
  struct Waiter {
    std::uint64_t Term = 0;
    TimePoint Deadline;
    Done OnDone;
  };
  struct Queued {
    LogCommand Command;
    TimePoint Deadline;
    Done OnDone;
    TimePoint AppendBy;
  };
  struct PendingRead {
    std::uint64_t Id = 0;
    TimePoint Deadline;
    Done OnDone;
  };

  void handle(ConsensusOutput output, TimePoint now);
  void restore(const Snapshot &snapshot);
  void applyEntry(const LogEntry &entry);
  void finishWaiters(std::uint64_t index, std::uint64_t term);
  void finishReads(TimePoint now);
  void expireWaiters(TimePoint now);
  void checkLeadership(TimePoint now);
  void compactIfDue();
  void submitAll(std::vector<LogCommand> proposals, TimePoint now);
  std::vector<Bytes> takeBatch(std::vector<Queued> &batch, TimePoint now);
  void queueCompletion(Done done, absl::Status status);
  void runCompletions();

  ReplicatedControlOptions Options;
  LogStorage &Storage;
  Hooks Notify;
  std::unique_ptr<ControlState> State;
  std::unique_ptr<AnnouncementTracker> Tracker;
  std::unique_ptr<ConsensusNode> Node;
  std::deque<Queued> Queue;
  std::multimap<std::uint64_t, Waiter> Waiters;
  std::vector<PendingRead> Reads;
  /// Callbacks that run at the end of a step, so that they may call this object
  /// again.
  std::vector<std::pair<Done, absl::Status>> Completions;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t CompactedIndex = 0;
  std::uint64_t BytesSinceCompaction = 0;
  bool WasLeader = false;
  TimePoint LastTrackerTick{};
  Revision LastPublished;
  absl::Status StateHealth;
};

} // namespace pistachio
