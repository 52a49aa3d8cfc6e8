#pragma once

/// Internal header of the Ctl library: output as text or JSON.

#include "Ctl/Ctl.h"

#include <boost/json.hpp>

namespace pistachio {

/// Formats rows as a table with aligned columns. The first row is the heading.
std::string formatTable(std::span<const std::vector<std::string>> rows);

/// Output of one command. In text mode everything is printed immediately; in
/// JSON mode it is collected into one document that finish() prints.
class Output {
public:
  Output(bool json, CtlEnvironment &environment)
      : Json(json), Environment(environment) {}

  /// Prints text to standard output. Ignored in JSON mode.
  void printText(std::string_view text);
  /// Prints a line to standard error, or adds it to "messages" of the document.
  void printMessage(std::string_view text);
  void printFindings(const Findings &findings);
  void setField(std::string_view key, boost::json::value value);
  /// Prints the document in JSON mode. Returns \p code.
  CtlExitCode finish(CtlExitCode code);

private:
  bool Json;
  CtlEnvironment &Environment;
  boost::json::object Document;
  boost::json::array Messages;
};

} // namespace pistachio
