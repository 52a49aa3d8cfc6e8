#include "ControlDaemon/LeaderCalls.h"

#include "ControlDaemon/OrderAge.h"

#include <utility>

namespace pistachio {
namespace {

/// Longer than an election, so that a change submitted during the loss of a
/// leader can still be accepted by the next leader.
constexpr Duration ApplyTimeout{5000};
/// Longer than ApplyTimeout, so that the forwarding member receives the
/// leader's result instead of running into its own timeout.
constexpr Duration ForwardedApplyTimeout{6000};
constexpr Duration ReadTimeout{2000};
constexpr Duration NodeCallTimeout{1000};
/// Shorter than NodeCallTimeout of the forwarding member and than the renewal
/// interval of agents.
constexpr Duration AnnounceCommitTimeout{700};
/// A balancer asks again after about as long.
constexpr Duration ConfirmationTimeout{300};
constexpr Duration PermitTimeout{300};

CallOutcome outcomeOf(const absl::Status &status) {
  switch (status.code()) {
  case absl::StatusCode::kOk:
    return CallOutcome::Answered;
  case absl::StatusCode::kResourceExhausted:
    return CallOutcome::DiskFull;
  case absl::StatusCode::kDeadlineExceeded:
    return CallOutcome::Unknown;
  default:
    return CallOutcome::NotLeader;
  }
}

template <typename T>
concept OperatorCommand = requires(T it) {
  it.OperationId;
  it.ProposedAtMs;
};

/// Sets the proposal time of a command that has an operation id, and returns
/// that id. Returns an empty string for other commands.
std::string stampProposalTime(LogCommand &command) {
  return std::visit(
      [](auto &it) {
        if constexpr (OperatorCommand<std::decay_t<decltype(it)>>) {
          it.ProposedAtMs = wallClockMs();
          return it.OperationId;
        } else {
          return std::string();
        }
      },
      command);
}

absl::Status statusOf(CallOutcome outcome) {
  switch (outcome) {
  case CallOutcome::Answered:
    return absl::OkStatus();
  case CallOutcome::Unknown:
    return absl::DeadlineExceededError(
        "the leader could not confirm the command; "
        "the outcome is not known");
  case CallOutcome::DiskFull:
    return absl::ResourceExhaustedError("the leader's disk is full");
  case CallOutcome::NotLeader:
    break;
  }
  return absl::UnavailableError("the leader cannot be reached");
}

/// Sends the result of a forwarded command to the member that forwarded it.
std::function<void(absl::StatusOr<ApplyReply>)>
replyWithOutcome(PeerCallId id, const PeerLinks::SendReply &reply) {
  return [id, reply](absl::StatusOr<ApplyReply> result) {
    ForwardedApplyReply message;
    message.Call = id;
    message.Outcome = outcomeOf(result.status());
    if (result.ok()) {
      message.Code = static_cast<std::uint8_t>(result->Result.Outcome);
      message.RulesRevision = result->Result.RulesRevision;
      message.Text = std::move(result->Result.Text);
      message.Repeated = result->Repeated;
    }
    reply(message);
  };
}

} // namespace

template <typename Reply>
void LeaderCalls::callLeader(PeerMessage &&message, Duration timeout,
                             std::function<void(absl::StatusOr<Reply>)> done) {
  const std::optional<Member> leader = Control.node().leader();
  if (!leader || leader->Address.Port == 0 || Control.isLeader())
    return done(absl::UnavailableError("no leader is known"));
  Links.call(
      leader->Address, std::move(message), steadyNow() + timeout,
      [done = std::move(done)](const absl::StatusOr<PeerMessage> &message) {
        if (!message.ok())
          return done(message.status());
        if (!std::holds_alternative<Reply>(*message))
          return done(absl::InternalError(
              "the reply of the leader is of an unexpected kind"));
        done(std::get<Reply>(*message));
      });
}

void LeaderCalls::apply(LogCommand command,
                        std::function<void(absl::StatusOr<ApplyReply>)> done) {
  if (Control.isLeader())
    return applyLocally(std::move(command), std::move(done));
  ForwardedApply call;
  if (absl::Status encoded = encodeCommand(command, call.Command);
      !encoded.ok())
    return done(std::move(encoded));
  forwardCommand(std::move(call), std::move(done));
}

void LeaderCalls::forwardCommand(
    PeerMessage &&call, std::function<void(absl::StatusOr<ApplyReply>)> done) {
  callLeader<ForwardedApplyReply>(
      std::move(call), ForwardedApplyTimeout,
      [done = std::move(done)](absl::StatusOr<ForwardedApplyReply> reply) {
        if (!reply.ok())
          return done(reply.status());
        if (reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        if (reply->Code >
            static_cast<std::uint8_t>(ApplyResult::Code::NotPermitted))
          return done(absl::InternalError(
              "the reply of the leader has an unknown result code"));
        done(ApplyReply{{static_cast<ApplyResult::Code>(reply->Code),
                         reply->RulesRevision, std::move(reply->Text)},
                        reply->Repeated});
      });
}

absl::StatusOr<OrderPermit> LeaderCalls::issuePermit() const {
  const TimePoint now = steadyNow();
  if (!Control.holdsLeaderLease(now))
    return absl::UnavailableError("the leader has no lease");
  return issueOrderPermit(Control.node().term(), now);
}

void LeaderCalls::requestPermit(
    std::function<void(absl::StatusOr<OrderPermit>)> done) {
  if (Control.isLeader())
    return done(issuePermit());
  callLeader<OrderPermitReply>(
      OrderPermitQuery{}, PermitTimeout,
      [done = std::move(done)](const absl::StatusOr<OrderPermitReply> &reply) {
        // Nothing has been submitted yet, so the order is certainly not
        // accepted.
        if (!reply.ok())
          return done(absl::UnavailableError(reply.status().message()));
        if (reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        done(reply->Permit);
      });
}

void LeaderCalls::applyOrder(
    const LogCommand &command, const OrderPermit &permit,
    std::function<void(absl::StatusOr<ApplyReply>)> done) {
  if (Control.isLeader())
    return applyOrderLocally(command, permit, std::move(done));
  ForwardedOrder call;
  call.Permit = permit;
  if (absl::Status encoded = encodeCommand(command, call.Command);
      !encoded.ok())
    return done(std::move(encoded));
  forwardCommand(std::move(call), std::move(done));
}

void LeaderCalls::applyOrderLocally(
    LogCommand command, const OrderPermit &permit,
    std::function<void(absl::StatusOr<ApplyReply>)> done) {
  const auto appendBy = expiryOf(permit, Control.node().term(), steadyNow());
  if (!appendBy)
    return done(absl::UnavailableError(
        "the order was delayed for too long and was not accepted"));
  applyLocally(std::move(command), std::move(done), *appendBy);
}

void LeaderCalls::applyLocally(
    LogCommand command, std::function<void(absl::StatusOr<ApplyReply>)> done,
    TimePoint appendBy) {
  const std::string operationId = stampProposalTime(command);
  if (operationId.empty())
    return done(absl::InvalidArgumentError("the command has no operation id"));
  const bool repeated = Control.state().findResult(operationId).has_value();
  // The local state may be outdated, but the stored result of an operation
  // never changes.
  if (repeated)
    return done(ApplyReply{*Control.state().findResult(operationId), true});
  Control.submit(
      std::move(command), steadyNow() + ApplyTimeout,
      [this, operationId, done = std::move(done)](const absl::Status &status) {
        // This is checked even if the outcome is unknown: the result may have
        // been received in a snapshot.
        const auto result = Control.state().findResult(operationId);
        if (result)
          return done(ApplyReply{*result, false});
        done(status.ok()
                 ? absl::InternalError("no result is stored for the operation")
                 : status);
      },
      appendBy);
}

void LeaderCalls::readRules(
    std::function<void(absl::StatusOr<RulesReply>)> done) {
  if (Control.isLeader())
    return readRulesLocally(std::move(done));
  callLeader<RulesReply>(
      RulesQuery{}, ReadTimeout,
      [done = std::move(done)](absl::StatusOr<RulesReply> reply) {
        if (reply.ok() && reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        done(std::move(reply));
      });
}

void LeaderCalls::readRulesLocally(
    std::function<void(absl::StatusOr<RulesReply>)> done) {
  const TimePoint now = steadyNow();
  Control.read(now, now + ReadTimeout,
               [this, done = std::move(done)](const absl::Status &status) {
                 if (!status.ok())
                   return done(status);
                 const ControlState &state = Control.state();
                 done(RulesReply{{},
                                 CallOutcome::Answered,
                                 state.rulesRevision(),
                                 state.rules().text()});
               });
}

void LeaderCalls::readRouting(
    std::function<void(absl::StatusOr<RoutingReply>)> done) {
  if (Control.isLeader())
    return readRoutingLocally(std::move(done));
  callLeader<RoutingReply>(
      RoutingQuery{}, ReadTimeout,
      [done = std::move(done)](absl::StatusOr<RoutingReply> reply) {
        if (reply.ok() && reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        done(std::move(reply));
      });
}

void LeaderCalls::readRoutingLocally(
    std::function<void(absl::StatusOr<RoutingReply>)> done) {
  const TimePoint now = steadyNow();
  Control.read(now, now + ReadTimeout,
               [this, done = std::move(done)](const absl::Status &status) {
                 if (!status.ok())
                   return done(status);
                 done(RoutingReply{
                     {}, CallOutcome::Answered, Control.state().routing()});
               });
}

void LeaderCalls::readContacts(
    std::function<void(absl::StatusOr<StatusReply>)> done) {
  if (Control.isLeader())
    return done(localContacts());
  callLeader<StatusReply>(StatusQuery{}, ReadTimeout, std::move(done));
}

StatusReply LeaderCalls::localContacts() const {
  StatusReply reply;
  reply.Outcome = CallOutcome::Answered;
  for (const AnnouncementTracker::BalancerStatus &it :
       Control.tracker().balancers(steadyNow())) {
    if (reply.Nodes.size() < MaxStatusItems)
      reply.Nodes.push_back({it.Name, it.InForce,
                             static_cast<std::uint64_t>(it.SilentFor.count())});
  }
  for (const UpstreamInfo &it : Control.state().upstreams()) {
    if (reply.Flows.size() < MaxStatusItems)
      reply.Flows.push_back(
          {it.Record.Id, Control.tracker().flows(it.Record.Id)});
  }
  return reply;
}

void LeaderCalls::announce(const Announce &announce,
                           std::function<void(const AnnounceReply &)> done) {
  if (Control.isLeader())
    return announceLocally(announce, std::move(done));
  forwardNodeMessage(announce, [done = std::move(done)](
                                   absl::StatusOr<ForwardedNodeReply> reply) {
    if (reply.ok() && reply->Outcome == CallOutcome::Answered) {
      const auto message = decodeNode(reply->Message);
      if (message.ok() && std::holds_alternative<AnnounceReply>(*message))
        return done(std::get<AnnounceReply>(*message));
    }
    done(AnnounceReply{});
  });
}

void LeaderCalls::subscribe(const Subscribe &subscribe) {
  if (Control.isLeader())
    return Control.onSubscribe(subscribe, steadyNow());
  forwardNodeMessage(subscribe,
                     [](const absl::StatusOr<ForwardedNodeReply> &) {});
}

void LeaderCalls::renewLease(const LeaseRequest &request) {
  if (Control.isLeader())
    return Control.onLeaseRequest(request, steadyNow());
  forwardNodeMessage(request,
                     [](const absl::StatusOr<ForwardedNodeReply> &) {});
}

void LeaderCalls::forwardNodeMessage(
    const NodeMessage &message,
    std::function<void(absl::StatusOr<ForwardedNodeReply>)> done) {
  ForwardedNodeMessage call;
  if (absl::Status encoded = encodeNode(message, call.Message); !encoded.ok())
    return done(std::move(encoded));
  callLeader<ForwardedNodeReply>(std::move(call), NodeCallTimeout,
                                 std::move(done));
}

void LeaderCalls::confirmLeader(
    std::function<void(std::uint64_t commitIndex)> done) {
  if (Control.isLeader()) {
    if (Control.holdsLeaderLease(steadyNow()))
      done(Control.node().commitIndex());
    return;
  }
  callLeader<LeaderReply>(
      LeaderQuery{}, NodeCallTimeout,
      [done = std::move(done)](const absl::StatusOr<LeaderReply> &reply) {
        if (reply.ok() && reply->HoldsLease)
          done(reply->CommitIndex);
      });
}

void LeaderCalls::confirmState(std::function<void()> done) {
  if (Control.isLeader()) {
    if (Control.holdsLeaderLease(steadyNow()))
      done();
    return;
  }
  UnqueriedConfirmations.push_back(std::move(done));
  // The reply to a query that was sent earlier may not cover entries that have
  // been committed since.
  if (!IsQueryingForConfirmations)
    queryLeaderForConfirmations();
}

void LeaderCalls::queryLeaderForConfirmations() {
  auto waiting = std::exchange(UnqueriedConfirmations, {});
  if (waiting.empty())
    return;
  IsQueryingForConfirmations = true;
  callLeader<LeaderReply>(
      LeaderQuery{}, ConfirmationTimeout,
      [this, waiting = std::move(waiting)](
          const absl::StatusOr<LeaderReply> &reply) mutable {
        IsQueryingForConfirmations = false;
        const TimePoint now = steadyNow();
        if (reply.ok() && reply->HoldsLease)
          for (std::function<void()> &it : waiting)
            PendingConfirmations.push_back(
                {reply->CommitIndex, now + ConfirmationTimeout, std::move(it)});
        completeConfirmations(now);
        queryLeaderForConfirmations();
      });
}

void LeaderCalls::completeConfirmations(TimePoint now) {
  std::vector<std::function<void()>> ready;
  std::erase_if(PendingConfirmations, [&](PendingConfirmation &it) {
    const bool isApplied = Control.appliedIndex() >= it.CommitIndex;
    if (isApplied)
      ready.push_back(std::move(it.Done));
    return isApplied || now >= it.Deadline;
  });
  for (const std::function<void()> &it : ready)
    it();
}

void LeaderCalls::onCall(const PeerMessage &message,
                         const PeerLinks::SendReply &reply) {
  std::visit([&](const auto &it) { answer(it, reply); }, message);
}

void LeaderCalls::answer(const ForwardedApply &call,
                         const PeerLinks::SendReply &reply) {
  absl::StatusOr<LogCommand> command = decodeCommand(call.Command);
  auto done = replyWithOutcome(call.Call, reply);
  if (!Control.isLeader() || !command.ok())
    return done(statusOf(CallOutcome::NotLeader));
  applyLocally(*std::move(command), std::move(done));
}

void LeaderCalls::answer(const ForwardedOrder &call,
                         const PeerLinks::SendReply &reply) {
  absl::StatusOr<LogCommand> command = decodeCommand(call.Command);
  auto done = replyWithOutcome(call.Call, reply);
  if (!Control.isLeader() || !command.ok())
    return done(statusOf(CallOutcome::NotLeader));
  applyOrderLocally(*std::move(command), call.Permit, std::move(done));
}

void LeaderCalls::answer(const OrderPermitQuery &call,
                         const PeerLinks::SendReply &reply) {
  const absl::StatusOr<OrderPermit> permit = issuePermit();
  reply(OrderPermitReply{
      call.Call, permit.ok() ? CallOutcome::Answered : CallOutcome::NotLeader,
      permit.value_or(OrderPermit{})});
}

void LeaderCalls::answer(const ForwardedNodeMessage &call,
                         const PeerLinks::SendReply &reply) {
  const TimePoint now = steadyNow();
  ForwardedNodeReply message;
  message.Call = call.Call;
  const absl::StatusOr<NodeMessage> node = decodeNode(call.Message);
  if (!Control.isLeader() || !node.ok())
    return reply(message);
  message.Outcome = CallOutcome::Answered;
  if (const auto *announce = std::get_if<Announce>(&*node))
    return announceLocally(*announce,
                           [message, reply](const AnnounceReply &it) {
                             ForwardedNodeReply answer = message;
                             if (!encodeNode(it, answer.Message).ok())
                               answer.Outcome = CallOutcome::Unknown;
                             reply(answer);
                           });
  if (const auto *subscribe = std::get_if<Subscribe>(&*node))
    Control.onSubscribe(*subscribe, now);
  else if (const auto *request = std::get_if<LeaseRequest>(&*node))
    Control.onLeaseRequest(*request, now);
  reply(message);
}

void LeaderCalls::announceLocally(const Announce &announce,
                                  AnnounceCallback done) {
  const TimePoint now = steadyNow();
  const AnnounceReply reply = Control.onAnnounce(announce, now);
  const bool waitsForCommit = !reply.Upstream && !announce.Leaving &&
                              reply.Result != AnnounceResult::Rejected &&
                              reply.Result != AnnounceResult::Unavailable;
  if (!waitsForCommit)
    return done(reply);
  PendingAnnouncements.push_back(
      {announce, now + AnnounceCommitTimeout, std::move(done)});
}

bool LeaderCalls::tryComplete(const PendingAnnouncement &pending,
                              TimePoint now) {
  const auto known = Control.state().findUpstream(pending.Message.Address);
  const bool isCommitted = known && known->Record.ProcessIncarnation ==
                                        pending.Message.ProcessIncarnation;
  if (!isCommitted && now < pending.Deadline && Control.isLeader())
    return false;
  pending.Done(Control.onAnnounce(pending.Message, now));
  return true;
}

void LeaderCalls::onPublished() { tick(steadyNow()); }

void LeaderCalls::tick(TimePoint now) {
  std::erase_if(PendingAnnouncements, [&](const PendingAnnouncement &it) {
    return tryComplete(it, now);
  });
  completeConfirmations(now);
}

void LeaderCalls::answer(const LeaderQuery &call,
                         const PeerLinks::SendReply &reply) {
  reply(LeaderReply{call.Call, Control.holdsLeaderLease(steadyNow()),
                    Control.node().commitIndex()});
}

void LeaderCalls::answer(const RulesQuery &call,
                         const PeerLinks::SendReply &reply) {
  const PeerCallId id = call.Call;
  readRulesLocally([id, reply](absl::StatusOr<RulesReply> result) {
    RulesReply message;
    if (result.ok())
      message = *std::move(result);
    message.Call = id;
    reply(message);
  });
}

void LeaderCalls::answer(const RoutingQuery &call,
                         const PeerLinks::SendReply &reply) {
  const PeerCallId id = call.Call;
  readRoutingLocally([id, reply](absl::StatusOr<RoutingReply> result) {
    RoutingReply message;
    if (result.ok())
      message = *std::move(result);
    message.Call = id;
    reply(message);
  });
}

void LeaderCalls::answer(const StatusQuery &call,
                         const PeerLinks::SendReply &reply) {
  StatusReply message;
  if (Control.isLeader())
    message = localContacts();
  message.Call = call.Call;
  reply(message);
}

} // namespace pistachio
