#!/usr/bin/env bash
# Tools/test.sh [CTest options]: installs the packages that the build requires, builds, and runs all
# tests. The options select tests, for example -R NAME or -L LABEL.
set -euo pipefail
cd "$(dirname "$0")/.."
./Tools/install-packages.sh
./Tools/build.sh build
./Tools/ctest.sh build "$@"
