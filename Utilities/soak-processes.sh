#!/usr/bin/env bash
# Randomised run of real processes over TCP. Injects kills, pauses, silent
# connections, store outages, lost answers, graceful shutdowns and restarts
# while the load tool checks every answer.
# Usage: soak-processes.sh [--seed S] [--seconds T]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seconds=60
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    *) echo "usage: soak-processes.sh [--seed S] [--seconds T]" >&2; exit 2 ;;
  esac
done
[ -n "${CLUSTER_BIN:-}" ] || bash Utilities/build.sh release
# shellcheck source=Utilities/cluster.sh
source Utilities/cluster.sh
RANDOM=$seed
model=m
domains=(suva nadi lautoka)
daemons=(d1 d2 d3 d4 d5 d6)
engines=(prefill1 prefill2 decode1 decode2)
services=(booking1 booking2)
declare -A injected=()

start_all() {
  local i
  cluster_begin
  cluster_start_store
  cluster_start_engine prefill1 suva prefill "$model"
  cluster_start_engine prefill2 nadi prefill "$model"
  cluster_start_engine decode1 suva decode "$model"
  cluster_start_engine decode2 nadi decode "$model"
  cluster_start_service booking1 suva bookings --run-ms 20
  cluster_start_service booking2 lautoka bookings --run-ms 20
  for i in 1 2 3 4 5 6; do
    cluster_add_daemon "d$i" "${domains[$((i % 3))]}"
  done
  cluster_put_configuration
  cluster_put_vms
  for i in "${daemons[@]}"; do cluster_start_daemon "$i"; done
  cluster_wait_ready "${daemons[@]}"
}

# Sets CHOICE to a random argument. It is not printed instead, because RANDOM
# does not advance in a subshell.
choose() {
  local n=$((RANDOM % $# + 1))
  CHOICE=${!n}
}

record_fault() {
  injected[$1]=$((${injected[$1]:-0} + 1))
  echo "fault=$1 target=$2 at_s=$SECONDS"
}

# Injects one random fault and ends it after a random time.
inject_fault() {
  local span=$((RANDOM % 5 + 1)) class
  choose daemon_kill daemon_pause daemon_stop store_down store_silent \
    store_lost_answers engine_kill engine_silent engine_stall service_silent \
    service_lost_answers
  class=$CHOICE
  case $class in
    daemon_*) choose "${daemons[@]}" ;;
    engine_*) choose "${engines[@]}" ;;
    service_*) choose "${services[@]}" ;;
    store_*) CHOICE=store ;;
  esac
  local target=$CHOICE
  record_fault "$class" "$target"
  case $class in
    daemon_kill)
      cluster_stop_process "$target" KILL
      sleep "$span"
      cluster_start_daemon "$target" ;;
    daemon_pause)
      kill -STOP "${CLUSTER_PID[$target]}"
      sleep $((span + 2)) # long enough that leases expire
      kill -CONT "${CLUSTER_PID[$target]}" ;;
    daemon_stop)
      CLUSTER_WAIT_S=60 cluster_stop_process "$target" TERM || touch "$CLUSTER_DIR/slow-stop"
      cluster_start_daemon "$target" ;;
    store_down)
      cluster_set_faults store '{"down": true}'
      sleep $((2 * span))
      cluster_set_faults store '{"down": false}' ;;
    store_silent)
      cluster_set_faults store '{"silent": true}'
      sleep "$span"
      cluster_set_faults store '{"silent": false}' ;;
    store_lost_answers)
      cluster_set_faults store '{"lose_answers": 0.4}'
      sleep "$span"
      cluster_set_faults store '{"lose_answers": 0}' ;;
    engine_kill)
      cluster_stop_process "$target" KILL
      sleep 1
      cluster_restart_emulator "$target" ;;
    engine_silent | service_silent)
      cluster_set_faults "$target" '{"silent": true}'
      sleep "$span"
      cluster_set_faults "$target" '{"silent": false}' ;;
    engine_stall)
      cluster_set_faults "$target" '{"stall_transfers": true}'
      sleep "$span"
      cluster_set_faults "$target" '{"stall_transfers": false}' ;;
    service_lost_answers)
      cluster_set_faults "$target" '{"lose_answers": 0.3}'
      sleep "$span"
      cluster_set_faults "$target" '{"lose_answers": 0}' ;;
  esac
}

value() {
  grep -oE "\"$1\": *[0-9]+" "$CLUSTER_DIR/load.json" | head -n 1 |
    grep -oE '[0-9]+$' || echo 0
}

# Prints the memory pieces that are allocated at the engines after waiting up to
# 30 s for them to be freed.
allocated_pieces() {
  local end=$((SECONDS + 30)) engine sum
  while :; do
    sum=0
    for engine in "${engines[@]}"; do
      sum=$((sum + $(curl -s -m 5 \
        "http://${CLUSTER_ADDRESS[$engine]}/engine/holdings" |
        grep -oE '"pieces":[0-9]+' | cut -d: -f2 | paste -sd+ | sed 's/^$/0/' | bc)))
    done
    if [ "$sum" -eq 0 ] || [ "$SECONDS" -ge "$end" ]; then
      echo "$sum"
      return
    fi
    sleep 0.5
  done
}

start_all
"$CLUSTER_BIN/bulrushfold-load" \
  --targets "$(cluster_addresses "${daemons[@]}")" \
  --services "${CLUSTER_ADDRESS[booking1]},${CLUSTER_ADDRESS[booking2]}" \
  --token "$CLUSTER_WORKSPACE_TOKEN" --models "$model" --seed "$seed" \
  --mix completion=2,completion_stream=3,chat_stream=2,lookup=2,booking=4 \
  --booking-path bookings/book --lookup-path bookings/status \
  --rate 20 --seconds "$seconds" --requests 1000000 --cancel 0.05 \
  --deadline-ms 10000 --drain-ms 40000 --settle-ms 3000 \
  --output json >"$CLUSTER_DIR/load.json" 2>"$CLUSTER_DIR/load.err" &
load=$!
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  inject_fault
  sleep 1
done
status=0
wait "$load" || status=$?
allocated=$(allocated_pieces)

violations=0
violation() { # INVARIANT COUNT
  [ "$2" -eq 0 ] || {
    echo "violation invariant=$1 count=$2 seed=$seed"
    violations=$((violations + $2))
  }
}
violation answer-once "$(value duplicated)"
violation answer-whole "$(value wrong)"
violation at-most-once "$(value bookings_repeated)"
violation not-run-true "$(value bookings_false_not_run)"
violation answer-whole "$(value bookings_false_answer)"
violation memory-live "$allocated"
[ ! -e "$CLUSTER_DIR/slow-stop" ] || violation graceful-stop 1
for name in store "${engines[@]}" "${services[@]}" "${daemons[@]}"; do
  cluster_is_running "$name" || {
    tail -n 20 "$CLUSTER_DIR/$name.log"
    echo "process $name is not running at the end"
    violation process-alive 1
  }
done
for name in "${daemons[@]}"; do
  grep -E 'level=(FATAL)|Assertion|terminate called' "$CLUSTER_DIR/$name.log" &&
    violation daemon-alive 1 || true
done
if [ "$violations" -gt 0 ] || [ "$status" -ne 0 ]; then
  cat "$CLUSTER_DIR/load.json" "$CLUSTER_DIR/load.err"
fi
total=0
for class in "${!injected[@]}"; do
  total=$((total + injected[$class]))
  echo "faults class=$class count=${injected[$class]}"
done
grep -oE '"(answered|refused|lost|cancelled|retries)[a-z_]*": *[0-9]+' "$CLUSTER_DIR/load.json" |
  tr -d '" ' | tr ':\n' '= '
echo
echo "soak seed=$seed steps=$total requests=$(value requests) faults=$total violations=$violations"
[ "$violations" -eq 0 ] && [ "$status" -eq 0 ]
