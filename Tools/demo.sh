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
min_answered=500
declare -A pids=()
started=$SECONDS

say() { printf 'demo: %3ds %s\n' $((SECONDS - started)) "$*"; }

# spawn NAME COMMAND...: a process of the demo, known by its id from now on.
spawn() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop SIGNAL NAME...: ends processes and waits for them, killing what has not ended in 5 s.
stop() {
  local signal=$1 name
  shift
  for name in "$@"; do kill "-$signal" "${pids[$name]}" 2> /dev/null || true; done
  for name in "$@"; do
    for _ in $(seq 50); do
      kill -0 "${pids[$name]}" 2> /dev/null || break
      sleep 0.1
    done
    kill -KILL "${pids[$name]}" 2> /dev/null || true
    wait "${pids[$name]}" 2> /dev/null || true
    unset "pids[$name]"
  done
}

clean_up() {
  local status=$?
  [ "${#pids[@]}" -eq 0 ] || stop KILL "${!pids[@]}"
  if [ "$status" -eq 0 ]; then
    rm -rf "$work"
  elif [ -z "${totals:-}" ]; then
    echo "demo: logs and ledgers are in $work" >&2
  fi
}
trap clean_up EXIT

# Ports below the range from which the kernel takes ports for outgoing connections.
used=" $(cat /proc/net/tcp /proc/net/udp | awk '{split($2, a, ":"); print a[2]}' | sort -u | tr '\n' ' ') "
next_port=$((20000 + $$ % 9000))
port() {
  while [[ "$used" == *" $(printf '%04X' "$next_port") "* ]]; do next_port=$((next_port + 1)); done
  at=127.0.0.1:$next_port
  next_port=$((next_port + 1))
}

ctl() { # ctl DEPLOYMENT COMMAND...
  local deployment=$1
  shift
  "$bin/Ctl/pistachioctl" "$@" --server "${admin[$deployment]}" --operator "demo" \
    --credential-file "Examples/$deployment/operators.credential"
}

show() { # show DEPLOYMENT: data centres, balancers and upstreams
  "$bin/Ctl/pistachioctl" status --server "${admin[$1]}" --credential-file "Examples/$1/operators.credential"
}

# until_true SECONDS WHAT COMMAND...
until_true() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" 2> /dev/null; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "demo: gave up waiting for $what" >&2
      return 1
    fi
    sleep 0.2
  done
}

declare -A admin=() nodes=() fabric=()

start_control() { # start_control DEPLOYMENT DATA-CENTRE
  local deployment=$1
  port; nodes[$deployment]=$at
  port; local peers=$at
  port; admin[$deployment]=$at
  port; local metrics=$at
  cat > "$work/$deployment-control.toml" << EOF
name = "control-1"
data_centre = "$2"
data_folder = "$work/$deployment-data"
nodes = "${nodes[$deployment]}"
peers = "$peers"
admin = "${admin[$deployment]}"
metrics = "$metrics"

[[credentials]]
team = "operators"
secret_file = "$PWD/Examples/$deployment/operators.credential"
EOF
  mkdir -p "$work/$deployment-data"
  spawn "$deployment-control" "$bin/ControlDaemon/pistachio-control" --init \
    --settings "$work/$deployment-control.toml"
}

start_balancers() { # start_balancers DEPLOYMENT DATA-CENTRE...
  local deployment=$1 n=0 dc
  shift
  : > "$work/$deployment-balancers"
  for dc in "$@"; do
    n=$((n + 1))
    port; local listen=$at
    port
    cat > "$work/$deployment-balancer-$n.toml" << EOF
name = "balancer-$n"
data_centre = "$dc"
listen = "$listen"
metrics = "$at"
control = ["${nodes[$deployment]}"]
workers = 1
EOF
    echo "$listen" >> "$work/$deployment-balancers"
    spawn "$deployment-balancer-$n" "$bin/Balancer/pistachio-balancer" \
      --settings "$work/$deployment-balancer-$n.toml"
  done
  port; fabric[$deployment]=$at
  spawn "$deployment-fabric" "$bin/UnitTests/Fakes/fake-fabric" --listen "$at" \
    --balancers-file "$work/$deployment-balancers" --loss 0.005 --repeat 0.005 --reorder 0.01 --seed 7
}

start_upstreams() { # start_upstreams DEPLOYMENT SERVICE COUNT SLOTS DATA-CENTRE...
  local deployment=$1 service=$2 count=$3 slots=$4 n
  shift 4
  local dcs=("$@")
  for n in $(seq "$count"); do
    local dc=${dcs[$((n % ${#dcs[@]}))]} id=$service-$n
    port; local back_end=$at
    port; local listen=$at
    port
    cat > "$work/$id.toml" << EOF
service = "$service"
data_centre = "$dc"
zone = "$dc-1"
machine = "$id"
listen = "$listen"
metrics = "$at"
control = ["${nodes[$deployment]}"]
back_end = "$back_end"
slots = $slots
drain_seconds = 2
EOF
    spawn "$id-backend" "$bin/UnitTests/Fakes/fake-backend" --listen "$back_end" --service "$service" \
      --slots "$slots" --latency-ms 8 --cold-slots 1 --cold-ms 4000 --ledger "$work/$id.ledger"
    spawn "$id-agent" "$bin/Agent/pistachio-agent" --settings "$work/$id.toml"
  done
}

callers=()
call() { # call DEPLOYMENT SERVICE ADDRESS KIND CALLERS INTERVAL
  local name=caller-$2-$4
  callers+=("$name")
  spawn "$name" "$bin/UnitTests/Fakes/fake-caller" --fabric "${fabric[$1]}" --service "$2" --address "$3" \
    --kind "$4" --callers "$5" --interval-ms "$6" --length-ms $((load_seconds * 1000)) --deadline-ms 8000 \
    --ledger "$work/$name.ledger" --seed "${#callers[@]}"
}

is_ready() { # is_ready DEPLOYMENT: ten upstreams, and the rules in force on three balancers
  local text revision
  text=$(show "$1")
  revision=$(awk '/rules revision:/ {print $3}' <<< "$text")
  [ "$(grep -cE '127\.0\.0\.1:[0-9]+ +active ' <<< "$text")" -eq 10 ] &&
    [ "$(awk -v r="$revision" '$1 ~ /^balancer-/ && $4 >= r' <<< "$text" | wc -l)" -eq 3 ]
}

progress() {
  say "$(cat "$work"/caller-*.ledger 2> /dev/null | awk '
    /"event":"start"/ {s++} /"result":"answered"/ {a++} /"result":"not_run"/ {r++} /"result":"unknown"/ {u++}
    END {printf "started=%d answered=%d refused=%d unknown=%d", s, a, r, u}')"
}

# at_second N: waits until N seconds after the callers started, with progress every 2 s.
at_second() {
  while [ $((SECONDS - load_began)) -lt "$1" ]; do
    [ $(((SECONDS - load_began) % 2)) -ne 0 ] || progress
    sleep 1
  done
}

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
