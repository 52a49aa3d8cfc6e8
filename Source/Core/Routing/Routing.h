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
  Incarnation Run;
  Endpoint Address;
  CandidateState State = CandidateState::Accepting;
};

/// The members of one service, immutable once built.
class Service {
public:
  Service(ServiceId id, std::string name, std::vector<ServiceMember> members);

  ServiceId id() const { return Id; }
  const std::string &name() const { return Name; }
  std::span<const ServiceMember> members() const { return Members; }

  /// Writes the members of ranks \p firstRank and following into \p out and
  /// returns their count, which is below out.size() only at the end of the
  /// ranking. Allocates nothing for the first MaxChain ranks and for services
  /// of at most MaxDirectMembers members.
  std::size_t rank(std::uint16_t bucket, std::size_t firstRank,
                   std::span<std::uint16_t> out) const;

  /// Index of the member in members().
  std::optional<std::size_t> find(UpstreamId id) const;

private:
  ServiceId Id;
  std::string Name;
  /// Sorted by id.
  std::vector<ServiceMember> Members;
  /// MaxChain indices for each bucket; empty for services of at most
  /// MaxDirectMembers members.
  std::vector<std::uint16_t> Precomputed;
};

/// An immutable table of all services. A change makes a new table that shares
/// what did not change.
class ServiceTable {
public:
  virtual ~ServiceTable() = default;
  virtual Revision revision() const = 0;
  virtual const Service *findByAddress(const Endpoint &address) const = 0;
  virtual const Service *find(ServiceId id) const = 0;
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
  /// Time that peers have to answer after the lease is over.
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
  /// centres count as evidence that control is down.
  void onPeerAnswer(const PeerLeaseAnswer &answer, bool isOtherDataCentre,
                    TimePoint sentAt, Revision have);

  LeaseMode mode(TimePoint now) const;
  /// True while peers should be asked.
  bool wantsPeers(TimePoint now) const;
  /// What this node answers a peer.
  PeerLeaseAnswer answerPeer(TimePoint now, Revision have) const;

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
  std::array<Candidate, MaxChain> Chain;
  /// For Refuse, in milliseconds.
  std::uint32_t RetryAfterMs = 0;
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
/// member could not be asked.
RouteDecision continueRoute(const ServiceTable &table, LeaseMode mode,
                            const ForwardedPacket &packet);

/// The message for a decision of kind Forward. Takes the packet's payload.
ForwardedPacket makeForwarded(const RouteDecision &decision,
                              CallerPacket packet, const Endpoint &origin,
                              Revision tableRevision, std::uint8_t hopCount);

} // namespace pistachio
