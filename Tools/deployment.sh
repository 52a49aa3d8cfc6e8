# Functions for scripts that run deployments as separate processes on free loopback ports. A script sets these
# variables before it sources this file: script (its name in messages), bin (folder of the programs), work
# (folder for settings, logs and ledgers), load_seconds (how long callers start requests). Processes are
# signalled only by the process ids recorded here.
# shellcheck shell=bash disable=SC2154

declare -A pids=() commands=() admin=() nodes=() fabric=()
started=$SECONDS

log_step() { printf '%s: %3ds %s\n' "$script" $((SECONDS - started)) "$*"; }

# spawn NAME COMMAND...: starts a process in the background and records its command and process id under NAME.
spawn() {
  local name=$1
  shift
  commands[$name]=$(printf '%q ' "$@")
  "$@" >> "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# respawn NAME: starts a process that has ended again with the same command.
respawn() {
  local -a words
  eval "words=(${commands[$1]})"
  spawn "$1" "${words[@]}"
}

# stop SIGNAL NAME...: sends the signal to processes and waits until they end. Kills those that have not ended
# after 5 s.
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

# Ports are allocated below the range that the kernel uses for outgoing connections.
used=" $(cat /proc/net/tcp /proc/net/udp | awk '{split($2, a, ":"); print a[2]}' | sort -u | tr '\n' ' ') "
next_port=$((20000 + $$ * 101 % 9000)) # Scripts that run at the same time start at different ports.
allocate_endpoint() {
  while [[ "$used" == *" $(printf '%04X' "$next_port") "* ]]; do next_port=$((next_port + 1)); done
  endpoint=127.0.0.1:$next_port
  next_port=$((next_port + 1))
}

ctl() { # ctl DEPLOYMENT COMMAND...: runs pistachioctl as an operator
  local deployment=$1
  shift
  # shellcheck disable=SC2086 # The variable holds several options.
  "$bin/Ctl/pistachioctl" "$@" ${admin[$deployment]} --operator "$script" \
    --credential-file "Examples/$deployment/operators.credential"
}

show_status() { # show_status DEPLOYMENT: prints data centres, balancers and upstreams
  # shellcheck disable=SC2086 # The variable holds several options.
  "$bin/Ctl/pistachioctl" status ${admin[$1]} --credential-file "Examples/$1/operators.credential"
}

# wait_until SECONDS WHAT COMMAND...: repeats COMMAND until it succeeds. Fails after SECONDS with a message
# that names WHAT.
wait_until() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" 2> /dev/null; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "$script: timed out waiting for $what" >&2
      return 1
    fi
    sleep 0.2
  done
}

# start_control DEPLOYMENT DATA-CENTRE...: starts a group with one control instance in each data centre. If
# the script defines the function start_link, nodes connect to each instance through the endpoint that it
# sets.
start_control() {
  local deployment=$1 n=0 dc members="" init=--init
  local -a node_ports=() peers=() admins=() control_endpoints=()
  shift
  for dc in "$@"; do
    allocate_endpoint; node_ports+=("$endpoint")
    allocate_endpoint; peers+=("$endpoint")
    allocate_endpoint; admins+=("$endpoint")
    n=$((n + 1))
    members+=$'\n[[members]]\n'"name = \"control-$n\""$'\n'"address = \"${peers[-1]}\""$'\n'
  done
  n=0
  for dc in "$@"; do
    allocate_endpoint
    cat > "$work/$deployment-control-$((n + 1)).toml" << EOF
name = "control-$((n + 1))"
data_centre = "$dc"
data_folder = "$work/$deployment-data-$((n + 1))"
nodes = "${node_ports[n]}"
peers = "${peers[n]}"
admin = "${admins[n]}"
metrics = "$endpoint"
$members
[[credentials]]
team = "operators"
secret_file = "$PWD/Examples/$deployment/operators.credential"
EOF
    mkdir -p "$work/$deployment-data-$((n + 1))"
    # A group is created only once, so the recorded command, which a restart repeats, lacks --init.
    spawn "$deployment-control-$((n + 1))" "$bin/ControlDaemon/pistachio-control" $init \
      --settings "$work/$deployment-control-$((n + 1)).toml"
    commands[$deployment-control-$((n + 1))]=${commands[$deployment-control-$((n + 1))]/--init /}
    init=""
    if declare -F start_link > /dev/null; then start_link "$deployment-link-$((n + 1))" "${node_ports[n]}"; else endpoint=${node_ports[n]}; fi
    control_endpoints+=("\"$endpoint\"")
    n=$((n + 1))
  done
  admin[$deployment]=$(printf -- '--server %s ' "${admins[@]}")
  nodes[$deployment]=$(IFS=,; echo "${control_endpoints[*]}")
}

start_balancers() { # start_balancers DEPLOYMENT DATA-CENTRE...
  local deployment=$1 n=0 dc
  shift
  : > "$work/$deployment-balancers"
  for dc in "$@"; do
    n=$((n + 1))
    allocate_endpoint; local listen=$endpoint
    allocate_endpoint
    cat > "$work/$deployment-balancer-$n.toml" << EOF
name = "balancer-$n"
data_centre = "$dc"
listen = "$listen"
metrics = "$endpoint"
control = [${nodes[$deployment]}]
workers = 1
EOF
    echo "$listen" >> "$work/$deployment-balancers"
    spawn "$deployment-balancer-$n" "$bin/Balancer/pistachio-balancer" \
      --settings "$work/$deployment-balancer-$n.toml"
  done
  allocate_endpoint; fabric[$deployment]=$endpoint
  spawn "$deployment-fabric" "$bin/UnitTests/Fakes/fake-fabric" --listen "$endpoint" \
    --balancers-file "$work/$deployment-balancers" --loss 0.005 --repeat 0.005 --reorder 0.01 --seed 7
}

start_upstreams() { # start_upstreams DEPLOYMENT SERVICE COUNT SLOTS DATA-CENTRE...
  local deployment=$1 service=$2 count=$3 slots=$4 n
  shift 4
  local dcs=("$@")
  for n in $(seq "$count"); do
    local dc=${dcs[$((n % ${#dcs[@]}))]} id=$service-$n
    allocate_endpoint; local back_end=$endpoint
    allocate_endpoint; local listen=$endpoint
    allocate_endpoint
    cat > "$work/$id.toml" << EOF
service = "$service"
data_centre = "$dc"
zone = "$dc-1"
machine = "$id"
listen = "$listen"
metrics = "$endpoint"
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
start_callers() { # start_callers DEPLOYMENT SERVICE ADDRESS KIND CALLERS INTERVAL-MS
  local name=caller-$2-$4
  callers+=("$name")
  spawn "$name" "$bin/UnitTests/Fakes/fake-caller" --fabric "${fabric[$1]}" --service "$2" --address "$3" \
    --kind "$4" --callers "$5" --interval-ms "$6" --length-ms $((load_seconds * 1000)) --deadline-ms 8000 \
    --ledger "$work/$name.ledger" --seed "${#callers[@]}"
}

is_ready() { # is_ready DEPLOYMENT [UPSTREAMS]: succeeds if all upstreams are active and three balancers have the rules in force
  local text revision
  text=$(show_status "$1")
  revision=$(awk '/rules revision:/ {print $3}' <<< "$text")
  [ "$(grep -cE '127\.0\.0\.1:[0-9]+ +active ' <<< "$text")" -eq "${2:-10}" ] &&
    [ "$(awk -v r="$revision" '$1 ~ /^balancer-/ && $4 >= r' <<< "$text" | wc -l)" -eq 3 ]
}

log_request_counts() {
  log_step "$(cat "$work"/caller-*.ledger 2> /dev/null | awk '
    /"event":"start"/ {s++} /"result":"answered"/ {a++} /"result":"not_run"/ {r++} /"result":"unknown"/ {u++}
    END {printf "started=%d answered=%d refused=%d unknown=%d", s, a, r, u}')"
}

# at_second N: waits until N seconds after the start of the callers, and prints the request counts every 2 s.
at_second() {
  while [ $((SECONDS - load_began)) -lt "$1" ]; do
    [ $(((SECONDS - load_began) % 2)) -ne 0 ] || log_request_counts
    sleep 1
  done
}

