#include "Common/Finding.h"

#include "absl/strings/str_cat.h"

namespace pistachio {

std::string toString(const Finding &finding) {
  std::string text;
  if (!finding.File.empty())
    absl::StrAppend(&text, finding.File, ":");
  if (finding.Line != 0)
    absl::StrAppend(&text, finding.Line, ":");
  if (finding.Column != 0)
    absl::StrAppend(&text, finding.Column, ":");
  if (!text.empty())
    text += ' ';
  return text + finding.Message;
}

std::string Findings::format() const {
  std::string text;
  for (const Finding &it : Items)
    absl::StrAppend(&text, toString(it), "\n");
  return text;
}

absl::Status Findings::toStatus() const {
  if (Items.empty())
    return absl::OkStatus();
  return absl::InvalidArgumentError(format());
}

} // namespace pistachio
