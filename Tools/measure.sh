#!/usr/bin/env bash
# Tools/measure.sh [--json FILE] [--compare OLD.json] [--seed N] [--flows N]: builds and runs the
# measurement of broken flows, balance and hops in simulated time. The output names the commit of
# the checkout.
set -euo pipefail
caller=$PWD
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short HEAD)
git diff --quiet HEAD || commit=$commit-modified
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target measure > build/measure.log 2>&1 || { cat build/measure.log; exit 1; }
measure=$PWD/build/Source/Benchmarks/measure
cd "$caller"
exec "$measure" --commit "$commit" "$@"
