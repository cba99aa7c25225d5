#!/usr/bin/env bash
# Measures the cost of control: processor time, memory and sent bytes of each
# daemon in fleets of several sizes, idle and with configuration changes.
# Usage: Utilities/bench-fleet.sh [--seed S] [--seconds T] [SIZE...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=10
sizes=()
while [ $# -gt 0 ]; do
  case $1 in
    --seed) shift 2 ;; # ignored: the load is not random
    --seconds) seconds=$2; shift 2 ;;
    *) sizes+=("$1"); shift ;;
  esac
done
[ ${#sizes[@]} -gt 0 ] || sizes=(6 25 50 100 200)
changes_per_s=1
domains=(suva nadi lautoka)
ticks_per_s=$(getconf CLK_TCK)

# Prints the sum of user and system time of all daemons, in clock ticks.
cpu_ticks() {
  local name ticks=0 fields
  for name in "${CLUSTER_DAEMONS[@]}"; do
    read -r -a fields <"/proc/${CLUSTER_PID[$name]}/stat"
    ticks=$((ticks + fields[13] + fields[14]))
  done
  echo "$ticks"
}

# Prints the largest resident memory of a daemon, in kB.
max_rss_kb() {
  local name
  for name in "${CLUSTER_DAEMONS[@]}"; do
    awk '/VmRSS/ { print $2 }' "/proc/${CLUSTER_PID[$name]}/status"
  done | sort -n | tail -n 1
}

# Prints the sum of one metric over all daemons.
metric_sum() {
  local name
  for name in "${CLUSTER_DAEMONS[@]}"; do
    curl -s -m 5 "http://${CLUSTER_ADDRESS[$name]}/metrics"
  done | awk -v name="$1" '$1 == name { sum += $2 } END { printf "%.0f", sum }'
}

change_preset() {
  local version
  version=$(curl -sI -X GET "http://$CLUSTER_STORE/objects/config/presets" |
    tr -d '\r' | awk 'tolower($1) == "etag:" { print $2 }')
  curl -sf -o /dev/null -X PUT -H "If-Match: $version" \
    "http://$CLUSTER_STORE/objects/config/presets" \
    -d "{\"in_force\": \"ordinary\", \"presets\": {\"ordinary\": {\"max_queue\": $1}}}"
}

report() { # CASE METRIC VALUE TARGET UNIT
  awk -v c="$1" -v m="$2" -v v="$3" -v b="$4" -v u="$5" 'BEGIN {
    printf "bench=fleet case=%s metric=%s value=%.3f baseline=%s ratio=%.3f unit=%s\n",
      c, m, v, b, v / b, u }'
}

measure() { # CASE COUNT CHANGES
  local cpu bytes store elapsed start n=0
  cpu=$(cpu_ticks)
  bytes=$(metric_sum bulrushfold_peer_sent_bytes)
  store=$(metric_sum bulrushfold_store_reads)
  start=$EPOCHREALTIME
  while [ "$(awk -v a="$start" -v b="$EPOCHREALTIME" \
    'BEGIN { print int(b - a) }')" -lt "$seconds" ]; do
    if [ "$3" -gt 0 ]; then
      n=$((n + 1))
      change_preset $((100 + n))
    fi
    sleep 1
  done
  elapsed=$(awk -v a="$start" -v b="$EPOCHREALTIME" 'BEGIN { print b - a }')
  cpu=$(($(cpu_ticks) - cpu))
  bytes=$(($(metric_sum bulrushfold_peer_sent_bytes) - bytes))
  store=$(($(metric_sum bulrushfold_store_reads) - store))
  report "$1" control_cpu_percent "$(awk -v t="$cpu" -v h="$ticks_per_s" \
    -v s="$elapsed" -v n="$2" 'BEGIN { print 100 * t / h / s / n }')" 2.5 percent
  report "$1" rss_mb "$(awk -v k="$(max_rss_kb)" 'BEGIN { print k / 1024 }')" \
    128 MB
  report "$1" control_bytes_s "$(awk -v b="$bytes" -v s="$elapsed" -v n="$2" \
    'BEGIN { print b / s / n }')" 4096 B/s
  report "$1" store_reads_s "$(awk -v r="$store" -v s="$elapsed" \
    'BEGIN { print r / s }')" 2000 1/s
}

run_size() {
  local count=$1 i
  # shellcheck source=Utilities/cluster.sh
  source Utilities/cluster.sh
  CLUSTER_WAIT_S=60
  cluster_begin
  cluster_start_store
  CLUSTER_MODELS=(m)
  for ((i = 1; i <= count; i++)); do
    cluster_add_daemon "d$i" "${domains[$((i % 3))]}"
  done
  cluster_put_presets
  cluster_put_workspaces
  cluster_put_vms
  for ((i = 1; i <= count; i++)); do
    cluster_start_daemon "d$i"
  done
  cluster_wait_ready "${CLUSTER_DAEMONS[@]}"
  sleep 5 # time until all daemons have the same membership view
  measure "idle-n$count" "$count" 0
  measure "changes-n$count" "$count" "$changes_per_s"
}

for size in "${sizes[@]}"; do
  (run_size "$size")
done
