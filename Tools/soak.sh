#!/usr/bin/env bash
# Tools/soak.sh [--seed N] [--seconds S] [--build FOLDER] [--keep]: runs a deployment as separate processes on
# loopback under load and injects faults drawn from the seed. Processes are killed, paused, stopped and
# restarted. The links between nodes and control instances are delayed, reset, or blocked in one or both
# directions. Random bytes are appended to the log of a killed control instance, as an interrupted write would
# leave them. Rules change, upstreams drain, and a data centre is taken out of service and brought back. Faults
# follow each other and overlap.
# During the run the script checks that the rules in force are the last ones that the control instances accepted.
# It skips this check while the rules cannot be read or the outcome of a change is unknown. At the end it checks that the ledgers
# of callers and back ends agree (no answer wrong, no request lost or run twice), that the last accepted rules
# are in force, and that new callers are served. The exit status is 1 if a check fails. Logs and ledgers are
# then kept; --keep always keeps them. Tools/soak-seeds.txt lists seeds that have failed.
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
# Maximum time after the last fault for the group to elect a leader, for nodes to reconnect and for upstreams
# to be announced again.
recovery_seconds=20
source Tools/deployment.sh
RANDOM=$seed

start_link() { # start_link NAME SERVER: starts a proxy that injects faults between nodes and a control instance
  allocate_endpoint
  echo open > "$work/$1.fault"
  spawn "$1" "$bin/UnitTests/Fakes/fake-link" --listen "$endpoint" --to "$2" --fault-file "$work/$1.fault"
}

fail() {
  echo "soak: seed $seed: $*" >&2
  failed=yes
}

pick_random() { # pick_random NAME...: sets picked to one of the names
  local -a all=("$@")
  picked=${all[RANDOM % ${#all[@]}]}
}

upstreams=(workshop-api-1 workshop-api-2 workshop-api-3 workshop-api-4 intake-api-1 intake-api-2)
controls=(valukoda-control-1 valukoda-control-2 valukoda-control-3)
balancers=(valukoda-balancer-1 valukoda-balancer-2 valukoda-balancer-3)
links=(valukoda-link-1 valukoda-link-2 valukoda-link-3)

# Pending commands that end a fault, as "SECOND NAME COMMAND...". A process or link with a fault gets no
# second fault before its recovery.
declare -a recoveries=()
declare -A faulted=()
schedule_recovery() { # schedule_recovery NAME COMMAND...: runs COMMAND in 1 to 4 s to end the fault of NAME
  local name=$1
  shift
  faulted[$name]=yes
  recoveries+=("$((SECONDS + 1 + RANDOM % 4)) $name $*")
}
run_due_recoveries() { # run_due_recoveries SECOND: runs the recoveries that are due by then
  local it due name command
  local -a rest=()
  for it in ${recoveries[@]+"${recoveries[@]}"}; do
    read -r due name command <<< "$it"
    if [ "$due" -le "$1" ]; then
      $command
      unset "faulted[$name]"
    else
      rest+=("$it")
    fi
  done
  recoveries=(${rest[@]+"${rest[@]}"})
}

resume() { kill -CONT "${pids[$1]}" 2> /dev/null || true; }
open_link() { echo open > "$work/$1.fault"; }

accepted=0
# Applies a limit that no accepted change has set, so that a lost change is detected. After a change that is not
# confirmed, the next change sets the same limit again. Returns 0 in both cases.
change_rules() {
  local limit=$((20 + accepted))
  sed "s/^limit workshop-api inflight [0-9]*/limit workshop-api inflight $limit/" "$work/rules.txt" > "$work/next.txt"
  if timeout 8 "$bin/Ctl/pistachioctl" apply "$work/next.txt" --yes ${admin[valukoda]} --operator soak \
    --credential-file Examples/valukoda/operators.credential > "$work/apply.log" 2>&1; then
    mv "$work/next.txt" "$work/rules.txt"
    accepted=$((accepted + 1))
    # The accepted file replaces all rules, so the outcome of earlier changes no longer matters.
    outcome_unknown=""
    log_step "the rules with limit $limit are accepted"
  else
    log_step "the rules with limit $limit are not confirmed"
    # The outcome may be unknown until a later change is accepted.
    outcome_unknown=yes
  fi
}

show_difference() { # prints how the rules in force differ from the last accepted ones
  timeout 8 "$bin/Ctl/pistachioctl" diff "$work/rules.txt" ${admin[valukoda]} \
    --credential-file Examples/valukoda/operators.credential 2> /dev/null
}

append_partial_record() { # append_partial_record NAME: imitates a write that the end of the process interrupted
  local last
  last=$(ls "$work/valukoda-data-${1##*-}"/log-* | tail -n 1)
  head -c $((1 + RANDOM % 40)) /dev/urandom >> "$last"
}

# Draws one of these actions, and does nothing if the drawn process or link already has a fault:
# 0, 1: kills or stops a balancer or an agent. 2: kills a back end. 3: kills a control instance and appends
# random bytes to its log. 4: stops a control instance. 5, 6: pauses a balancer, control instance or agent.
# 7, 8: sets a fault on a link. 9, 10: changes the rules. 11: takes a data centre out and brings it back.
inject_fault() {
  local kind=$((RANDOM % 12)) name
  case $kind in
    0 | 1) pick_random "${balancers[@]}" "${upstreams[@]/%/-agent}" ;;
    2) pick_random "${upstreams[@]/%/-backend}" ;;
    3 | 4) pick_random "${controls[@]}" ;;
    5 | 6) pick_random "${balancers[@]}" "${controls[@]}" "${upstreams[@]/%/-agent}" ;;
    7 | 8) pick_random "${links[@]}" ;;
    9 | 10 | 11) picked="" ;;
  esac
  name=$picked
  [ -z "$name" ] || [ -z "${faulted[$name]:-}" ] || return 0
  # Only one control instance may have a fault at a time, because a group of three tolerates the loss of one.
  if [[ $name == *control* ]]; then
    for it in "${controls[@]}"; do [ -z "${faulted[$it]:-}" ] || return 0; done
  fi
  case $kind in
    0 | 1)
      if [ $((RANDOM % 2)) -eq 0 ]; then log_step "killing $name"; stop KILL "$name"
      else log_step "stopping $name"; stop TERM "$name"; fi
      schedule_recovery "$name" respawn "$name" ;;
    2) log_step "killing $name"; stop KILL "$name"; schedule_recovery "$name" respawn "$name" ;;
    3) log_step "killing $name and appending an incomplete record to its log"; stop KILL "$name"; append_partial_record "$name"
       schedule_recovery "$name" respawn "$name" ;;
    4) log_step "stopping $name"; stop TERM "$name"; schedule_recovery "$name" respawn "$name" ;;
    5 | 6) log_step "pausing $name"; kill -STOP "${pids[$name]}"; schedule_recovery "$name" resume "$name" ;;
    7 | 8)
      # silent blocks both directions of a link, deaf blocks requests and mute blocks replies.
      local -a faults=(silent deaf mute reset "delay 200")
      pick_random "${faults[@]}"
      log_step "$name gets the fault $picked"; echo "$picked" > "$work/$name.fault"
      schedule_recovery "$name" open_link "$name" ;;
    9 | 10) change_rules ;;
    11)
      pick_random ee-north-a ee-north-b ee-north-c
      log_step "taking data centre $picked out of service and bringing it back"
      # Adds a line to the rules in force and removes it again.
      ctl valukoda dc out "$picked" --wait 1 > /dev/null 2>&1 || true
      ctl valukoda dc in "$picked" --wait 1 > /dev/null 2>&1 || outcome_unknown=yes ;;
  esac
}

failed="" outcome_unknown=""
sed '/^objective/d; /^limit intake/d' Examples/valukoda/rules.txt > "$work/rules.txt"
start_control valukoda ee-north-a ee-north-b ee-north-c
wait_until 20 "control" show_status valukoda > /dev/null
wait_until 20 "the first rules" ctl valukoda apply "$work/rules.txt" --yes > /dev/null
start_balancers valukoda ee-north-a ee-north-b ee-north-c
start_upstreams valukoda workshop-api 4 5 ee-north-a ee-north-b ee-north-c
start_upstreams valukoda intake-api 2 5 ee-north-a ee-north-b ee-north-c
wait_until 20 "balancers and upstreams" is_ready valukoda 6
log_step "seed $seed: faults for $seconds s among ${#pids[@]} processes"
start_callers valukoda workshop-api 10.20.0.1:443 feed 10 300
start_callers valukoda workshop-api 10.20.0.1:443 update 10 250
start_callers valukoda intake-api 10.20.0.2:443 upload 4 500
load_began=$SECONDS
while [ $((SECONDS - load_began)) -lt $((seconds - 5)) ]; do
  run_due_recoveries "$SECONDS"
  inject_fault
  sleep "0.$((2 + RANDOM % 8))"
  # A change whose outcome is unknown may take effect after the last accepted one. Otherwise the rules in
  # force must not differ from the last accepted ones.
  if [ -z "$outcome_unknown" ] && difference=$(show_difference) && grep -q '^[-+]' <<< "$difference"; then
    fail "accepted rules are not in force: $difference"
  fi
done
for it in "${links[@]}"; do open_link "$it"; done
while [ "${#recoveries[@]}" -gt 0 ]; do run_due_recoveries "$SECONDS"; sleep 0.2; done
log_step "all faults have ended; waiting for the results of all requests"
for name in "${callers[@]}"; do
  wait "${pids[$name]}" || fail "$name ended with an error"
  unset "pids[$name]"
done
callers=()
wait_until "$recovery_seconds" "the recovery" is_ready valukoda 6 || fail "upstreams or balancers have not recovered"
outcome_unknown=""
# This makes one attempt, because change_rules also returns 0 for a change that is not confirmed.
wait_until "$recovery_seconds" "a change after the faults" change_rules > /dev/null || true
[ -z "$outcome_unknown" ] || fail "no rules change is accepted after the last fault"
difference=$(show_difference) || fail "the rules in force cannot be read"
! grep -q '^[-+]' <<< "$difference" || fail "the last accepted rules are not in force: $difference"
load_seconds=3
start_callers valukoda workshop-api 10.20.0.1:443 panel 4 200
new_caller=caller-workshop-api-panel
wait "${pids[$new_caller]}" || fail "$new_caller ended with an error"
unset "pids[$new_caller]"
grep -q '"result":"answered"' "$work/$new_caller.ledger" || fail "new callers are not served after the last fault"

# Agents are stopped first, because they report to the control instances that their upstreams leave.
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
