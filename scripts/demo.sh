#!/usr/bin/env bash
# Runs a complete deployment for each user on loopback, sends requests and prints the
# answers.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
. scripts/cluster.sh
ROOT=$(mktemp -d)
trap 'stop_cluster; rm -rf "$ROOT"' EXIT

# run_demo NAME BASE_PORT CELL ZONES SERVICES MODEL ADAPTER SERVICE runs one deployment.
run_demo() {
  echo "== $1"
  start_cluster "$ROOT/$1" "$2" "examples/$1.toml" "$3" "$4" "$5"
  operator --timeout 30s apply "examples/$1.toml"
  wait_ready
  echo "-- completion by $6"
  curl -fsS "http://$(entry_address 1)/v1/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$6\",\"prompt\":\"A short line\",\"max_tokens\":12}"
  echo
  echo "-- stream by $6:$7"
  curl -fsS -N "http://$(entry_address 2)/v1/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$6:$7\",\"prompt\":\"Another line\",\"max_tokens\":4,\"stream\":true}"
  echo "-- the same keyed call through two entries runs once"
  for i in 1 3; do
    curl -fsS "http://$(entry_address "$i")/v1/services/$8/jobs" -H 'Idempotency-Key: demo-1' -d '{"batch":7}'
    echo
  done
  echo "-- a model that is not in the applied file"
  curl -sS "http://$(entry_address 3)/v1/completions" -H 'Content-Type: application/json' \
    -d '{"model":"nobody","prompt":"x","max_tokens":1}'
  echo
  operator status
  operator explain "$6"
  stop_cluster
}

run_demo kestrel-fold 17100 tay "tay-a tay-b tay-c" print-orders,print-orders,proof-status fortune-bulk house-arbroath-bakers print-orders
run_demo topper-trial 17200 kar "kar-a kar-b kar-c" topper-dispatch,topper-dispatch,stock-lookup diary-summary clinic-abai topper-dispatch
echo "demo done"
