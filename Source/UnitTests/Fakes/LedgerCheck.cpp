#include "Fakes/LedgerCheck.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pistachio {

void LedgerCheck::addStart(const std::string &id, CallerEntry entry) {
  // The ledgers may be read in any order, so the result may have been added
  // before the start.
  CallerEntry &it = Started[id];
  entry.Results = it.Results;
  entry.Result = it.Result;
  entry.AnswerChecksum = it.AnswerChecksum;
  it = std::move(entry);
}

void LedgerCheck::addResult(const std::string &id, Reported result,
                            std::uint32_t answerChecksum) {
  CallerEntry &it = Started[id];
  ++it.Results;
  it.Result = result;
  it.AnswerChecksum = answerChecksum;
}

void LedgerCheck::addRun(const std::string &id, RunEntry entry) {
  Runs[id].push_back(std::move(entry));
}

bool LedgerCheck::addLine(std::string_view line) {
  try {
    const auto value = boost::json::parse({line.data(), line.size()});
    const auto text = [&](const char *key) {
      return std::string(value.at(key).as_string());
    };
    const auto number = [&](const char *key) {
      return value.at(key).to_number<std::uint32_t>();
    };
    const std::string event = text("event");
    if (event == "start") {
      addStart(text("id"), {text("service"), value.at("idempotent").as_bool(),
                            number("checksum")});
      return true;
    }
    if (event == "run") {
      addRun(text("id"),
             {text("service"), number("checksum"), number("answer")});
      return true;
    }
    if (event != "result")
      return false;
    const std::string result = text("result");
    addResult(text("id"),
              result == "answered"  ? Reported::Answered
              : result == "not_run" ? Reported::NotRun
                                    : Reported::Unknown,
              number("answer"));
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

LedgerTotals LedgerCheck::totals() const {
  LedgerTotals totals;
  totals.Requests = Started.size();
  const auto addViolation = [&](std::size_t &n, const std::string &id,
                                const char *what) {
    ++n;
    totals.Violations.push_back(id + ": " + what);
  };
  for (const auto &entry : Started) {
    // Clang 14 cannot capture a structured binding in a lambda.
    const std::string &id = entry.first;
    const CallerEntry &it = entry.second;
    const auto found = Runs.find(id);
    const std::vector<RunEntry> none;
    const std::vector<RunEntry> &runs =
        found == Runs.end() ? none : found->second;
    if (!it.Idempotent && runs.size() > 1)
      addViolation(totals.Doubled, id,
                   "run more than once, but not idempotent");
    if (std::any_of(runs.begin(), runs.end(), [&](const RunEntry &run) {
          return run.Service != it.Service ||
                 run.RequestChecksum != it.RequestChecksum;
        }))
      addViolation(totals.Wrong, id,
                   "run by another service or with another request body");
    if (it.Results != 1) {
      addViolation(totals.Lost, id, "has no result or more than one");
      continue;
    }
    switch (it.Result) {
    case Reported::Answered:
      ++totals.Answered;
      if (runs.empty())
        addViolation(totals.Lost, id, "answered, but no upstream has run it");
      else if (std::none_of(runs.begin(), runs.end(), [&](const RunEntry &run) {
                 return run.AnswerChecksum == it.AnswerChecksum;
               }))
        addViolation(totals.Wrong, id,
                     "the caller's answer differs from the upstream's answer");
      break;
    case Reported::NotRun:
      ++totals.Refused;
      if (!runs.empty())
        addViolation(totals.Lost, id,
                     "reported as not run, but an upstream has run it");
      break;
    case Reported::Unknown:
      ++totals.Unknown;
      break;
    }
  }
  for (const auto &[id, runs] : Runs)
    if (!Started.contains(id))
      addViolation(totals.Wrong, id, "run, but no caller started it");
  return totals;
}

} // namespace pistachio
