#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachio {

inline constexpr std::size_t MaxNameBytes = 64;

/// Records of the published table. A record replaces an earlier one with the
/// same id.
struct ServiceRecord {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  friend bool operator==(const ServiceRecord &,
                         const ServiceRecord &) = default;
};

struct RouteShare {
  ServiceId Service;
  std::uint32_t Weight = 1;
  /// New flows that one upstream bears in a cold start, in thousandths a
  /// second; UnlimitedColdRate if the rules set none.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

inline constexpr std::size_t MaxRouteShares = 64;

/// A route has no id: its address is its key.
struct RouteRecord {
  Endpoint Address;
  std::vector<RouteShare> Shares;
  /// Services that earlier versions of the route named; they may still hold
  /// open flows.
  std::vector<ServiceId> FormerServices;
  friend bool operator==(const RouteRecord &, const RouteRecord &) = default;
};

struct DataCentreRecord {
  DataCentreId Id;
  std::string Name;
  /// Taken out by operators: its upstreams receive nothing.
  bool IsTakenOut = false;
  friend bool operator==(const DataCentreRecord &,
                         const DataCentreRecord &) = default;
};

enum class UpstreamState : std::uint8_t {
  Active,
  Draining,
  Suspect,
  Max = Suspect
};

struct UpstreamRecord {
  UpstreamId Id;
  ServiceId Service;
  DataCentreId DataCentre;
  Endpoint Address;
  Incarnation Run;
  UpstreamState State = UpstreamState::Active;
  friend bool operator==(const UpstreamRecord &,
                         const UpstreamRecord &) = default;
};

struct BalancerRecord {
  std::string Name;
  DataCentreId DataCentre;
  Endpoint Address;
  friend bool operator==(const BalancerRecord &,
                         const BalancerRecord &) = default;
};

/// Upper bound of records in one TableUpdate; a larger change travels in
/// several parts.
inline constexpr std::size_t MaxRecordsInUpdate = 4096;

/// Control to node: the change from one revision to the next that the node
/// applies, or (Reset) a whole table. A node applies it only when the last part
/// has arrived, and only if To is higher than its own revision.
struct TableUpdate {
  Revision From;
  Revision To;
  bool Reset = false;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::vector<ServiceRecord> Services;
  std::vector<DataCentreRecord> DataCentres;
  std::vector<UpstreamRecord> Upstreams;
  std::vector<BalancerRecord> Balancers;
  std::vector<RouteRecord> Routes;
  std::vector<ServiceId> RemovedServices;
  std::vector<DataCentreId> RemovedDataCentres;
  std::vector<UpstreamId> RemovedUpstreams;
  std::vector<std::string> RemovedBalancers;
  std::vector<Endpoint> RemovedRoutes;
  friend bool operator==(const TableUpdate &, const TableUpdate &) = default;
};

/// Node to control, first message of a connection of a balancer.
struct Subscribe {
  std::string Node;
  std::string DataCentre;
  /// Where the node receives datagrams.
  Endpoint Address;
  Revision AppliedRevision;
  friend bool operator==(const Subscribe &, const Subscribe &) = default;
};

/// Node to control: the table up to this revision is in force here, and the
/// lease is renewed.
struct LeaseRequest {
  std::string Node;
  Revision AppliedRevision;
  friend bool operator==(const LeaseRequest &, const LeaseRequest &) = default;
};

/// Control to node. ValidMs counts from the moment at which the node sent the
/// request; 0 means that the lease is not renewed. Each request gets one
/// answer, in order.
struct LeaseGrant {
  std::uint32_t ValidMs = 0;
  Revision CommittedRevision;
  friend bool operator==(const LeaseGrant &, const LeaseGrant &) = default;
};

/// Agent to control, once a second.
struct Announce {
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  Incarnation Run;
  std::uint32_t Slots = 0;
  std::uint32_t Flows = 0;
  /// The agent was told to stop and takes no new flows.
  bool Draining = false;
  /// The agent holds no flow any more and is about to exit.
  bool Leaving = false;
  friend bool operator==(const Announce &, const Announce &) = default;
};

enum class AnnounceResult : std::uint8_t {
  Accepted,
  /// Operators or the agent itself asked for it: no new flows.
  Draining,
  /// The data centre is out: carry nothing.
  DataCentreOut,
  /// The announcement names an unknown service or data centre; Reason says
  /// which.
  Rejected,
  /// This control instance cannot reach the leader; keep the last state and try
  /// another instance.
  Unavailable,
  Max = Unavailable
};

/// For logs.
std::string_view nameOf(AnnounceResult result);

struct AnnounceReply {
  AnnounceResult Result = AnnounceResult::Unavailable;
  UpstreamId Upstream;
  ServiceId Service;
  std::string Reason;
  /// Requests that the rules let this upstream run at the same time; 0 if they
  /// set no bound.
  std::uint32_t Slots = 0;
  friend bool operator==(const AnnounceReply &,
                         const AnnounceReply &) = default;
};

inline constexpr std::size_t MaxControlInstances = 64;

/// Control to node, when it connects and when the group changes: where other
/// control instances can be reached. The configured ones may all be down or
/// have lost their memory.
struct ControlInstances {
  std::vector<Endpoint> Addresses;
  friend bool operator==(const ControlInstances &,
                         const ControlInstances &) = default;
};

using NodeMessage =
    std::variant<TableUpdate, Subscribe, LeaseRequest, LeaseGrant, Announce,
                 AnnounceReply, ControlInstances>;

absl::StatusOr<NodeMessage> decodeNode(std::span<const std::byte> buf);
absl::Status encodeNode(const NodeMessage &message, Bytes &out);

} // namespace pistachio
