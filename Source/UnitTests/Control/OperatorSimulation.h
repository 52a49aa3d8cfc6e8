#pragma once

#include "ControlStateHarness.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pistachio {

/// Simulates concurrent operators who each read the rules, add one line and
/// apply the result. Replies get lost, so operations are resent with the same
/// operation id. From time to time the state is replaced by one loaded from its
/// snapshot.
struct OperatorSimulation {
  std::uint64_t Seed;
  /// The mechanism under test. Without it, an operator overwrites the changes
  /// that were applied after the operator read the rules.
  bool ChecksExpectedRevision = true;

  /// Returns the violations: accepted lines that are not in force, rejected
  /// lines that are, and operations that returned different results.
  std::vector<std::string> run() const {
    constexpr int Operators = 40;
    std::mt19937_64 random(Seed);
    ControlStateHarness harness;
    harness.apply(BaseRules);
    struct PendingOperation {
      std::string Line;
      ApplyRules Command;
      std::vector<ApplyResult> Answers = {};
    };
    std::vector<PendingOperation> open;
    std::vector<PendingOperation> done;
    int next = 0;
    while (next < Operators || !open.empty()) {
      if (next < Operators && (open.empty() || random() % 2)) {
        const std::string line = "drain upstream " + std::to_string(++next);
        open.push_back({line, makeApplyRules("op-" + std::to_string(next),
                                             harness.State->rulesRevision(),
                                             *addRule(harness.State->rules(),
                                                      line, "Tiina", ""))});
        continue;
      }
      const std::size_t i = random() % open.size();
      PendingOperation &operation = open[i];
      ApplyRules command = operation.Command;
      if (!ChecksExpectedRevision)
        command.ExpectedRevision = harness.State->rulesRevision();
      operation.Answers.push_back(harness.apply(command));
      if (random() % 4 == 0)
        reloadFromSnapshot(harness);
      if (random() % 3 == 0)
        continue; // The reply is lost.
      done.push_back(std::move(operation));
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
    }
    std::vector<std::string> violations;
    for (const PendingOperation &it : done) {
      const auto lines = harness.State->rules().lines();
      const bool isInForce =
          std::any_of(lines.begin(), lines.end(), [&](const RuleLine &line) {
            return line.Text == it.Line;
          });
      const auto isApplied = [](const ApplyResult &answer) {
        return answer.Outcome == ApplyResult::Code::Applied;
      };
      if (isApplied(it.Answers.back()) != isInForce)
        violations.push_back(it.Line);
      for (const ApplyResult &answer : it.Answers) {
        if (answer.Outcome != it.Answers[0].Outcome ||
            answer.RulesRevision != it.Answers[0].RulesRevision)
          violations.push_back(it.Line + " has two different results");
      }
    }
    return violations;
  }

private:
  static void reloadFromSnapshot(ControlStateHarness &harness) {
    const Bytes snapshot = harness.State->save();
    harness.State = makeControlState();
    if (!harness.State->load(snapshot).ok())
      throw std::runtime_error("a saved state cannot be loaded");
  }
};

} // namespace pistachio
