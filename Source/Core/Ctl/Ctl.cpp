#include "Ctl/Ctl.h"

#include "Ctl/Arguments.h"
#include "Ctl/Output.h"
#include "Rules/Rules.h"
#include "Settings/Settings.h"

#include <algorithm>
#include <fstream>

namespace pistachio {
namespace {

/// An election takes 1 to 2 s; the attempts span about 5 s beside the calls.
constexpr int MaxAttempts = 6;
constexpr Duration FirstBackOff{200};
constexpr Duration MaxBackOff{2000};
/// An edit of one line is made again on top of somebody else's change.
constexpr int MaxEdits = 3;
constexpr Duration PollInterval{250};

/// In single quotes unless the text is a plain word.
std::string quote(std::string_view text) {
  const bool plain = !text.empty() && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("-_./:,@").find(c) != std::string_view::npos;
  });
  if (plain)
    return std::string(text);
  std::string result = "'";
  for (const char c : text)
    result += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return result + "'";
}

CtlExit exitOf(const absl::Status &status) {
  switch (status.code()) {
  case absl::StatusCode::kOk:
    return CtlExit::Done;
  case absl::StatusCode::kAborted:
    return CtlExit::Conflict;
  case absl::StatusCode::kUnavailable:
    return CtlExit::NotReachable;
  case absl::StatusCode::kDeadlineExceeded:
    return CtlExit::OutcomeUnknown;
  default:
    return CtlExit::Refused;
  }
}

/// True if the answer shows that the change with this operation id was not made
/// and never will be, even if an earlier answer to it was lost. A refusal for
/// want of space is none: an earlier request may still be on its way.
bool isFinal(absl::StatusCode code) {
  return code == absl::StatusCode::kAborted ||
         code == absl::StatusCode::kInvalidArgument ||
         code == absl::StatusCode::kPermissionDenied;
}

class Runner {
public:
  Runner(CtlArguments args, CtlEnvironment &environment)
      : Args(std::move(args)), Environment(environment),
        Out(Args.Json, environment) {}

  CtlExit run() {
    Out.set("command", boost::json::string(Args.CommandName));
    return Out.finish(dispatch());
  }

private:
  struct Current {
    Revision RulesRevision;
    RuleSet Rules;
  };

  CtlExit dispatch() {
    if (Args.Command == CtlCommand::Check)
      return check();
    Findings findings;
    const auto secret = loadCredential(Args.CredentialFile, findings);
    if (!secret) {
      Out.findings(findings);
      return CtlExit::Refused;
    }
    Client = Environment.makeClient(Args.Servers, *secret, Args.Timeout);
    switch (Args.Command) {
    case CtlCommand::Diff:
      return diff();
    case CtlCommand::Apply:
      return applyFile();
    case CtlCommand::Status:
      return status();
    case CtlCommand::DataCentreOut:
      return edit(concat("out ", Args.Operand), true);
    case CtlCommand::DataCentreIn:
      return edit(concat("out ", Args.Operand), false);
    case CtlCommand::Drain:
      return edit(concat("drain upstream ", Args.Operand), true);
    default:
      return edit(concat("drain upstream ", Args.Operand), false);
    }
  }

  CtlExit fail(const absl::Status &status) {
    Out.message(messageOf(status));
    return exitOf(status);
  }

  std::optional<RuleSet> readFile() {
    Findings findings;
    std::ifstream file(Args.Operand, std::ios::binary);
    std::string text(MaxRulesBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    const bool good = !file.bad() && (file.good() || file.eof());
    text.resize(static_cast<std::size_t>(file.gcount()));
    std::optional<RuleSet> rules;
    if (!good)
      findings.add({Args.Operand, 0, 0, "the file cannot be read"});
    else if (text.size() > MaxRulesBytes)
      findings.add({Args.Operand, 0, 0,
                    concat("the file is longer than ",
                           std::to_string(MaxRulesBytes), " bytes")});
    else
      rules = RuleSet::parse(text, Args.Operand, findings);
    if (!rules)
      Out.findings(findings);
    return rules;
  }

  absl::StatusOr<Current> readCurrent() {
    const auto answer = Client->readRules();
    if (!answer.ok())
      return answer.status();
    Findings findings;
    auto rules = RuleSet::parse(answer->Rules, "current rules", findings);
    if (!rules)
      return findings.toStatus();
    return Current{answer->RulesRevision, *std::move(rules)};
  }

  CtlExit check() {
    const auto rules = readFile();
    if (!rules)
      return CtlExit::Refused;
    Out.set("rules", rules->lines().size());
    Out.text(concat(Args.Operand, ": ", std::to_string(rules->lines().size()),
                    " rules, no findings\n"));
    return CtlExit::Done;
  }

  /// Prints the changes against the current rules; false if there are none.
  bool showChanges(const Current &current, const RuleSet &after) {
    const auto changes = diffRules(current.Rules, after);
    const std::string text = formatChanges(changes);
    Out.set("currentRevision", current.RulesRevision.Value);
    Out.set("changes", boost::json::string(text));
    Out.text(changes.empty()
                 ? concat("no changes against revision ",
                          std::to_string(current.RulesRevision.Value), "\n")
                 : concat("changes against revision ",
                          std::to_string(current.RulesRevision.Value), ":\n",
                          text));
    return !changes.empty();
  }

  CtlExit diff() {
    const auto rules = readFile();
    if (!rules)
      return CtlExit::Refused;
    const auto current = readCurrent();
    if (!current.ok())
      return fail(current.status());
    showChanges(*current, *rules);
    return CtlExit::Done;
  }

  CtlExit applyFile() {
    const auto rules = readFile();
    if (!rules)
      return CtlExit::Refused;
    const auto current = readCurrent();
    if (!current.ok())
      return fail(current.status());
    // With a given id the change may have been made already; its first result
    // is asked for even if nothing differs.
    if (!showChanges(*current, *rules) && !Args.OperationId)
      return CtlExit::Done;
    if (!Args.Yes && !Environment.confirm("Make these changes?")) {
      Out.message("not applied");
      return CtlExit::Refused;
    }
    const absl::Status status = send(rules->text(), current->RulesRevision);
    return status.ok() ? waitForBalancers() : exitOf(status);
  }

  CtlExit edit(const std::string &line, bool add) {
    for (int i = 1;; ++i) {
      const auto current = readCurrent();
      if (!current.ok())
        return fail(current.status());
      const bool present =
          std::ranges::find(current->Rules.lines(), line, &RuleLine::Text) !=
          current->Rules.lines().end();
      if (present == add && !Args.OperationId) {
        Out.text(concat("nothing to change: the rule '", line, "' is ",
                        add ? "there already" : "not there", "\n"));
        Applied = current->RulesRevision;
        return waitForBalancers();
      }
      std::string text = current->Rules.text();
      if (present != add) {
        auto edited =
            add ? addRule(current->Rules, line, Args.Operator, Args.Reason)
                : removeRule(current->Rules, line);
        if (!edited.ok())
          return fail(edited.status());
        text = *std::move(edited);
      }
      const bool again =
          i < MaxEdits && !Args.ExpectedRevision && !Args.OperationId;
      const absl::Status status =
          send(text, current->RulesRevision, /*quietConflict=*/again);
      if (status.ok())
        return waitForBalancers();
      if (!absl::IsAborted(status) || !again)
        return exitOf(status);
    }
  }

  /// Sends the change until its outcome is known or the attempts are used up,
  /// and prints the outcome.
  absl::Status send(const std::string &rules, Revision current,
                    bool quietConflict = false) {
    const ApplyRequest request{
        Args.OperationId.value_or(Environment.newOperationId()),
        Args.ExpectedRevision.value_or(current), "", Args.Operator, rules};
    Out.set("operationId", boost::json::string(request.OperationId));
    Out.text(concat("operation id: ", request.OperationId, "\n"));
    bool lost = false;
    Duration backOff = FirstBackOff;
    absl::Status last;
    for (int i = 0; i < MaxAttempts; ++i) {
      if (i > 0) {
        Environment.sleep(backOff);
        backOff = std::min(2 * backOff, MaxBackOff);
      }
      const auto outcome = Client->apply(request);
      if (outcome.ok()) {
        reportOutcome(*outcome);
        return absl::OkStatus();
      }
      last = outcome.status();
      lost = lost || absl::IsDeadlineExceeded(last);
      const bool retriable =
          absl::IsUnavailable(last) || absl::IsDeadlineExceeded(last);
      if (isFinal(last.code()) || (!retriable && !lost)) {
        if (!absl::IsAborted(last) || !quietConflict)
          Out.message(messageOf(last));
        return last;
      }
    }
    Out.message(messageOf(last));
    // Once an answer was lost, an unreachable server says nothing about the
    // change.
    if (!lost)
      return last;
    reportUnknown(request);
    return absl::DeadlineExceededError("the outcome is not known");
  }

  void reportOutcome(const ApplyOutcome &outcome) {
    Applied = outcome.RulesRevision;
    Out.set("rulesRevision", outcome.RulesRevision.Value);
    Out.set("changes", boost::json::string(outcome.Changes));
    Out.set("repeated", outcome.Repeated);
    Out.text(concat(outcome.Repeated ? "already made" : "accepted",
                    ", revision of the rules: ",
                    std::to_string(outcome.RulesRevision.Value), "\n",
                    outcome.Changes));
  }

  void reportUnknown(const ApplyRequest &request) {
    std::string command =
        concat("pistachioctl ", Args.CommandName, " ", quote(Args.Operand),
               " --revision ", std::to_string(request.ExpectedRevision.Value),
               " --operation-id ", quote(request.OperationId));
    for (const Endpoint &it : Args.Servers)
      command += concat(" --server ", toString(it));
    command += concat(" --credential-file ", quote(Args.CredentialFile),
                      " --operator ", quote(Args.Operator));
    if (!Args.Reason.empty())
      command += concat(" --reason ", quote(Args.Reason));
    if (Args.Yes)
      command += " --yes";
    if (Args.Json)
      command += " --json";
    Out.set("resume", boost::json::string(command));
    Out.message(concat("the outcome of operation ", request.OperationId,
                       " is not known; resend it with:\n  ", command));
  }

  static std::vector<NodeStatus> behind(const ControlStatus &status,
                                        Revision revision) {
    std::vector<NodeStatus> nodes;
    for (const NodeStatus &it : status.Balancers)
      if (it.InForce.Value < revision.Value)
        nodes.push_back(it);
    return nodes;
  }

  CtlExit waitForBalancers() {
    if (Args.Wait == Duration::zero())
      return CtlExit::Done;
    const TimePoint end = Environment.now() + Args.Wait;
    absl::StatusOr<ControlStatus> status = Client->readStatus();
    const auto complete = [&] {
      return status.ok() && behind(*status, Applied).empty();
    };
    while (!complete() && Environment.now() < end) {
      Environment.sleep(PollInterval);
      status = Client->readStatus();
    }
    if (!status.ok()) {
      Out.message(concat("accepted, but it is not known where it is in force: ",
                         messageOf(status.status())));
      return CtlExit::NotReachable;
    }
    noteUnknownUpstream(*status);
    const auto nodes = behind(*status, Applied);
    boost::json::array names;
    for (const NodeStatus &it : nodes)
      names.emplace_back(it.Name);
    Out.set("notInForce", std::move(names));
    if (nodes.empty()) {
      Out.text(concat("in force at all ",
                      std::to_string(status->Balancers.size()),
                      " balancers\n"));
      return CtlExit::Done;
    }
    Out.message(concat("not in force at ", std::to_string(nodes.size()), " of ",
                       std::to_string(status->Balancers.size()),
                       " balancers:\n", formatBalancers(nodes)));
    return CtlExit::NotReachable;
  }

  void noteUnknownUpstream(const ControlStatus &status) {
    if (Args.Command != CtlCommand::Drain)
      return;
    for (const UpstreamStatus &it : status.Upstreams)
      if (std::to_string(it.Id.Value) == Args.Operand)
        return;
    Out.message(concat("no upstream has the id ", Args.Operand, " now"));
  }

  static std::string formatBalancers(std::span<const NodeStatus> nodes) {
    std::vector<std::vector<std::string>> rows = {
        {"BALANCER", "DATA CENTRE", "ADDRESS", "IN FORCE", "SILENT"}};
    for (const NodeStatus &it : nodes)
      rows.push_back({it.Name, it.DataCentre, toString(it.Address),
                      std::to_string(it.InForce.Value),
                      concat(std::to_string(it.SilentMs), " ms")});
    return formatTable(rows);
  }

  CtlExit status() {
    const auto status = Client->readStatus();
    if (!status.ok())
      return fail(status.status());
    const auto current = readCurrent();
    if (!current.ok())
      return fail(current.status());
    // The document of the API is parsed again instead of exposing JSON types in
    // the header of Admin.
    Out.set("status", boost::json::parse(toJson(*status)));
    boost::json::array out;
    for (const std::string &it : current->Rules.dataCentresOut())
      out.emplace_back(it);
    Out.set("out", std::move(out));

    Out.text(concat(
        "control: ", status->Role, ", term ", std::to_string(status->Term),
        ", commit index ", std::to_string(status->CommitIndex),
        "\npublished revision: ", std::to_string(status->Published.Value),
        "\nrules revision: ", std::to_string(status->RulesRevision.Value),
        "\n"));
    std::vector<std::vector<std::string>> rows = {{"DATA CENTRE", "STATE"}};
    for (const std::string &it : current->Rules.dataCentres())
      rows.push_back(
          {it, std::ranges::count(current->Rules.dataCentresOut(), it) > 0
                   ? "out"
                   : "in"});
    Out.text(concat("\n", formatTable(rows)));
    rows = {{"MEMBER", "ADDRESS", "VOTE"}};
    for (const MemberStatus &it : status->Members)
      rows.push_back({std::to_string(it.Id.Value), toString(it.Address),
                      it.Voter ? "yes" : "no"});
    Out.text(concat("\n", formatTable(rows), "\n",
                    formatBalancers(status->Balancers)));
    rows = {{"UPSTREAM", "SERVICE", "DATA CENTRE", "ZONE", "MACHINE", "ADDRESS",
             "STATE", "SLOTS", "FLOWS"}};
    for (const UpstreamStatus &it : status->Upstreams)
      rows.push_back({std::to_string(it.Id.Value), it.Service, it.DataCentre,
                      it.Zone, it.Machine, toString(it.Address), it.State,
                      std::to_string(it.Slots), std::to_string(it.Flows)});
    Out.text(concat("\n", formatTable(rows)));
    return CtlExit::Done;
  }

  CtlArguments Args;
  CtlEnvironment &Environment;
  Output Out;
  std::unique_ptr<AdminClient> Client;
  /// Revision of the rules that balancers must have in force.
  Revision Applied;
};

} // namespace

CtlExit runCtl(std::span<const std::string> args, std::string_view version,
               CtlEnvironment &environment) {
  auto parsed = parseArguments(args, version, environment);
  if (const CtlExit *code = std::get_if<CtlExit>(&parsed))
    return *code;
  return Runner(std::get<CtlArguments>(std::move(parsed)), environment).run();
}

} // namespace pistachio
