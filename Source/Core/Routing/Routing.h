#pragma once

/// Public header of the Routing library: a balancer's copy of the service
/// table, its lease and the routing decision for each packet. The library
/// contains no sockets, threads or clocks: callers pass the time in and send
/// the messages.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include "absl/status/statusor.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

/// Number of buckets of every service. The bucket of a flow is the upper 12
/// bits of hashFlow(), which is the same on all balancers.
inline constexpr std::size_t BucketCount = 4096;

/// Rankings of services with up to this many members are computed for each
/// packet. Larger services store the first MaxChainEntries ranks of each
/// bucket.
inline constexpr std::size_t MaxOnDemandMembers = 32;

/// A member of a service: an upstream that Run tells apart from earlier
/// processes at the same endpoint. Members of withdrawn data centres are listed
/// apart from the others, see ServiceTable::withdrawnMembers().
struct ServiceMember {
  UpstreamId Id;
  Incarnation ProcessIncarnation;
  Endpoint Address;
  CandidateState State = CandidateState::Accepting;
  DataCentreId DataCentre{};
};

/// The members of one service; immutable once built. The ranking of a bucket
/// orders the members by rendezvous hashing (descending rendezvousWeight()),
/// with suspect members after all others. First packets use only the part of
/// the ranking before the suspect members. A chain is a part of a ranking: up
/// to MaxChainEntries members of consecutive ranks, which agents try in this
/// order.
class Service {
public:
  /// Builds a service and computes its chains if it has more than
  /// MaxOnDemandMembers members. Members beyond the first 65,535 in the order
  /// of ids are left out. \p membersRevision is the revision of the table in
  /// which the members last changed.
  Service(ServiceId id, std::string name, Endpoint address,
          std::vector<ServiceMember> members, Revision membersRevision = {});

  /// Builds a service from \p previous, an earlier version of the same service.
  /// The precomputed chains of \p previous are copied and updated if only a few
  /// members differ; otherwise all chains are computed again. The parameter
  /// \p membersRevision is the revision of the table in which the members last
  /// changed.
  Service(const Service &previous, std::string name, Endpoint address,
          std::vector<ServiceMember> members, Revision membersRevision);

  ServiceId id() const { return Id; }
  const std::string &name() const { return Name; }
  const Endpoint &address() const { return Address; }
  std::span<const ServiceMember> members() const { return Members; }
  /// Number of members that are not suspect.
  std::size_t nonSuspectCount() const { return NonSuspect; }
  /// Revision of the table in which the members last changed. A chain that was
  /// built with a table of this revision or a later one continues in the
  /// rankings of this object.
  Revision membersRevision() const { return MembersRevision; }
  std::size_t memoryBytes() const;

  /// Writes the members from rank \p firstRank on to \p out, as indices into
  /// members(), and returns their number. It is less than out.size() only at
  /// the end of the ranking. Makes no allocation for the first MaxChainEntries
  /// ranks, nor for services of at most MaxOnDemandMembers members.
  std::size_t readRanking(std::uint16_t bucket, std::size_t firstRank,
                          std::span<std::uint16_t> out) const;

  /// Returns the index of the member in members().
  std::optional<std::size_t> find(UpstreamId id) const;

private:
  std::uint64_t weight(std::uint16_t bucket, std::size_t index) const;
  void computeChain(std::uint16_t bucket, std::span<std::uint16_t> out) const;
  bool updateChains(const Service &previous);

  ServiceId Id;
  Endpoint Address;
  Revision MembersRevision;
  std::size_t NonSuspect = 0;
  /// Sorted by id.
  std::vector<ServiceMember> Members;
  /// MaxChainEntries indices into Members for each bucket; empty for services
  /// of at most MaxOnDemandMembers members.
  std::vector<std::uint16_t> PrecomputedChains;
  std::string Name;
};

/// An immutable table of all services. An update creates a new table that
/// shares all unchanged parts with the previous one.
class ServiceTable {
public:
  virtual ~ServiceTable() = default;
  virtual Revision revision() const = 0;
  virtual const Service *findByAddress(const Endpoint &address) const = 0;
  virtual const Service *find(ServiceId id) const = 0;
  virtual const RouteRecord *findRoute(const Endpoint &address) const = 0;
  virtual std::size_t routeCount() const = 0;
  /// Members of a service whose data centre is withdrawn. They accept no new
  /// flows but may hold open ones.
  virtual std::span<const ServiceMember>
  withdrawnMembers(ServiceId id) const = 0;
  /// Returns an id of 0 if the name is unknown.
  virtual DataCentreId findDataCentre(std::string_view name) const = 0;
  /// Returns an empty text if the id is unknown.
  virtual std::string_view dataCentreName(DataCentreId id) const = 0;
  virtual std::span<const BalancerRecord> balancers() const = 0;
  virtual std::size_t serviceCount() const = 0;
  virtual std::size_t upstreamCount() const = 0;
  /// Memory of this table in bytes, including parts that it shares with other
  /// tables.
  virtual std::size_t memoryBytes() const = 0;
};

using ServiceTablePtr = std::shared_ptr<const ServiceTable>;

/// A balancer's copy of the table that control publishes. An update may arrive
/// in several parts and takes effect when all of them are there.
class TableReplica {
public:
  TableReplica();
  ~TableReplica();
  TableReplica(const TableReplica &) = delete;
  TableReplica &operator=(const TableReplica &) = delete;

  /// Returns true if the update has created a new table, and false if it is
  /// outdated or parts are missing. Returns FailedPrecondition if the update
  /// does not start at the current revision; the balancer then has to subscribe
  /// again.
  absl::StatusOr<bool> apply(const TableUpdate &update);

  /// Returns a table of revision 0 without services until the first update.
  ServiceTablePtr table() const;

  /// Discards the parts of an incomplete update, for a new connection.
  void discardParts();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

/// State of a balancer's lease, which determines whether the balancer routes
/// packets. Control grants the lease; it is renewed only while the balancer's
/// table is current, and expires otherwise. The balancer then falls back on
/// evidence from its peers: if a peer in another data centre has no lease
/// either, control itself is down and does not change the table, so the
/// balancer keeps routing. Without this evidence the balancer may be cut off
/// from control with an outdated table, so it stops.
enum class LeaseMode : std::uint8_t {
  /// The balancer has not had a lease since it started. It drops all packets.
  Starting,
  /// The lease is valid; packets are routed.
  Leased,
  /// The lease has expired, and a peer in another data centre has replied that
  /// it has none either. Packets are routed with the last table.
  ControlDown,
  /// The lease has expired, and no peer has given such a reply. The balancer
  /// drops all packets.
  Isolated
};

struct NodeLeaseOptions {
  /// A lease ends at the latest this long after the request that last renewed
  /// it.
  Duration Validity{3000};
  /// Peers are queried from this long before the end of the lease, so that
  /// their replies have arrived by then and no packet is routed without a valid
  /// mode.
  Duration PeerQueryLead{500};
  /// How long the reply of a peer counts as evidence, from the query on.
  Duration PeerReplyValidity{3000};
};

/// Tracks the lease of a balancer and derives its mode. The user of the class
/// sends the requests to control and the queries to peers, and passes in the
/// grants and replies.
class NodeLease {
public:
  NodeLease(std::string node, std::string dataCentre, NodeLeaseOptions options);

  /// Handles a grant of control for the request sent at \p sentAt. If the
  /// committed revision in the grant is above \p ownRevision, the balancer's
  /// table is outdated and the lease is not renewed.
  void onGrant(const LeaseGrant &grant, TimePoint sentAt, Revision ownRevision);
  /// Handles the reply of a peer to the query sent at \p sentAt. If the peer
  /// has a lease, the balancer's own lease is extended by the remaining time of
  /// the peer's lease, counted from \p sentAt. If the peer has none, the reply
  /// is evidence that control is down, provided that \p isOtherDataCentre is
  /// true: the peer is in another data centre than the balancer. The reply is
  /// ignored if its revision is above \p ownRevision, because the balancer's
  /// table is then outdated, or if the peer has no table yet.
  void onPeerReply(const PeerLeaseReply &reply, bool isOtherDataCentre,
                   TimePoint sentAt, Revision ownRevision);

  LeaseMode mode(TimePoint now) const;
  /// Returns true while peers should be queried.
  bool needsPeerReplies(TimePoint now) const;
  /// Builds the reply to the query of a peer, without the nonce.
  PeerLeaseReply makePeerReply(TimePoint now, Revision ownRevision) const;

private:
  std::string Node;
  std::string DataCentre;
  NodeLeaseOptions Options;
  TimePoint ValidUntil{};
  bool EverLeased = false;
  /// When the last query was sent to which a peer of another data centre
  /// replied that it has no lease.
  TimePoint PeerWithoutLeaseAt{};
  bool HasPeerWithoutLease = false;
};

enum class RouteAction : std::uint8_t {
  Forward,
  /// Tell the caller that the flow does not exist.
  Reset,
  /// Tell the caller to try again later. No request has run.
  Refuse,
  /// Send nothing, for the reason that DropReason gives.
  Drop
};

enum class DropReason : std::uint8_t {
  None,
  UnknownService,
  NotServing,
  Isolated,
  NoMember,
  HopLimit,
  Max = HopLimit
};

/// A routing decision. It needs no allocation: Target points into the table and
/// the chain has a fixed size.
struct RouteDecision {
  RouteAction Action = RouteAction::Drop;
  DropReason Reason = DropReason::None;
  const Service *Target = nullptr;
  ForwardKind Kind = ForwardKind::Ranked;
  std::uint16_t Bucket = 0;
  std::uint16_t FirstRank = 0;
  /// Number of used entries of Chain.
  std::uint8_t ChainLength = 0;
  /// Index of the chain entry to which the packet is sent.
  std::uint8_t ChainIndex = 0;
  bool EndsRanking = false;
  bool SkippedSuspect = false;
  std::array<Candidate, MaxChainEntries> Chain;
  /// Set for Refuse, in milliseconds.
  std::uint32_t RetryAfterMs = 0;
  /// Number of agents that the packet has passed, for the hop limit.
  std::uint8_t HopCount = 0;
  /// For kind Probe only: the agent that sent the probe. It has a first packet
  /// and asks the later members of the ranking whether one of them already
  /// holds the flow, before it accepts the flow itself. The last of them
  /// replies to it.
  Candidate Prober;
};

/// The header fields of a packet that the decision needs. The payload is not
/// inspected.
struct RoutingHeader {
  Endpoint ServiceAddress;
  Endpoint Caller;
  FlowId Flow;
  std::uint8_t Flags = 0;
  UpstreamToken Token;
};

/// Routes a packet from a caller. For a first packet, suspect members are left
/// out of the chain and SkippedSuspect is set; for other packets they are at
/// the end of the ranking.
RouteDecision routePacket(const ServiceTable &table, LeaseMode mode,
                          const RoutingHeader &header);

/// Routes a packet again when no entry of its chain knows the flow. The result
/// is a chain with the next ranks; Reset for an Established packet at the end
/// of the ranking; or Drop if a suspect member was left out. If the members of
/// the service have changed since the packet was routed, the ranking is started
/// again at rank 0, because a member may have moved to a rank that was already
/// tried.
RouteDecision continueRoute(const ServiceTable &table, LeaseMode mode,
                            const ForwardedPacket &packet);

/// Builds the message for a decision with action Forward and moves the payload
/// of \p packet into it.
ForwardedPacket makeForwardedPacket(const RouteDecision &decision,
                                    CallerPacket packet, const Endpoint &origin,
                                    Revision tableRevision);

} // namespace pistachio
