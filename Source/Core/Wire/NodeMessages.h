#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachio {

inline constexpr std::size_t MaxNameBytes = 64;

// Records of the table that control instances publish to the nodes. A record
// replaces an earlier one with the same id.

struct ServiceRecord {
  ServiceId Id;
  std::string Name;
  Endpoint Address;
  friend bool operator==(const ServiceRecord &,
                         const ServiceRecord &) = default;
};

/// The share of a route's new flows that one service receives.
struct RouteShare {
  ServiceId Service;
  std::uint32_t Weight = 1;
  /// Limit on the rate of new flows to one upstream during a cold start, in
  /// thousandths of a flow per second; UnlimitedColdRate if the rules set no
  /// limit.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

/// More than a line of the rules can name: it has 64 KiB, and a service takes
/// at least 15 bytes of it.
inline constexpr std::size_t MaxRouteShares = 4400;
inline constexpr std::size_t MaxFormerServices = 64;

/// Distributes the flows to one address over several services. A route has no
/// id; the address is its key.
struct RouteRecord {
  Endpoint Address;
  std::vector<RouteShare> Shares;
  /// Services of earlier versions of the route. Their upstreams may still hold
  /// open flows.
  std::vector<ServiceId> FormerServices;
  RouteTerms Terms{};
  friend bool operator==(const RouteRecord &, const RouteRecord &) = default;
};

struct DataCentreRecord {
  DataCentreId Id;
  std::string Name;
  /// Operators have taken the data centre out of service; its upstreams receive
  /// no packets.
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
  Incarnation ProcessIncarnation;
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

/// Maximum number of records in each list of a TableUpdate. A larger change is
/// sent in several parts.
inline constexpr std::size_t MaxRecordsInUpdate = 4096;

/// Control to node: the changes of the table from revision From to revision To,
/// or the complete table if Reset is set. A node applies an update only when
/// all its parts have arrived, and only if To is higher than its own revision.
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

/// Balancer to control: the first message of a connection.
struct Subscribe {
  std::string Node;
  std::string DataCentre;
  /// Endpoint at which the balancer receives datagrams.
  Endpoint Address;
  Revision AppliedRevision;
  friend bool operator==(const Subscribe &, const Subscribe &) = default;
};

/// Balancer to control: confirms that the balancer has applied the table up to
/// AppliedRevision, and requests the renewal of its lease.
struct LeaseRequest {
  std::string Node;
  Revision AppliedRevision;
  friend bool operator==(const LeaseRequest &, const LeaseRequest &) = default;
};

/// Control to balancer: the reply to a LeaseRequest. Every request is answered,
/// in the order of the requests.
struct LeaseGrant {
  /// Duration of the lease, counted from the time at which the balancer sent
  /// the request; 0 if the lease is not renewed.
  std::uint32_t ValidMs = 0;
  /// Latest committed revision of the table. The grant does not extend the
  /// lease of a balancer whose own table is older.
  Revision CommittedRevision;
  friend bool operator==(const LeaseGrant &, const LeaseGrant &) = default;
};

/// Agent to control: registers the upstream and reports its state, once a
/// second.
struct Announce {
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  Incarnation ProcessIncarnation;
  std::uint32_t Slots = 0;
  std::uint32_t Flows = 0;
  /// The agent has been told to stop and accepts no new flows.
  bool Draining = false;
  /// The agent holds no flows any more and is about to exit.
  bool Leaving = false;
  friend bool operator==(const Announce &, const Announce &) = default;
};

enum class AnnounceResult : std::uint8_t {
  Accepted,
  /// The upstream is draining at the request of operators or of the agent: it
  /// must accept no new flows.
  Draining,
  /// The data centre is out of service: the agent must carry no flows.
  DataCentreOut,
  /// The service or data centre of the announcement is not declared. Reason
  /// says which one.
  Rejected,
  /// This control instance cannot reach the leader. The agent should keep its
  /// last state and try another instance.
  Unavailable,
  Max = Unavailable
};

/// Name of the result for log lines.
std::string_view nameOf(AnnounceResult result);

struct AnnounceReply {
  AnnounceResult Result = AnnounceResult::Unavailable;
  UpstreamId Upstream;
  ServiceId Service;
  std::string Reason;
  /// Maximum number of concurrent requests that the rules allow this upstream;
  /// 0 if they set no limit.
  std::uint32_t Slots = 0;
  friend bool operator==(const AnnounceReply &,
                         const AnnounceReply &) = default;
};

inline constexpr std::size_t MaxControlInstances = 64;

/// Control to node: the endpoints of the control instances, sent after a node
/// has connected and when the group changes. A node needs them if all control
/// instances in its settings have failed or have lost their state.
struct ControlInstances {
  std::vector<Endpoint> Addresses;
  friend bool operator==(const ControlInstances &,
                         const ControlInstances &) = default;
};

/// Balancer to control: asks for the latest committed revision of the table.
struct TableQuery {
  /// Chosen by the balancer; the reply repeats it.
  std::uint32_t Query = 0;
  friend bool operator==(const TableQuery &, const TableQuery &) = default;
};

/// Control to balancer: the reply to a TableQuery. All revisions that were
/// committed when the query arrived are at most CommittedRevision. A control
/// instance that cannot reach the leader does not reply.
struct TableConfirmation {
  std::uint32_t Query = 0;
  Revision CommittedRevision;
  friend bool operator==(const TableConfirmation &,
                         const TableConfirmation &) = default;
};

using NodeMessage =
    std::variant<TableUpdate, Subscribe, LeaseRequest, LeaseGrant, Announce,
                 AnnounceReply, ControlInstances, TableQuery,
                 TableConfirmation>;

// A TableUpdate is encoded in a form of its own if one of its routes has terms.
// Processes of releases without route terms cannot decode that form. Without
// terms the bytes are the same as in those releases.

absl::StatusOr<NodeMessage> decodeNode(std::span<const std::byte> buf);
absl::Status encodeNode(const NodeMessage &message, Bytes &out);

} // namespace pistachio
