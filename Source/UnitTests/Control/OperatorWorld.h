#pragma once

#include "ControlScript.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pistachio {

/// Operators who read the rules, add one line each and apply, all at the same
/// time. Answers get lost and are asked for again with the same operation id;
/// the state is replaced by a member that has replayed a snapshot.
struct OperatorWorld {
  std::uint64_t Seed;
  /// The mechanism under test; without it an operator overwrites what came in
  /// between.
  bool ChecksRevision = true;

  /// Lines that were answered as accepted and are not in force, lines that were
  /// refused and are, and operations with more than one answer.
  std::vector<std::string> run() const {
    constexpr int Operators = 40;
    std::mt19937_64 random(Seed);
    ControlScript script;
    script.apply(BaseRules);
    struct Work {
      std::string Line;
      ApplyRules Command;
      std::vector<ApplyResult> Answers = {};
    };
    std::vector<Work> open;
    std::vector<Work> done;
    int next = 0;
    while (next < Operators || !open.empty()) {
      if (next < Operators && (open.empty() || random() % 2)) {
        const std::string line = "drain upstream " + std::to_string(++next);
        open.push_back({line, makeApply("op-" + std::to_string(next),
                                        script.State->rulesRevision(),
                                        *addRule(script.State->rules(), line,
                                                 "Tiina", ""))});
        continue;
      }
      const std::size_t i = random() % open.size();
      Work &work = open[i];
      ApplyRules command = work.Command;
      if (!ChecksRevision)
        command.ExpectedRevision = script.State->rulesRevision();
      work.Answers.push_back(script.apply(command));
      if (random() % 4 == 0)
        reload(script);
      if (random() % 3 == 0)
        continue; // The answer is lost.
      done.push_back(std::move(work));
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
    }
    std::vector<std::string> violations;
    for (const Work &it : done) {
      const auto lines = script.State->rules().lines();
      const bool isInForce =
          std::any_of(lines.begin(), lines.end(), [&](const RuleLine &line) {
            return line.Text == it.Line;
          });
      const auto isApplied = [](const ApplyResult &answer) {
        return answer.What == ApplyResult::Code::Applied;
      };
      if (isApplied(it.Answers.back()) != isInForce)
        violations.push_back(it.Line);
      for (const ApplyResult &answer : it.Answers) {
        if (answer.What != it.Answers[0].What ||
            answer.RulesRevision != it.Answers[0].RulesRevision)
          violations.push_back(it.Line + " has two answers");
      }
    }
    return violations;
  }

private:
  static void reload(ControlScript &script) {
    const Bytes image = script.State->save();
    script.State = makeControlState();
    if (!script.State->load(image).ok())
      throw std::runtime_error("a saved state cannot be loaded");
  }
};

} // namespace pistachio
