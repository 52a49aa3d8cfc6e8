#include "Runtime/Runtime.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <deque>
#include <iostream>

namespace pistachio {

DaemonArguments parseDaemonArguments(int argc, char **argv,
                                     const std::string &description,
                                     const std::string &version,
                                     std::span<DaemonSwitch> daemonSwitches) {
  DaemonArguments arguments;
  try {
    TCLAP::CmdLine line(description, ' ', version);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings("s", "settings", "TOML settings file",
                                          true, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check", "check the settings file and exit",
                           line);
    std::deque<TCLAP::SwitchArg> switchArgs;
    for (const DaemonSwitch &it : daemonSwitches)
      switchArgs.emplace_back("", it.Name, it.Description, line);
    line.parse(argc, argv);
    for (std::size_t i = 0; i < daemonSwitches.size(); ++i)
      daemonSwitches[i].IsSet = switchArgs[i].getValue();
    arguments.SettingsPath = settings.getValue();
    arguments.CheckOnly = check.getValue();
  } catch (const TCLAP::ExitException &e) {
    std::exit(e.getExitStatus());
  } catch (const TCLAP::ArgException &e) {
    std::cerr << "usage error: " << e.error() << " " << e.argId()
              << "\nTry --help.\n";
    std::exit(ExitCode::Usage);
  }
  return arguments;
}

} // namespace pistachio
