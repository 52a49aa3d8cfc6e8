#!/usr/bin/env bash
# Installs what the build needs, builds, and runs all tests. Options go to CTest (-R NAME, -L LABEL).
set -euo pipefail
cd "$(dirname "$0")/.."
./Tools/install-packages.sh
./Tools/build.sh build
./Tools/ctest.sh build "$@"
