#pragma once

#include "Admin/Admin.h"
#include "Rules/Rules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <map>
#include <thread>

namespace pistachio {

/// An AdminBackend that keeps the rules in memory and behaves like a control
/// instance that is always the leader. Members may only be changed while no
/// server uses it.
class FakeAdminBackend final : public AdminBackend {
public:
  explicit FakeAdminBackend(std::string rules) : Rules(std::move(rules)) {}

  void
  readRules(std::function<void(absl::StatusOr<CurrentRules>)> done) override {
    ++RulesReads;
    done(CurrentRules{CurrentRevision, Rules});
  }

  void
  readStatus(std::function<void(absl::StatusOr<ControlStatus>)> done) override {
    ControlStatus status = Status;
    status.RulesRevision = CurrentRevision;
    status.Published = CurrentRevision;
    // Each read reports one more balancer at the current revision.
    for (std::size_t i = 0; i < status.Balancers.size(); ++i)
      if (i < StatusReads)
        status.Balancers[i].ConfirmedRevision = CurrentRevision;
    StatusReads += BalancersCatchUp ? 1 : 0;
    done(std::move(status));
  }

  void apply(ApplyRequest request,
             std::function<void(absl::StatusOr<ApplyOutcome>)> done) override {
    Requests.push_back(request);
    if (LostRequests > 0) {
      --LostRequests;
      PendingCallbacks.push_back(std::move(done));
      return;
    }
    if (UnavailableReplies > 0) {
      --UnavailableReplies;
      done(absl::UnavailableError("no leader"));
      return;
    }
    auto outcome = executeApply(request);
    if (LostAnswers > 0) {
      --LostAnswers;
      PendingCallbacks.push_back(std::move(done));
      return;
    }
    done(std::move(outcome));
  }

  std::string Rules;
  Revision CurrentRevision{7};
  ControlStatus Status;
  bool BalancersCatchUp = true;
  /// Number of the next calls to apply() that are lost before the change is
  /// made, rejected as unavailable, or lost after the change was made.
  int LostRequests = 0;
  int UnavailableReplies = 0;
  int LostAnswers = 0;
  /// Number of the next changes that are preceded by a change of somebody else.
  int ConcurrentChanges = 0;
  std::vector<ApplyRequest> Requests;
  std::vector<std::function<void(absl::StatusOr<ApplyOutcome>)>>
      PendingCallbacks;
  std::size_t RulesReads = 0;
  std::size_t StatusReads = 0;

private:
  absl::StatusOr<ApplyOutcome> executeApply(const ApplyRequest &request) {
    if (const auto it = OutcomesByOperationId.find(request.OperationId);
        it != OutcomesByOperationId.end()) {
      ApplyOutcome outcome = it->second;
      outcome.Repeated = true;
      return outcome;
    }
    if (ConcurrentChanges > 0) {
      --ConcurrentChanges;
      ++CurrentRevision.Value;
    }
    if (request.ExpectedRevision != CurrentRevision)
      return absl::AbortedError("the revision is " +
                                std::to_string(CurrentRevision.Value));
    Findings findings;
    const auto before = RuleSet::parse(Rules, "rules", findings);
    const auto after = RuleSet::parse(request.Rules, "rules", findings);
    if (!before || !after)
      return findings.toStatus();
    const auto changes = diffRules(*before, *after);
    if (const auto status = checkTeamMayApply(request.Team, *before, changes);
        !status.ok())
      return status;
    Rules = request.Rules;
    ++CurrentRevision.Value;
    return OutcomesByOperationId[request.OperationId] =
               ApplyOutcome{CurrentRevision, formatChanges(changes), false};
  }

  std::map<std::string, ApplyOutcome> OutcomesByOperationId;
};

/// Runs an administration server on its own thread and on a free port.
class AdminServerThread {
public:
  explicit AdminServerThread(AdminBackend &backend,
                             AdminServerOptions options = {},
                             bool startsAtOnce = true) {
    options.Listen = {0x7F000001, 0};
    if (options.Credentials.empty())
      options.Credentials = {{"operators", "operators-secret"},
                             {"team-a", "team-a-secret-01"}};
    auto started = startAdminServer(Context, std::move(options), backend);
    if (!started.ok())
      throw std::runtime_error(messageOf(started.status()));
    Server = *std::move(started);
    Address = Server->endpoint();
    if (startsAtOnce)
      start();
  }
  ~AdminServerThread() { stop(); }
  AdminServerThread(const AdminServerThread &) = delete;
  AdminServerThread &operator=(const AdminServerThread &) = delete;

  /// Starts the thread. Before that, connections wait in the listen queue.
  void start() {
    Thread = std::thread([this] { Context.run(); });
  }

  Endpoint endpoint() const { return Address; }

  std::size_t connections() {
    std::promise<std::size_t> result;
    boost::asio::post(Context,
                      [&] { result.set_value(Server->connections()); });
    return result.get_future().get();
  }

  /// Destroys the server, while its backend may still hold callbacks.
  void stop() {
    if (!Thread.joinable())
      return;
    boost::asio::post(Context, [this] { Server.reset(); });
    Thread.join();
  }

private:
  boost::asio::io_context Context;
  std::unique_ptr<AdminServer> Server;
  Endpoint Address;
  std::thread Thread;
};

} // namespace pistachio
