#include "ControlDaemon/ControlBackend.h"

#include "Telemetry/Telemetry.h"

#include <map>
#include <utility>

namespace pistachio {
namespace {

std::string nameOf(Role role) {
  switch (role) {
  case Role::Follower:
    return "follower";
  case Role::PreCandidate:
    return "pre-candidate";
  case Role::Candidate:
    return "candidate";
  case Role::Leader:
    return "leader";
  }
  return "";
}

std::string nameOf(UpstreamState state, bool isOut) {
  if (isOut)
    return "out";
  switch (state) {
  case UpstreamState::Active:
    return "active";
  case UpstreamState::Draining:
    return "draining";
  case UpstreamState::Suspect:
    return "suspect";
  }
  return "";
}

/// The operator's system cancels a call after one second and retries it at
/// another instance, so waiting longer for a leader is useless.
constexpr Duration CommandRetryTimeout{700};

/// How long an order waits for a leader. See OrderPermitTime.
constexpr Duration OrderRetryTimeout{500};

constexpr std::string_view OperatorSystemName = "operators-system";

/// Rejects requests that are invalid regardless of the current state, without
/// writing a log entry. All other checks are made by the state machine.
absl::Status validateRequest(const ApplyRequest &request) {
  if (request.OperationId.empty() ||
      request.OperationId.size() > MaxOperationIdBytes)
    return absl::InvalidArgumentError(
        "operation id must have 1 to 64 characters");
  if (request.Rules.size() > MaxRulesBytes)
    return absl::InvalidArgumentError("rules are larger than 768 KiB");
  if (request.Team.size() > MaxNameBytes ||
      request.Operator.size() > MaxNameBytes)
    return absl::InvalidArgumentError("a name is longer than 64 characters");
  Findings findings;
  RuleSet::parse(request.Rules, "rules", findings);
  return findings.toStatus();
}

absl::StatusOr<ApplyOutcome> toOutcome(const ApplyReply &reply) {
  const ApplyResult &result = reply.Result;
  switch (result.Outcome) {
  case ApplyResult::Code::Applied:
  case ApplyResult::Code::Unchanged:
    return ApplyOutcome{result.RulesRevision, result.Text, reply.Repeated};
  case ApplyResult::Code::Conflict:
    return absl::AbortedError(result.Text);
  case ApplyResult::Code::Invalid:
    return absl::InvalidArgumentError(result.Text);
  case ApplyResult::Code::NotPermitted:
    return absl::PermissionDeniedError(result.Text);
  }
  return absl::InternalError("unknown result code");
}

} // namespace

void ControlBackend::readRules(
    std::function<void(absl::StatusOr<CurrentRules>)> done) {
  Calls.readRules([done = std::move(done)](absl::StatusOr<RulesReply> reply) {
    if (!reply.ok())
      return done(absl::UnavailableError(reply.status().message()));
    done(CurrentRules{reply->RulesRevision, std::move(reply->Rules)});
  });
}

void ControlBackend::readStatus(
    std::function<void(absl::StatusOr<ControlStatus>)> done) {
  Calls.readContacts(
      [this, done = std::move(done)](const absl::StatusOr<StatusReply> &reply) {
        ControlStatus status = localStatus();
        if (reply.ok()) {
          std::map<std::string_view, const NodeContact *> nodes;
          for (const NodeContact &it : reply->Nodes)
            nodes.emplace(it.Name, &it);
          for (BalancerStatus &it : status.Balancers) {
            const auto contact = nodes.find(it.Name);
            if (contact == nodes.end())
              continue;
            it.ConfirmedRevision = contact->second->AppliedRevision;
            it.LastLeaseRequestAgeMs = contact->second->SilentMs;
          }
          std::map<UpstreamId, std::uint32_t> flows;
          for (const UpstreamFlows &it : reply->Flows)
            flows.emplace(it.Upstream, it.Flows);
          for (UpstreamStatus &it : status.Upstreams) {
            if (const auto count = flows.find(it.Id); count != flows.end())
              it.Flows = count->second;
          }
        }
        done(std::move(status));
      });
}

ControlStatus ControlBackend::localStatus() const {
  ControlStatus status;
  const ConsensusNode &node = Control.node();
  status.Role = nameOf(node.role());
  status.Term = node.term();
  status.CommitIndex = node.commitIndex();
  status.Published = Control.state().publishedRevision();
  status.RulesRevision = Control.state().rulesRevision();
  for (const Member &it : node.members())
    status.Members.push_back({it.Id, it.Address, it.Voter});
  addBalancers(status);
  addUpstreams(status);
  return status;
}

void ControlBackend::addBalancers(ControlStatus &status) const {
  const ControlState &state = Control.state();
  std::map<DataCentreId, std::string> names;
  for (const std::string &it : state.rules().dataCentres())
    names.emplace(state.findDataCentre(it)->Id, it);
  for (const BalancerRecord &it : state.balancers())
    status.Balancers.push_back(
        {it.Name, names[it.DataCentre], it.Address, Revision{}, 0});
}

void ControlBackend::addUpstreams(ControlStatus &status) const {
  const ControlState &state = Control.state();
  std::map<ServiceId, std::string> services;
  for (const ServiceRecord &it : state.services())
    services.emplace(it.Id, it.Name);
  std::map<DataCentreId, DataCentreRecord> dataCentres;
  for (const std::string &it : state.rules().dataCentres()) {
    const DataCentreRecord record = *state.findDataCentre(it);
    dataCentres.emplace(record.Id, record);
  }
  for (const UpstreamInfo &it : state.upstreams()) {
    const DataCentreRecord &dataCentre = dataCentres[it.Record.DataCentre];
    status.Upstreams.push_back(
        {it.Record.Id, services[it.Record.Service], dataCentre.Name, it.Zone,
         it.Machine, it.Record.Address,
         nameOf(it.Record.State, dataCentre.IsTakenOut), it.Slots, 0});
  }
}

void ControlBackend::apply(
    ApplyRequest request,
    std::function<void(absl::StatusOr<ApplyOutcome>)> done) {
  if (absl::Status invalid = validateRequest(request); !invalid.ok()) {
    ++RefusedCount;
    return done(std::move(invalid));
  }
  ApplyRules command{
      request.OperationId, request.ExpectedRevision, request.Team,
      request.Operator,    std::move(request.Rules), 0};
  Calls.apply(std::move(command), [this, operationId = request.OperationId,
                                   requestedBy = request.Operator,
                                   done = std::move(done)](
                                      absl::StatusOr<ApplyReply> reply) {
    absl::StatusOr<ApplyOutcome> outcome =
        reply.ok() ? toOutcome(*reply) : reply.status();
    ++(outcome.ok() ? AppliedCount : RefusedCount);
    logEvent(outcome.ok() ? LogLevel::Info : LogLevel::Warning, "rules_apply",
             outcome.ok() ? "rules accepted" : outcome.status().ToString(),
             {{"operation", operationId}, {"operator", requestedBy}});
    done(std::move(outcome));
  });
}

void ControlBackend::submitOperatorCommand(
    const LogCommand &command, TimePoint retryDeadline,
    std::function<void(absl::Status)> done) {
  Calls.apply(command, [this, command, retryDeadline, done = std::move(done)](
                           const absl::StatusOr<ApplyReply> &reply) {
    // Unavailable means that the command was certainly not accepted, so it is
    // safe to submit it again when a new leader has been elected.
    if (absl::IsUnavailable(reply.status()) && steadyNow() < retryDeadline) {
      PendingCommands.push_back({command, retryDeadline, done});
      return;
    }
    complete(reply.ok() ? toOutcome(*reply).status() : reply.status(), done);
  });
}

void ControlBackend::complete(const absl::Status &outcome,
                              const std::function<void(absl::Status)> &done) {
  ++(outcome.ok() ? AppliedCount : RefusedCount);
  done(outcome);
}

void ControlBackend::tick(TimePoint now) {
  Pauses.onTick(now);
  for (PendingCommand &it : std::exchange(PendingCommands, {}))
    submitOperatorCommand(it.Command, it.RetryDeadline, std::move(it.Done));
  for (Order &it : std::exchange(PendingOrders, {}))
    submitOrder(std::move(it));
}

absl::Status ControlBackend::checkAge(const Order &order) const {
  if (order.IsAbandoned())
    return absl::UnavailableError(
        "the caller has closed the connection; the order is not carried out");
  if (Pauses.wasPaused(steadyNow()))
    return absl::UnavailableError(
        "this instance stood still, so the order may be outdated; it is not "
        "carried out");
  return absl::OkStatus();
}

void ControlBackend::submitOrder(Order order) {
  if (absl::Status age = checkAge(order); !age.ok())
    return complete(age, order.Done);
  Calls.requestPermit([this, order = std::move(order)](
                          const absl::StatusOr<OrderPermit> &permit) mutable {
    if (!permit.ok())
      return finishOrder(std::move(order), permit.status());
    applyOrder(std::move(order), *permit);
  });
}

void ControlBackend::applyOrder(Order order, const OrderPermit &permit) {
  // The permit says that no time has passed since it was requested, and this
  // check that the caller still waited afterwards.
  if (absl::Status age = checkAge(order); !age.ok())
    return complete(age, order.Done);
  const SetDataCentre command = order.Command;
  Calls.applyOrder(command, permit,
                   [this, order = std::move(order)](
                       const absl::StatusOr<ApplyReply> &reply) mutable {
                     finishOrder(std::move(order),
                                 reply.ok() ? toOutcome(*reply).status()
                                            : reply.status());
                   });
}

void ControlBackend::finishOrder(Order order, const absl::Status &outcome) {
  if (absl::IsUnavailable(outcome) && steadyNow() < order.RetryDeadline)
    PendingOrders.push_back(std::move(order));
  else
    complete(outcome, order.Done);
}

void ControlBackend::applyRouting(RoutingPlan plan,
                                  std::function<void(absl::Status)> done) {
  ApplyRouting command;
  command.Version = plan.Version;
  command.Lines = formatRouting(plan.Services, plan.Routes, OperatorSystemName);
  command.Document = std::move(plan.Document);
  if (command.Document.size() > MaxRoutingDocumentBytes ||
      command.Lines.size() > MaxRulesBytes)
    return done(
        absl::InvalidArgumentError("the routing exceeds its size limit"));
  Findings findings;
  RuleSet::parse(command.Lines, "routing", findings);
  if (!findings.empty()) {
    ++RefusedCount;
    return done(findings.toStatus());
  }
  // Sending the same document again under the same version is the same
  // operation, on whichever instance it arrives.
  command.OperationId = concat(
      "routing-", std::to_string(command.Version), "-",
      std::to_string(checksum32(std::as_bytes(std::span(command.Document)))));
  submitOperatorCommand(command, steadyNow() + CommandRetryTimeout,
                        std::move(done));
}

void ControlBackend::readRouting(
    std::function<void(absl::StatusOr<RoutingDocument>)> done) {
  Calls.readRouting(
      [done = std::move(done)](absl::StatusOr<RoutingReply> reply) {
        if (!reply.ok())
          return done(absl::UnavailableError(reply.status().message()));
        if (reply->Routing.Version == 0)
          return done(absl::NotFoundError("no routing has been applied yet"));
        done(std::move(reply->Routing));
      });
}

void ControlBackend::setDataCentre(std::string name, DataCentreChange change,
                                   std::function<bool()> isAbandoned,
                                   std::function<void(absl::Status)> done) {
  if (!isName(name))
    return done(absl::InvalidArgumentError(
        concat("'", name, "' is not a valid name of a data centre")));
  SetDataCentre command;
  command.DataCentre = std::move(name);
  command.Change = change;
  command.Operator = OperatorSystemName;
  // Every call gets its own operation id, because the same state may be
  // requested again later.
  command.OperationId =
      concat("data-centre-", std::to_string(makeIncarnation().Value));
  submitOrder({std::move(command), steadyNow() + OrderRetryTimeout,
               std::move(isAbandoned), std::move(done)});
}

} // namespace pistachio
