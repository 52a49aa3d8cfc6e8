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

/// Runs what needs the leader: here if this member leads, otherwise by a call
/// to the leader. Also answers the calls of other members.
class LeaderCalls {
public:
  LeaderCalls(ReplicatedControl &control, PeerLinks &links)
      : Control(control), Links(links) {}

  /// An ApplyRules, ApplyRouting or SetDataCentre. Unavailable: not accepted.
  /// DeadlineExceeded: the outcome is not known.
  void apply(LogCommand command,
             std::function<void(absl::StatusOr<ApplyReply>)> done);
  void readRules(std::function<void(absl::StatusOr<RulesReply>)> done);
  void readRouting(std::function<void(absl::StatusOr<RoutingReply>)> done);
  void readContacts(std::function<void(absl::StatusOr<StatusReply>)> done);
  /// A new upstream is answered once it is committed, so that the agent knows
  /// its id when balancers begin to send to it.
  void announce(const Announce &announce,
                std::function<void(const AnnounceReply &)> done);
  void subscribe(const Subscribe &subscribe);
  void renewLease(const LeaseRequest &request);
  /// Asks for the leader lease; \p done runs with the commit index if it is
  /// held.
  void confirmLeader(std::function<void(std::uint64_t commitIndex)> done);

  void onCall(const PeerMessage &message, const PeerLinks::SendReply &reply);
  /// The published revision changed.
  void onPublished();
  void tick(TimePoint now);

private:
  using AnnounceCallback = std::function<void(const AnnounceReply &)>;

  /// An announcement whose upstream is not committed yet.
  struct PendingAnnouncement {
    Announce Message;
    TimePoint Deadline;
    AnnounceCallback Done;
  };

  void announceLocally(const Announce &announce, AnnounceCallback done);
  bool tryComplete(const PendingAnnouncement &pending, TimePoint now);
  template <typename Reply>
  void callLeader(PeerMessage &&message, Duration timeout,
                  std::function<void(absl::StatusOr<Reply>)> done);
  void applyLocally(LogCommand command,
                    std::function<void(absl::StatusOr<ApplyReply>)> done);
  void
  readRoutingLocally(std::function<void(absl::StatusOr<RoutingReply>)> done);
  void readRulesLocally(std::function<void(absl::StatusOr<RulesReply>)> done);
  StatusReply localContacts() const;
  void
  forwardNode(const NodeMessage &message,
              std::function<void(absl::StatusOr<ForwardedNodeReply>)> done);

  void answer(const ForwardedApply &call, const PeerLinks::SendReply &reply);
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
};

} // namespace pistachio
