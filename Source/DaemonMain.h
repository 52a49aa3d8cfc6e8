#pragma once

#include "Runtime/Runtime.h"
#include "Telemetry/Telemetry.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <utility>

namespace pistachio {

template <typename Settings>
using SettingsLoader = std::optional<Settings> (*)(const std::string &,
                                                   Findings &);

/// Runs a daemon. A stop signal makes it shut down, and the function returns
/// once the daemon has no work left. Returns ExitCode::Failed at once if the
/// daemon cannot be started. If a changed settings file is invalid, its
/// findings are logged and the daemon keeps its settings. \p Daemon provides
/// start() and beginStop(), and reload(Settings) if it can apply a changed
/// settings file while it runs.
template <typename Daemon, typename Settings>
int runDaemon(const std::string &path, Settings settings,
              SettingsLoader<Settings> loadSettings) {
  boost::asio::io_context context(1);
  Daemon daemon(context, std::move(settings));
  if (const absl::Status startStatus = daemon.start(); !startStatus.ok()) {
    logEvent(LogLevel::Error, "start_failed", startStatus.ToString());
    return ExitCode::Failed;
  }
  const auto settingsWatch = watchFile(context, path, [&] {
    Findings findings;
    const auto newSettings = loadSettings(path, findings);
    logEvent(newSettings ? LogLevel::Info : LogLevel::Error, "settings_changed",
             newSettings ? "the settings file has changed and was read again"
                         : findings.format());
    if constexpr (requires { daemon.reload(*newSettings); })
      if (newSettings)
        daemon.reload(*newSettings);
  });
  onStopSignal(context, [&] {
    settingsWatch->stop();
    daemon.beginStop();
  });
  context.run();
  return ExitCode::Ok;
}

} // namespace pistachio
