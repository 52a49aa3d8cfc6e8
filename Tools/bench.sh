#!/usr/bin/env bash
# Tools/bench.sh [FOLDER]: builds and runs all benchmarks: first those of routing decisions and
# storage, which use Google Benchmark, then a run of the daemons on loopback. Prints the results and
# writes them to FOLDER (default: build/bench). Takes about 2 minutes. Other load on the machine
# distorts the results.
set -euo pipefail
cd "$(dirname "$0")/.."
./Tools/install-packages.sh
./Tools/build.sh build > /dev/null
out=${1:-build/bench}
rm -rf "$out"
mkdir -p "$out"
bin=$PWD/build/Source
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
}
trap cleanup EXIT

for it in "$bin"/Benchmarks/*-bench; do
  "$it" --benchmark_min_time=0.3 --benchmark_out="$out/$(basename "$it").json" --benchmark_out_format=json 2> /dev/null
done

# Run on loopback: one control instance and one balancer with one worker.
port=$((20000 + RANDOM % 20000))
cat > "$out/control.toml" << TOML
name = "control-1"
data_centre = "bench-a"
data_folder = "$out/data"
nodes = "127.0.0.1:$port"
peers = "127.0.0.1:$((port + 1))"
admin = "127.0.0.1:$((port + 2))"
metrics = "127.0.0.1:$((port + 3))"
[[credentials]]
team = "operators"
secret = "bench-only-credential"
[log]
level = "warning"
TOML
cat > "$out/balancer.toml" << TOML
name = "balancer-1"
data_centre = "bench-a"
listen = "127.0.0.1:$((port + 4))"
metrics = "127.0.0.1:$((port + 5))"
control = ["127.0.0.1:$port"]
workers = 1
[log]
level = "warning"
TOML
cat > "$out/rules.txt" << RULES
datacentre bench-a  # asked by Bench
service bench-api address 10.0.0.1:443 slots 1  # asked by Bench
RULES
echo bench-only-credential > "$out/credential"
"$bin"/ControlDaemon/pistachio-control --settings "$out/control.toml" --init 2> "$out/control.log" &
control=$!
pids+=("$control")
sleep 1
"$bin"/Ctl/pistachioctl apply "$out/rules.txt" --server "127.0.0.1:$((port + 2))" --credential-file "$out/credential" \
  --operator Bench --yes > /dev/null
"$bin"/Balancer/pistachio-balancer --settings "$out/balancer.toml" 2> "$out/balancer.log" &
balancer=$!
pids+=("$balancer")

# CPU time (user and system) of a process in ticks of 10 ms, and its resident memory in KiB.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

echo "== packet rate on loopback (200 bytes of payload)"
"$bin"/Benchmarks/forward-rate --balancer "127.0.0.1:$((port + 4))" --control "127.0.0.1:$port" \
  --service 10.0.0.1:443 --name bench-api --data-centre bench-a | tee "$out/forward-rate.txt"

echo "== control instance: CPU and memory against simulated balancers that renew twice a second"
for n in 100 400 800; do
  "$bin"/Benchmarks/node-load --control "127.0.0.1:$port" --nodes "$n" --seconds 12 --data-centre bench-a > "$out/node-load-$n.txt" &
  load=$!
  # Every join is published to all nodes. The measurement starts after the joins, in the steady
  # state.
  sleep 6
  before=$(cpu_ticks "$control")
  sleep 5
  after=$(cpu_ticks "$control")
  wait "$load"
  echo "nodes=$n control_cpu_percent=$(awk "BEGIN {print ($after - $before) / 5}") control_resident_kib=$(resident_kib "$control") $(cat "$out/node-load-$n.txt")"
done | tee "$out/node-load.txt"

echo "== control instance: CPU and memory against simulated agents that announce once a second"
for n in 100 400 800; do
  "$bin"/Benchmarks/node-load --control "127.0.0.1:$port" --nodes "$n" --seconds 12 --interval-ms 1000 \
    --data-centre bench-a --announce bench-api > "$out/agent-load-$n.txt" &
  load=$!
  sleep 6
  before=$(cpu_ticks "$control")
  sleep 5
  after=$(cpu_ticks "$control")
  wait "$load"
  echo "agents=$n control_cpu_percent=$(awk "BEGIN {print ($after - $before) / 5}") control_resident_kib=$(resident_kib "$control") $(cat "$out/agent-load-$n.txt")"
done | tee "$out/agent-load.txt"

echo "== idle balancer: control CPU and memory"
before=$(cpu_ticks "$balancer")
sleep 10
after=$(cpu_ticks "$balancer")
echo "idle_balancer_cpu_percent=$(awk "BEGIN {print ($after - $before) / 10}") resident_kib=$(resident_kib "$balancer")" \
  | tee "$out/idle-balancer.txt"
