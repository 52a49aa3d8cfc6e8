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

/// Chosen by the calling member; the reply repeats it.
using PeerCallId = StrongId<struct PeerCallIdTag, std::uint64_t>;

inline constexpr std::size_t MaxResultBytes = 72 * 1024;
/// Bound of each list in a StatusReply.
inline constexpr std::size_t MaxStatusItems = 16384;

enum class CallOutcome : std::uint8_t {
  Answered,
  /// The member does not lead; nothing was done.
  NotLeader,
  /// The command may or may not be accepted later.
  Unknown,
  /// The leader's disk is full; nothing was changed.
  DiskFull,
  Max = DiskFull
};

/// Member to leader: an apply that arrived at another member. Command is an
/// encoded LogCommand.
struct ForwardedApply {
  PeerCallId Call;
  Bytes Command;
  friend bool operator==(const ForwardedApply &,
                         const ForwardedApply &) = default;
};

struct ForwardedApplyReply {
  PeerCallId Call;
  CallOutcome Outcome = CallOutcome::NotLeader;
  /// An ApplyResult; only with Answered.
  std::uint8_t Code = 0;
  Revision RulesRevision;
  std::string Text;
  bool Repeated = false;
  friend bool operator==(const ForwardedApplyReply &,
                         const ForwardedApplyReply &) = default;
};

/// Member to leader: an Announce, Subscribe or LeaseRequest that arrived at
/// another member, as an encoded NodeMessage.
struct ForwardedNodeMessage {
  PeerCallId Call;
  Bytes Message;
  friend bool operator==(const ForwardedNodeMessage &,
                         const ForwardedNodeMessage &) = default;
};

/// An encoded AnnounceReply; empty if the message has no reply.
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

/// Asks the leader for the rules with a linearizable read.
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

/// Asks the leader for what only it knows: contact to nodes and upstreams.
struct StatusQuery {
  PeerCallId Call;
  friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

struct NodeContact {
  std::string Name;
  Revision InForce;
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

/// Asks the leader for the routing with a linearizable read.
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

/// Calls between members of the control group. They share the connections of
/// the consensus channel.
using PeerMessage =
    std::variant<ForwardedApply, ForwardedApplyReply, ForwardedNodeMessage,
                 ForwardedNodeReply, LeaderQuery, LeaderReply, RulesQuery,
                 RulesReply, StatusQuery, StatusReply, RoutingQuery,
                 RoutingReply>;

absl::StatusOr<PeerMessage> decodePeer(std::span<const std::byte> buf);
absl::Status encodePeer(const PeerMessage &message, Bytes &out);

} // namespace pistachio
