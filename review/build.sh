#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start, in target/review/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/*/Scenario.cpp; do
  n=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -O1 -Wall -Wextra review/Harness.cpp "$scenario" -o "target/review/scenario-$n" -pthread &
done
wait
for scenario in review/*/Scenario.cpp; do
  test -x "target/review/scenario-$(basename "$(dirname "$scenario")")"
done
