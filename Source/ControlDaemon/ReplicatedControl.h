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
  /// Entries after which the log is replaced by a snapshot.
  std::uint64_t CompactAfterEntries = 10000;
  /// The same for the bytes of the entries; a small disk must hold the log
  /// twice.
  std::uint64_t CompactAfterBytes = 4 * 1024 * 1024;
  /// Interval of the checks for silent upstreams and balancers.
  Duration TrackerInterval{250};
};

/// Drives the control state by the replicated log: proposes commands, applies
/// what is committed and tells those who wait. Without sockets or clocks.
class ReplicatedControl {
public:
  /// OK: the command was committed and applied. Unavailable: it was not
  /// accepted and never will be. ResourceExhausted: the disk is full, nothing
  /// changed. DeadlineExceeded: it may still be accepted.
  using Done = std::function<void(absl::Status)>;

  struct Hooks {
    std::function<void(const OutgoingMessage &)> Send;
    /// The published revision changed.
    std::function<void()> OnPublished;
    /// Commands are queued; flush() should run soon.
    std::function<void()> OnQueued;
  };

  ReplicatedControl(ReplicatedControlOptions options,
                    ConsensusOptions consensusOptions,
                    AnnouncementOptions announcementOptions,
                    LogStorage &storage, Hooks hooks, TimePoint now);
  ~ReplicatedControl();

  void tick(TimePoint now);
  void receive(const ConsensusMessage &message, TimePoint now);

  /// Queues a command. Those that wait together are appended with one sync.
  void submit(LogCommand command, TimePoint deadline, Done done);
  void flush(TimePoint now);
  /// Runs \p done with OK once a linearizable read may use the state.
  void read(TimePoint now, TimePoint deadline, Done done);
  /// A membership change or the like at the node.
  absl::Status changeMembership(
      TimePoint now,
      const std::function<absl::Status(ConsensusNode &, ConsensusOutput &)>
          &operation);

  /// Announcements and subscriptions; only while this member leads.
  AnnounceReply onAnnounce(const Announce &announce, TimePoint now);
  void onSubscribe(const Subscribe &subscribe, TimePoint now);
  void onLeaseRequest(const LeaseRequest &request, TimePoint now);

  bool isLeader() const { return Node->role() == Role::Leader; }
  /// True if no other leader can exist and everything that earlier leaders
  /// accepted is committed here.
  bool holdsLeaderLease(TimePoint now) const;
  bool hasPendingCommands() const { return !Waiters.empty() || !Queue.empty(); }
  std::uint64_t appliedIndex() const { return AppliedIndex; }
  const ControlState &state() const { return *State; }
  const ConsensusNode &node() const { return *Node; }
  const AnnouncementTracker &tracker() const { return *Tracker; }
  MemberId identity() const { return Storage.identity(); }
  /// Not OK once the log or the state cannot be used any more; the process
  /// should stop.
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
  std::vector<Bytes> takeBatch(std::vector<Queued> &batch);
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
  /// Reports run after a step is complete, so that they may call back.
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
