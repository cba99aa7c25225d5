#!/usr/bin/env bash
# Failures of whole processes that the randomised run does not single out. Each
# story prints "passed NAME" or the reason of its failure.
set -euo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=Utilities/cluster.sh
source Utilities/cluster.sh
model=m

fail() {
  echo "failed $*"
  for name in "${CLUSTER_DAEMONS[@]}"; do
    tail -n 15 "$CLUSTER_DIR/$name.log"
  done
  exit 1
}

start_daemons() {
  local i
  for i in 1 2 3; do
    cluster_add_daemon "d$i" "domain$i"
  done
  cluster_put_configuration
  cluster_put_vms
  for i in 1 2 3; do cluster_start_daemon "d$i"; done
  cluster_wait_ready d1 d2 d3
}

# Sends a completion: DAEMON PROMPT; prints the error code, or "answered".
complete() {
  local body
  body=$(curl -s -m 30 -H "Authorization: Bearer $CLUSTER_WORKSPACE_TOKEN" \
    -d "{\"model\": \"$model\", \"prompt\": \"$2\", \"max_tokens\": 8}" \
    "http://${CLUSTER_ADDRESS[$1]}/v1/completions") || true
  case $body in
    *'"code":"'*) sed 's/.*"code":"\([a-z_]*\)".*/\1/' <<<"$body" ;;
    *'"choices"'*) echo answered ;;
    *) echo "nothing" ;;
  esac
}

# Guards decision 5: a request that crashes each endpoint that runs it, sent
# again and again through other daemons.
story_crash_suspect() {
  cluster_begin
  cluster_start_store
  local engine n code sent=0
  for engine in e1 e2 e3; do
    cluster_start_engine "$engine" domain1 both "$model" --crash-at decode
  done
  start_daemons
  code=nothing
  while [ "$code" != crash_suspect ]; do
    sent=$((sent + 1))
    [ "$sent" -le 12 ] || fail "crash_suspect: sent 12 times, last answer $code"
    code=$(complete "d$((sent % 3 + 1))" "please crash-engine now")
    for engine in e1 e2 e3; do
      cluster_is_running "$engine" || cluster_restart_emulator "$engine"
    done
    sleep 1
  done
  for n in 1 2 3; do
    code=$(complete "d$n" "please crash-engine now")
    [ "$code" = crash_suspect ] || fail "crash_suspect: d$n answered $code"
  done
  for engine in e1 e2 e3; do
    cluster_is_running "$engine" || fail "crash_suspect: $engine crashed again"
  done
  sleep 3 # circuits of the endpoints that crashed close again
  code=$(complete d1 "an innocent request")
  [ "$code" = answered ] || fail "crash_suspect: innocent request got $code"
  echo "passed crash_suspect sent=$sent"
}

# Guards I1: memory held for the requests of a daemon that died.
story_dead_daemon() {
  cluster_begin
  cluster_start_store
  cluster_start_engine p1 domain1 prefill "$model"
  cluster_start_engine e1 domain1 decode "$model" --resume-ms 600000
  start_daemons
  curl -s -N -m 60 -o "$CLUSTER_DIR/stream" \
    -H "Authorization: Bearer $CLUSTER_WORKSPACE_TOKEN" \
    -d "{\"model\": \"$model\", \"prompt\": \"x\", \"max_tokens\": 5000, \"stream\": true}" \
    "http://${CLUSTER_ADDRESS[d1]}/v1/completions" &
  local end=$((SECONDS + 20)) pieces
  until grep -q '^id: 5' "$CLUSTER_DIR/stream" 2>/dev/null; do
    [ "$SECONDS" -lt "$end" ] || fail "dead_daemon: no stream"
    sleep 0.1
  done
  cluster_stop_process d1 KILL
  end=$((SECONDS + 60))
  while :; do
    pieces=$(curl -s "http://${CLUSTER_ADDRESS[e1]}/engine/holdings" |
      grep -oE '"pieces":[1-9]' || true)
    [ -n "$pieces" ] || break
    [ "$SECONDS" -lt "$end" ] || fail "dead_daemon: memory is still held"
    sleep 0.5
  done
  echo "passed dead_daemon"
}

for story in ${*:-crash_suspect dead_daemon}; do
  ("story_$story")
done
