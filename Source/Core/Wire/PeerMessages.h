#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"
#include "Wire/LogCommands.h"
#include "Wire/NodeMessages.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace pistachio {

/// Correlates a call with its reply. The calling member assigns it and the
/// reply repeats it.
using PeerCallId = StrongId<struct PeerCallIdTag, std::uint64_t>;

inline constexpr std::size_t MaxResultBytes = 72 * 1024;
/// Maximum number of elements of each list in a StatusReply.
inline constexpr std::size_t MaxStatusItems = 16384;

/// Result of a call from one member of the control group to another.
enum class CallOutcome : std::uint8_t {
  /// The leader processed the call; the other fields of the reply are valid.
  Answered,
  /// The called member is not the leader and did nothing.
  NotLeader,
  /// It is not known whether the command is or will be committed.
  Unknown,
  /// The disk of the leader is full and nothing was changed.
  DiskFull,
  Max = DiskFull
};

/// Member to leader: forwards a request to change the configuration that a
/// client sent to another member. Command is an encoded LogCommand.
struct ForwardedApply {
  PeerCallId Call;
  Bytes Command;
  friend bool operator==(const ForwardedApply &,
                         const ForwardedApply &) = default;
};

struct ForwardedApplyReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  /// An ApplyResult; valid only if Outcome is Answered.
  std::uint8_t Code = 0;
  Revision RulesRevision;
  std::string Text;
  /// True if the operation had been applied before and this is its first
  /// result.
  bool Repeated = false;
  friend bool operator==(const ForwardedApplyReply &,
                         const ForwardedApplyReply &) = default;
};

/// Member to leader: forwards an Announce, Subscribe or LeaseRequest that a
/// node sent to another member, as an encoded NodeMessage.
struct ForwardedNodeMessage {
  PeerCallId Call;
  Bytes Message;
  friend bool operator==(const ForwardedNodeMessage &,
                         const ForwardedNodeMessage &) = default;
};

/// Reply to a ForwardedNodeMessage. Message is an encoded AnnounceReply, or
/// empty if the forwarded message has no reply.
struct ForwardedNodeReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  Bytes Message;
  friend bool operator==(const ForwardedNodeReply &,
                         const ForwardedNodeReply &) = default;
};

/// Asks whether the receiver holds the leader lease.
struct LeaderQuery {
  PeerCallId Call;
  friend bool operator==(const LeaderQuery &, const LeaderQuery &) = default;
};

struct LeaderReply {
  PeerCallId Call;
  bool HoldsLease = false;
  std::uint64_t CommitIndex = 0;
  friend bool operator==(const LeaderReply &, const LeaderReply &) = default;
};

/// Requests the current rules from the leader by a linearizable read.
struct RulesQuery {
  PeerCallId Call;
  friend bool operator==(const RulesQuery &, const RulesQuery &) = default;
};

struct RulesReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  Revision RulesRevision;
  std::string Rules;
  friend bool operator==(const RulesReply &, const RulesReply &) = default;
};

/// Requests the part of the status that is not replicated and known to the
/// leader only: the last contact with nodes and the flows of upstreams.
struct StatusQuery {
  PeerCallId Call;
  friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

struct NodeContact {
  std::string Name;
  /// Revision of the table that the node has applied.
  Revision AppliedRevision;
  /// Time since the last message of the node.
  std::uint64_t SilentMs = 0;
  friend bool operator==(const NodeContact &, const NodeContact &) = default;
};

struct UpstreamFlows {
  UpstreamId Upstream;
  std::uint32_t Flows = 0;
  friend bool operator==(const UpstreamFlows &,
                         const UpstreamFlows &) = default;
};

struct StatusReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  std::vector<NodeContact> Nodes;
  std::vector<UpstreamFlows> Flows;
  friend bool operator==(const StatusReply &, const StatusReply &) = default;
};

/// Requests the current routing document from the leader by a linearizable
/// read.
struct RoutingQuery {
  PeerCallId Call;
  friend bool operator==(const RoutingQuery &, const RoutingQuery &) = default;
};

struct RoutingReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  RoutingDocument Routing;
  friend bool operator==(const RoutingReply &, const RoutingReply &) = default;
};

/// Permission of the leader to submit one order of an operator to it. It ends
/// with the leader's term, or a short time after it was issued by the leader's
/// own clock, so an order that is delayed on its way is not carried out.
struct OrderPermit {
  std::uint64_t Term = 0;
  std::uint64_t IssuedAtMs = 0;
  friend bool operator==(const OrderPermit &, const OrderPermit &) = default;
};

struct OrderPermitQuery {
  PeerCallId Call;
  friend bool operator==(const OrderPermitQuery &,
                         const OrderPermitQuery &) = default;
};

/// Reply to an OrderPermitQuery. Permit is valid only if Outcome is Answered.
struct OrderPermitReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  OrderPermit Permit;
  friend bool operator==(const OrderPermitReply &,
                         const OrderPermitReply &) = default;
};

/// Like ForwardedApply, for a command that has no version. The reply is a
/// ForwardedApplyReply.
struct ForwardedOrder {
  PeerCallId Call;
  OrderPermit Permit;
  Bytes Command;
  friend bool operator==(const ForwardedOrder &,
                         const ForwardedOrder &) = default;
};

/// Calls between members of the control group. They use the same connections as
/// the consensus messages.
using PeerMessage =
    std::variant<ForwardedApply, ForwardedApplyReply, ForwardedNodeMessage,
                 ForwardedNodeReply, LeaderQuery, LeaderReply, RulesQuery,
                 RulesReply, StatusQuery, StatusReply, RoutingQuery,
                 RoutingReply, OrderPermitQuery, OrderPermitReply,
                 ForwardedOrder>;

absl::StatusOr<PeerMessage> decodePeer(std::span<const std::byte> buf);
absl::Status encodePeer(const PeerMessage &message, Bytes &out);

} // namespace pistachio
