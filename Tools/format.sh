#!/usr/bin/env bash
# Tools/format.sh [--check]: formats all sources in place. With --check, changes nothing and fails
# if a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
