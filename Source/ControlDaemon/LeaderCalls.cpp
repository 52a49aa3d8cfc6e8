#include "ControlDaemon/LeaderCalls.h"

#include <utility>

namespace pistachio {
namespace {

/// Longer than an election, so that a change survives the loss of a leader when
/// the new one comes up in time.
constexpr Duration ApplyTimeout{5000};
/// The calling member waits longer than the leader, so that it gets the
/// leader's own verdict.
constexpr Duration ForwardedApplyTimeout{6000};
constexpr Duration ReadTimeout{2000};
constexpr Duration NodeCallTimeout{1000};
/// Below the call timeout of the forwarding member and the renewal interval.
constexpr Duration JoinTimeout{700};

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
concept Operation = requires(T it) {
  it.OperationId;
  it.ProposedAtMs;
};

/// The operation id of an operator's command, stamped with the time; empty for
/// commands that no operator sends.
std::string stampOperation(LogCommand &command) {
  return std::visit(
      [](auto &it) {
        if constexpr (Operation<std::decay_t<decltype(it)>>) {
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
    return absl::DeadlineExceededError("the outcome is not known");
  case CallOutcome::DiskFull:
    return absl::ResourceExhaustedError("the leader's disk is full");
  case CallOutcome::NotLeader:
    break;
  }
  return absl::UnavailableError("the leader cannot be reached");
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
          return done(absl::InternalError("reply of another kind"));
        done(std::get<Reply>(*message));
      });
}

void LeaderCalls::apply(LogCommand command,
                        std::function<void(absl::StatusOr<ApplyReply>)> done) {
  if (Control.isLeader())
    return applyHere(std::move(command), std::move(done));
  ForwardedApply call;
  if (absl::Status encoded = encodeCommand(command, call.Command);
      !encoded.ok())
    return done(std::move(encoded));
  callLeader<ForwardedApplyReply>(
      std::move(call), ForwardedApplyTimeout,
      [done = std::move(done)](absl::StatusOr<ForwardedApplyReply> reply) {
        if (!reply.ok())
          return done(reply.status());
        if (reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        if (reply->Code >
            static_cast<std::uint8_t>(ApplyResult::Code::NotPermitted))
          return done(absl::InternalError("unknown result code"));
        done(ApplyReply{{static_cast<ApplyResult::Code>(reply->Code),
                         reply->RulesRevision, std::move(reply->Text)},
                        reply->Repeated});
      });
}

void LeaderCalls::applyHere(
    LogCommand command, std::function<void(absl::StatusOr<ApplyReply>)> done) {
  const std::string operationId = stampOperation(command);
  if (operationId.empty())
    return done(absl::InvalidArgumentError("the command has no operation id"));
  const bool repeated = Control.state().findResult(operationId).has_value();
  // A result that is known here may come from a state that is behind; it is
  // final all the same, because the first result never changes.
  if (repeated)
    return done(ApplyReply{*Control.state().findResult(operationId), true});
  Control.submit(
      std::move(command), steadyNow() + ApplyTimeout,
      [this, operationId, done = std::move(done)](const absl::Status &status) {
        // Also after an unknown outcome: the result may have come
        // with a snapshot.
        const auto result = Control.state().findResult(operationId);
        if (result)
          return done(ApplyReply{*result, false});
        done(status.ok() ? absl::InternalError("no result is stored") : status);
      });
}

void LeaderCalls::readRules(
    std::function<void(absl::StatusOr<RulesReply>)> done) {
  if (Control.isLeader())
    return readRulesHere(std::move(done));
  callLeader<RulesReply>(
      RulesQuery{}, ReadTimeout,
      [done = std::move(done)](absl::StatusOr<RulesReply> reply) {
        if (reply.ok() && reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        done(std::move(reply));
      });
}

void LeaderCalls::readRulesHere(
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
    return readRoutingHere(std::move(done));
  callLeader<RoutingReply>(
      RoutingQuery{}, ReadTimeout,
      [done = std::move(done)](absl::StatusOr<RoutingReply> reply) {
        if (reply.ok() && reply->Outcome != CallOutcome::Answered)
          return done(statusOf(reply->Outcome));
        done(std::move(reply));
      });
}

void LeaderCalls::readRoutingHere(
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
    return done(contactsHere());
  callLeader<StatusReply>(StatusQuery{}, ReadTimeout, std::move(done));
}

StatusReply LeaderCalls::contactsHere() const {
  StatusReply reply;
  reply.Outcome = CallOutcome::Answered;
  for (const AnnouncementTracker::NodeView &it :
       Control.tracker().nodes(steadyNow())) {
    if (reply.Nodes.size() < MaxStatusItems)
      reply.Nodes.push_back(
          {it.Name, it.InForce, static_cast<std::uint64_t>(it.Silent.count())});
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
    return announceHere(announce, std::move(done));
  forwardNode(announce, [done = std::move(done)](
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
  forwardNode(subscribe, [](const absl::StatusOr<ForwardedNodeReply> &) {});
}

void LeaderCalls::renewLease(const LeaseRequest &request) {
  if (Control.isLeader())
    return Control.onLeaseRequest(request, steadyNow());
  forwardNode(request, [](const absl::StatusOr<ForwardedNodeReply> &) {});
}

void LeaderCalls::forwardNode(
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

void LeaderCalls::onCall(const PeerMessage &message,
                         const PeerLinks::SendReply &reply) {
  std::visit([&](const auto &it) { answer(it, reply); }, message);
}

void LeaderCalls::answer(const ForwardedApply &call,
                         const PeerLinks::SendReply &reply) {
  const PeerCallId id = call.Call;
  absl::StatusOr<LogCommand> command = decodeCommand(call.Command);
  if (!Control.isLeader() || !command.ok())
    return reply(
        ForwardedApplyReply{id, CallOutcome::NotLeader, 0, {}, "", false});
  applyHere(*std::move(command),
            [id, reply](absl::StatusOr<ApplyReply> result) {
              ForwardedApplyReply message;
              message.Call = id;
              message.Outcome = outcomeOf(result.status());
              if (result.ok()) {
                message.Code = static_cast<std::uint8_t>(result->Result.What);
                message.RulesRevision = result->Result.RulesRevision;
                message.Text = std::move(result->Result.Text);
                message.Repeated = result->Repeated;
              }
              reply(message);
            });
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
    return announceHere(*announce, [message, reply](const AnnounceReply &it) {
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

void LeaderCalls::announceHere(const Announce &announce, AnnounceDone done) {
  const TimePoint now = steadyNow();
  const AnnounceReply reply = Control.onAnnounce(announce, now);
  const bool joins = !reply.Upstream && !announce.Leaving &&
                     reply.Result != AnnounceResult::Rejected &&
                     reply.Result != AnnounceResult::Unavailable;
  if (!joins)
    return done(reply);
  Joins.push_back({announce, now + JoinTimeout, std::move(done)});
}

bool LeaderCalls::finishJoin(const PendingJoin &join, TimePoint now) {
  const auto known = Control.state().findUpstream(join.Sent.Address);
  const bool isCommitted =
      known && known->Record.ProcessIncarnation == join.Sent.ProcessIncarnation;
  if (!isCommitted && now < join.Deadline && Control.isLeader())
    return false;
  join.Done(Control.onAnnounce(join.Sent, now));
  return true;
}

void LeaderCalls::onPublished() { tick(steadyNow()); }

void LeaderCalls::tick(TimePoint now) {
  std::erase_if(Joins,
                [&](const PendingJoin &it) { return finishJoin(it, now); });
}

void LeaderCalls::answer(const LeaderQuery &call,
                         const PeerLinks::SendReply &reply) {
  reply(LeaderReply{call.Call, Control.holdsLeaderLease(steadyNow()),
                    Control.node().commitIndex()});
}

void LeaderCalls::answer(const RulesQuery &call,
                         const PeerLinks::SendReply &reply) {
  const PeerCallId id = call.Call;
  readRulesHere([id, reply](absl::StatusOr<RulesReply> result) {
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
  readRoutingHere([id, reply](absl::StatusOr<RoutingReply> result) {
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
    message = contactsHere();
  message.Call = call.Call;
  reply(message);
}

} // namespace pistachio
