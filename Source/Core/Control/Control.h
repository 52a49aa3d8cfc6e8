#pragma once

/// Public header of the Control library: the replicated state machine of the
/// control group, the table updates that it publishes to nodes, and the
/// tracking of announcements with their timeouts. The library uses no sockets,
/// threads or clocks; callers pass in the time.

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

/// Result of a command that carries an operation id. It is stored under that id
/// so that a resent command returns the same result.
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
  /// The applied changes as printed by formatChanges(), or the reason for which
  /// the command had no effect.
  std::string Text;
};

/// Request rate that one upstream of the service can handle during its cold
/// start, in thousandths of a request per second. UnlimitedColdRate if the
/// rules set no rate. The cold start is the period after an upstream's start
/// for which its status report still gives a remaining time.
std::uint32_t coldStartRateMilliPerSecond(const RuleSet &rules,
                                          std::string_view service);

/// An upstream as control knows it: the published record and what only control
/// needs.
struct UpstreamInfo {
  UpstreamRecord Record;
  std::string Zone;
  std::string Machine;
  std::uint32_t Slots = 0;
  /// State that results from the upstream's announcements alone. Record.State
  /// also takes the drain rules into account.
  UpstreamState AnnouncedState = UpstreamState::Active;
};

/// Replicated state machine. It is deterministic: applying the same commands at
/// the same log indices gives the same state on every member.
class ControlState {
public:
  virtual ~ControlState() = default;

  /// Applies the committed command at log index \p index.
  virtual void apply(std::uint64_t index, const LogCommand &command) = 0;

  /// Returns the stored result of an operation, or nothing if the operation was
  /// never applied or its result has expired. Results are kept for 24 h of log
  /// time, and at most 200,000 of them. Log time is the largest proposal time
  /// of the commands applied so far.
  virtual std::optional<ApplyResult>
  findResult(std::string_view operationId) const = 0;

  virtual Revision publishedRevision() const = 0;
  virtual Revision rulesRevision() const = 0;
  virtual const RuleSet &rules() const = 0;
  virtual const RoutingDocument &routing() const = 0;
  /// All services of the table: those of the rules, and those that the rules no
  /// longer have but whose upstreams may hold open flows of a route.
  virtual std::vector<ServiceRecord> services() const = 0;
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

  /// Returns the updates that bring a node from revision \p have to the
  /// published revision: a delta if the change history covers that range,
  /// otherwise the full table (TableUpdate::Reset is set). Both are split into
  /// parts of at most MaxRecordsInUpdate records and about 60 KB. Empty if the
  /// node is up to date.
  virtual std::vector<TableUpdate> updatesSince(Revision have) const = 0;

  /// Serializes the complete state for a snapshot of the log.
  virtual Bytes save() const = 0;
  virtual absl::Status load(std::span<const std::byte> buf) = 0;
};

std::unique_ptr<ControlState> makeControlState();

struct AnnouncementOptions {
  /// An upstream that has not announced itself for this long becomes suspect.
  Duration SuspectAfter{3000};
  /// An upstream that has not announced itself for this long is removed.
  Duration RemoveAfter{15000};
  /// A balancer that has neither subscribed nor requested a lease for this long
  /// is removed.
  Duration BalancerRemoveAfter{60000};
  /// Time after which a proposal without effect is proposed again. A change of
  /// leader or a full disk can lose a proposal.
  Duration ProposalRetryInterval{2000};
  /// How long an incarnation that has left is remembered, so that a delayed
  /// announcement does not register it again.
  Duration LeftIncarnationRetention{60000};
};

/// Tracks the announcements of upstreams and the contacts of balancers at the
/// leader, and proposes log commands for joins, state changes and removals.
class AnnouncementTracker {
public:
  virtual ~AnnouncementTracker() = default;
  /// Called when this member becomes leader. The timeouts of all known
  /// upstreams and balancers start again, because this member did not receive
  /// their earlier announcements.
  virtual void onLeadershipGained(const ControlState &state, TimePoint now) = 0;
  /// Handles an announcement from the agent of an upstream and returns the
  /// reply to it. May propose that the upstream joins, changes its state or
  /// leaves.
  virtual AnnounceReply onAnnounce(const Announce &announce,
                                   const ControlState &state, TimePoint now,
                                   std::vector<LogCommand> &proposals) = 0;
  /// Handles a balancer's subscription to table updates. Proposes that the
  /// balancer joins if its record is missing or differs.
  virtual void onSubscribe(const Subscribe &subscribe,
                           const ControlState &state, TimePoint now,
                           std::vector<LogCommand> &proposals) = 0;
  /// Records the contact of a balancer that requests a lease.
  virtual void onLeaseRequest(const LeaseRequest &request, TimePoint now) = 0;
  /// Checks the timeouts. Proposes that silent upstreams become suspect or are
  /// removed, and that silent balancers are removed.
  virtual void tick(const ControlState &state, TimePoint now,
                    std::vector<LogCommand> &proposals) = 0;

  /// Last known contact of a balancer.
  struct BalancerStatus {
    std::string Name;
    /// Revision of the table that the balancer last reported.
    Revision InForce;
    /// Time since the last contact.
    Duration SilentFor{0};
  };
  /// Returns the last contact of every tracked balancer, including those
  /// without a record in the state.
  virtual std::vector<BalancerStatus> balancers(TimePoint now) const = 0;
  /// Number of flows in the last announcement of the upstream; 0 if there was
  /// none.
  virtual std::uint32_t flows(UpstreamId id) const = 0;
};

std::unique_ptr<AnnouncementTracker>
makeAnnouncementTracker(AnnouncementOptions options);

} // namespace pistachio
