#!/usr/bin/env bash
# Functions that start and stop a complete deployment on loopback. Sourced by other scripts.
#
# start_cluster DIR BASE_PORT SPEC CELL ZONES SERVICES
#   starts three nodes with the roles control and scheduler, three entries, and one
#   process with nine stand-in runners and the desk services. STANDIN_FLAGS holds further
#   flags of the stand-in process, e.g. "--slow-every 10s".
# stop_cluster terminates the processes that start_cluster started.

PIDS=()

control_address() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
operator_address() { echo "127.0.0.1:$((BASE_PORT + 10 + $1))"; }
entry_address() { echo "127.0.0.1:$((BASE_PORT + 20 + $1))"; }
entry_node_address() { echo "127.0.0.1:$((BASE_PORT + 30 + $1))"; }
metrics_address() { echo "127.0.0.1:$((BASE_PORT + 40 + $1))"; }

peers() {
  local i
  for i in 1 2 3; do
    printf '  {id = "c%d", address = "%s", zone = "%s"},\n' "$i" "$(control_address "$i")" "${ZONES[i - 1]}"
  done
}

# write_settings ID ZONE ADDRESS ROLES METRICS EXTRA writes a node's settings file.
write_settings() {
  cat >"$DIR/$1.toml" <<TOML
[node]
id = "$1"
zone = "$2"
address = "$3"
data_dir = "$DIR/$1"
roles = [$4]

[control]
cluster = "demo"
bootstrap = true
peers = [
$(peers)
]

[scheduler]
cell = "$CELL"

[metrics]
listen = "$5"

$6
TOML
}

# start_node ID starts a node with the settings written for it.
start_node() {
  "$BIN/gentiankeeld" --config "$DIR/$1.toml" 2>>"$DIR/$1.log" &
  PIDS+=($!)
  echo $! >"$DIR/$1.pid"
}

start_cluster() {
  DIR=$1 BASE_PORT=$2 SPEC=$3 CELL=$4
  read -r -a ZONES <<<"$5"
  local services=$6 i entries=""
  mkdir -p "$DIR"
  head -c 24 /dev/urandom | base64 >"$DIR/token"
  for i in 1 2 3; do
    write_settings "c$i" "${ZONES[i - 1]}" "$(control_address "$i")" '"control", "scheduler"' "$(metrics_address "$i")" \
      "[operator]
listen = \"$(operator_address "$i")\"
token_file = \"$DIR/token\""
    start_node "c$i"
  done
  for i in 1 2 3; do
    write_settings "e$i" "${ZONES[i - 1]}" "$(entry_node_address "$i")" '"entry"' "$(metrics_address $((i + 3)))" \
      "[entry]
listen = \"$(entry_address "$i")\"
cell = \"$CELL\"
drain_settle = \"200ms\""
    start_node "e$i"
    entries="$entries,$(entry_address "$i")"
  done
  "$BIN/gentiankeel-standin" --entries "${entries#,}" --cell "$CELL" --zones "${5// /,}" \
    --services "$services" --memory-mib 24576 --spec "$SPEC" ${STANDIN_FLAGS:-} 2>>"$DIR/standin.log" &
  PIDS+=($!)
  echo $! >"$DIR/standin.pid"
}

stop_cluster() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}

# operator ARGUMENT... runs the operators' tool against the control nodes.
operator() {
  "$BIN/gentiankeel" --server "$(operator_address 1),$(operator_address 2),$(operator_address 3)" \
    --token-file "$DIR/token" "$@"
}

# wait_ready waits until every entry reports that it is ready.
wait_ready() {
  local i n
  for i in 1 2 3; do
    for n in $(seq 1 150); do
      if curl -fsS -o /dev/null "http://$(entry_address "$i")/readyz" 2>/dev/null; then continue 2; fi
      sleep 0.2
    done
    echo "entry $i did not become ready; see $DIR/e$i.log" >&2
    return 1
  done
}
