#!/usr/bin/env bash
# Starts a complete deployment for each user on loopback, runs the user's load and prints
# the five measures. Arguments are passed to gentiankeel-load, e.g. --duration 60s
# --rate 40. If REPORTS names a folder, the reports are also written there as JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
. scripts/cluster.sh
ROOT=$(mktemp -d)
trap 'stop_cluster; rm -rf "$ROOT"' EXIT
[ -z "${REPORTS:-}" ] || mkdir -p "$REPORTS"

RUNNERS=9 # as start_cluster starts them

# runner_addresses waits until all runners are registered and prints their addresses.
runner_addresses() {
  local list n
  for n in $(seq 1 50); do
    list=$(operator status | awk '/^upstream runner/ {print $3}')
    if [ "$(wc -w <<<"$list")" -eq "$RUNNERS" ]; then
      paste -sd, <<<"$list"
      return
    fi
    sleep 0.2
  done
  echo "the runners did not register in time" >&2
  return 1
}

# run_load NAME BASE_PORT CELL ZONES SERVICES [ARGUMENT...] runs one deployment under load.
run_load() {
  local name=$1 runners
  echo "== $name"
  start_cluster "$ROOT/$name" "$2" "examples/$name.toml" "$3" "$4" "$5"
  shift 5
  operator --timeout 30s apply "examples/$name.toml"
  wait_ready
  runners=$(runner_addresses)
  "$BIN/gentiankeel-load" --mix "$name" --spec "examples/$name.toml" --verify \
    --targets "$(entry_address 1),$(entry_address 2),$(entry_address 3)" \
    --upstreams "$runners" ${REPORTS:+--json "$REPORTS/$name.json"} "$@"
  stop_cluster
}

run_load kestrel-fold 17300 tay "tay-a tay-b tay-c" print-orders,print-orders,proof-status "$@"
run_load topper-trial 17400 kar "kar-a kar-b kar-c" topper-dispatch,topper-dispatch,stock-lookup "$@"
