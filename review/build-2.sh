#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in SearchCrash; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    review/stand-ins-2/StandIns.cpp "review/stand-ins-2/$name.cpp" -o "target/review-2/$name"
done
