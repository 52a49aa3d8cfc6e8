#include "Ctl/Output.h"

#include <algorithm>
#include <ostream>

namespace pistachio {
namespace {

std::string_view resultName(CtlExitCode code) {
  switch (code) {
  case CtlExitCode::Done:
    return "done";
  case CtlExitCode::Refused:
    return "refused";
  case CtlExitCode::Usage:
    return "usage";
  case CtlExitCode::Conflict:
    return "conflict";
  case CtlExitCode::NotReachable:
    return "not_reachable";
  case CtlExitCode::OutcomeUnknown:
    break;
  }
  return "outcome_unknown";
}

boost::json::string_view toJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

} // namespace

std::string formatTable(std::span<const std::vector<std::string>> rows) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto &row : rows) {
    text += ' ';
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += concat(" ", row[i]);
      // The last column gets no trailing spaces.
      if (i + 1 < row.size())
        text += std::string(widths[i] - row[i].size() + 1, ' ');
    }
    text += '\n';
  }
  return text;
}

void Output::printText(std::string_view text) {
  // Flushed, so that the operator sees what was printed, for example the
  // operation id of a change, even if the command is killed afterwards.
  if (!Json)
    Environment.out() << text << std::flush;
}

void Output::printMessage(std::string_view text) {
  if (text.ends_with('\n'))
    text.remove_suffix(1);
  if (Json)
    Messages.emplace_back(toJsonView(text));
  else
    Environment.err() << text << '\n';
}

void Output::printFindings(const Findings &findings) {
  if (!Json) {
    Environment.err() << findings.format();
    return;
  }
  boost::json::array array;
  for (const Finding &it : findings.items())
    array.push_back({{"file", it.File},
                     {"line", it.Line},
                     {"column", it.Column},
                     {"message", it.Message}});
  Document["findings"] = std::move(array);
}

void Output::setField(std::string_view key, boost::json::value value) {
  if (Json)
    Document[toJsonView(key)] = std::move(value);
}

CtlExitCode Output::finish(CtlExitCode code) {
  if (Json) {
    Document["result"] = toJsonView(resultName(code));
    Document["messages"] = std::move(Messages);
    Environment.out() << boost::json::serialize(Document) << '\n';
  }
  return code;
}

} // namespace pistachio
