#include "Fakes/LedgerCheck.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace {

constexpr const char *Description =
    "Compares the ledgers of callers and upstreams. The last line of the "
    "output is requests=N answered=N refused=N unknown=N wrong=N lost=N "
    "doubled=N. requests: requests that callers started. answered, refused, "
    "unknown: results that were reported to the callers. wrong: requests "
    "whose caller received an answer with a body that none of the upstreams "
    "sent for it, and requests that were run by an upstream of another "
    "service, "
    "with another body than the caller sent, or without a caller having "
    "started them. lost: requests that were answered although no upstream has "
    "run them, that were reported as not run although an upstream has run "
    "them, or that have no result or more than one. doubled: "
    "requests that are not idempotent and were run more than once. Each "
    "violation is printed on its own line before that. Exit status: 0 without "
    "violations, 1 with any, 2 if a ledger cannot be read.";

constexpr int ViolationExitStatus = 1;
constexpr int UsageExitStatus = 2;

} // namespace

int main(int argc, char **argv) {
  std::vector<std::string> paths;
  try {
    TCLAP::CmdLine line(Description, ' ', "1");
    TCLAP::UnlabeledMultiArg<std::string> files(
        "ledger", "ledger files of callers and upstreams", true, "FILE", line);
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
      std::cerr << path << ": the ledger cannot be opened\n";
      return UsageExitStatus;
    }
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
      ++number;
      if (!check.addLine(line)) {
        std::cerr << path << ":" << number << ": malformed ledger entry\n";
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
