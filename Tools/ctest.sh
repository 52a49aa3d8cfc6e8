#!/usr/bin/env bash
# Tools/ctest.sh FOLDER [CTest options]: runs the tests of the build in FOLDER, except those that
# KNOWN-RED.txt lists in lines "test: NAME". The excluded tests are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift

exclude=()
if [ -s KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
  if [ -n "$names" ]; then
    echo "known failures (KNOWN-RED.txt), not run:"
    echo "$names" | sed 's/^/  /'
    # Escapes characters of test names that have a special meaning in a regular expression.
    pattern=$(echo "$names" | sed 's/[.[\*^$()+?{|]/\\&/g' | paste -sd'|' -)
    exclude=(-E "^($pattern)\$")
  fi
fi
ctest --test-dir "$folder" --output-on-failure --no-tests=error -j "$(nproc)" "${exclude[@]}" "$@"
