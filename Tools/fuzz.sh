#!/usr/bin/env bash
# Tools/fuzz.sh [SECONDS [TARGET...]]: builds the decoders with Clang, libFuzzer and the sanitisers, and
# fuzzes each target for SECONDS (default: 60), as many at a time as the machine has processors. Starts
# from valid inputs and Source/UnitTests/Fuzz/Corpus. An input that fails is written to
# build-fuzz/findings; copy it to Corpus/TARGET once its cause is known.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
shift || true
./Tools/install-packages.sh
for package in clang libclang-rt-14-dev; do
  dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q '^install ok installed$' ||
    apt-get install -y -q --no-install-recommends "$package"
done
mkdir -p build-fuzz
log=build-fuzz/build.log
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPISTACHIO_SANITIZE=ON -DPISTACHIO_FUZZ=ON \
  -DCMAKE_CXX_FLAGS=-fsanitize=fuzzer-no-link > "$log" 2>&1 &&
  cmake --build build-fuzz --target fuzz-all >> "$log" 2>&1 || { cat "$log"; exit 1; }
bin=$PWD/build-fuzz/Source/UnitTests/Fuzz
work=$PWD/build-fuzz/findings
rm -rf "$work"
mkdir -p "$work/corpus"
"$bin/fuzz-seeds" "$work/corpus"
targets=("$@")
[ "${#targets[@]}" -gt 0 ] || mapfile -t targets < <(ls "$work/corpus")

fuzz() { # fuzz TARGET
  local known=Source/UnitTests/Fuzz/Corpus/$1
  mkdir -p "$work/$1"
  "$bin/fuzz-$1" "$work/corpus/$1" $([ ! -d "$known" ] || echo "$known") -max_total_time="$seconds" \
    -timeout=10 -rss_limit_mb=2048 -artifact_prefix="$work/$1/" -print_final_stats=1 > "$work/$1.log" 2>&1
}
export -f fuzz
export bin work seconds
status=0
printf '%s\n' "${targets[@]}" | xargs -P "$(nproc)" -I{} bash -c 'fuzz {} || { echo "fuzz: {} failed"; exit 1; }' || status=1
for it in "${targets[@]}"; do
  echo "fuzz: $it $(grep -o 'number_of_executed_units: [0-9]*' "$work/$it.log" || true) $(ls "$work/$it" | wc -l) findings"
done
exit "$status"
