#!/usr/bin/env bash
# Starts six daemons and the emulators as processes, sends requests of every
# kind, drains an endpoint, changes the preset and explains one late answer.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/build.sh release
# shellcheck source=Utilities/cluster.sh
source Utilities/cluster.sh
bin=$CLUSTER_BIN
model=summary-model
domains=(suva nadi lautoka)

ctl() {
  BULRUSHFOLD_TOKEN=$CLUSTER_OPERATOR_TOKEN "$bin/bulrushfoldctl" \
    --daemon "${CLUSTER_ADMIN[daemon1]},${CLUSTER_ADMIN[daemon2]}" "$@"
}

echo "== start: store, 4 engines, 2 services, 6 daemons"
cluster_begin
cluster_start_store
cluster_start_engine prefill1 suva prefill "$model"
cluster_start_engine prefill2 nadi prefill "$model"
cluster_start_engine decode1 suva decode "$model"
cluster_start_engine decode2 nadi decode "$model"
cluster_start_service booking1 suva bookings
cluster_start_service booking2 lautoka bookings
daemons=()
for i in 1 2 3 4 5 6; do
  cluster_add_daemon "daemon$i" "${domains[$((i % 3))]}"
  daemons+=("daemon$i")
done
cluster_put_configuration
cluster_put_vms
for name in "${daemons[@]}"; do
  cluster_start_daemon "$name"
done
cluster_wait_ready "${daemons[@]}"

echo "== requests of every kind at all daemons, for 8 seconds"
"$bin/bulrushfold-load" \
  --targets "$(cluster_addresses "${daemons[@]}")" \
  --services "${CLUSTER_ADDRESS[booking1]},${CLUSTER_ADDRESS[booking2]}" \
  --token "$CLUSTER_WORKSPACE_TOKEN" --models "$model" \
  --mix completion=2,completion_stream=3,chat=1,chat_stream=2,lookup=2,booking=2 \
  --booking-path bookings/book --lookup-path bookings/status \
  --rate 30 --seconds 8 --requests 1000 --cancel 0.05 \
  --output json >"$CLUSTER_DIR/load.json" &
load=$!
sleep 2
echo "== drain decode1 while requests run"
ctl endpoint drain suva decode1
echo "== put preset peak in force while requests run"
ctl preset use peak
echo "== plan the stop of daemon6 while requests run"
cluster_put_vms daemon6
cluster_stop_process daemon6
status=0
wait "$load" || status=$?

echo "== a late answer: the remaining decode engine answers late"
cluster_set_faults decode2 '{"delay_ms": 600}'
request=$(curl -s -m 20 -o /dev/null -D - \
  -H "Authorization: Bearer $CLUSTER_WORKSPACE_TOKEN" \
  -d "{\"model\": \"$model\", \"prompt\": \"burst pipe\", \"max_tokens\": 4}" \
  "http://${CLUSTER_ADDRESS[daemon3]}/v1/completions" |
  tr -d '\r' | awk 'tolower($1) == "request-id:" { print $2 }')
ctl explain "$request"
echo "== causes of the last hour"
sleep 2 # daemons exchange records once a second
ctl report --since 1h

value() { grep -oE "\"$1\": *[0-9]+" "$CLUSTER_DIR/load.json" | head -n 1 | grep -oE "[0-9]+$"; }
[ "$status" -eq 0 ] || cat "$CLUSTER_DIR/load.json"
echo "demo requests=$(value requests) answered=$(value answered)" \
  "refused=$(value refused) duplicated=$(value duplicated)"
exit "$status"
