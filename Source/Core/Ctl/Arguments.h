#pragma once

/// Internal header of the Ctl library: the command line.

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
  Undrain
};

struct CtlArguments {
  CtlCommand Command = CtlCommand::Status;
  /// As given, for example "dc out".
  std::string CommandName;
  /// File, data centre or upstream id.
  std::string Operand;
  std::vector<Endpoint> Servers;
  std::string CredentialFile;
  std::string Operator;
  std::string Reason;
  bool Json = false;
  bool Yes = false;
  /// For each call of the administration API.
  Duration Timeout{0};
  /// For the balancers to report a change as in force.
  Duration Wait{0};
  std::optional<Revision> ExpectedRevision;
  std::optional<std::string> OperationId;
};

/// The arguments, or the exit code after help, version or a usage error, which
/// are printed here.
std::variant<CtlArguments, CtlExitCode>
parseArguments(std::span<const std::string> args, std::string_view version,
               CtlEnvironment &environment);

} // namespace pistachio
