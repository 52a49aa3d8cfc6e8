#pragma once

/// Public header of the Control library: the replicated state machine, what it
/// publishes to nodes, and the leases of announcements. No sockets, threads or
/// clocks.

#include "Common/Common.h"
#include "Rules/Rules.h"
#include "Wire/Wire.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

/// Result of an ApplyRules command, kept under its operation id.
struct ApplyResult {
  enum class Code : std::uint8_t {
    Applied,
    Unchanged,
    Conflict,
    Invalid,
    NotPermitted
  };
  Code Outcome = Code::Applied;
  Revision RulesRevision;
  /// Changes as printed by formatChanges(), or the findings.
  std::string Text;
};

/// New flows that one upstream of the service bears in a cold start, in
/// thousandths a second; NoColdBound if the rules set none.
std::uint32_t coldStartRateMilliPerSecond(const RuleSet &rules,
                                          std::string_view service);

struct UpstreamInfo {
  UpstreamRecord Record;
  std::string Zone;
  std::string Machine;
  std::uint32_t Slots = 0;
  /// As the upstream's announcements have it; Record.State also contains the
  /// drain rules.
  UpstreamState AnnouncedState = UpstreamState::Active;
};

/// Deterministic: the same commands at the same indices give the same state on
/// every member.
class ControlState {
public:
  virtual ~ControlState() = default;

  /// Applies one committed command.
  virtual void apply(std::uint64_t index, const LogCommand &command) = 0;

  /// Result for an operation id, if it was ever applied and is not yet aged out
  /// (24 h of log time, at most 200,000).
  virtual std::optional<ApplyResult>
  findResult(std::string_view operationId) const = 0;

  virtual Revision publishedRevision() const = 0;
  virtual Revision rulesRevision() const = 0;
  virtual const RuleSet &rules() const = 0;
  virtual const RoutingDocument &routing() const = 0;
  virtual std::vector<UpstreamInfo> upstreams() const = 0;
  virtual std::optional<UpstreamInfo> findUpstream(UpstreamId id) const = 0;
  virtual std::optional<UpstreamInfo>
  findUpstream(const Endpoint &address) const = 0;
  virtual std::vector<BalancerRecord> balancers() const = 0;
  virtual std::optional<BalancerRecord>
  findBalancer(std::string_view name) const = 0;
  virtual std::optional<ServiceRecord>
  findService(std::string_view name) const = 0;
  virtual std::optional<DataCentreRecord>
  findDataCentre(std::string_view name) const = 0;

  /// The updates that bring a node from \p have to the published revision: a
  /// delta if the change history reaches back that far, otherwise a whole table
  /// (Reset) in parts of at most MaxRecordsInUpdate records and about 60 KB.
  /// Empty if nothing is missing.
  virtual std::vector<TableUpdate> updatesSince(Revision have) const = 0;

  /// The whole state, for the log's snapshots.
  virtual Bytes save() const = 0;
  virtual absl::Status load(std::span<const std::byte> buf) = 0;
};

std::unique_ptr<ControlState> makeControlState();

struct AnnouncementOptions {
  Duration SuspectAfter{3000};
  Duration RemoveAfter{15000};
  /// Balancers that have not asked for a lease for this long are removed.
  Duration BalancerRemoveAfter{60000};
  /// A proposal that has had no effect for this long is made again; it may have
  /// been lost with a change of leader or refused by a full disk.
  Duration ProposalRetryInterval{2000};
  /// How long an incarnation that has left is remembered, so that a delayed
  /// announcement does not bring it back.
  Duration LeftIncarnationRetention{60000};
};

/// Runs at the leader: follows announcements and proposes joins, changes and
/// removals.
class AnnouncementTracker {
public:
  virtual ~AnnouncementTracker() = default;
  /// This member became leader: every known upstream and balancer gets its full
  /// time again.
  virtual void onLeadershipGained(const ControlState &state, TimePoint now) = 0;
  virtual AnnounceReply onAnnounce(const Announce &announce,
                                   const ControlState &state, TimePoint now,
                                   std::vector<LogCommand> &proposals) = 0;
  virtual void onSubscribe(const Subscribe &subscribe,
                           const ControlState &state, TimePoint now,
                           std::vector<LogCommand> &proposals) = 0;
  virtual void onLeaseRequest(const LeaseRequest &request, TimePoint now) = 0;
  virtual void tick(const ControlState &state, TimePoint now,
                    std::vector<LogCommand> &proposals) = 0;

  struct NodeStatus {
    std::string Name;
    Revision InForce;
    Duration SilentFor{0};
  };
  virtual std::vector<NodeStatus> nodes(TimePoint now) const = 0;
  /// Flows that the upstream last announced.
  virtual std::uint32_t flows(UpstreamId id) const = 0;
};

std::unique_ptr<AnnouncementTracker>
makeAnnouncementTracker(AnnouncementOptions options);

} // namespace pistachio
