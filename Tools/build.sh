#!/usr/bin/env bash
# Tools/build.sh FOLDER [CMake options]: configures the project and builds it in FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
# With a base folder, checkouts in different folders can share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
cmake -S . -B "$folder" -G Ninja "$@" > "$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
rm -f "$folder.configure.log"
cmake --build "$folder"
