# Functions that start daemons and emulators on free loopback ports. Source this
# file, then call:
#
#   cluster_begin                          # creates CLUSTER_DIR until exit
#   cluster_start_store [OPTION...]
#   cluster_start_engine NAME DOMAIN ROLE MODELS [OPTION...]
#   cluster_start_service NAME DOMAIN SERVICE [OPTION...]
#   cluster_add_daemon NAME DOMAIN         # selects ports, writes settings
#   cluster_put_configuration              # workspaces, presets, ...
#   cluster_put_vms                        # VM list with all daemons
#   cluster_start_daemon NAME
#   cluster_wait_ready NAME...
#   cluster_stop_process NAME [SIGNAL]     # ends one process and waits for it
#   cluster_end                            # ends all; also runs at exit
#
# The functions set the arrays CLUSTER_ADDRESS (address for callers),
# CLUSTER_ADMIN, CLUSTER_PEER, CLUSTER_PID and CLUSTER_DOMAIN, indexed by NAME,
# and CLUSTER_STORE. CLUSTER_DIR has NAME.log and NAME.ini. CLUSTER_BIN must
# contain a build.

CLUSTER_BIN="${CLUSTER_BIN:-$(dirname "${BASH_SOURCE[0]}")/../build/release/bin}"
CLUSTER_WORKSPACE_TOKEN="${CLUSTER_WORKSPACE_TOKEN:-caller-token}"
CLUSTER_OPERATOR_TOKEN="${CLUSTER_OPERATOR_TOKEN:-operator-token}"
CLUSTER_VIEWER_TOKEN="${CLUSTER_VIEWER_TOKEN:-viewer-token}"
# Further lines for the settings files of daemons, such as
# "[routing]\nkey = value".
CLUSTER_SETTINGS="${CLUSTER_SETTINGS:-}"
# Seconds to wait for a process to become ready or to end.
CLUSTER_WAIT_S="${CLUSTER_WAIT_S:-20}"

declare -gA CLUSTER_ADDRESS CLUSTER_ADMIN CLUSTER_PEER CLUSTER_PID
declare -gA CLUSTER_DOMAIN CLUSTER_ENDPOINTS CLUSTER_SERVICES
declare -gA CLUSTER_COMMAND CLUSTER_PORTS
declare -ga CLUSTER_DAEMONS=()
declare -ga CLUSTER_MODELS=()

cluster_fail() {
  echo "cluster: $*" >&2
  return 1
}

cluster_begin() {
  CLUSTER_DIR=$(mktemp -d "${TMPDIR:-/tmp}/bulrushfold.XXXXXX")
  trap cluster_end EXIT
}

# Sets CLUSTER_NEW_PORT to a free port. Ports are below the ephemeral range, so
# that no outgoing connection uses the port before its process listens.
cluster_new_port() {
  local port attempt
  for ((attempt = 0; attempt < 1000; attempt++)); do
    port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
    [ -z "${CLUSTER_PORTS[$port]:-}" ] || continue
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
    CLUSTER_PORTS[$port]=1
    CLUSTER_NEW_PORT=$port
    return 0
  done
  cluster_fail "no free port"
}

# Starts a process with its output in NAME.log: NAME COMMAND...
cluster_start_process() {
  local name=$1
  shift
  "$@" >>"$CLUSTER_DIR/$name.log" 2>&1 &
  CLUSTER_PID[$name]=$!
  # Prevents messages of the shell when the process is killed.
  disown "$!"
}

cluster_is_running() {
  local pid=${CLUSTER_PID[$1]:-}
  [ -n "$pid" ] && kill -0 "$pid" 2>/dev/null
}

# Waits until URL answers with success: NAME URL
cluster_wait_url() {
  local end=$((SECONDS + CLUSTER_WAIT_S))
  until curl -sf -m 1 -o /dev/null "$2"; do
    cluster_is_running "$1" || {
      tail -n 5 "$CLUSTER_DIR/$1.log" >&2
      cluster_fail "$1 has ended"
      return 1
    }
    [ "$SECONDS" -lt "$end" ] || {
      cluster_fail "$1 is not ready after $CLUSTER_WAIT_S s"
      return 1
    }
    sleep 0.05
  done
}

# Starts an emulator on a new port: NAME PROGRAM OPTION...
cluster_start_emulator() {
  local name=$1 program=$2
  shift 2
  cluster_new_port || return 1
  CLUSTER_ADDRESS[$name]="127.0.0.1:$CLUSTER_NEW_PORT"
  CLUSTER_COMMAND[$name]="$(printf '%q ' "$CLUSTER_BIN/$program" \
    --address "${CLUSTER_ADDRESS[$name]}" "$@")"
  cluster_restart_emulator "$name"
}

# Restarts an emulator that has ended, at the same address: NAME
cluster_restart_emulator() {
  local -a command
  eval "command=(${CLUSTER_COMMAND[$1]})"
  cluster_start_process "$1" "${command[@]}"
  cluster_wait_url "$1" "http://${CLUSTER_ADDRESS[$1]}/stats"
}

cluster_start_store() {
  cluster_start_emulator store bulrushfold-store "$@" || return 1
  CLUSTER_STORE=${CLUSTER_ADDRESS[store]}
}

# Appends an endpoint to the object of its failure domain: NAME DOMAIN JSON
cluster_add_endpoint() {
  local separator=""
  [ -z "${CLUSTER_ENDPOINTS[$2]:-}" ] || separator=", "
  CLUSTER_ENDPOINTS[$2]+="$separator\"$1\": $3"
  CLUSTER_DOMAIN[$1]=$2
}

cluster_start_engine() {
  local name=$1 domain=$2 role=$3 models=$4 fencing=false
  shift 4
  cluster_start_emulator "$name" bulrushfold-engine --role "$role" \
    --models "$models" "$@" || return 1
  [[ " $* " != *" --checks-fencing "* ]] || fencing=true
  local list="\"${models//,/\", \"}\""
  cluster_add_endpoint "$name" "$domain" "{\"address\":
    \"${CLUSTER_ADDRESS[$name]}\", \"kind\": \"engine\", \"role\": \"$role\",
    \"models\": [$list], \"link\": \"$name\",
    \"link_bytes_per_s\": ${CLUSTER_LINK_BYTES_PER_S:-50000000},
    \"checks_fencing\": $fencing, \"state\": \"live\"}"
  local model
  for model in ${models//,/ }; do
    [[ " ${CLUSTER_MODELS[*]:-} " == *" $model "* ]] || CLUSTER_MODELS+=("$model")
  done
}

cluster_start_service() {
  local name=$1 domain=$2 service=$3 fencing=false
  shift 3
  cluster_start_emulator "$name" bulrushfold-service \
    --runs-file "$CLUSTER_DIR/$name.runs" "$@" || return 1
  [[ " $* " != *" --checks-fencing "* ]] || fencing=true
  CLUSTER_SERVICES[$name]=$service
  cluster_add_endpoint "$name" "$domain" "{\"address\":
    \"${CLUSTER_ADDRESS[$name]}\", \"kind\": \"service\",
    \"service\": \"$service\", \"checks_fencing\": $fencing,
    \"state\": \"live\"}"
}

cluster_sha256() {
  printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# Prints the settings file of a daemon: NAME
cluster_settings() {
  cat <<END
[daemon]
name = $1
failure_domain = ${CLUSTER_DOMAIN[$1]}
caller_address = ${CLUSTER_ADDRESS[$1]}
admin_address = ${CLUSTER_ADMIN[$1]}
peer_address = ${CLUSTER_PEER[$1]}

[platform]
store_address = $CLUSTER_STORE
poll_interval_ms = ${CLUSTER_POLL_MS:-1000}

[peers]
keys = k1:${CLUSTER_PEER_KEY:-00112233445566778899aabbccddeeff}

[admin]
operator_token_sha256 = $(cluster_sha256 "$CLUSTER_OPERATOR_TOKEN")
viewer_token_sha256 = $(cluster_sha256 "$CLUSTER_VIEWER_TOKEN")

$(printf '%b' "$CLUSTER_SETTINGS")
END
}

cluster_add_daemon() {
  local name=$1
  CLUSTER_DOMAIN[$name]=$2
  cluster_new_port && CLUSTER_ADDRESS[$name]="127.0.0.1:$CLUSTER_NEW_PORT" &&
    cluster_new_port && CLUSTER_ADMIN[$name]="127.0.0.1:$CLUSTER_NEW_PORT" &&
    cluster_new_port && CLUSTER_PEER[$name]="127.0.0.1:$CLUSTER_NEW_PORT" ||
    return 1
  CLUSTER_DAEMONS+=("$name")
  cluster_settings "$name" >"$CLUSTER_DIR/$name.ini"
}

cluster_start_daemon() {
  cluster_start_process "$1" "$CLUSTER_BIN/bulrushfoldd" \
    --config "$CLUSTER_DIR/$1.ini"
}

cluster_wait_ready() {
  local name
  for name in "$@"; do
    cluster_wait_url "$name" "http://${CLUSTER_ADDRESS[$name]}/readyz" ||
      return 1
  done
}

# Prints the addresses for callers, separated by commas: NAME...
cluster_addresses() {
  local name list=""
  for name in "$@"; do
    list+="${list:+,}${CLUSTER_ADDRESS[$name]}"
  done
  echo "$list"
}

# Creates a store object: KEY BODY
cluster_put() {
  curl -sf -m 5 -o /dev/null -X PUT -H 'If-None-Match: *' --data-binary "$2" \
    "http://$CLUSTER_STORE/objects/$1" || cluster_fail "cannot create $1"
}

# Sets faults of an emulator: NAME JSON
cluster_set_faults() {
  curl -sf -m 5 -o /dev/null -d "$2" \
    "http://${CLUSTER_ADDRESS[$1]}/faults" ||
    cluster_fail "cannot set faults of $1"
}

cluster_put_presets() {
  cluster_put config/presets '{"in_force": "ordinary", "presets": {
    "ordinary": {"first_token_target_ms": 900, "token_target_ms": 40},
    "peak": {"first_token_target_ms": 900, "token_target_ms": 40,
      "wasted_prefill_weight": 4}}}'
}

cluster_put_workspaces() {
  local models
  models=$(printf '"%s", ' "${CLUSTER_MODELS[@]}")
  cluster_put config/workspaces "{\"workspaces\": {\"demo\": {
    \"token_sha256\": [\"$(cluster_sha256 "$CLUSTER_WORKSPACE_TOKEN")\"],
    \"models\": [${models%, }], \"share\": 1,
    \"requests_per_s\": ${CLUSTER_REQUESTS_PER_S:-10000},
    \"burst\": ${CLUSTER_REQUESTS_PER_S:-10000},
    \"max_concurrent\": 10000, \"class\": \"interactive\"}}}"
}

cluster_put_services() {
  local service body="" seen=" "
  for service in "${CLUSTER_SERVICES[@]}"; do
    [[ "$seen" != *" $service "* ]] || continue
    seen+="$service "
    body+="${body:+, }\"$service\": {\"calls\": [
      {\"path\": \"/book\", \"idempotent\": false},
      {\"path\": \"/status\", \"idempotent\": true}]}"
  done
  cluster_put config/services "{\"services\": {$body}}"
}

cluster_put_configuration() {
  cluster_put_presets && cluster_put_workspaces && cluster_put_services ||
    return 1
  local domain
  for domain in "${!CLUSTER_ENDPOINTS[@]}"; do
    cluster_put "config/endpoints/$domain" \
      "{\"endpoints\": {${CLUSTER_ENDPOINTS[$domain]}}}" || return 1
  done
}

# Sets the VM list. Daemons given as arguments have the state "leaving": NAME...
cluster_put_vms() {
  local name state list=""
  for name in "${CLUSTER_DAEMONS[@]}"; do
    state=live
    [[ " $* " != *" $name "* ]] || state=leaving
    list+="${list:+, }{\"name\": \"$name\",
      \"failure_domain\": \"${CLUSTER_DOMAIN[$name]}\",
      \"peer_address\": \"${CLUSTER_PEER[$name]}\", \"state\": \"$state\"}"
  done
  curl -sf -m 5 -o /dev/null -X PUT -d "{\"vms\": [$list]}" \
    "http://$CLUSTER_STORE/vms" || cluster_fail "cannot set the VM list"
}

# Sends SIGNAL (default TERM) and waits until the process has ended. Kills it
# after CLUSTER_WAIT_S seconds.
cluster_stop_process() {
  local pid=${CLUSTER_PID[$1]:-} end=$((SECONDS + CLUSTER_WAIT_S))
  [ -n "$pid" ] || return 0
  kill -"${2:-TERM}" "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null; do
    [ "$SECONDS" -lt "$end" ] || {
      kill -KILL "$pid" 2>/dev/null
      cluster_fail "$1 did not end within $CLUSTER_WAIT_S s"
      break
    }
    sleep 0.02
  done
  unset "CLUSTER_PID[$1]"
}

# Ends all processes and removes the directory. Processes that do not end in
# time are killed. Returns the exit status that the script had before.
cluster_end() {
  local status=$? name end=$((SECONDS + ${CLUSTER_END_S:-5}))
  trap - EXIT
  for name in "${!CLUSTER_PID[@]}"; do
    kill -TERM "${CLUSTER_PID[$name]}" 2>/dev/null || true
    # A process that is stopped by SIGSTOP must continue to handle SIGTERM.
    kill -CONT "${CLUSTER_PID[$name]}" 2>/dev/null || true
  done
  for name in "${!CLUSTER_PID[@]}"; do
    while cluster_is_running "$name" && [ "$SECONDS" -lt "$end" ]; do
      sleep 0.02
    done
    ! cluster_is_running "$name" || {
      echo "cluster: $name did not end in time" >&2
      kill -KILL "${CLUSTER_PID[$name]}" 2>/dev/null || true
    }
    unset "CLUSTER_PID[$name]"
  done
  [ -n "${CLUSTER_KEEP:-}" ] || rm -rf "${CLUSTER_DIR:?}"
  return "$status"
}
