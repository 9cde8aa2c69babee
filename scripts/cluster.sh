# cluster.sh - functions to run instances and stand-ins on the loopback interface; to be sourced.
#
# cluster_start DIR INSTANCES VOTERS starts stand-ins and instances, which keep their files in DIR;
# cluster_stop ends every process that was started, by its PID. Ports start at PORT_BASE, or at a
# free block if PORT_BASE is not set.

BUILD=${BUILD:-build}
CLUSTER_PIDS=()
SCHEME=${SCHEME:-http}     # of the caller and operator ports
EXTRA_SETTINGS=            # further fields of the settings, each followed by a comma

cluster_wait_http () { # URL SECONDS
  local until=$((SECONDS + $2))
  until curl -skf -o /dev/null --max-time 1 "$1"; do
    [ $SECONDS -lt $until ] || { echo "no answer from $1" >&2; return 1; }
    sleep 0.1
  done
}

cluster_instances_json () { # INSTANCES VOTERS
  local i
  for i in $(seq 1 "$1"); do
    printf '%s    { "id": %d, "address": "127.0.0.1", "link_port": %d, "failure_domain": "fd%d", "voter": %s }' \
      "$([ "$i" -gt 1 ] && printf ',\n')" "$i" $((BASE + 200 + i)) $(((i - 1) % 3 + 1)) \
      "$([ "$i" -le "$2" ] && echo true || echo false)"
  done
}

PORTS_FIRST=18000 # to PORTS_LAST: below the kernel's usual range of ephemeral ports
PORTS_LAST=31800
PORTS_BLOCK=300

cluster_block_unused () { # FIRST: succeeds if no process listens in that block
  local port
  while read -r port; do
    port=$((16#$port))
    [ "$port" -lt "$1" ] || [ "$port" -ge $(($1 + PORTS_BLOCK)) ] || return 1
  done < <(awk '$4 == "0A" { sub(".*:", "", $2); print $2 }' /proc/net/tcp /proc/net/tcp6 2>/dev/null)
}

# Reserves a block of ports for as long as the script runs, with a lock against other scripts.
cluster_take_ports () {
  local first
  for first in $(seq $PORTS_FIRST $PORTS_BLOCK $PORTS_LAST); do
    exec {PORTS_LOCK}>"/tmp/foxtailgrade-ports-$first.lock" || return 1
    if flock -n "$PORTS_LOCK" && cluster_block_unused "$first"; then
      BASE=$first
      return 0
    fi
    exec {PORTS_LOCK}>&-
  done
  echo "no free block of $PORTS_BLOCK ports" >&2
  return 1
}

cluster_settings () { # ID
  cat <<JSON
// Settings of instance $1; foxtailgraded --help-settings lists all fields.
{
  "id": $1, "region": "here", "failure_domain": "fd$((($1 - 1) % 3 + 1))", "address": "127.0.0.1",
  "caller_port": $((BASE + $1)), "operator_port": $((BASE + 100 + $1)), "link_port": $((BASE + 200 + $1)),
  "link_key_file": "$DIR/link.key",
  "operator_key_sha256": "$(printf operator-key | sha256sum | cut -c1-64)",
  "platform_address": "http://127.0.0.1:$((BASE + 50))/instances",
  $EXTRA_SETTINGS "idle_s": ${IDLE_S:-30}, "data_folder": "$DIR/data$1", "span_file": "$DIR/spans$1.jsonl",
  "instances": [
$(cluster_instances_json "$INSTANCES" "$VOTERS")
  ]
}
JSON
}

cluster_spawn () { # LOG COMMAND...
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  CLUSTER_PIDS+=($!)
  disown $!
  SPAWNED=$!
}

cluster_instance () { # ID: starts the instance and sets INSTANCE_PID[ID]
  cluster_spawn "$DIR/instance$1.log" "$BUILD/foxtailgraded" "$DIR/settings$1.json"
  INSTANCE_PID[$1]=$SPAWNED
}

cluster_start () { # DIR INSTANCES VOTERS
  DIR=$1 INSTANCES=$2 VOTERS=$3 BASE=${PORT_BASE:-}
  [ -n "$BASE" ] || cluster_take_ports || return 1
  INSTANCE_PID=()
  mkdir -p "$DIR"
  printf 'link key of a loopback cluster' >"$DIR/link.key"
  printf 'operator-key' >"$DIR/operator.key"
  cat >"$DIR/platform.json" <<JSON
{ "instances": [
  { "pool": "chat", "name": "fast", "address": "127.0.0.1:$((BASE + 51))", "state": "live", "incarnation": 1, "failure_domain": "fd1" },
  { "pool": "chat", "name": "slow", "address": "127.0.0.1:$((BASE + 52))", "state": "live", "incarnation": 1, "failure_domain": "fd2" },
  { "pool": "booking", "name": "desk", "address": "127.0.0.1:$((BASE + 53))", "state": "live", "incarnation": 1, "failure_domain": "fd3" },
  { "pool": "records", "name": "files", "address": "127.0.0.1:$((BASE + 54))", "state": "live", "incarnation": 1, "failure_domain": "fd3" }
] }
JSON
  cluster_spawn "$DIR/platform.log" "$BUILD/foxtailstandin" platform --port $((BASE + 50)) --file "$DIR/platform.json"
  cluster_spawn "$DIR/fast.log" "$BUILD/foxtailstandin" engine --port $((BASE + 51)) --name fast --step-ms 8 --stream-ms 0.3 --prefill 8 --fencing
  FAST_PID=$SPAWNED
  cluster_spawn "$DIR/slow.log" "$BUILD/foxtailstandin" engine --port $((BASE + 52)) --name slow --step-ms 16 --stream-ms 0.6 --prefill 3 --gap-every 7
  SLOW_PID=$SPAWNED
  cluster_spawn "$DIR/desk.log" "$BUILD/foxtailstandin" service --port $((BASE + 53)) --delay-ms 5
  cluster_spawn "$DIR/files.log" "$BUILD/foxtailstandin" service --port $((BASE + 54)) --delay-ms 0
  local i
  for i in $(seq 1 "$INSTANCES"); do
    cluster_settings "$i" >"$DIR/settings$i.json"
    cluster_instance "$i"
  done
  for i in $(seq 1 "$INSTANCES"); do
    cluster_wait_http "$SCHEME://127.0.0.1:$((BASE + i))/healthz" 20
  done
}

cluster_cli () { # INSTANCE ARGUMENTS...
  local id=$1
  shift
  "$BUILD/foxtailgrade" -s "$SCHEME://127.0.0.1:$((BASE + 100 + id))" -k "$DIR/operator.key" "$@"
}

cluster_ready () { # SECONDS
  local i
  for i in $(seq 1 "$INSTANCES"); do
    cluster_wait_http "$SCHEME://127.0.0.1:$((BASE + i))/readyz" "$1"
  done
}

cluster_entries () {
  local i
  for i in $(seq 1 "$INSTANCES"); do printf -- '-e %s://127.0.0.1:%d ' "$SCHEME" $((BASE + i)); done
}

cluster_standins () {
  local i
  for i in 1 2 3 4; do printf -- '--standin http://127.0.0.1:%d ' $((BASE + 50 + i)); done
}

cluster_alive () { # PID
  kill -0 "$1" 2>/dev/null
}

cluster_stop () {
  local pid
  for pid in "${CLUSTER_PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -TERM "$pid" 2>/dev/null; done
  for pid in "${CLUSTER_PIDS[@]}"; do
    for _ in $(seq 1 100); do cluster_alive "$pid" || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null
  done
  CLUSTER_PIDS=()
}
