#pragma once

/// Public header of the Admin library: the administration API over HTTP and
/// JSON, and its client.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

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

struct NodeStatus {
  std::string Name;
  std::string DataCentre;
  Endpoint Address;
  /// Revision that the node has confirmed as in force.
  Revision InForce;
  /// Time since its last lease request, in milliseconds.
  std::uint64_t SilentMs = 0;
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
  std::vector<NodeStatus> Balancers;
  std::vector<UpstreamStatus> Upstreams;
};

/// What the API needs from the control instance. Callbacks run on the caller's
/// io_context. Status codes: Aborted is a conflict of revisions, Unavailable
/// means that this instance cannot reach the leader, InvalidArgument carries
/// findings, PermissionDenied and NotFound as usual, DeadlineExceeded means
/// that the outcome is not known and the same operation id may be resent.
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
};

class AdminServer {
public:
  virtual ~AdminServer() = default;
  /// The bound endpoint; useful if port 0 was asked for.
  virtual Endpoint endpoint() const = 0;
  virtual void stop() = 0;
};

absl::StatusOr<std::unique_ptr<AdminServer>>
startAdminServer(boost::asio::io_context &context, AdminServerOptions options,
                 AdminBackend &backend);

/// Blocking client with a deadline for each call. Tries the endpoints in turn
/// until one answers with something else than Unavailable. A lost answer to
/// apply() is DeadlineExceeded.
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

} // namespace pistachio
