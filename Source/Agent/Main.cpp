#include "AgentDaemon.h"

#include <iostream>

using namespace pistachio;

int main(int argc, char **argv) {
  const DaemonArguments arguments =
      parseDaemonArguments(argc, argv,
                           "Runs beside one upstream: holds its flows, admits "
                           "or refuses work and carries requests to it.",
                           PISTACHIO_VERSION);
  Findings findings;
  auto settings = loadAgentSettings(arguments.SettingsPath, findings);
  if (!settings) {
    std::cerr << findings.format();
    return ExitCode::BadSettings;
  }
  if (arguments.CheckOnly)
    return ExitCode::Ok;

  startLogging("pistachio-agent",
               parseLogLevel(settings->Log.Level).value_or(LogLevel::Info));
  boost::asio::io_context context(1);
  AgentDaemon daemon(context, *std::move(settings));
  if (const absl::Status started = daemon.start(); !started.ok()) {
    logEvent(LogLevel::Error, "start_failed", started.ToString());
    return ExitCode::Failed;
  }
  onStopSignal(context, [&daemon] { daemon.beginStop(); });
  context.run();
  return ExitCode::Ok;
}
