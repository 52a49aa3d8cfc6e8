#pragma once

/// Public header of the Ctl library: the commands of pistachioctl, the command
/// line tool for operators.

#include "Admin/Admin.h"
#include "Common/Common.h"

#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachio {

enum class CtlExitCode : int {
  Done = 0,
  /// The input has findings, the change was rejected, or the operator did not
  /// confirm it.
  Refused = 1,
  Usage = 2,
  /// The change was made against an outdated revision of the rules.
  Conflict = 3,
  /// No control instance or the balancer to ask can be reached, the balancer
  /// has no table, or a balancer did not report an accepted change as in force
  /// within the waiting time.
  NotReachable = 4,
  /// It is unknown whether the change was made. Resending it with the same
  /// operation id is safe.
  OutcomeUnknown = 5,
};

/// Interface between the commands and the process that runs them. Tests replace
/// it.
class CtlEnvironment {
public:
  virtual ~CtlEnvironment() = default;
  virtual std::ostream &out() = 0;
  virtual std::ostream &err() = 0;
  virtual std::unique_ptr<AdminClient> makeClient(std::vector<Endpoint> servers,
                                                  std::string secret,
                                                  Duration deadline) = 0;
  /// See readExplanation() of Admin.
  virtual absl::StatusOr<std::string> explain(const Endpoint &balancer,
                                              const FlowEndpoints &flow,
                                              Duration timeout) = 0;
  virtual TimePoint now() = 0;
  virtual void sleep(Duration time) = 0;
  /// Returns a new unique id of at most MaxOperationIdBytes printable ASCII
  /// characters.
  virtual std::string newOperationId() = 0;
  /// Asks the operator and returns true if the answer is yes.
  virtual bool confirm(std::string_view question) = 0;
  /// Returns the login name, or an empty string if it is unknown.
  virtual std::string user() = 0;
};

/// Runs one command. \p args does not contain the program name.
CtlExitCode runCtl(std::span<const std::string> args, std::string_view version,
                   CtlEnvironment &environment);

} // namespace pistachio
