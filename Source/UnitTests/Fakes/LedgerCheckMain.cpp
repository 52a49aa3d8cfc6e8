#include "Fakes/LedgerCheck.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace {

constexpr const char *Description =
    "Reads the ledgers of callers and upstreams and prints, as its last line, "
    "requests=N answered=N refused=N unknown=N wrong=N lost=N doubled=N. "
    "requests: requests that a caller started. answered, refused, unknown: "
    "what "
    "their callers were told. wrong: the caller took an answer whose body is "
    "none that an upstream gave to this request, or a request was run by an "
    "upstream of another service, with another body than the caller sent, or "
    "without any caller having started it. lost: a request that was answered "
    "although no upstream ran it, that was reported as not run although an "
    "upstream ran it, or that has no result or more than one. doubled: a "
    "request that is not idempotent and was run more than once. Each breach is "
    "printed on a line of its own before. Exit status: 0 without breaches, 1 "
    "with any, 2 if a ledger cannot be read.";

constexpr int ViolationExitStatus = 1;
constexpr int UsageExitStatus = 2;

} // namespace

int main(int argc, char **argv) {
  std::vector<std::string> paths;
  try {
    TCLAP::CmdLine line(Description, ' ', "1");
    TCLAP::UnlabeledMultiArg<std::string> files("ledger", "ledger files", true,
                                                "FILE", line);
    line.parse(argc, argv);
    paths = files.getValue();
  } catch (const TCLAP::ArgException &e) {
    std::cerr << e.error() << "\n";
    return UsageExitStatus;
  }
  pistachio::LedgerCheck check;
  for (const std::string &path : paths) {
    std::ifstream in(path);
    if (!in) {
      std::cerr << path << ": cannot be opened\n";
      return UsageExitStatus;
    }
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
      ++number;
      if (!check.addLine(line)) {
        std::cerr << path << ":" << number << ": malformed entry\n";
        return UsageExitStatus;
      }
    }
  }
  const pistachio::LedgerTotals totals = check.totals();
  for (const std::string &it : totals.Violations)
    std::cout << it << "\n";
  std::cout << "requests=" << totals.Requests << " answered=" << totals.Answered
            << " refused=" << totals.Refused << " unknown=" << totals.Unknown
            << " wrong=" << totals.Wrong << " lost=" << totals.Lost
            << " doubled=" << totals.Doubled << std::endl;
  return totals.isClean() ? 0 : ViolationExitStatus;
}
