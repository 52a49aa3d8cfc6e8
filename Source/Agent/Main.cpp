#include "AgentDaemon.h"
#include "DaemonMain.h"
#include "RelayAgent.h"

#include <iostream>

using namespace pistachio;

int main(int argc, char **argv) {
  const DaemonArguments arguments =
      parseDaemonArguments(argc, argv,
                           "Runs next to one upstream: admits its flows and "
                           "announces it to control.",
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
  const std::string &path = arguments.SettingsPath;
  return settings->Mode == FlowMode::Relay
             ? runDaemon<RelayAgent>(path, *std::move(settings),
                                     loadAgentSettings)
             : runDaemon<AgentDaemon>(path, *std::move(settings),
                                      loadAgentSettings);
}
