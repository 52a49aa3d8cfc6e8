#pragma once

/// Internal header of the Ctl library: parsing of the command line.

#include "Ctl/Ctl.h"

#include <optional>
#include <variant>

namespace pistachio {

enum class CtlCommand {
  Check,
  Diff,
  Apply,
  Status,
  DataCentreOut,
  DataCentreIn,
  Drain,
  Undrain,
  Explain
};

struct CtlArguments {
  CtlCommand Command = CtlCommand::Status;
  /// Name of the command, for example "dc out".
  std::string CommandName;
  /// The file name, data centre or upstream id that the command works on.
  std::string Operand;
  std::vector<Endpoint> Servers;
  std::string CredentialFile;
  std::string Operator;
  std::string Reason;
  bool Json = false;
  bool Yes = false;
  /// Time limit for each call of the administration API.
  Duration Timeout{0};
  /// Time to wait for all balancers to report a change as in force.
  Duration Wait{0};
  std::optional<Revision> ExpectedRevision;
  std::optional<std::string> OperationId;
  /// For CtlCommand::Explain only: the metrics address of a balancer.
  Endpoint Balancer;
  FlowEndpoints Flow;
};

/// Returns the parsed arguments. If the command line asks for help or the
/// version, or is invalid, prints the text or the error and returns the exit
/// code.
std::variant<CtlArguments, CtlExitCode>
parseArguments(std::span<const std::string> args, std::string_view version,
               CtlEnvironment &environment);

} // namespace pistachio
