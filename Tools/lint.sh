#!/usr/bin/env bash
# Tools/lint.sh FOLDER [FILES]: runs clang-tidy with the compile commands of the build in FOLDER.
# Checks all sources if no files are given.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'platform/*.cpp')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$folder" 2>/dev/null
