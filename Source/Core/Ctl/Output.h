#pragma once

/// Internal header of the Ctl library: text and JSON output.

#include "Ctl/Ctl.h"

#include <boost/json.hpp>

namespace pistachio {

/// Rows with aligned columns; the first row is the heading.
std::string formatTable(std::span<const std::vector<std::string>> rows);

/// Prints text at once, or collects one JSON document that is printed at the
/// end.
class Output {
public:
  Output(bool json, CtlEnvironment &environment)
      : Json(json), Environment(environment) {}

  /// Text for standard output.
  void printText(std::string_view text);
  /// One line for standard error; "messages" in the document.
  void printMessage(std::string_view text);
  void printFindings(const Findings &findings);
  void setField(std::string_view key, boost::json::value value);
  /// Prints the document, if any, and returns the code.
  CtlExitCode finish(CtlExitCode code);

private:
  bool Json;
  CtlEnvironment &Environment;
  boost::json::object Document;
  boost::json::array Messages;
};

} // namespace pistachio
