#include "Common/Text.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::size_t MaxNameBytes = 63;

bool isLower(char c) { return c >= 'a' && c <= 'z'; }
bool isDigit(char c) { return c >= '0' && c <= '9'; }

} // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes && isLower(text[0]) &&
         std::ranges::all_of(
             text, [](char c) { return isLower(c) || isDigit(c) || c == '-'; });
}

} // namespace pistachio
