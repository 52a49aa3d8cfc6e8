#!/usr/bin/env bash
# Formats all sources in place; with --check, fails if a file differs.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
