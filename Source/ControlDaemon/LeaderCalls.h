#pragma once

#include "ControlDaemon/PeerLinks.h"
#include "ControlDaemon/ReplicatedControl.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

struct ApplyReply {
  ApplyResult Result;
  bool Repeated = false;
};

/// Executes operations that require the leader: locally if this member is the
/// leader, otherwise by a call to it. Also handles such calls from other
/// members.
class LeaderCalls {
public:
  LeaderCalls(ReplicatedControl &control, PeerLinks &links)
      : Control(control), Links(links) {}

  /// Replicates an ApplyRules, ApplyRouting or SetDataCentre command.
  /// Unavailable means that the command was not accepted, DeadlineExceeded that
  /// its outcome is unknown.
  void apply(LogCommand command,
             std::function<void(absl::StatusOr<ApplyReply>)> done);
  /// Asks the leader for the permission to submit one order.
  void requestPermit(std::function<void(absl::StatusOr<OrderPermit>)> done);
  /// Like apply(), for a command without a version: the leader accepts it only
  /// while \p permit is valid.
  void applyOrder(const LogCommand &command, const OrderPermit &permit,
                  std::function<void(absl::StatusOr<ApplyReply>)> done);
  void readRules(std::function<void(absl::StatusOr<RulesReply>)> done);
  void readRouting(std::function<void(absl::StatusOr<RoutingReply>)> done);
  /// Reads the last contact to each node and the flow count of each upstream
  /// from the leader.
  void readContacts(std::function<void(absl::StatusOr<StatusReply>)> done);
  /// The reply for a new upstream is delayed until the upstream is committed,
  /// so that the agent knows its id when balancers start to send to it.
  void announce(const Announce &announce,
                std::function<void(const AnnounceReply &)> done);
  void subscribe(const Subscribe &subscribe);
  void renewLease(const LeaseRequest &request);
  /// Asks the leader whether it holds the leader lease. Runs \p done with the
  /// leader's commit index if it does, and not at all otherwise.
  void confirmLeader(std::function<void(std::uint64_t commitIndex)> done);

  /// Runs \p done once this member has applied all entries that were committed
  /// when it was called, and not at all if the leader cannot be reached. Calls
  /// that wait at the same time share one query to the leader.
  void confirmState(std::function<void()> done);

  void onCall(const PeerMessage &message, const PeerLinks::SendReply &reply);
  /// Must be called when the published revision has changed.
  void onPublished();
  void tick(TimePoint now);

private:
  using AnnounceCallback = std::function<void(const AnnounceReply &)>;

  /// An announcement that waits for its upstream to be committed.
  struct PendingAnnouncement {
    Announce Message;
    TimePoint Deadline;
    AnnounceCallback Done;
  };

  /// A caller of confirmState() that waits until this member has applied the
  /// entries up to the leader's commit index.
  struct PendingConfirmation {
    std::uint64_t CommitIndex = 0;
    TimePoint Deadline;
    std::function<void()> Done;
  };

  void queryLeaderForConfirmations();
  void completeConfirmations(TimePoint now);
  void announceLocally(const Announce &announce, AnnounceCallback done);
  bool tryComplete(const PendingAnnouncement &pending, TimePoint now);
  template <typename Reply>
  void callLeader(PeerMessage &&message, Duration timeout,
                  std::function<void(absl::StatusOr<Reply>)> done);
  void forwardCommand(PeerMessage &&call,
                      std::function<void(absl::StatusOr<ApplyReply>)> done);
  void applyLocally(LogCommand command,
                    std::function<void(absl::StatusOr<ApplyReply>)> done,
                    TimePoint appendBy = TimePoint::max());
  void applyOrderLocally(LogCommand command, const OrderPermit &permit,
                         std::function<void(absl::StatusOr<ApplyReply>)> done);
  absl::StatusOr<OrderPermit> issuePermit() const;
  void
  readRoutingLocally(std::function<void(absl::StatusOr<RoutingReply>)> done);
  void readRulesLocally(std::function<void(absl::StatusOr<RulesReply>)> done);
  StatusReply localContacts() const;
  void forwardNodeMessage(
      const NodeMessage &message,
      std::function<void(absl::StatusOr<ForwardedNodeReply>)> done);

  void answer(const ForwardedApply &call, const PeerLinks::SendReply &reply);
  void answer(const OrderPermitQuery &call, const PeerLinks::SendReply &reply);
  void answer(const ForwardedOrder &call, const PeerLinks::SendReply &reply);
  void answer(const ForwardedNodeMessage &call,
              const PeerLinks::SendReply &reply);
  void answer(const LeaderQuery &call, const PeerLinks::SendReply &reply);
  void answer(const RulesQuery &call, const PeerLinks::SendReply &reply);
  void answer(const StatusQuery &call, const PeerLinks::SendReply &reply);
  void answer(const RoutingQuery &call, const PeerLinks::SendReply &reply);
  template <typename Other>
  void answer(const Other &, const PeerLinks::SendReply &) {}

  ReplicatedControl &Control;
  PeerLinks &Links;
  std::vector<PendingAnnouncement> PendingAnnouncements;
  /// Callers of confirmState() for which no query has been sent yet.
  std::vector<std::function<void()>> UnqueriedConfirmations;
  bool IsQueryingForConfirmations = false;
  std::vector<PendingConfirmation> PendingConfirmations;
};

} // namespace pistachio
