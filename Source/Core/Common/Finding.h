#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

/// A diagnostic for one error in an input file. Lines and columns count from 1;
/// 0 means unknown.
struct Finding {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Message;

  friend bool operator==(const Finding &, const Finding &) = default;
};

/// Formats as "file:line:column: message". Unknown parts of the location are
/// omitted.
std::string toString(const Finding &finding);

/// Collects findings, so that all errors in an input are reported together.
class Findings {
public:
  void add(Finding finding) { Items.push_back(std::move(finding)); }
  bool empty() const { return Items.empty(); }
  std::span<const Finding> items() const { return Items; }

  /// Formats one line for each finding, each terminated by a line feed.
  std::string format() const;

  /// Returns OK if there are no findings, otherwise InvalidArgument with all
  /// findings in its message.
  absl::Status toStatus() const;

private:
  std::vector<Finding> Items;
};

} // namespace pistachio
