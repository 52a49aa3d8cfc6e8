#!/usr/bin/env bash
# Tools/soak.sh [--seed N] [--seconds S] [--build FOLDER] [--keep]: runs a deployment as separate processes on
# loopback under load and injects faults from outside, drawn from the seed: processes are killed, paused, stopped
# and started; the links between nodes and control are delayed, reset, cut one way and silenced; logs get torn
# ends; rules change, upstreams drain, a data centre leaves and returns. Faults come in series and overlap.
# Checked meanwhile: accepted rules never revert. Checked at the end: the books of callers and back ends agree
# (nothing wrong, lost or run twice), the last accepted rules are in force, and new callers are served.
# Exit status 1 if a check fails; logs and ledgers are then kept. Seeds that ever failed: Tools/soak-seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=1 seconds=25 build=build keep=""
while [ "$#" -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --build) build=$2; shift 2 ;;
    --keep) keep=yes; shift ;;
    *) echo "soak: unknown option $1" >&2; exit 2 ;;
  esac
done

bin=$PWD/$build/Source
work=$(mktemp -d "${TMPDIR:-/tmp}/pistachio-soak.XXXXXX")
load_seconds=$seconds
script=soak
# Time for the group to elect, nodes to reconnect and upstreams to be announced again after the last fault.
recovery_seconds=20
source Tools/deployment.sh
RANDOM=$seed

via() { # via NAME SERVER: a link with faults, on which nodes reach a control instance
  port
  echo open > "$work/$1.fault"
  spawn "$1" "$bin/UnitTests/Fakes/fake-link" --listen "$at" --to "$2" --fault-file "$work/$1.fault"
}

fail() {
  echo "soak: seed $seed: $*" >&2
  failed=yes
}

pick() { # pick NAME...: one of them
  local -a all=("$@")
  picked=${all[RANDOM % ${#all[@]}]}
}

upstreams=(workshop-api-1 workshop-api-2 workshop-api-3 workshop-api-4 intake-api-1 intake-api-2)
controls=(valukoda-control-1 valukoda-control-2 valukoda-control-3)
balancers=(valukoda-balancer-1 valukoda-balancer-2 valukoda-balancer-3)
links=(valukoda-link-1 valukoda-link-2 valukoda-link-3)

# What ends a fault, as "SECOND COMMAND...". Processes that are away get no second fault.
declare -a healings=()
declare -A busy=()
heal_later() { # heal_later NAME COMMAND...
  local name=$1
  shift
  busy[$name]=yes
  healings+=("$((SECONDS + 1 + RANDOM % 4)) $name $*")
}
heal() { # heal SECOND: what is due then
  local it due name command
  local -a rest=()
  for it in ${healings[@]+"${healings[@]}"}; do
    read -r due name command <<< "$it"
    if [ "$due" -le "$1" ]; then
      $command
      unset "busy[$name]"
    else
      rest+=("$it")
    fi
  done
  healings=(${rest[@]+"${rest[@]}"})
}

resume() { kill -CONT "${pids[$1]}" 2> /dev/null || true; }
open_link() { echo open > "$work/$1.fault"; }

accepted=0
change_rules() { # a rule that only this change has; what was accepted must not revert
  local limit=$((20 + accepted))
  sed "s/^limit workshop-api inflight [0-9]*/limit workshop-api inflight $limit/" "$work/rules.txt" > "$work/next.txt"
  if timeout 8 "$bin/Ctl/pistachioctl" apply "$work/next.txt" --yes ${admin[valukoda]} --operator soak \
    --credential-file Examples/valukoda/operators.credential > "$work/apply.log" 2>&1; then
    mv "$work/next.txt" "$work/rules.txt"
    accepted=$((accepted + 1))
    # The whole file is in force now, whatever became of earlier changes.
    unsettled=""
    say "rules with limit $limit are accepted"
  else
    say "rules with limit $limit are not confirmed"
    # The outcome may be unknown; only a later accepted change settles it.
    unsettled=yes
  fi
}

show_difference() { # between the rules in force and the last accepted ones
  timeout 8 "$bin/Ctl/pistachioctl" diff "$work/rules.txt" ${admin[valukoda]} \
    --credential-file Examples/valukoda/operators.credential 2> /dev/null
}

tear_log() { # a write that was cut off by the end of its process
  local last
  last=$(ls "$work/valukoda-data-${1##*-}"/log-* | tail -n 1)
  head -c $((1 + RANDOM % 40)) /dev/urandom >> "$last"
}

inject() {
  local kind=$((RANDOM % 12)) name
  case $kind in
    0 | 1) pick "${balancers[@]}" "${upstreams[@]/%/-agent}" ;;
    2) pick "${upstreams[@]/%/-backend}" ;;
    3 | 4) pick "${controls[@]}" ;;
    5 | 6) pick "${balancers[@]}" "${controls[@]}" "${upstreams[@]/%/-agent}" ;;
    7 | 8) pick "${links[@]}" ;;
    9 | 10 | 11) picked="" ;;
  esac
  name=$picked
  [ -z "$name" ] || [ -z "${busy[$name]:-}" ] || return 0
  # Two of three control instances stay, as a group of three can lose one.
  if [[ $name == *control* ]]; then
    for it in "${controls[@]}"; do [ -z "${busy[$it]:-}" ] || return 0; done
  fi
  case $kind in
    0 | 1)
      if [ $((RANDOM % 2)) -eq 0 ]; then say "killing $name"; stop KILL "$name"
      else say "stopping $name"; stop TERM "$name"; fi
      heal_later "$name" respawn "$name" ;;
    2) say "killing $name"; stop KILL "$name"; heal_later "$name" respawn "$name" ;;
    3) say "killing $name and tearing its log"; stop KILL "$name"; tear_log "$name"
       heal_later "$name" respawn "$name" ;;
    4) say "stopping $name"; stop TERM "$name"; heal_later "$name" respawn "$name" ;;
    5 | 6) say "pausing $name"; kill -STOP "${pids[$name]}"; heal_later "$name" resume "$name" ;;
    7 | 8)
      local -a faults=(silent deaf mute reset "delay 200")
      pick "${faults[@]}"
      say "$name is $picked"; echo "$picked" > "$work/$name.fault"
      heal_later "$name" open_link "$name" ;;
    9 | 10) change_rules ;;
    11)
      pick ee-north-a ee-north-b ee-north-c
      say "data centre $picked out and in"
      # Adds a line to the rules in force and removes it again.
      ctl valukoda dc out "$picked" --wait 1 > /dev/null 2>&1 || true
      ctl valukoda dc in "$picked" --wait 1 > /dev/null 2>&1 || unsettled=yes ;;
  esac
}

failed="" unsettled=""
sed '/^objective/d; /^limit intake/d' Examples/valukoda/rules.txt > "$work/rules.txt"
start_control valukoda ee-north-a ee-north-b ee-north-c
until_true 20 "control" show valukoda > /dev/null
until_true 20 "the first rules" ctl valukoda apply "$work/rules.txt" --yes > /dev/null
start_balancers valukoda ee-north-a ee-north-b ee-north-c
start_upstreams valukoda workshop-api 4 5 ee-north-a ee-north-b ee-north-c
start_upstreams valukoda intake-api 2 5 ee-north-a ee-north-b ee-north-c
until_true 20 "balancers and upstreams" is_ready valukoda 6
say "seed $seed: faults for $seconds s among ${#pids[@]} processes"
call valukoda workshop-api 10.20.0.1:443 feed 10 300
call valukoda workshop-api 10.20.0.1:443 update 10 250
call valukoda intake-api 10.20.0.2:443 upload 4 500
load_began=$SECONDS
while [ $((SECONDS - load_began)) -lt $((seconds - 5)) ]; do
  heal "$SECONDS"
  inject
  sleep "0.$((2 + RANDOM % 8))"
  # An accepted change may be older than one whose outcome is unknown, but nothing else may differ.
  if [ -z "$unsettled" ] && difference=$(show_difference) && grep -q '^[-+]' <<< "$difference"; then
    fail "accepted rules are not in force: $difference"
  fi
done
for it in "${links[@]}"; do open_link "$it"; done
while [ "${#healings[@]}" -gt 0 ]; do heal "$SECONDS"; sleep 0.2; done
say "all faults are over; waiting for the last results"
for name in "${callers[@]}"; do
  wait "${pids[$name]}" || fail "$name failed"
  unset "pids[$name]"
done
callers=()
until_true "$recovery_seconds" "the recovery" is_ready valukoda 6 || fail "upstreams or balancers are missing"
unsettled=""
until_true "$recovery_seconds" "a change after the faults" change_rules > /dev/null || true
[ -z "$unsettled" ] || fail "no change is accepted after the faults"
difference=$(show_difference) || fail "the rules cannot be read"
! grep -q '^[-+]' <<< "$difference" || fail "the last accepted rules are not in force: $difference"
load_seconds=3
call valukoda workshop-api 10.20.0.1:443 panel 4 200
after=caller-workshop-api-panel
wait "${pids[$after]}" || fail "$after failed"
unset "pids[$after]"
grep -q '"result":"answered"' "$work/$after.ledger" || fail "new callers are not served after the faults"

# Agents first, as they tell control that their upstreams leave.
agents=() others=()
for name in "${!pids[@]}"; do
  case $name in *-agent) agents+=("$name") ;; *) others+=("$name") ;; esac
done
stop TERM "${agents[@]}"
stop TERM "${others[@]}"

status=0
"$bin/UnitTests/Fakes/ledger-check" "$work"/*.ledger > "$work/totals" || status=1
[ "$status" -eq 0 ] || fail "$(head -n 5 "$work/totals")"
[ -z "$failed" ] || status=1
totals=$(tail -n 1 "$work/totals")
if [ "$status" -ne 0 ] || [ -n "$keep" ]; then
  echo "soak: logs and ledgers are in $work"
  trap - EXIT
fi
echo "soak: seed=$seed accepted_rules=$accepted $totals"
exit "$status"
