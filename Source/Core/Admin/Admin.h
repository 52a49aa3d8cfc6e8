#pragma once

/// Public header of the Admin library: the administration API over HTTP and
/// JSON, and its client.

#include "Common/Common.h"
#include "Rules/Rules.h"
#include "Wire/Wire.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pistachio {

struct ApplyRequest {
  std::string OperationId;
  Revision ExpectedRevision;
  std::string Team;
  std::string Operator;
  std::string Rules;
};

struct ApplyOutcome {
  /// Revision of the rules after the change; the present one if nothing
  /// differs.
  Revision RulesRevision;
  /// As printed by formatChanges().
  std::string Changes;
  /// The operation id was known: this is the first result again.
  bool Repeated = false;
};

struct CurrentRules {
  Revision RulesRevision;
  std::string Rules;
};

struct BalancerStatus {
  std::string Name;
  std::string DataCentre;
  Endpoint Address;
  /// Revision that the node has confirmed as in force.
  Revision ConfirmedRevision;
  /// Time since its last lease request, in milliseconds.
  std::uint64_t LastLeaseRequestAgeMs = 0;
};

struct UpstreamStatus {
  UpstreamId Id;
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  /// active, draining, suspect or out.
  std::string State;
  std::uint32_t Slots = 0;
  std::uint32_t Flows = 0;
};

struct MemberStatus {
  MemberId Id;
  Endpoint Address;
  bool Voter = true;
};

struct ControlStatus {
  /// follower, pre-candidate, candidate or leader.
  std::string Role;
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  Revision Published;
  Revision RulesRevision;
  std::vector<MemberStatus> Members;
  std::vector<BalancerStatus> Balancers;
  std::vector<UpstreamStatus> Upstreams;
};

/// The JSON document of GET /v1/status.
std::string toJson(const ControlStatus &status);

/// What the API needs from the control instance. Callbacks run on the caller's
/// io_context and may run before the call returns. Status codes: Aborted is a
/// conflict of revisions (the message states the present one), Unavailable
/// means that this instance cannot reach the leader and nothing was changed,
/// InvalidArgument carries findings as formatted by Findings, PermissionDenied
/// and NotFound as usual, ResourceExhausted means that the change was refused
/// for want of space, DeadlineExceeded means that the outcome is not known and
/// the same operation id may be resent.
class AdminBackend {
public:
  virtual ~AdminBackend() = default;
  virtual void
  readRules(std::function<void(absl::StatusOr<CurrentRules>)> done) = 0;
  virtual void
  readStatus(std::function<void(absl::StatusOr<ControlStatus>)> done) = 0;
  virtual void
  apply(ApplyRequest request,
        std::function<void(absl::StatusOr<ApplyOutcome>)> done) = 0;
};

/// One team's credential.
struct TeamCredential {
  std::string Team;
  std::string Secret;
};

struct AdminServerOptions {
  Endpoint Listen;
  std::vector<TeamCredential> Credentials;
  /// Longest time from the first byte that is awaited to the end of a request,
  /// and the same for sending an answer.
  Duration RequestTimeout{10'000};
  /// Longest time that the backend may take; afterwards the outcome is reported
  /// as unknown.
  Duration BackendTimeout{15'000};
  /// Further connections wait in the listen queue of the system.
  std::size_t MaxConnections = 64;
};

inline constexpr std::size_t MaxAdminBodyBytes = 1024 * 1024;

/// The team of an apply request is the one of its credential, whatever its body
/// states.
class AdminServer {
public:
  /// Stops the server; destroy it on the thread that runs the context, or when
  /// none does.
  virtual ~AdminServer() = default;
  /// The bound endpoint; useful if port 0 was asked for.
  virtual Endpoint endpoint() const = 0;
  /// Connections that are open now.
  virtual std::size_t connections() const = 0;
  /// Closes all connections; the backend is not called afterwards.
  virtual void stop() = 0;
};

/// The context must be run by one thread, and the backend must outlive the
/// server. InvalidArgument without credentials or with one that is empty or
/// longer than 256 bytes, Unavailable if the endpoint cannot be bound.
absl::StatusOr<std::unique_ptr<AdminServer>>
startAdminServer(boost::asio::io_context &context, AdminServerOptions options,
                 AdminBackend &backend);

/// Blocking client with a deadline for each call. Tries the endpoints in turn
/// until one answers with something else than Unavailable, and gives each an
/// equal share of the time that is left. A lost answer to apply() is
/// DeadlineExceeded; the next call then begins with the following endpoint.
/// Further codes are those of AdminBackend and Unauthenticated. The team of a
/// request is not sent.
class AdminClient {
public:
  virtual ~AdminClient() = default;
  virtual absl::StatusOr<CurrentRules> readRules() = 0;
  virtual absl::StatusOr<ControlStatus> readStatus() = 0;
  virtual absl::StatusOr<ApplyOutcome> apply(const ApplyRequest &request) = 0;
};

std::unique_ptr<AdminClient> makeAdminClient(std::vector<Endpoint> servers,
                                             std::string secret,
                                             Duration deadline);

/// Routing as an operator's system states it, whole and with a version of its
/// own.
struct RoutingPlan {
  std::uint64_t Version = 0;
  std::vector<ServiceRule> Services;
  std::vector<RouteRule> Routes;
  /// What was sent; reads hand it back unchanged.
  std::string Document;
};

/// Orders of an operator's system. Every order may be repeated, at any control
/// instance. Errors: InvalidArgument if the order can never be carried out,
/// Unavailable if it was not accepted here now, DeadlineExceeded if the outcome
/// is not known.
class RoutingAdmin {
public:
  virtual ~RoutingAdmin() = default;
  /// OK also if the version is not above the one in force; nothing changes
  /// then.
  virtual void applyRouting(RoutingPlan plan,
                            std::function<void(absl::Status)> done) = 0;
  /// The newest routing; NotFound if there was none.
  virtual void
  readRouting(std::function<void(absl::StatusOr<RoutingDocument>)> done) = 0;
  virtual void setDataCentre(std::string name, DataCentreChange change,
                             std::function<void(absl::Status)> done) = 0;
};

} // namespace pistachio
