#!/usr/bin/env bash
# Tools/check-faults.sh FOLDER [PAGE]: compares docs/FAULTS.md with the tests of a build. Fails if the page names a
# test that does not exist, or if a test labelled fault or control is not on the page.
#
# Every text in backquotes on the page must be a suite, SUITE.TEST (a whole parameterised table), one case of a table,
# or, ending in *, the beginning of the names of some cases.
set -euo pipefail
folder=$1
page=${2:-$(dirname "$0")/../docs/FAULTS.md}
ctest=${CTEST_COMMAND:-ctest}

names() { "$ctest" --test-dir "$folder" -N "$@" | sed -nE 's/^ *Test +#[0-9]+: ([^ ]+).*/\1/p'; }
# SUITE.TEST without the index or name of the case. The prefix of a suite has a slash too, so only what follows the dot
# is cut.
without_case() { sed -E 's#(\.[^/]*)/.*#\1#'; }

all=$(names)
required=$(names -L '^(fault|control)$' | without_case | sort -u)
if [ -z "$required" ] || grep -q '_NOT_BUILT' <<< "$all"; then
  echo "check-faults: $folder has no fault tests, or not all test programs are built" >&2
  exit 1
fi
bases=$(without_case <<< "$all")
known=$(printf "%s\n" "$all" "$bases"; cut -d. -f1 <<< "$bases")
# shellcheck disable=SC2016 # The backquotes are those of the page.
named=$(grep -o '`[^`]*`' "$page" | tr -d '`' | sort -u || true)

status=0
while IFS= read -r name; do
  if [[ $name == *\* ]]; then
    awk -v prefix="${name%\*}" 'index($0, prefix) == 1 { found = 1 } END { exit !found }' <<< "$all" && continue
  elif grep -Fxq -e "$name" <<< "$known"; then
    continue
  fi
  echo "check-faults: $page names $name, which is no test of $folder" >&2
  status=1
done <<< "$named"

named_bases=$(without_case <<< "$named")
while IFS= read -r name; do
  grep -Fxq -e "$name" -e "${name%%.*}" <<< "$named_bases" && continue
  echo "check-faults: $name has the label fault or control and is not in $page" >&2
  status=1
done <<< "$required"

[ "$status" -ne 0 ] || echo "check-faults: $(wc -l <<< "$named") names on the page, $(wc -l <<< "$required") fault and control tests"
exit "$status"
