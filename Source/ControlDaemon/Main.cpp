#include "ControlDaemon/ControlDaemon.h"

#include "platform/Platform.h"

#include <cstdio>

namespace {

using namespace pistachio;

constexpr const char *Description =
    "Control instance of pistachiotally: replicated rules and membership, "
    "publication to nodes, administration API. Exit codes: 0 stopped by a "
    "signal, 1 settings or data folder refused, 2 usage, 3 failed (port, "
    "disk).";

/// True if this process must not use the data folder, so that a restart would
/// fail in the same way.
bool isFolderRefused(const absl::Status &status) {
  return absl::IsFailedPrecondition(status) || absl::IsDataLoss(status);
}

int run(const std::string &path, const ControlSettings &settings,
        bool initialise) {
  boost::asio::io_context context(1);
  const auto daemon = ControlDaemon::start(
      context, settings, initialise, [&settings](RoutingAdmin &admin) {
        return platform::makeOperatorHandler(admin, {settings.FillsRouteTerms});
      });
  if (!daemon.ok()) {
    logEvent(LogLevel::Error, "start_failed", messageOf(daemon.status()));
    return isFolderRefused(daemon.status()) ? ExitCode::BadSettings
                                            : ExitCode::Failed;
  }
  const auto watch = watchFile(context, path, [&] {
    Findings findings;
    const auto changed = loadControlSettings(path, findings);
    logEvent(changed ? LogLevel::Info : LogLevel::Error, "settings_reloaded",
             changed ? "the seeds of the settings file have been applied"
                     : findings.format());
    if (changed)
      (*daemon)->reload(*changed);
  });
  onStopSignal(context, [&] {
    watch->stop();
    (*daemon)->stop();
  });
  context.run();
  return (*daemon)->exitStatus().ok() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace

int main(int argc, char **argv) {
  DaemonSwitch initialise{"init", "create a group with this instance as its "
                                  "only member, in an empty data folder"};
  const DaemonArguments arguments = parseDaemonArguments(
      argc, argv, Description, PISTACHIO_VERSION, {&initialise, 1});
  Findings findings;
  const auto settings = loadControlSettings(arguments.SettingsPath, findings);
  if (!settings) {
    std::fputs(findings.format().c_str(), stderr);
    return ExitCode::BadSettings;
  }
  if (arguments.CheckOnly)
    return ExitCode::Ok;
  startLogging("pistachio-control",
               parseLogLevel(settings->Log.Level).value_or(LogLevel::Info));
  return run(arguments.SettingsPath, *settings, initialise.IsSet);
}
