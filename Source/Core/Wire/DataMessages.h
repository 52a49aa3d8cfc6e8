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

/// Flags of a CallerPacket.
namespace PacketFlag {
/// First packet of a flow: it requests that the flow be opened.
inline constexpr std::uint8_t First = 1;
/// The caller has received an Accept for the flow. If no agent holds the flow
/// any more, the caller must be told by a Reset.
inline constexpr std::uint8_t Established = 2;
/// Last packet of a flow: the caller closes it.
inline constexpr std::uint8_t Last = 4;
} // namespace PacketFlag

/// Identifies the agent that holds a flow. Callers copy it from a CallerReply
/// into later packets, which lets a balancer address the agent directly. All
/// fields are 0 if a caller sends no token.
struct UpstreamToken {
  UpstreamId Upstream;
  Incarnation ProcessIncarnation;
  friend bool operator==(const UpstreamToken &,
                         const UpstreamToken &) = default;
};

/// A packet of a caller, as the network fabric delivers it to a balancer.
struct CallerPacket {
  Endpoint ServiceAddress;
  Endpoint Caller;
  FlowId Flow;
  std::uint8_t Flags = 0;
  UpstreamToken Token;
  Bytes Payload;
  friend bool operator==(const CallerPacket &, const CallerPacket &) = default;
};

/// State of a candidate according to the balancer's table.
enum class CandidateState : std::uint8_t {
  Accepting,
  /// Keeps its flows but accepts no new ones.
  Draining,
  /// Its announcements are overdue; it may have failed.
  Suspect,
  Max = Suspect
};

/// One upstream in the candidate chain of a packet.
struct Candidate {
  UpstreamId Upstream;
  Incarnation ProcessIncarnation;
  Endpoint Address;
  CandidateState State = CandidateState::Accepting;
  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Maximum number of entries in one chain. If the ranking of a packet is
/// longer, the balancer sends the packet along several chains in turn.
inline constexpr std::size_t MaxChainEntries = 4;

/// Hop limit. Agents drop a packet that has been forwarded this many times,
/// which breaks forwarding loops between agents that received the packet from
/// balancers with different tables.
inline constexpr std::uint8_t MaxHops = 32;

/// How agents process a ForwardedPacket.
enum class ForwardKind : std::uint8_t {
  /// The packet visits the candidates in ranking order until one of them holds
  /// the flow or, for a first packet, accepts it.
  Ranked,
  /// The packet is sent directly to the upstream that its token identifies,
  /// which is the only entry of Chain.
  Token,
  /// The packet only searches for an existing flow; no candidate accepts a new
  /// one. The last entry of Chain returns it to Prober in a ProbeMissed.
  Probe,
  Max = Probe
};

/// A caller packet that a balancer sends to an agent, or one agent to another.
struct ForwardedPacket {
  CallerPacket Packet;
  ServiceId Service;
  /// Upper 12 bits of the flow hash. They select the ranking of the candidates.
  std::uint16_t Bucket = 0;
  ForwardKind Kind = ForwardKind::Ranked;
  std::uint8_t HopCount = 0;
  /// Position of Chain[0] in the complete ranking.
  std::uint16_t FirstRank = 0;
  /// Index in Chain of the agent that receives this message.
  std::uint8_t ChainIndex = 0;
  /// True if the last entry of Chain is also the last one of the ranking.
  bool EndsRanking = false;
  /// True if Chain omits a suspect upstream. That upstream may hold the flow,
  /// so a search without a result does not prove that the flow does not exist.
  bool SkippedSuspect = false;
  Endpoint OriginBalancer;
  Revision TableRevision;
  std::vector<Candidate> Chain;
  /// Kind Probe only: the agent that searches for the flow.
  Candidate Prober;
  /// Load of the agent that forwards the packet, in permille of its admission
  /// limit.
  std::uint16_t SenderLoad = 0;
  UpstreamId Sender;
  friend bool operator==(const ForwardedPacket &,
                         const ForwardedPacket &) = default;
};

/// Agent to balancer: no agent in the chain holds the flow, and the ranking has
/// further entries that the balancer has to try.
struct ChainExhausted {
  ForwardedPacket Forwarded;
  friend bool operator==(const ChainExhausted &,
                         const ChainExhausted &) = default;
};

/// Agent to agent: the reply to a probe. None of the agents that may have held
/// the flow of this first packet earlier holds it.
struct ProbeMissed {
  ForwardedPacket Forwarded;
  friend bool operator==(const ProbeMissed &, const ProbeMissed &) = default;
};

/// Agent to agent: sent in reply to a forwarded first packet, so that the
/// sender can choose the less loaded of two candidates.
struct LoadReport {
  UpstreamId Upstream;
  /// In permille of the admission limit.
  std::uint16_t Load = 0;
  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

enum class CallerReplyKind : std::uint8_t {
  /// The flow is open. Token identifies the agent that holds it.
  Accept,
  /// Payload is an encoded SessionMessage of the agent.
  Data,
  /// No agent holds the flow. The caller has to open a new one.
  Reset,
  /// The first packet was refused and no request was run. The caller may retry
  /// after RetryAfterMs.
  Refused,
  /// The flow is closed.
  Closed,
  Max = Closed
};

/// A packet to a caller. Agents send all kinds, balancers only Reset and
/// Refused.
struct CallerReply {
  FlowId Flow;
  CallerReplyKind Kind = CallerReplyKind::Data;
  UpstreamToken Token;
  /// Refused only.
  std::uint32_t RetryAfterMs = 0;
  Bytes Payload;
  friend bool operator==(const CallerReply &, const CallerReply &) = default;
};

/// Balancer to balancer: requests a lease while no control instance can be
/// reached.
struct PeerLeaseQuery {
  std::string Node;
  /// Copied into the reply. The lease of a reply counts from its own query, so
  /// a late reply must not be matched with a newer query.
  std::uint64_t Nonce = 0;
  Revision AppliedRevision;
  friend bool operator==(const PeerLeaseQuery &,
                         const PeerLeaseQuery &) = default;
};

struct PeerLeaseReply {
  std::string Node;
  std::uint64_t Nonce = 0;
  /// Remaining lease of the peer; 0 if it has none.
  std::uint32_t RemainingMs = 0;
  Revision AppliedRevision;
  friend bool operator==(const PeerLeaseReply &,
                         const PeerLeaseReply &) = default;
};

/// Largest packet in relay mode: 1200 bytes of data and the packet header.
inline constexpr std::size_t MaxOpaquePacketBytes = 1300;

/// Hash of a service name. Unlike a ServiceId it is known to an agent that has
/// not received anything from a control instance yet.
using ServiceNameHash = StrongId<struct ServiceNameHashTag, std::uint32_t>;

/// Balancer to agent, relay mode: an unmodified packet of a flow.
struct RelayedPacket {
  ServiceNameHash Service;
  /// Number of agents that the packet has visited before.
  std::uint8_t Attempt = 0;
  /// The balancer does not know for sure which agent holds the flow. The agent
  /// that holds it replies with FlowHeld.
  bool WantsFlowHeld = false;
  /// First packets only: the rate limit of RouteShare::ColdMilliflowsPerSecond.
  /// It is repeated here because the agent may not have received anything from
  /// a control instance yet.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  Bytes Packet;
  friend bool operator==(const RelayedPacket &,
                         const RelayedPacket &) = default;
};

enum class ReturnReason : std::uint8_t {
  /// The upstream does not hold the flow.
  NotHeld,
  /// The upstream accepts no new flow at present.
  Declined,
  Max = Declined
};

/// Load of an upstream as observed by its agent.
///
/// A process of the release before 6 December 2026 reads only the three 16-bit
/// fields of the wire format, and computes the load per slot as (busy flows +
/// flows / 20) / slots. A load with a service time is therefore sent as a busy
/// upstream with 16,384 more slots: the slots field has bit 14 set, which no
/// upstream of at most 10,000 slots has, the flows field is unchanged, and the
/// busy field is larger, so that the quotient is the same as without the
/// service time. The busy field then grows by 65 or more with each busy flow.
/// What it exceeds the value for the busy flows by, 0 to 63, is 4 times the
/// binary logarithm of the service time. An old reader sees a load per slot
/// that is too high by less than 0.004. It gives less weight to the flows that
/// it has placed itself since. A service time that does not fit is not sent:
/// that of an upstream with more than 256 slots or with a load of about 4
/// requests for each slot.
struct UpstreamLoad {
  /// Flows with an outstanding request.
  std::uint16_t BusyFlows = 0;
  std::uint16_t Flows = 0;
  std::uint16_t Slots = 0;
  /// Mean time that a slot takes for a request, in milliseconds; 0 if the agent
  /// does not state it. The wire format has steps of 19%, from 1 ms to 55 s.
  std::uint16_t ServiceTimeMs = 0;
  friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// Agent to balancer, relay mode: the agent did not deliver the packet, and the
/// balancer has to try another upstream.
struct ReturnedPacket {
  ReturnReason Reason = ReturnReason::NotHeld;
  std::uint8_t Attempt = 0;
  /// Declined only: how long the balancer should offer this upstream no further
  /// new flows.
  std::uint16_t RetryAfterMs = 0;
  UpstreamLoad Load;
  Bytes Packet;
  friend bool operator==(const ReturnedPacket &,
                         const ReturnedPacket &) = default;
};

/// Agent to balancer, relay mode: the upstream of the agent has accepted the
/// flow or already holds it.
struct FlowHeld {
  Endpoint Caller;
  Endpoint Service;
  /// First sequence number that the upstream sent in the flow; 0 if the agent
  /// has not seen it.
  std::uint32_t FirstSequence = 0;
  UpstreamLoad Load;
  friend bool operator==(const FlowHeld &, const FlowHeld &) = default;
};

/// The two addresses that identify a flow.
struct FlowEndpoints {
  Endpoint Caller;
  Endpoint Service;
  friend auto operator<=>(const FlowEndpoints &,
                          const FlowEndpoints &) = default;
};

/// Largest number of flows in a FlowQuery or FlowsNotHeld.
inline constexpr std::size_t MaxFlowsInQuery = 64;

/// Balancer to agent, relay mode: asks whether the upstream of the agent holds
/// these flows. The agent answers with FlowHeld for each flow that it holds and
/// with one FlowsNotHeld for the others. It knows from its own flow table, so a
/// search for the holder of a flow delivers nothing to upstreams.
struct FlowQuery {
  /// The agent of another service does not hold the flows.
  ServiceNameHash ServiceName;
  std::vector<FlowEndpoints> Flows;
  friend bool operator==(const FlowQuery &, const FlowQuery &) = default;
};

struct FlowNotHeld {
  FlowEndpoints Flow;
  /// False if the agent does not know all flows of its upstream, because it
  /// started after the upstream. Only the upstream itself can then tell, by
  /// returning a packet of the flow.
  bool IsCertain = true;
  friend bool operator==(const FlowNotHeld &, const FlowNotHeld &) = default;
};

/// Agent to balancer, relay mode: the negative reply to a FlowQuery.
struct FlowsNotHeld {
  UpstreamLoad Load;
  std::vector<FlowNotHeld> Flows;
  friend bool operator==(const FlowsNotHeld &, const FlowsNotHeld &) = default;
};

/// Largest number of agents that a ChainedPacket visits.
inline constexpr std::size_t MaxChainedAgents = 20;

/// Balancer to agent and agent to agent, relay mode: a packet of a flow that
/// visits agents in turn until the upstream of one of them holds the flow. That
/// agent sends FlowHeld to the balancer, and each agent before it a
/// FlowsNotHeld that is certain.
struct ChainedPacket {
  ServiceNameHash Service;
  /// The balancer that searches for the holder. A balancer leaves it empty; the
  /// first agent sets it to the address from which it received the message.
  Endpoint OriginBalancer;
  /// Agents to be asked after the receiver.
  std::vector<Endpoint> NextAgents;
  Bytes Packet;
  friend bool operator==(const ChainedPacket &,
                         const ChainedPacket &) = default;
};

/// New messages are appended, because the position of a type is its number on
/// the wire.
using DataMessage =
    std::variant<CallerPacket, ForwardedPacket, ChainExhausted, ProbeMissed,
                 LoadReport, CallerReply, PeerLeaseQuery, PeerLeaseReply,
                 RelayedPacket, ReturnedPacket, FlowHeld, FlowQuery,
                 FlowsNotHeld, ChainedPacket>;

absl::StatusOr<DataMessage> decodeData(std::span<const std::byte> buf);

/// Appends the encoded message to \p out. Returns InvalidArgument and leaves
/// \p out unchanged if a field exceeds its limit.
absl::Status encodeData(const DataMessage &message, Bytes &out);

} // namespace pistachio
