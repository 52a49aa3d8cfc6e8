#include "ControlDaemon/ControlDaemon.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>

namespace {

enum ExitCode : int {
  Stopped = 0,
  SettingsRefused = 1,
  Usage = 2,
  Failed = 3,
};

constexpr const char *Description =
    "Control instance of pistachiotally. Exit codes: 0 stopped by a signal, 1 "
    "settings or data folder refused, 2 usage, 3 failed while running (ports, "
    "disk).";

struct Arguments {
  std::string Settings;
  bool Initialise = false;
};

Arguments parseArguments(int argc, char **argv) {
  TCLAP::CmdLine line(Description, ' ', PISTACHIO_VERSION);
  line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> settings("", "settings", "settings file (TOML)",
                                        true, "", "FILE", line);
  TCLAP::SwitchArg initialise(
      "", "init", "make a group of one in an empty data folder", line);
  line.parse(argc, argv);
  return {settings.getValue(), initialise.getValue()};
}

int run(const Arguments &arguments) {
  using namespace pistachio;
  Findings findings;
  const std::optional<ControlSettings> settings =
      loadControlSettings(arguments.Settings, findings);
  if (!settings) {
    std::fputs(findings.format().c_str(), stderr);
    return SettingsRefused;
  }
  startLogging("pistachio-control",
               parseLogLevel(settings->Log.Level).value_or(LogLevel::Info));
  boost::asio::io_context context(1);
  const auto daemon =
      ControlDaemon::start(context, *settings, arguments.Initialise);
  if (!daemon.ok()) {
    logEvent(LogLevel::Error, "start_failed", daemon.status().ToString());
    const bool refused = absl::IsFailedPrecondition(daemon.status()) ||
                         absl::IsDataLoss(daemon.status());
    return refused ? SettingsRefused : Failed;
  }
  onStopSignal(context, [&] { (*daemon)->stop(); });
  context.run();
  return (*daemon)->outcome().ok() ? Stopped : Failed;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return run(parseArguments(argc, argv));
  } catch (const TCLAP::ExitException &e) {
    return e.getExitStatus();
  } catch (const TCLAP::ArgException &e) {
    std::fprintf(stderr, "%s %s\n", e.error().c_str(), e.argId().c_str());
    return Usage;
  }
}
