#!/usr/bin/env bash
# Tools/check-faults.sh FOLDER [PAGE]: compares docs/FAULTS.md with the tests of the build in FOLDER. Fails if the
# page names a test that does not exist, or if the page does not name a test with the label fault or control.
#
# Every text in backquotes on the page must be one of these: a test suite; SUITE.TEST, which covers all cases of a
# parameterised test; one case of a parameterised test; or a prefix of case names that ends with *.
set -euo pipefail
folder=$1
page=${2:-$(dirname "$0")/../docs/FAULTS.md}
ctest=${CTEST_COMMAND:-ctest}

names() { "$ctest" --test-dir "$folder" -N "$@" | sed -nE 's/^ *Test +#[0-9]+: ([^ ]+).*/\1/p'; }
# Removes the index or name of the case from SUITE.TEST/CASE. The prefix of a suite contains a slash too, so only what
# follows the dot is cut.
without_case() { sed -E 's#(\.[^/]*)/.*#\1#'; }

all=$(names)
required=$(names -L '^(fault|control)$' | without_case | sort -u)
if [ -z "$required" ] || grep -q '_NOT_BUILT' <<< "$all"; then
  echo "check-faults: $folder has no tests with the label fault or control, or not all test programs are built" >&2
  exit 1
fi
bases=$(without_case <<< "$all")
known=$(printf "%s\n" "$all" "$bases"; cut -d. -f1 <<< "$bases")
# shellcheck disable=SC2016 # The backquotes are literal characters of the page.
named=$(grep -o '`[^`]*`' "$page" | tr -d '`' | sort -u || true)

status=0
while IFS= read -r name; do
  if [[ $name == *\* ]]; then
    awk -v prefix="${name%\*}" 'index($0, prefix) == 1 { found = 1 } END { exit !found }' <<< "$all" && continue
  elif grep -Fxq -e "$name" <<< "$known"; then
    continue
  fi
  echo "check-faults: $page names $name, which is not a test of $folder" >&2
  status=1
done <<< "$named"

named_bases=$(without_case <<< "$named")
while IFS= read -r name; do
  grep -Fxq -e "$name" -e "${name%%.*}" <<< "$named_bases" && continue
  echo "check-faults: $name has the label fault or control but is not in $page" >&2
  status=1
done <<< "$required"

[ "$status" -ne 0 ] || echo "check-faults: $(wc -l <<< "$named") names on the page, $(wc -l <<< "$required") fault and control tests"
exit "$status"
