#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace pistachio {

/// Flags of a caller packet.
namespace PacketFlag {
/// The packet asks to open the flow.
inline constexpr std::uint8_t First = 1;
/// The caller has seen an accept for the flow, so silence about it would be a
/// lost flow.
inline constexpr std::uint8_t Established = 2;
/// The caller closes the flow.
inline constexpr std::uint8_t Last = 4;
} // namespace PacketFlag

/// Names the agent that holds a flow. Callers echo it; None() if they do not.
struct UpstreamToken {
  UpstreamId Upstream;
  Incarnation Run;
  friend bool operator==(const UpstreamToken &,
                         const UpstreamToken &) = default;
};

/// One packet of a caller, as the fabric hands it to a balancer.
struct CallerPacket {
  Endpoint ServiceAddress;
  Endpoint Caller;
  FlowId Flow;
  std::uint8_t Flags = 0;
  UpstreamToken Token;
  Bytes Payload;
  friend bool operator==(const CallerPacket &, const CallerPacket &) = default;
};

/// State of a candidate as the balancer's table has it.
enum class CandidateState : std::uint8_t {
  Accepting,
  /// Keeps its flows, takes no new ones.
  Draining,
  /// Missed its renewals; may be dead.
  Suspect,
  Max = Suspect
};

/// One entry of a candidate chain.
struct Candidate {
  UpstreamId Upstream;
  Incarnation Run;
  Endpoint Address;
  CandidateState State = CandidateState::Accepting;
  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Entries of one chain; a longer ranking is walked in several chains.
inline constexpr std::size_t MaxChainEntries = 4;

/// Agents drop a packet that has been handed on this often, which ends any
/// cycle between agents whose balancers have different tables.
inline constexpr std::uint8_t MaxHops = 32;

enum class ForwardKind : std::uint8_t {
  /// Walks the ranking; a first packet may be accepted on the way.
  Ranked,
  /// Sent straight to the upstream that the token names; Chain holds that entry
  /// alone.
  Token,
  /// Looks for an existing flow only. The last entry returns it to Prober with
  /// ProbeMissed.
  Probe,
  Max = Probe
};

/// A caller packet on its way to an agent or between agents.
struct ForwardedPacket {
  CallerPacket Packet;
  ServiceId Service;
  /// Upper 12 bits of the flow hash.
  std::uint16_t Bucket = 0;
  ForwardKind Kind = ForwardKind::Ranked;
  std::uint8_t HopCount = 0;
  /// Rank of Chain[0] in the whole ranking.
  std::uint16_t FirstRank = 0;
  /// Entry of Chain that this message is for.
  std::uint8_t ChainIndex = 0;
  /// Set if Chain ends with the last member of the ranking.
  bool EndsRanking = false;
  /// Set if a member of the ranking was left out because it is suspect: nobody
  /// may then conclude that the flow does not exist.
  bool SkippedSuspect = false;
  Endpoint OriginBalancer;
  Revision TableRevision;
  std::vector<Candidate> Chain;
  /// Kind Probe only: the agent that asks.
  Candidate Prober;
  /// Load of the agent that hands the packet on, in permille of its limit.
  std::uint16_t SenderLoad = 0;
  UpstreamId Sender;
  friend bool operator==(const ForwardedPacket &,
                         const ForwardedPacket &) = default;
};

/// Agent to balancer: no entry of the chain knows the flow, and the ranking
/// goes on.
struct ChainExhausted {
  ForwardedPacket Forwarded;
  friend bool operator==(const ChainExhausted &,
                         const ChainExhausted &) = default;
};

/// Agent to agent: no earlier owner knows the flow of this first packet.
struct ProbeMissed {
  ForwardedPacket Forwarded;
  friend bool operator==(const ProbeMissed &, const ProbeMissed &) = default;
};

/// Agent to agent: answer to a hand-over, for the choice between two
/// candidates.
struct LoadReport {
  UpstreamId Upstream;
  /// In permille of the admission limit.
  std::uint16_t Load = 0;
  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

enum class CallerReplyKind : std::uint8_t {
  /// The flow is open; Token names its agent.
  Accept,
  /// Payload is a session message of the agent.
  Data,
  /// Nobody holds the flow. The caller opens a new one.
  Reset,
  /// The first packet was refused; RetryAfter says when to try again. Nothing
  /// was run.
  Refused,
  /// The flow is closed.
  Closed,
  Max = Closed
};

/// What a caller receives, from an agent or (Reset, Refused) from a balancer.
struct CallerReply {
  FlowId Flow;
  CallerReplyKind Kind = CallerReplyKind::Data;
  UpstreamToken Token;
  /// Refused only, in milliseconds.
  std::uint32_t RetryAfterMs = 0;
  Bytes Payload;
  friend bool operator==(const CallerReply &, const CallerReply &) = default;
};

/// Balancer to balancer: asks for a lease when control cannot be reached.
struct PeerLeaseQuery {
  std::string Node;
  /// Repeated in the answer, so that a late answer is not dated by a newer
  /// query.
  std::uint64_t Nonce = 0;
  Revision AppliedRevision;
  friend bool operator==(const PeerLeaseQuery &,
                         const PeerLeaseQuery &) = default;
};

struct PeerLeaseReply {
  std::string Node;
  std::uint64_t Nonce = 0;
  /// 0 if the peer has no lease either.
  std::uint32_t RemainingMs = 0;
  Revision AppliedRevision;
  friend bool operator==(const PeerLeaseReply &,
                         const PeerLeaseReply &) = default;
};

/// Largest opaque packet: 1200 bytes of data and a header.
inline constexpr std::size_t MaxOpaquePacketBytes = 1300;

/// Identifies a service by its name, also to an agent that has not heard from
/// control yet.
using ServiceNameHash = StrongId<struct ServiceNameHashTag, std::uint32_t>;

/// Balancer to agent: a packet of a flow, as its sender wrote it.
struct RelayedPacket {
  ServiceNameHash Service;
  /// Agents that the packet has visited before.
  std::uint8_t Attempt = 0;
  /// The balancer does not know the holder of the flow and wants to be told.
  bool WantsFlowHeld = false;
  /// First packets only: what an upstream of the service bears in a cold start,
  /// as in RouteShare. The agent may not have heard from control yet.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  Bytes Packet;
  friend bool operator==(const RelayedPacket &,
                         const RelayedPacket &) = default;
};

enum class ReturnReason : std::uint8_t {
  /// The upstream does not hold the flow.
  NotHeld,
  /// The upstream takes no new flow now.
  Declined,
  Max = Declined
};

/// Work of an upstream as its agent sees it.
struct UpstreamLoad {
  /// Flows with a request that is not answered yet.
  std::uint16_t BusyFlows = 0;
  std::uint16_t Flows = 0;
  std::uint16_t Slots = 0;
  friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// Agent to balancer: the packet goes to another upstream.
struct ReturnedPacket {
  ReturnReason Reason = ReturnReason::NotHeld;
  std::uint8_t Attempt = 0;
  /// Declined only: new flows are not worth offering for this long.
  std::uint16_t RetryAfterMs = 0;
  UpstreamLoad Load;
  Bytes Packet;
  friend bool operator==(const ReturnedPacket &,
                         const ReturnedPacket &) = default;
};

/// Agent to balancer: the upstream beside the agent has accepted or holds the
/// flow.
struct FlowHeld {
  Endpoint Caller;
  Endpoint Service;
  /// First sequence number of the upstream; 0 if the agent did not see it.
  std::uint32_t FirstSequence = 0;
  UpstreamLoad Load;
  friend bool operator==(const FlowHeld &, const FlowHeld &) = default;
};

using DataMessage =
    std::variant<CallerPacket, ForwardedPacket, ChainExhausted, ProbeMissed,
                 LoadReport, CallerReply, PeerLeaseQuery, PeerLeaseReply,
                 RelayedPacket, ReturnedPacket, FlowHeld>;

absl::StatusOr<DataMessage> decodeData(std::span<const std::byte> buf);

/// Appends to \p out. InvalidArgument if a field exceeds its bound.
absl::Status encodeData(const DataMessage &message, Bytes &out);

} // namespace pistachio
