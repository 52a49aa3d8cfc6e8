#pragma once

/// Public header of the Admin library: the administration API, which uses JSON
/// over HTTP, and a client for it.

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
  /// Identifies the request, so that a repeated request is recognised.
  std::string OperationId;
  /// Revision of the rules that the change is based on. If the current revision
  /// differs, the request fails with Aborted.
  Revision ExpectedRevision;
  std::string Team;
  std::string Operator;
  std::string Rules;
};

struct ApplyOutcome {
  /// Revision of the rules after the change. If the submitted rules equal the
  /// current ones, this is the current revision.
  Revision RulesRevision;
  /// The changes in the format of formatChanges().
  std::string Changes;
  /// True if the operation id was already known. The result is then that of the
  /// first request with this id.
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
  /// Latest revision that the balancer has confirmed as in force.
  Revision ConfirmedRevision;
  /// Time since the last lease request of the balancer, in milliseconds.
  std::uint64_t LastLeaseRequestAgeMs = 0;
};

struct UpstreamStatus {
  UpstreamId Id;
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  /// One of active, draining, suspect and out.
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
  /// One of follower, pre-candidate, candidate and leader.
  std::string Role;
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  Revision Published;
  Revision RulesRevision;
  std::vector<MemberStatus> Members;
  std::vector<BalancerStatus> Balancers;
  std::vector<UpstreamStatus> Upstreams;
};

/// Returns the JSON document that GET /v1/status answers with.
std::string toJson(const ControlStatus &status);

/// Interface between the administration API and the control instance. Callbacks
/// run on the io_context of the caller and may run before the call returns. The
/// status codes have these meanings: Aborted reports a revision conflict, and
/// its message states the current revision. Unavailable means that this
/// instance cannot reach the leader and that nothing was changed.
/// InvalidArgument carries findings, one "file:line:column: text" a line.
/// ResourceExhausted means that the change was rejected because there is not
/// enough space. DeadlineExceeded means that the outcome is unknown and that
/// the request may be resent with the same operation id. PermissionDenied and
/// NotFound have their usual meaning.
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

/// The credential that authenticates a team.
struct TeamCredential {
  std::string Team;
  std::string Secret;
};

struct AdminServerOptions {
  Endpoint Listen;
  std::vector<TeamCredential> Credentials;
  /// Maximum time for receiving a complete request, counted from when the
  /// server starts to wait for its first byte. The same limit applies to
  /// sending a response. In milliseconds.
  Duration RequestTimeout{10'000};
  /// Maximum time that the backend may take. After it, a read is answered as
  /// unavailable and a change as having an unknown outcome. In
  /// milliseconds.
  Duration BackendTimeout{15'000};
  /// Maximum number of open connections. Further connections wait in the listen
  /// queue of the operating system.
  std::size_t MaxConnections = 64;
};

inline constexpr std::size_t MaxAdminBodyBytes = 1024 * 1024;

/// HTTP server of the administration API. The team of an apply request is
/// always the team of its credential; a team in the request body is ignored.
class AdminServer {
public:
  /// Stops the server. Must run on the thread that runs the io_context, or
  /// while no thread runs it.
  virtual ~AdminServer() = default;
  /// Returns the bound endpoint, which has the actual port if port 0 was
  /// requested.
  virtual Endpoint endpoint() const = 0;
  /// Returns the number of open connections.
  virtual std::size_t connections() const = 0;
  /// Closes all connections. The backend is not called afterwards.
  virtual void stop() = 0;
};

/// Starts the server. Only one thread may run the context, and the backend must
/// outlive the server. Returns InvalidArgument if there are no credentials or
/// if one of them is empty or longer than 256 bytes, and Unavailable if the
/// endpoint cannot be bound.
absl::StatusOr<std::unique_ptr<AdminServer>>
startAdminServer(boost::asio::io_context &context, AdminServerOptions options,
                 AdminBackend &backend);

/// Blocking client with a deadline for each call. It tries the servers in turn
/// until one returns something other than Unavailable, and gives each of them
/// an equal share of the remaining time. If the response to apply() is lost,
/// the call returns DeadlineExceeded and the next call starts with the next
/// server. The other status codes are those of AdminBackend and
/// Unauthenticated. The team of a request is not sent, because the server takes
/// it from the credential.
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

/// Asks a balancer of mode relay what a first packet of the flow would lead to
/// and returns the JSON document of its answer. \p balancer is the address at
/// which the balancer serves its metrics. Returns Unavailable if no complete
/// answer arrives within \p timeout or the balancer has made too many
/// explanations in this second, and NotFound if the process serves no
/// explanations.
absl::StatusOr<std::string> readExplanation(const Endpoint &balancer,
                                            const FlowEndpoints &flow,
                                            Duration timeout);

/// A complete routing configuration as sent by the system of an operator. It
/// has a version number of its own.
struct RoutingPlan {
  std::uint64_t Version = 0;
  std::vector<ServiceRule> Services;
  std::vector<RouteRule> Routes;
  /// The document as it was received. Reads return it unchanged.
  std::string Document;
};

/// Commands that the system of an operator sends to a control instance. A
/// command may be repeated, and may be sent to any control instance. Errors:
/// InvalidArgument if the command can never be carried out, Unavailable if this
/// instance could not accept it at this time, DeadlineExceeded if the outcome
/// is unknown.
class RoutingAdmin {
public:
  virtual ~RoutingAdmin() = default;
  /// Returns OK without a change if the version is not higher than the one in
  /// force.
  virtual void applyRouting(RoutingPlan plan,
                            std::function<void(absl::Status)> done) = 0;
  /// Reads the latest routing. Returns NotFound if no routing was applied yet.
  virtual void
  readRouting(std::function<void(absl::StatusOr<RoutingDocument>)> done) = 0;
  /// Such an order has no version. The caller sends it again elsewhere when it
  /// has waited in vain, and may give the opposite order later. So an order is
  /// not carried out once \p isAbandoned returns true, or once it may be older
  /// than the time for which callers wait.
  virtual void setDataCentre(std::string name, DataCentreChange change,
                             std::function<bool()> isAbandoned,
                             std::function<void(absl::Status)> done) = 0;
};

} // namespace pistachio
