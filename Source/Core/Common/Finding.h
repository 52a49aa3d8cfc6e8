#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pistachio {

/// One fault in an input file. Lines and columns count from 1; 0 means that the
/// place is not known.
struct Finding {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Message;

  friend bool operator==(const Finding &, const Finding &) = default;
};

/// Formats as "file:line:column: message"; parts of the place that are not
/// known are left out.
std::string toString(const Finding &finding);

/// Collects findings so that all faults of an input are reported together.
class Findings {
public:
  void add(Finding finding) { Items.push_back(std::move(finding)); }
  bool empty() const { return Items.empty(); }
  std::span<const Finding> items() const { return Items; }

  /// One line for each finding, each ended by a line feed.
  std::string format() const;

  /// OK without findings, otherwise InvalidArgument with all findings in the
  /// message.
  absl::Status toStatus() const;

private:
  std::vector<Finding> Items;
};

} // namespace pistachio
