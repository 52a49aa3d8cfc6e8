#pragma once

/// Public header of the Routing library: the balancer's table, its lease and
/// the decision for each packet. No sockets, threads or clocks.

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

/// Buckets of every service; a flow's bucket is the upper 12 bits of its hash.
inline constexpr std::size_t BucketCount = 4096;

/// Services with more members than this hold precomputed chains for each
/// bucket.
inline constexpr std::size_t MaxDirectMembers = 32;

/// One member of a service, in any state but removed and with its data centre
/// not out.
struct ServiceMember {
  UpstreamId Id;
  Incarnation ProcessIncarnation;
  Endpoint Address;
  CandidateState State = CandidateState::Accepting;
  DataCentreId DataCentre{};
};

/// The members of one service, immutable once built. The ranking of a bucket
/// orders the members by rankWeight, suspect ones after all others: the ranking
/// of a first packet is its part before the suspect members.
class Service {
public:
  /// Members beyond the first 65,535 (by id) are left out. \p changed is the
  /// revision that led to these members.
  Service(ServiceId id, std::string name, Endpoint address,
          std::vector<ServiceMember> members, Revision changed = {});

  /// As above; reuses the chains of \p previous, of the same service, if few
  /// members differ.
  Service(const Service &previous, std::string name, Endpoint address,
          std::vector<ServiceMember> members, Revision changed);

  ServiceId id() const { return Id; }
  const std::string &name() const { return Name; }
  const Endpoint &address() const { return Address; }
  std::span<const ServiceMember> members() const { return Members; }
  /// Members that are not suspect.
  std::size_t trustedCount() const { return Trusted; }
  /// Rankings of packets routed at this revision or later are those of this
  /// object.
  Revision changed() const { return Changed; }
  std::size_t memoryBytes() const;

  /// Writes the members of ranks \p firstRank and following into \p out and
  /// returns their count, which is below out.size() only at the end of the
  /// ranking. Allocates nothing for the first MaxChain ranks and for services
  /// of at most MaxDirectMembers members.
  std::size_t rank(std::uint16_t bucket, std::size_t firstRank,
                   std::span<std::uint16_t> out) const;

  /// Index of the member in members().
  std::optional<std::size_t> find(UpstreamId id) const;

private:
  std::uint64_t weight(std::uint16_t bucket, std::size_t index) const;
  void computeChain(std::uint16_t bucket, std::span<std::uint16_t> out) const;
  bool updateChains(const Service &previous);

  ServiceId Id;
  Endpoint Address;
  Revision Changed;
  std::size_t Trusted = 0;
  /// Sorted by id.
  std::vector<ServiceMember> Members;
  /// MaxChain indices for each bucket; empty for services of at most
  /// MaxDirectMembers members.
  std::vector<std::uint16_t> Precomputed;
  std::string Name;
};

/// An immutable table of all services. A change makes a new table that shares
/// what did not change.
class ServiceTable {
public:
  virtual ~ServiceTable() = default;
  virtual Revision revision() const = 0;
  virtual const Service *findByAddress(const Endpoint &address) const = 0;
  virtual const Service *find(ServiceId id) const = 0;
  virtual const RouteRecord *findRoute(const Endpoint &address) const = 0;
  virtual std::size_t routeCount() const = 0;
  /// Members of a service whose data centre is out. They take no new flow and
  /// may hold open ones.
  virtual std::span<const ServiceMember> withdrawn(ServiceId id) const = 0;
  /// An id of 0 if the name is not known.
  virtual DataCentreId findDataCentre(std::string_view name) const = 0;
  virtual std::span<const BalancerRecord> balancers() const = 0;
  virtual std::size_t serviceCount() const = 0;
  virtual std::size_t upstreamCount() const = 0;
  /// Bytes held by this table alone or with others, for the capacity page.
  virtual std::size_t memoryBytes() const = 0;
};

using ServiceTablePtr = std::shared_ptr<const ServiceTable>;

/// Follows the published table. Parts are collected; only a whole update takes
/// effect.
class TableFollower {
public:
  TableFollower();
  ~TableFollower();
  TableFollower(const TableFollower &) = delete;
  TableFollower &operator=(const TableFollower &) = delete;

  /// True if a new table is in force. FailedPrecondition if the update does not
  /// start at the present revision (the node then subscribes again), OK and
  /// false for an old or partial one.
  absl::StatusOr<bool> apply(const TableUpdate &update);

  /// Revision 0 and no services until the first update.
  ServiceTablePtr table() const;

  /// Forgets collected parts, for a new connection.
  void restart();

private:
  class State;
  std::unique_ptr<State> Current;
};

/// What a balancer may do, depending on its contact to control (see
/// docs/design.md, 5.4).
enum class LeaseMode : std::uint8_t {
  /// No table yet: serve nothing.
  Starting,
  Leased,
  /// No lease, but peers in other data centres answer and have none either: go
  /// on with the table.
  ControlDown,
  /// No lease and no peer: send nothing to upstreams.
  Isolated
};

struct NodeLeaseOptions {
  /// Without a renewal for this long the lease is over.
  Duration Validity{3000};
  /// Peers are asked from this long before the end of the lease, so that their
  /// answers are here when it ends and no packet is sent without a decision.
  Duration PeerAnswerTime{500};
  /// How long an answer of a peer counts.
  Duration PeerAnswerValidity{3000};
};

/// Decides the mode of a balancer. Requests go out through the carrier, which
/// reports answers here.
class NodeLease {
public:
  NodeLease(std::string node, std::string dataCentre, NodeLeaseOptions options);

  /// A grant of control for the request that was sent at \p sentAt. A grant
  /// whose Committed is above \p have renews nothing: the table is behind.
  void onGrant(const LeaseGrant &grant, TimePoint sentAt, Revision have);
  /// \p isOtherDataCentre tells where the peer stands; only peers of other data
  /// centres count as evidence that control is down. An answer with a revision
  /// above \p have renews and proves nothing: the table is behind. The same
  /// holds for a peer that has no table yet.
  void onPeerAnswer(const PeerLeaseReply &answer, bool isOtherDataCentre,
                    TimePoint sentAt, Revision have);

  LeaseMode mode(TimePoint now) const;
  /// True while peers should be asked.
  bool wantsPeers(TimePoint now) const;
  /// What this node answers a peer.
  PeerLeaseReply answerPeer(TimePoint now, Revision have) const;

private:
  std::string Node;
  std::string DataCentre;
  NodeLeaseOptions Options;
  TimePoint ValidUntil{};
  bool EverLeased = false;
  /// Last time at which a peer of another data centre answered that it has no
  /// lease.
  TimePoint PeerWithoutLeaseAt{};
  bool AnyPeerWithoutLease = false;
};

enum class RouteAction : std::uint8_t {
  Forward,
  /// Tell the caller that the flow does not exist.
  Reset,
  /// Tell the caller to try again later; nothing was run.
  Refuse,
  /// Unknown address, no table or isolated: nothing is sent.
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

/// A decision without allocation: the chain refers to the table.
struct RouteDecision {
  RouteAction Action = RouteAction::Drop;
  DropReason Reason = DropReason::None;
  const Service *Target = nullptr;
  ForwardKind Kind = ForwardKind::Ranked;
  std::uint16_t Bucket = 0;
  std::uint16_t FirstRank = 0;
  /// Entries of Chain that are set.
  std::uint8_t ChainLength = 0;
  /// The entry that the packet is sent to.
  std::uint8_t ChainIndex = 0;
  bool EndsRanking = false;
  bool SkippedSuspect = false;
  std::array<Candidate, MaxChainEntries> Chain;
  /// For Refuse, in milliseconds.
  std::uint32_t RetryAfterMs = 0;
  /// Agents that the packet has passed, for the hop limit.
  std::uint8_t HopCount = 0;
  /// Kind Probe only.
  Candidate Prober;
};

/// What the decision needs of a packet; the payload is not looked at.
struct PacketHead {
  Endpoint ServiceAddress;
  Endpoint Caller;
  FlowId Flow;
  std::uint8_t Flags = 0;
  UpstreamToken Token;
};

/// Routes a packet of a caller. Suspect members are left out of the chain of a
/// first packet (with SkippedSuspect set) and asked last for other packets.
RouteDecision routePacket(const ServiceTable &table, LeaseMode mode,
                          const PacketHead &head);

/// Routes a packet whose chain has been walked to its end: the next ranks, or
/// Reset for an Established packet that nobody knows, or Drop while a suspect
/// member could not be asked. If the members of the service have changed since
/// the packet was routed, the walk starts again at rank 0, because a member may
/// have moved to a rank that was passed already.
RouteDecision continueRoute(const ServiceTable &table, LeaseMode mode,
                            const ForwardedPacket &packet);

/// The message for a decision of kind Forward. Takes the packet's payload.
ForwardedPacket makeForwarded(const RouteDecision &decision,
                              CallerPacket packet, const Endpoint &origin,
                              Revision tableRevision);

} // namespace pistachio
