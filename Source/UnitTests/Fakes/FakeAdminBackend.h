#pragma once

#include "Admin/Admin.h"
#include "Rules/Rules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <map>
#include <thread>

namespace pistachio {

/// Keeps rules in memory like one control instance that is always the leader.
/// Members may be set while no server runs on it.
class FakeAdminBackend final : public AdminBackend {
public:
  explicit FakeAdminBackend(std::string rules) : Rules(std::move(rules)) {}

  void
  readRules(std::function<void(absl::StatusOr<CurrentRules>)> done) override {
    ++Reads;
    done(CurrentRules{Current, Rules});
  }

  void
  readStatus(std::function<void(absl::StatusOr<ControlStatus>)> done) override {
    ControlStatus status = Status;
    status.RulesRevision = Current;
    status.Published = Current;
    // Each read finds one more balancer at the present revision.
    for (std::size_t i = 0; i < status.Balancers.size(); ++i)
      if (i < StatusReads)
        status.Balancers[i].InForce = Current;
    StatusReads += CatchUp ? 1 : 0;
    done(std::move(status));
  }

  void apply(ApplyRequest request,
             std::function<void(absl::StatusOr<ApplyOutcome>)> done) override {
    Requests.push_back(request);
    if (LostRequests > 0) {
      --LostRequests;
      Held.push_back(std::move(done));
      return;
    }
    if (Refusals > 0) {
      --Refusals;
      done(absl::UnavailableError("no leader"));
      return;
    }
    auto outcome = decide(request);
    if (LostAnswers > 0) {
      --LostAnswers;
      Held.push_back(std::move(done));
      return;
    }
    done(std::move(outcome));
  }

  std::string Rules;
  Revision Current{7};
  ControlStatus Status;
  bool CatchUp = true;
  /// Counts of the next calls to apply() that are lost before the change,
  /// refused as unavailable, or lost after the change.
  int LostRequests = 0;
  int Refusals = 0;
  int LostAnswers = 0;
  /// Somebody else's changes that come before the next changes.
  int ForeignChanges = 0;
  std::vector<ApplyRequest> Requests;
  std::vector<std::function<void(absl::StatusOr<ApplyOutcome>)>> Held;
  std::size_t Reads = 0;
  std::size_t StatusReads = 0;

private:
  absl::StatusOr<ApplyOutcome> decide(const ApplyRequest &request) {
    if (const auto it = Results.find(request.OperationId);
        it != Results.end()) {
      ApplyOutcome outcome = it->second;
      outcome.Repeated = true;
      return outcome;
    }
    if (ForeignChanges > 0) {
      --ForeignChanges;
      ++Current.Value;
    }
    if (request.ExpectedRevision != Current)
      return absl::AbortedError("the revision is " +
                                std::to_string(Current.Value));
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
    ++Current.Value;
    return Results[request.OperationId] =
               ApplyOutcome{Current, formatChanges(changes), false};
  }

  std::map<std::string, ApplyOutcome> Results;
};

/// Runs an administration server on a thread and a port of its own.
class AdminServerThread {
public:
  explicit AdminServerThread(AdminBackend &backend,
                             AdminServerOptions options = {},
                             bool running = true) {
    options.Listen = {0x7F000001, 0};
    if (options.Credentials.empty())
      options.Credentials = {{"operators", "operators-secret"},
                             {"team-a", "team-a-secret-01"}};
    auto started = startAdminServer(Context, std::move(options), backend);
    if (!started.ok())
      throw std::runtime_error(messageOf(started.status()));
    Server = *std::move(started);
    Address = Server->endpoint();
    if (running)
      start();
  }
  ~AdminServerThread() { stop(); }
  AdminServerThread(const AdminServerThread &) = delete;
  AdminServerThread &operator=(const AdminServerThread &) = delete;

  /// Until then connections wait in the listen queue.
  void start() {
    Runner = std::thread([this] { Context.run(); });
  }

  Endpoint endpoint() const { return Address; }

  std::size_t connections() {
    std::promise<std::size_t> result;
    boost::asio::post(Context,
                      [&] { result.set_value(Server->connections()); });
    return result.get_future().get();
  }

  /// Destroys the server while its backend may still hold callbacks.
  void stop() {
    if (!Runner.joinable())
      return;
    boost::asio::post(Context, [this] { Server.reset(); });
    Runner.join();
  }

private:
  boost::asio::io_context Context;
  std::unique_ptr<AdminServer> Server;
  Endpoint Address;
  std::thread Runner;
};

} // namespace pistachio
