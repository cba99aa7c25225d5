#!/usr/bin/env bash
# Measures the cost of the request path through one daemon: first-token time
# compared with direct calls to the engines in the same run, processor time per
# request and per token, and memory per open stream.
# Usage: bench-path.sh [--seed S] [--samples N]
set -euo pipefail
cd "$(dirname "$0")/.."
samples=200
while [ $# -gt 0 ]; do
  case $1 in
    --seed) shift 2 ;; # ignored: the load is not random
    --samples) samples=$2; shift 2 ;;
    *) echo "usage: bench-path.sh [--seed S] [--samples N]" >&2; exit 2 ;;
  esac
done
# shellcheck source=Utilities/cluster.sh
source Utilities/cluster.sh
model=m
ticks_per_s=$(getconf CLK_TCK)
owner=direct/0

report() { # METRIC VALUE TARGET UNIT
  awk -v m="$1" -v v="$2" -v b="$3" -v u="$4" 'BEGIN {
    printf "bench=path case=one-daemon metric=%s value=%.4f baseline=%s ratio=%.3f unit=%s\n",
      m, v, b, v / b, u }'
}
cpu_ticks() {
  local fields
  read -r -a fields <"/proc/${CLUSTER_PID[d1]}/stat"
  echo $((fields[13] + fields[14]))
}
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/${CLUSTER_PID[d1]}/status"; }
first_byte() { # URL BODY; prints the seconds until the first byte of the answer
  curl -s -m 20 -o /dev/null -w '%{time_starttransfer}\n' \
    -H "Authorization: Bearer $CLUSTER_WORKSPACE_TOKEN" -d "$2" "$1"
}
# Prints the total seconds of a prefill, a transfer and the first decode byte.
direct() { # N
  local id="\"request\": \"x$1\", \"attempt\": 1, \"owner\": \"$owner\"" kv spent
  spent=$(curl -s -o "$CLUSTER_DIR/kv" -w '%{time_total}' -d "{$id, \"model\":
    \"$model\", \"adapter\": \"\", \"prompt\": \"hi\", \"generated\": \"\",
    \"offset\": 0, \"max_tokens\": 1, \"priority\": 5}" \
    "http://${CLUSTER_ADDRESS[p1]}/engine/prefill")
  kv=$(grep -oE '"kv":"[^"]*"' "$CLUSTER_DIR/kv")
  spent+=" $(curl -s -o "$CLUSTER_DIR/kv" -w '%{time_total}' -d "{$id, $kv,
    \"source\": \"${CLUSTER_ADDRESS[p1]}\"}" \
    "http://${CLUSTER_ADDRESS[e1]}/engine/transfer")"
  kv=$(grep -oE '"kv":"[^"]*"' "$CLUSTER_DIR/kv")
  spent+=" $(first_byte "http://${CLUSTER_ADDRESS[e1]}/engine/decode" "{$id, $kv,
    \"offset\": 0, \"max_tokens\": 1, \"priority\": 5}")"
  awk '{ print $1 + $2 + $3 }' <<<"$spent"
}
quantile() { # FILE SHARE
  sort -n "$1" | awk -v q="$2" '{ v[NR] = $1 } END {
    n = int(q * NR + 0.999); print v[n < 1 ? 1 : n] }'
}
# Prints the processor seconds of the daemon for N closed-loop requests of K
# tokens each.
load_cpu() { # N K
  local before
  before=$(cpu_ticks)
  "$CLUSTER_BIN/bulrushfold-load" --targets "${CLUSTER_ADDRESS[d1]}" \
    --token "$CLUSTER_WORKSPACE_TOKEN" --models "$model" \
    --mix completion_stream=1 --prompt-tokens 10:10 --max-tokens "$2:$2" \
    --requests "$1" --connections 16 --seconds 60 >"$CLUSTER_DIR/load.txt"
  grep -E '^(answered|tokens_per_s)=' "$CLUSTER_DIR/load.txt" >&2
  awk -v a="$before" -v b="$(cpu_ticks)" -v h="$ticks_per_s" \
    'BEGIN { print (b - a) / h }'
}

cluster_begin
cluster_start_store
cluster_start_engine p1 suva prefill "$model" --prefill-tokens-per-s 100000
cluster_start_engine e1 suva decode "$model" --slots 200 --pieces 4000
cluster_add_daemon d1 suva
cluster_put_configuration
cluster_put_vms
cluster_start_daemon d1
cluster_wait_ready d1
for ((n = 0; n < samples; n++)); do
  direct "$n" >>"$CLUSTER_DIR/direct"
  first_byte "http://${CLUSTER_ADDRESS[d1]}/v1/completions" "{\"model\":
    \"$model\", \"prompt\": \"hi\", \"max_tokens\": 1, \"stream\": true}" \
    >>"$CLUSTER_DIR/routed"
done
for q in 0.50 0.99; do
  report "added_first_token_p${q#0.}_ms" "$(awk -v a="$(quantile "$CLUSTER_DIR/routed" $q)" \
    -v b="$(quantile "$CLUSTER_DIR/direct" $q)" 'BEGIN { print 1000 * (a - b) }')" 1 ms
done
short=$(load_cpu 400 1)
long=$(load_cpu 200 201)
report cpu_per_token_us "$(awk -v l="$long" -v s="$short" \
  'BEGIN { print 1e6 * (l / 200 - s / 400) / 200 }')" 50 us
report cpu_per_request_ms "$(awk -v s="$short" 'BEGIN { print 1000 * s / 400 }')" 1 ms
before=$(rss_kb)
streams=100
pids=()
for ((n = 0; n < streams; n++)); do
  curl -s -N -m 30 -o /dev/null -H "Authorization: Bearer $CLUSTER_WORKSPACE_TOKEN" \
    -d "{\"model\": \"$model\", \"prompt\": \"s$n\", \"max_tokens\": 2000, \"stream\": true}" \
    "http://${CLUSTER_ADDRESS[d1]}/v1/completions" &
  pids+=($!)
done
sleep 4
report open_streams "$(curl -s "http://${CLUSTER_ADDRESS[d1]}/metrics" |
  awk '$1 == "bulrushfold_requests_in_progress" { print $2 }')" "$streams" streams
report kb_per_stream "$(awk -v a="$before" -v b="$(rss_kb)" -v n="$streams" \
  'BEGIN { print (b - a) / n }')" 32 KB
kill "${pids[@]}" 2>/dev/null || true
