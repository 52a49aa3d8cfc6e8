# Functions for scripts that run deployments as separate processes on free loopback ports. Sourced with
# these variables set: script (name in messages), bin (programs), work (folder for settings, logs and
# ledgers), load_seconds (how long callers send). Processes are known by their ids from the start on.
# shellcheck shell=bash disable=SC2154

declare -A pids=() commands=() admin=() nodes=() fabric=()
started=$SECONDS

say() { printf '%s: %3ds %s\n' "$script" $((SECONDS - started)) "$*"; }

# spawn NAME COMMAND...: a process of this script, known by its id from now on.
spawn() {
  local name=$1
  shift
  commands[$name]=$(printf '%q ' "$@")
  "$@" >> "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# respawn NAME: starts a process that has ended with its former command.
respawn() {
  local -a words
  eval "words=(${commands[$1]})"
  spawn "$1" "${words[@]}"
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
    echo "$script: logs and ledgers are in $work" >&2
  fi
}
trap clean_up EXIT

# Ports below the range from which the kernel takes ports for outgoing connections.
used=" $(cat /proc/net/tcp /proc/net/udp | awk '{split($2, a, ":"); print a[2]}' | sort -u | tr '\n' ' ') "
next_port=$((20000 + $$ * 101 % 9000)) # Scripts that start together get ports apart.
port() {
  while [[ "$used" == *" $(printf '%04X' "$next_port") "* ]]; do next_port=$((next_port + 1)); done
  at=127.0.0.1:$next_port
  next_port=$((next_port + 1))
}

ctl() { # ctl DEPLOYMENT COMMAND...
  local deployment=$1
  shift
  # shellcheck disable=SC2086 # Several options.
  "$bin/Ctl/pistachioctl" "$@" ${admin[$deployment]} --operator "$script" \
    --credential-file "Examples/$deployment/operators.credential"
}

show() { # show DEPLOYMENT: data centres, balancers and upstreams
  # shellcheck disable=SC2086 # Several options.
  "$bin/Ctl/pistachioctl" status ${admin[$1]} --credential-file "Examples/$1/operators.credential"
}

# until_true SECONDS WHAT COMMAND...
until_true() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" 2> /dev/null; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "$script: gave up waiting for $what" >&2
      return 1
    fi
    sleep 0.2
  done
}

# start_control DEPLOYMENT DATA-CENTRE...: a group of one instance in each data centre. The nodes' way to each
# instance is the endpoint that via() names, if there is such a function.
start_control() {
  local deployment=$1 n=0 dc members="" init=--init
  local -a node_ports=() peers=() admins=() ways=()
  shift
  for dc in "$@"; do
    port; node_ports+=("$at")
    port; peers+=("$at")
    port; admins+=("$at")
    n=$((n + 1))
    members+=$'\n[[members]]\n'"name = \"control-$n\""$'\n'"address = \"${peers[-1]}\""$'\n'
  done
  n=0
  for dc in "$@"; do
    port
    cat > "$work/$deployment-control-$((n + 1)).toml" << EOF
name = "control-$((n + 1))"
data_centre = "$dc"
data_folder = "$work/$deployment-data-$((n + 1))"
nodes = "${node_ports[n]}"
peers = "${peers[n]}"
admin = "${admins[n]}"
metrics = "$at"
$members
[[credentials]]
team = "operators"
secret_file = "$PWD/Examples/$deployment/operators.credential"
EOF
    mkdir -p "$work/$deployment-data-$((n + 1))"
    # A group is made once, so the option is not part of the command that a restart repeats.
    spawn "$deployment-control-$((n + 1))" "$bin/ControlDaemon/pistachio-control" $init \
      --settings "$work/$deployment-control-$((n + 1)).toml"
    commands[$deployment-control-$((n + 1))]=${commands[$deployment-control-$((n + 1))]/--init /}
    init=""
    if declare -F via > /dev/null; then via "$deployment-link-$((n + 1))" "${node_ports[n]}"; else at=${node_ports[n]}; fi
    ways+=("\"$at\"")
    n=$((n + 1))
  done
  admin[$deployment]=$(printf -- '--server %s ' "${admins[@]}")
  nodes[$deployment]=$(IFS=,; echo "${ways[*]}")
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
control = [${nodes[$deployment]}]
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
control = [${nodes[$deployment]}]
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

is_ready() { # is_ready DEPLOYMENT [UPSTREAMS]: all upstreams, and the rules in force on three balancers
  local text revision
  text=$(show "$1")
  revision=$(awk '/rules revision:/ {print $3}' <<< "$text")
  [ "$(grep -cE '127\.0\.0\.1:[0-9]+ +active ' <<< "$text")" -eq "${2:-10}" ] &&
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

