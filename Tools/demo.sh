#!/usr/bin/env bash
# Tools/demo.sh [FOLDER]: builds, then runs both deployments as separate processes on free loopback
# ports for less than a minute, with planned and unplanned changes under load, and compares the books
# of callers and upstreams. The last line is the comparison. Exit status 1 if an answer was wrong, a
# request was lost or doubled, fewer than 500 were answered, or a step failed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
./Tools/build.sh "$build" > /dev/null

bin=$PWD/$build/Source
work=$(mktemp -d "${TMPDIR:-/tmp}/pistachio-demo.XXXXXX")
load_seconds=22
script=demo
min_answered=500

source Tools/deployment.sh

say "starting control instances"
start_control valukoda ee-north-a
start_control salasonora sul-br-a
for it in valukoda salasonora; do
  until_true 10 "control of $it" show "$it" > /dev/null
  ctl "$it" apply "Examples/$it/rules.txt" --yes > /dev/null
done

say "starting balancers, fabrics and upstreams"
start_balancers valukoda ee-north-a ee-north-b ee-north-c
start_balancers salasonora sul-br-a sul-br-b sul-br-c
start_upstreams valukoda workshop-api 7 5 ee-north-a ee-north-b ee-north-c
start_upstreams valukoda intake-api 3 5 ee-north-a ee-north-b ee-north-c
start_upstreams salasonora sala-queue 7 2 sul-br-a sul-br-b sul-br-c
start_upstreams salasonora letra-store 3 2 sul-br-a sul-br-b sul-br-c
for it in valukoda salasonora; do until_true 15 "balancers and upstreams of $it" is_ready "$it"; done

say "starting callers for $load_seconds s"
load_began=$SECONDS
call valukoda workshop-api 10.20.0.1:443 feed 20 400
call valukoda workshop-api 10.20.0.1:443 update 20 300
call valukoda intake-api 10.20.0.2:443 upload 8 500
call salasonora sala-queue 10.30.0.1:443 panel 20 400
call salasonora letra-store 10.30.0.2:443 bundle 6 500

at_second 3
say "applying a rule: workshop-api inflight 34"
sed 's/^limit workshop-api inflight 35/limit workshop-api inflight 34/' Examples/valukoda/rules.txt > "$work/rules.txt"
ctl valukoda apply "$work/rules.txt" --yes > /dev/null

at_second 5
upstream=$(show valukoda | awk '$2 == "workshop-api" && $7 == "active" {print $1; exit}')
say "draining upstream $upstream of workshop-api"
ctl valukoda drain "$upstream" > /dev/null

at_second 8
say "killing balancer-2 of valukoda; the fabric turns away a second later"
stop KILL valukoda-balancer-2
sleep 1
sed -i 2d "$work/valukoda-balancers"

at_second 11
say "taking data centre sul-br-b out"
ctl salasonora dc out sul-br-b > /dev/null

at_second 16
say "bringing data centre sul-br-b back"
ctl salasonora dc in sul-br-b > /dev/null

at_second "$load_seconds"
say "waiting for the last results"
for name in "${callers[@]}"; do
  wait "${pids[$name]}" || { echo "demo: $name failed" >&2; exit 1; }
  unset "pids[$name]"
  say "$(cat "$work/$name.log")"
done

say "stopping ${#pids[@]} processes"
agents=() others=()
for name in "${!pids[@]}"; do
  case $name in
    *-agent) agents+=("$name") ;;
    *) others+=("$name") ;;
  esac
done
stop TERM "${agents[@]}"
stop TERM "${others[@]}"

status=0
"$bin/UnitTests/Fakes/ledger-check" "$work"/*.ledger > "$work/totals" || status=1
head -n -1 "$work/totals" | head -n 20
totals=$(tail -n 1 "$work/totals")
answered=$(sed -n 's/.* answered=\([0-9]*\) .*/\1/p' <<< "$totals")
[ "${answered:-0}" -ge "$min_answered" ] || status=1
[ "$status" -eq 0 ] || echo "demo: logs and ledgers are in $work"
echo "demo: $totals"
exit "$status"
