#!/usr/bin/env bash
# Tools/ctest.sh FOLDER [CTest options]: runs the tests of a build, passing over exactly those that
# KNOWN-RED.txt lists in lines "test: NAME", which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift

exclude=()
if [ -s KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
  if [ -n "$names" ]; then
    echo "known red, not run:"
    echo "$names" | sed 's/^/  /'
    # Dots and slashes of test names have no other meaning in the pattern.
    pattern=$(echo "$names" | sed 's/[.[\*^$()+?{|]/\\&/g' | paste -sd'|' -)
    exclude=(-E "^($pattern)\$")
  fi
fi
ctest --test-dir "$folder" --output-on-failure --no-tests=error -j "$(nproc)" "${exclude[@]}" "$@"
