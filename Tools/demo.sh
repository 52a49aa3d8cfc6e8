#!/usr/bin/env bash
# Tools/demo.sh [FOLDER]: builds into FOLDER (default: build), then runs both example deployments as
# separate processes on free loopback ports for less than a minute. Planned and unplanned changes
# happen under load. Afterwards the ledgers of callers and upstreams are compared; the last line of
# the output is the result. The exit status is 1 if an answer was wrong, a request was lost or run
# twice, fewer than 500 requests were answered, or a step failed.
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

log_step "starting control instances"
start_control valukoda ee-north-a
start_control salasonora sul-br-a
for it in valukoda salasonora; do
  wait_until 10 "control of $it" show_status "$it" > /dev/null
  ctl "$it" apply "Examples/$it/rules.txt" --yes > /dev/null
done

log_step "starting balancers, fabrics and upstreams"
start_balancers valukoda ee-north-a ee-north-b ee-north-c
start_balancers salasonora sul-br-a sul-br-b sul-br-c
start_upstreams valukoda workshop-api 7 5 ee-north-a ee-north-b ee-north-c
start_upstreams valukoda intake-api 3 5 ee-north-a ee-north-b ee-north-c
start_upstreams salasonora sala-queue 7 2 sul-br-a sul-br-b sul-br-c
start_upstreams salasonora letra-store 3 2 sul-br-a sul-br-b sul-br-c
for it in valukoda salasonora; do wait_until 15 "balancers and upstreams of $it" is_ready "$it"; done

log_step "starting callers for $load_seconds s"
load_began=$SECONDS
start_callers valukoda workshop-api 10.20.0.1:443 feed 20 400
start_callers valukoda workshop-api 10.20.0.1:443 update 20 300
start_callers valukoda intake-api 10.20.0.2:443 upload 8 500
start_callers salasonora sala-queue 10.30.0.1:443 panel 20 400
start_callers salasonora letra-store 10.30.0.2:443 bundle 6 500

at_second 3
log_step "applying a rules change: limit workshop-api inflight 34"
sed 's/^limit workshop-api inflight 35/limit workshop-api inflight 34/' Examples/valukoda/rules.txt > "$work/rules.txt"
ctl valukoda apply "$work/rules.txt" --yes > /dev/null

at_second 5
upstream=$(show_status valukoda | awk '$2 == "workshop-api" && $7 == "active" {print $1; exit}')
log_step "draining upstream $upstream of workshop-api"
ctl valukoda drain "$upstream" > /dev/null

at_second 8
log_step "killing balancer-2 of valukoda; the fabric stops using it one second later"
stop KILL valukoda-balancer-2
sleep 1
sed -i 2d "$work/valukoda-balancers"

at_second 11
log_step "taking data centre sul-br-b out of service"
ctl salasonora dc out sul-br-b > /dev/null

at_second 16
log_step "bringing data centre sul-br-b back into service"
ctl salasonora dc in sul-br-b > /dev/null

at_second "$load_seconds"
log_step "waiting for the results of all requests"
for name in "${callers[@]}"; do
  wait "${pids[$name]}" || { echo "demo: $name failed" >&2; exit 1; }
  unset "pids[$name]"
  log_step "$(cat "$work/$name.log")"
done

log_step "stopping ${#pids[@]} processes"
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
