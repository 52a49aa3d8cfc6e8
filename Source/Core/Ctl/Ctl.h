#pragma once

/// Public header of the Ctl library: the commands of pistachioctl.

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
  /// The input has findings, or the change was refused or not confirmed by the
  /// operator.
  Refused = 1,
  Usage = 2,
  /// The rules have another revision.
  Conflict = 3,
  /// No control instance can be reached, or a balancer has not reported an
  /// accepted change as in force within the time to wait.
  NotReachable = 4,
  /// Safe to resend with the same operation id.
  OutcomeUnknown = 5,
};

/// What the commands need from the process around them.
class CtlEnvironment {
public:
  virtual ~CtlEnvironment() = default;
  virtual std::ostream &out() = 0;
  virtual std::ostream &err() = 0;
  virtual std::unique_ptr<AdminClient> makeClient(std::vector<Endpoint> servers,
                                                  std::string secret,
                                                  Duration deadline) = 0;
  virtual TimePoint now() = 0;
  virtual void sleep(Duration time) = 0;
  /// Unique, at most MaxOperationIdBytes printable ASCII characters.
  virtual std::string newOperationId() = 0;
  /// True if the operator agrees.
  virtual bool confirm(std::string_view question) = 0;
  /// Login name; empty if not known.
  virtual std::string user() = 0;
};

/// Runs one command; \p args are without the name of the program.
CtlExitCode runCtl(std::span<const std::string> args, std::string_view version,
                   CtlEnvironment &environment);

} // namespace pistachio
