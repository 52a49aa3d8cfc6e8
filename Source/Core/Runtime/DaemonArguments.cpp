#include "Runtime/Runtime.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace pistachio {

DaemonArguments parseDaemonArguments(int argc, char **argv,
                                     const std::string &description,
                                     const std::string &version) {
  DaemonArguments arguments;
  try {
    TCLAP::CmdLine line(description, ' ', version);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings("s", "settings", "TOML settings file",
                                          true, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check", "check the settings file and exit",
                           line);
    line.parse(argc, argv);
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
