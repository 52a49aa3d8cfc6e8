#include "BalancerDaemon.h"
#include "DaemonMain.h"
#include "RelayBalancer.h"

#include <iostream>

using namespace pistachio;

int main(int argc, char **argv) {
  const DaemonArguments arguments = parseDaemonArguments(
      argc, argv,
      "Runs on an entry instance: forwards any packet of any flow to an agent.",
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
  const std::string &path = arguments.SettingsPath;
  return settings->Mode == FlowMode::Relay
             ? runDaemon<RelayBalancer>(path, *std::move(settings),
                                        loadBalancerSettings)
             : runDaemon<BalancerDaemon>(path, *std::move(settings),
                                         loadBalancerSettings);
}
