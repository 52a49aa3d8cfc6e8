#include "BalancerDaemon.h"

#include <iostream>

using namespace pistachio;

int main(int argc, char **argv) {
  const DaemonArguments arguments = parseDaemonArguments(
      argc, argv,
      "Runs on an entry instance: carries any packet of any flow to an agent.",
      PISTACHIO_VERSION);
  Findings findings;
  auto settings = loadBalancerSettings(arguments.SettingsPath, findings);
  if (!settings) {
    std::cerr << findings.format();
    return ExitCode::BadSettings;
  }
  if (arguments.CheckOnly)
    return ExitCode::Ok;

  startLogging("pistachio-balancer",
               parseLogLevel(settings->Log.Level).value_or(LogLevel::Info));
  boost::asio::io_context context(1);
  BalancerDaemon daemon(context, *std::move(settings));
  if (const absl::Status started = daemon.start(); !started.ok()) {
    logEvent(LogLevel::Error, "start_failed", started.ToString());
    return ExitCode::Failed;
  }
  onStopSignal(context, [&daemon] { daemon.beginStop(); });
  context.run();
  return ExitCode::Ok;
}
