#include "Ctl/Arguments.h"

#include "Settings/Settings.h"

#include <algorithm>
#include <charconv>
#include <ostream>
#include <tclap/CmdLine.h>

namespace pistachio {
namespace {

constexpr std::string_view Program = "pistachioctl";
constexpr std::uint32_t MaxTimeoutSeconds = 3600;
/// Caller of the new flow that 'explain --address' asks about. The address is
/// reserved for documentation, so that no balancer knows a flow of it.
constexpr Endpoint ArbitraryCaller{0xC0000201, 1};

struct CommandSpec {
  std::string_view Name;
  CtlCommand Command;
  /// Placeholder for the operand in the usage text; empty if the command has no
  /// operand.
  std::string_view Operand;
  std::string_view Description;
  bool NeedsServer;
  bool ChangesRules;
};

constexpr CommandSpec Commands[] = {
    {"check", CtlCommand::Check, "FILE",
     "Check a rules file without contacting a server.", false, false},
    {"diff", CtlCommand::Diff, "FILE",
     "Show the changes that applying a rules file would make.", true, false},
    {"apply", CtlCommand::Apply, "FILE",
     "Replace the current rules with those of a file.", true, true},
    {"status", CtlCommand::Status, "",
     "Show the state of control instances, balancers and upstreams.", true,
     false},
    {"dc out", CtlCommand::DataCentreOut, "NAME",
     "Take a data centre out of service.", true, true},
    {"dc in", CtlCommand::DataCentreIn, "NAME",
     "Bring a data centre back into service.", true, true},
    {"drain", CtlCommand::Drain, "ID",
     "Stop assigning new flows to an upstream.", true, true},
    {"undrain", CtlCommand::Undrain, "ID",
     "Assign new flows to an upstream again.", true, true},
    {"explain", CtlCommand::Explain, "",
     "Show where a balancer in mode relay would send a flow now, and why.",
     false, false},
};

/// Prints the help and the version to the output stream of the environment.
class HelpPrinter : public TCLAP::CmdLineOutput {
public:
  HelpPrinter(const CommandSpec &spec, CtlEnvironment &environment)
      : Spec(spec), Environment(environment) {}

  void usage(TCLAP::CmdLineInterface &commandLine) override {
    std::ostream &out = Environment.out();
    out << "usage: " << Program << ' ' << Spec.Name;
    if (!Spec.Operand.empty())
      out << ' ' << Spec.Operand;
    out << " [options]\n" << Spec.Description << "\n\noptions:\n";
    for (TCLAP::Arg *it : commandLine.getArgList()) {
      if (it->getName() == Spec.Operand ||
          it->getName() == TCLAP::Arg::ignoreNameString())
        continue;
      out << "  " << it->longID() << "\n      " << it->getDescription() << '\n';
    }
  }
  void version(TCLAP::CmdLineInterface &commandLine) override {
    Environment.out() << Program << ' ' << commandLine.getVersion() << '\n';
  }
  void failure(TCLAP::CmdLineInterface &, TCLAP::ArgException &) override {}

private:
  const CommandSpec &Spec;
  CtlEnvironment &Environment;
};

void printCommands(std::ostream &out) {
  out << "usage: " << Program << " COMMAND [options]\n\ncommands:\n";
  for (const CommandSpec &it : Commands) {
    const std::string usageText = concat(it.Name, " ", it.Operand);
    out << "  " << usageText << std::string(16 - usageText.size(), ' ')
        << it.Description << '\n';
  }
  out << "\n'" << Program << " COMMAND --help' lists the options.\n";
}

CtlExitCode usageError(CtlEnvironment &environment, std::string_view message) {
  environment.err() << Program << ": " << message << "\nTry '" << Program
                    << " --help'.\n";
  return CtlExitCode::Usage;
}

template <typename Number>
std::optional<Number> toNumber(std::string_view text) {
  Number value = 0;
  const char *end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return value;
}

std::optional<Duration> toSeconds(std::string_view text) {
  const auto value = toNumber<std::uint32_t>(text);
  if (!value || *value > MaxTimeoutSeconds)
    return std::nullopt;
  return std::chrono::seconds(*value);
}

/// Parses "CALLER:PORT,SERVICE:PORT".
absl::StatusOr<FlowEndpoints> parseFlow(std::string_view text) {
  const std::size_t comma = text.find(',');
  if (comma == std::string_view::npos)
    return absl::InvalidArgumentError(
        concat("'", text, "' is not a flow CALLER:PORT,SERVICE:PORT"));
  const auto caller = parseEndpoint(text.substr(0, comma));
  if (!caller.ok())
    return caller.status();
  const auto service = parseEndpoint(text.substr(comma + 1));
  if (!service.ok())
    return service.status();
  return FlowEndpoints{*caller, *service};
}

/// Returns a flow of an arbitrary caller to the service address.
absl::StatusOr<FlowEndpoints> parseArbitraryFlow(std::string_view address) {
  const auto service = parseEndpoint(address);
  if (!service.ok())
    return service.status();
  return FlowEndpoints{ArbitraryCaller, *service};
}

const CommandSpec *findCommand(std::span<const std::string> args,
                               std::size_t &consumedArgs) {
  for (const CommandSpec &it : Commands) {
    const std::string joined =
        args.size() > 1 ? concat(args[0], " ", args[1]) : "";
    consumedArgs = it.Name.find(' ') == std::string_view::npos ? 1 : 2;
    if (it.Name == args[0] || it.Name == joined)
      return &it;
  }
  return nullptr;
}

} // namespace

std::variant<CtlArguments, CtlExitCode>
parseArguments(std::span<const std::string> args, std::string_view version,
               CtlEnvironment &environment) {
  if (args.empty())
    return usageError(environment, "the command is missing");
  if (args[0] == "--help" || args[0] == "-h") {
    printCommands(environment.out());
    return CtlExitCode::Done;
  }
  if (args[0] == "--version") {
    environment.out() << Program << ' ' << version << '\n';
    return CtlExitCode::Done;
  }
  std::size_t consumedArgs = 0;
  const CommandSpec *spec = findCommand(args, consumedArgs);
  if (spec == nullptr)
    return usageError(environment, concat("unknown command '", args[0], "'"));

  using StringArg = TCLAP::ValueArg<std::string>;
  TCLAP::CmdLine commandLine(std::string(spec->Description), ' ',
                             std::string(version));
  HelpPrinter helpPrinter(*spec, environment);
  commandLine.setOutput(&helpPrinter);
  commandLine.setExceptionHandling(false);
  TCLAP::MultiArg<std::string> servers(
      "", "server",
      concat("Endpoint of the administration API of a control instance; may "
             "be repeated. ",
             "Default: ", toString(DefaultAdminEndpoint)),
      false, "A.B.C.D:PORT");
  StringArg credential("", "credential-file",
                       "File whose first line is the credential of the team.",
                       false, "", "FILE");
  StringArg operatorName(
      "", "operator",
      "Name of the person who requests the change. Default: the login "
      "name.",
      false, "", "NAME");
  StringArg reason("", "reason",
                   "Reason for the change; stored as a comment of the rule.",
                   false, "", "TEXT");
  StringArg balancer("", "balancer",
                     "Address at which the balancer serves its metrics.", true,
                     "", "A.B.C.D:PORT");
  StringArg flow("", "flow",
                 "The flow: the caller's address and the service address.",
                 false, "", "CALLER:PORT,SERVICE:PORT");
  StringArg address(
      "", "address",
      "Service address; a new flow of an arbitrary caller is explained.", false,
      "", "A.B.C.D:PORT");
  TCLAP::SwitchArg json("", "json", "Print the result as one JSON document.",
                        commandLine);
  StringArg timeout("", "timeout",
                    "Time limit for each call of a server. Default: 5", false,
                    "5", "SECONDS", commandLine);
  StringArg wait("", "wait",
                 "Time to wait for all balancers to report a change as in "
                 "force; 0 does not "
                 "wait. Default: 10, for apply 0",
                 false, spec->Command == CtlCommand::Apply ? "0" : "10",
                 "SECONDS");
  StringArg revision("", "revision",
                     "Revision of the rules that the change is based on. "
                     "Default: the current one",
                     false, "", "N");
  StringArg operationId(
      "", "operation-id",
      "Id of the change; a change whose id is already known is not "
      "made again. Default: a new id",
      false, "", "ID");
  TCLAP::SwitchArg skipConfirmation(
      "", "yes", "Make the change without asking for confirmation.");
  TCLAP::UnlabeledValueArg<std::string> operand(
      std::string(spec->Operand), std::string(spec->Operand), true, "",
      std::string(spec->Operand));
  if (spec->Command == CtlCommand::Explain) {
    commandLine.add(balancer);
    commandLine.add(flow);
    commandLine.add(address);
  } else {
    commandLine.add(servers);
    commandLine.add(credential);
    commandLine.add(operatorName);
    commandLine.add(reason);
  }
  if (spec->ChangesRules) {
    commandLine.add(wait);
    commandLine.add(revision);
    commandLine.add(operationId);
  }
  if (spec->Command == CtlCommand::Apply)
    commandLine.add(skipConfirmation);
  if (!spec->Operand.empty())
    commandLine.add(operand);

  std::vector<std::string> words = {std::string(Program)};
  words.insert(words.end(),
               args.begin() + static_cast<std::ptrdiff_t>(consumedArgs),
               args.end());
  try {
    commandLine.parse(words);
  } catch (const TCLAP::ExitException &exit) {
    return exit.getExitStatus() == 0 ? CtlExitCode::Done : CtlExitCode::Usage;
  } catch (const TCLAP::ArgException &error) {
    return usageError(environment, concat(spec->Name, ": ", error.error(), "; ",
                                          error.argId()));
  }

  CtlArguments result;
  result.Command = spec->Command;
  result.CommandName = spec->Name;
  result.Operand = operand.getValue();
  if (spec->Command == CtlCommand::Explain) {
    if (flow.isSet() == address.isSet())
      return usageError(environment,
                        "explain: give either --flow or --address");
    const auto endpoint = parseEndpoint(balancer.getValue());
    const auto endpoints = flow.isSet()
                               ? parseFlow(flow.getValue())
                               : parseArbitraryFlow(address.getValue());
    for (const absl::Status &it : {endpoint.status(), endpoints.status()})
      if (!it.ok())
        return usageError(environment, messageOf(it));
    result.Balancer = *endpoint;
    result.Flow = *endpoints;
  }
  for (const std::string &it : servers.getValue()) {
    const auto endpoint = parseEndpoint(it);
    if (!endpoint.ok())
      return usageError(environment, messageOf(endpoint.status()));
    result.Servers.push_back(*endpoint);
  }
  if (result.Servers.empty())
    result.Servers.push_back(DefaultAdminEndpoint);
  result.CredentialFile = credential.getValue();
  if (spec->NeedsServer && result.CredentialFile.empty())
    return usageError(environment, "--credential-file is missing");
  result.Operator =
      operatorName.isSet() ? operatorName.getValue() : environment.user();
  if (spec->ChangesRules && result.Operator.empty())
    return usageError(environment, "--operator is missing");
  result.Reason = reason.getValue();
  result.Json = json.getValue();
  result.Yes = skipConfirmation.getValue();
  if (spec->Command == CtlCommand::Apply && result.Json && !result.Yes)
    return usageError(
        environment,
        "--json requires --yes, because it cannot ask for confirmation");
  const auto timeLimit = toSeconds(timeout.getValue());
  const auto waitLimit = toSeconds(wait.getValue());
  if (!timeLimit || *timeLimit == Duration::zero() || !waitLimit)
    return usageError(environment,
                      concat("--timeout must be greater than 0; --timeout and "
                             "--wait are seconds and are at most ",
                             std::to_string(MaxTimeoutSeconds)));
  result.Timeout = *timeLimit;
  result.Wait = *waitLimit;
  if (revision.isSet()) {
    const auto value = toNumber<std::uint64_t>(revision.getValue());
    if (!value)
      return usageError(environment, "--revision is not a whole number");
    result.ExpectedRevision = Revision{*value};
  }
  if (operationId.isSet()) {
    const std::string &id = operationId.getValue();
    if (id.empty() || id.size() > MaxOperationIdBytes ||
        !std::ranges::all_of(id, [](char c) { return c > ' ' && c < 0x7F; }))
      return usageError(environment, concat("--operation-id has 1 to ",
                                            std::to_string(MaxOperationIdBytes),
                                            " printable ASCII characters"));
    result.OperationId = id;
  }
  return result;
}

} // namespace pistachio
