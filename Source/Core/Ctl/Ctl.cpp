#include "Ctl/Ctl.h"

#include "Ctl/Arguments.h"
#include "Ctl/ExplanationText.h"
#include "Ctl/Output.h"
#include "Rules/Rules.h"
#include "Settings/Settings.h"

#include <algorithm>
#include <fstream>

namespace pistachio {
namespace {

/// A leader election takes 1 to 2 s. The delays between the attempts add up to
/// about 5 s.
constexpr int MaxSubmitAttempts = 6;
constexpr Duration InitialBackoff{200};
constexpr Duration MaxBackoff{2000};
/// Number of attempts to edit one rule if other changes are accepted in
/// between.
constexpr int MaxEditAttempts = 3;
constexpr Duration StatusPollInterval{250};

/// Quotes the text for a shell, unless it consists of characters without a
/// special meaning.
std::string shellQuote(std::string_view text) {
  const bool isSafe = !text.empty() && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("-_./:,@").find(c) != std::string_view::npos;
  });
  if (isSafe)
    return std::string(text);
  std::string result = "'";
  for (const char c : text)
    result += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return result + "'";
}

CtlExitCode exitCodeFor(const absl::Status &status) {
  switch (status.code()) {
  case absl::StatusCode::kOk:
    return CtlExitCode::Done;
  case absl::StatusCode::kAborted:
    return CtlExitCode::Conflict;
  case absl::StatusCode::kUnavailable:
    return CtlExitCode::NotReachable;
  case absl::StatusCode::kDeadlineExceeded:
    return CtlExitCode::OutcomeUnknown;
  default:
    return CtlExitCode::Refused;
  }
}

/// Returns true if the error proves that the change with this operation id was
/// not made and never will be, even if the response to an earlier request was
/// lost. Lack of space (ResourceExhausted) is no such proof, because an earlier
/// request may still be in progress.
bool isDefiniteRejection(absl::StatusCode code) {
  return code == absl::StatusCode::kAborted ||
         code == absl::StatusCode::kInvalidArgument ||
         code == absl::StatusCode::kPermissionDenied;
}

class CommandRunner {
public:
  CommandRunner(CtlArguments args, CtlEnvironment &environment)
      : Args(std::move(args)), Environment(environment),
        Out(Args.Json, environment) {}

  CtlExitCode run() {
    Out.setField("command", boost::json::string(Args.CommandName));
    return Out.finish(dispatch());
  }

private:
  struct ParsedRules {
    Revision RulesRevision;
    RuleSet Rules;
  };

  CtlExitCode dispatch() {
    if (Args.Command == CtlCommand::Check)
      return check();
    if (Args.Command == CtlCommand::Explain)
      return explain();
    Findings findings;
    const auto secret = loadCredential(Args.CredentialFile, findings);
    if (!secret) {
      Out.printFindings(findings);
      return CtlExitCode::Refused;
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
      return editRule(concat("out ", Args.Operand), true);
    case CtlCommand::DataCentreIn:
      return editRule(concat("out ", Args.Operand), false);
    case CtlCommand::Drain:
      return editRule(concat("drain upstream ", Args.Operand), true);
    default:
      return editRule(concat("drain upstream ", Args.Operand), false);
    }
  }

  CtlExitCode reportError(const absl::Status &status) {
    Out.printMessage(messageOf(status));
    return exitCodeFor(status);
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
      Out.printFindings(findings);
    return rules;
  }

  absl::StatusOr<ParsedRules> readCurrent() {
    const auto answer = Client->readRules();
    if (!answer.ok())
      return answer.status();
    Findings findings;
    auto rules = RuleSet::parse(answer->Rules, "current rules", findings);
    if (!rules)
      return findings.toStatus();
    return ParsedRules{answer->RulesRevision, *std::move(rules)};
  }

  CtlExitCode check() {
    const auto rules = readFile();
    if (!rules)
      return CtlExitCode::Refused;
    Out.setField("rules", rules->lines().size());
    Out.printText(concat(Args.Operand, ": ",
                         std::to_string(rules->lines().size()),
                         " rules, no findings\n"));
    return CtlExitCode::Done;
  }

  /// Prints the changes from the current rules to \p after. Returns false if
  /// there are none.
  bool showChanges(const ParsedRules &current, const RuleSet &after) {
    const auto changes = diffRules(current.Rules, after);
    const std::string text = formatChanges(changes);
    Out.setField("currentRevision", current.RulesRevision.Value);
    Out.setField("changes", boost::json::string(text));
    Out.printText(
        changes.empty()
            ? concat("no changes against revision ",
                     std::to_string(current.RulesRevision.Value), "\n")
            : concat("changes against revision ",
                     std::to_string(current.RulesRevision.Value), ":\n", text));
    return !changes.empty();
  }

  CtlExitCode diff() {
    const auto rules = readFile();
    if (!rules)
      return CtlExitCode::Refused;
    const auto current = readCurrent();
    if (!current.ok())
      return reportError(current.status());
    showChanges(*current, *rules);
    return CtlExitCode::Done;
  }

  CtlExitCode applyFile() {
    const auto rules = readFile();
    if (!rules)
      return CtlExitCode::Refused;
    const auto current = readCurrent();
    if (!current.ok())
      return reportError(current.status());
    // If the operator gave an operation id, the change may have been made
    // already. It is then sent even if the rules do not differ, to get the
    // first result.
    if (!showChanges(*current, *rules) && !Args.OperationId)
      return CtlExitCode::Done;
    if (!Args.Yes && !Environment.confirm("Make these changes?")) {
      Out.printMessage("not applied: the operator did not confirm the changes");
      return CtlExitCode::Refused;
    }
    const absl::Status status =
        submitChange(rules->text(), current->RulesRevision);
    return status.ok() ? waitForBalancers() : exitCodeFor(status);
  }

  CtlExitCode editRule(const std::string &line, bool add) {
    for (int i = 1;; ++i) {
      const auto current = readCurrent();
      if (!current.ok())
        return reportError(current.status());
      const bool present =
          std::ranges::find(current->Rules.lines(), line, &RuleLine::Text) !=
          current->Rules.lines().end();
      if (present == add && !Args.OperationId) {
        Out.printText(concat("nothing to change: the rule '", line, "' is ",
                             add ? "there already" : "not there", "\n"));
        AppliedRevision = current->RulesRevision;
        return waitForBalancers();
      }
      std::string text = current->Rules.text();
      if (present != add) {
        auto edited =
            add ? addRule(current->Rules, line, Args.Operator, Args.Reason)
                : removeRule(current->Rules, line);
        if (!edited.ok())
          return reportError(edited.status());
        text = *std::move(edited);
      }
      const bool mayRetry =
          i < MaxEditAttempts && !Args.ExpectedRevision && !Args.OperationId;
      const absl::Status status = submitChange(
          text, current->RulesRevision, /*suppressConflictMessage=*/mayRetry);
      if (status.ok())
        return waitForBalancers();
      if (!absl::IsAborted(status) || !mayRetry)
        return exitCodeFor(status);
    }
  }

  /// Sends the change until its outcome is known or all attempts are used up,
  /// and prints the outcome.
  absl::Status submitChange(const std::string &rules, Revision current,
                            bool suppressConflictMessage = false) {
    const ApplyRequest request{
        Args.OperationId.value_or(Environment.newOperationId()),
        Args.ExpectedRevision.value_or(current), "", Args.Operator, rules};
    Out.setField("operationId", boost::json::string(request.OperationId));
    Out.printText(concat("operation id: ", request.OperationId, "\n"));
    bool answerLost = false;
    Duration backoff = InitialBackoff;
    absl::Status lastStatus;
    for (int i = 0; i < MaxSubmitAttempts; ++i) {
      if (i > 0) {
        Environment.sleep(backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
      }
      const auto outcome = Client->apply(request);
      if (outcome.ok()) {
        reportOutcome(*outcome);
        return absl::OkStatus();
      }
      lastStatus = outcome.status();
      answerLost = answerLost || absl::IsDeadlineExceeded(lastStatus);
      const bool retriable = absl::IsUnavailable(lastStatus) ||
                             absl::IsDeadlineExceeded(lastStatus);
      if (isDefiniteRejection(lastStatus.code()) ||
          (!retriable && !answerLost)) {
        if (!absl::IsAborted(lastStatus) || !suppressConflictMessage)
          Out.printMessage(messageOf(lastStatus));
        return lastStatus;
      }
    }
    Out.printMessage(messageOf(lastStatus));
    // If an earlier response was lost, the change may have been made, whatever
    // the last error is.
    if (!answerLost)
      return lastStatus;
    reportUnknown(request);
    return absl::DeadlineExceededError("the outcome is not known");
  }

  void reportOutcome(const ApplyOutcome &outcome) {
    AppliedRevision = outcome.RulesRevision;
    Out.setField("rulesRevision", outcome.RulesRevision.Value);
    Out.setField("changes", boost::json::string(outcome.Changes));
    Out.setField("repeated", outcome.Repeated);
    Out.printText(concat(outcome.Repeated ? "already made" : "accepted",
                         ", revision of the rules: ",
                         std::to_string(outcome.RulesRevision.Value), "\n",
                         outcome.Changes));
  }

  void reportUnknown(const ApplyRequest &request) {
    std::string command =
        concat("pistachioctl ", Args.CommandName, " ", shellQuote(Args.Operand),
               " --revision ", std::to_string(request.ExpectedRevision.Value),
               " --operation-id ", shellQuote(request.OperationId));
    for (const Endpoint &it : Args.Servers)
      command += concat(" --server ", toString(it));
    command += concat(" --credential-file ", shellQuote(Args.CredentialFile),
                      " --operator ", shellQuote(Args.Operator));
    if (!Args.Reason.empty())
      command += concat(" --reason ", shellQuote(Args.Reason));
    if (Args.Yes)
      command += " --yes";
    if (Args.Json)
      command += " --json";
    Out.setField("resume", boost::json::string(command));
    Out.printMessage(concat("the outcome of operation ", request.OperationId,
                            " is not known; resend it with:\n  ", command));
  }

  static std::vector<BalancerStatus>
  balancersBehind(const ControlStatus &status, Revision revision) {
    std::vector<BalancerStatus> nodes;
    for (const BalancerStatus &it : status.Balancers)
      if (it.ConfirmedRevision.Value < revision.Value)
        nodes.push_back(it);
    return nodes;
  }

  CtlExitCode waitForBalancers() {
    if (Args.Wait == Duration::zero())
      return CtlExitCode::Done;
    const TimePoint deadline = Environment.now() + Args.Wait;
    absl::StatusOr<ControlStatus> status = Client->readStatus();
    const auto isComplete = [&] {
      return status.ok() && balancersBehind(*status, AppliedRevision).empty();
    };
    while (!isComplete() && Environment.now() < deadline) {
      Environment.sleep(StatusPollInterval);
      status = Client->readStatus();
    }
    if (!status.ok()) {
      Out.printMessage(
          concat("the change is accepted, but the status of the balancers "
                 "cannot be read: ",
                 messageOf(status.status())));
      return CtlExitCode::NotReachable;
    }
    warnIfUpstreamUnknown(*status);
    const auto nodes = balancersBehind(*status, AppliedRevision);
    boost::json::array names;
    for (const BalancerStatus &it : nodes)
      names.emplace_back(it.Name);
    Out.setField("notInForce", std::move(names));
    if (nodes.empty()) {
      Out.printText(concat("in force at all ",
                           std::to_string(status->Balancers.size()),
                           " balancers\n"));
      return CtlExitCode::Done;
    }
    Out.printMessage(concat("the rules are not in force at ",
                            std::to_string(nodes.size()), " of ",
                            std::to_string(status->Balancers.size()),
                            " balancers:\n", formatBalancers(nodes)));
    return CtlExitCode::NotReachable;
  }

  void warnIfUpstreamUnknown(const ControlStatus &status) {
    if (Args.Command != CtlCommand::Drain)
      return;
    for (const UpstreamStatus &it : status.Upstreams)
      if (std::to_string(it.Id.Value) == Args.Operand)
        return;
    Out.printMessage(concat("no upstream has the id ", Args.Operand, " now"));
  }

  static std::string formatBalancers(std::span<const BalancerStatus> nodes) {
    std::vector<std::vector<std::string>> rows = {
        {"BALANCER", "DATA CENTRE", "ADDRESS", "IN FORCE", "SILENT"}};
    for (const BalancerStatus &it : nodes)
      rows.push_back({it.Name, it.DataCentre, toString(it.Address),
                      std::to_string(it.ConfirmedRevision.Value),
                      concat(std::to_string(it.LastLeaseRequestAgeMs), " ms")});
    return formatTable(rows);
  }

  CtlExitCode status() {
    const auto status = Client->readStatus();
    if (!status.ok())
      return reportError(status.status());
    const auto current = readCurrent();
    if (!current.ok())
      return reportError(current.status());
    // The JSON text of the API is parsed again, so that the header of Admin
    // does not expose JSON types.
    Out.setField("status", boost::json::parse(toJson(*status)));
    boost::json::array out;
    for (const std::string &it : current->Rules.dataCentresOut())
      out.emplace_back(it);
    Out.setField("out", std::move(out));

    Out.printText(concat(
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
    Out.printText(concat("\n", formatTable(rows)));
    rows = {{"MEMBER", "ADDRESS", "VOTE"}};
    for (const MemberStatus &it : status->Members)
      rows.push_back({std::to_string(it.Id.Value), toString(it.Address),
                      it.Voter ? "yes" : "no"});
    Out.printText(concat("\n", formatTable(rows), "\n",
                         formatBalancers(status->Balancers)));
    rows = {{"UPSTREAM", "SERVICE", "DATA CENTRE", "ZONE", "MACHINE", "ADDRESS",
             "STATE", "SLOTS", "FLOWS"}};
    for (const UpstreamStatus &it : status->Upstreams)
      rows.push_back({std::to_string(it.Id.Value), it.Service, it.DataCentre,
                      it.Zone, it.Machine, toString(it.Address), it.State,
                      std::to_string(it.Slots), std::to_string(it.Flows)});
    Out.printText(concat("\n", formatTable(rows)));
    return CtlExitCode::Done;
  }

  CtlExitCode explain() {
    const auto answer =
        Environment.explain(Args.Balancer, Args.Flow, Args.Timeout);
    if (!answer.ok())
      return reportError(answer.status());
    boost::system::error_code ec;
    const boost::json::value document = boost::json::parse(*answer, ec);
    const boost::json::object *explanation =
        ec ? nullptr : document.if_object();
    const boost::json::value *reason =
        explanation == nullptr ? nullptr : explanation->if_contains("reason");
    if (reason == nullptr || !reason->is_string()) {
      Out.printMessage(
          concat(toString(Args.Balancer), " sent no valid explanation"));
      return CtlExitCode::Refused;
    }
    Out.setField("explanation", document);
    if (reason->get_string() == "no-table") {
      Out.printMessage(concat("the balancer ", toString(Args.Balancer),
                              " has no table yet"));
      return CtlExitCode::NotReachable;
    }
    if (reason->get_string() == "no-route") {
      Out.printMessage(concat("the balancer ", toString(Args.Balancer),
                              " has no route for the service address ",
                              toString(Args.Flow.Service)));
      return CtlExitCode::Refused;
    }
    Out.printText(formatExplanation(*explanation));
    return CtlExitCode::Done;
  }

  CtlArguments Args;
  CtlEnvironment &Environment;
  Output Out;
  std::unique_ptr<AdminClient> Client;
  /// Revision of the rules that waitForBalancers() waits for.
  Revision AppliedRevision;
};

} // namespace

CtlExitCode runCtl(std::span<const std::string> args, std::string_view version,
                   CtlEnvironment &environment) {
  auto parsed = parseArguments(args, version, environment);
  if (const CtlExitCode *code = std::get_if<CtlExitCode>(&parsed))
    return *code;
  return CommandRunner(std::get<CtlArguments>(std::move(parsed)), environment)
      .run();
}

} // namespace pistachio
