#!/usr/bin/env bash
# Applies files of the target size (750 models, 39,000 adapters) to a complete deployment
# on loopback, each with one model changed. Prints the time until every node enforces each
# file, and the resident memory of each process before and after.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
. scripts/cluster.sh
ROOT=$(mktemp -d)
trap 'stop_cluster; rm -rf "$ROOT"' EXIT
MODELS=750 ADAPTERS=39000 NODES=6

# write_file VERSION writes an applied file of the target size.
write_file() {
  awk -v version="$1" -v models=$MODELS -v adapters=$ADAPTERS 'BEGIN {
    printf "name = \"large\"\nversion = %d\n", version
    for (i = 0; i < models; i++)
      printf "[[models]]\nname = \"model-%04d\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 4096\n", i, 4 + (i == 7) * version
    for (i = 0; i < adapters; i++)
      printf "[[adapters]]\nname = \"adapter-%05d\"\nmodel = \"model-%04d\"\nversion = \"1\"\nmemory_mib = 64\n", i, i % models
  }' >"$ROOT/$1.toml"
}

# count_enforcing VERSION prints the number of nodes that enforce the version.
count_enforcing() {
  operator status | awk -v v="$1" '/^node/ {for (i = 1; i < NF; i++) if ($i == "version" && $(i + 1) == v) n++} END {print n + 0}'
}

# apply_timed VERSION FILE applies a file and prints the times until the answer and until
# every node enforces it.
apply_timed() {
  local begin applied
  begin=$(date +%s%3N)
  operator --timeout 60s apply "$2" >/dev/null
  applied=$(date +%s%3N)
  until [ "$(count_enforcing "$1")" -eq $NODES ]; do sleep 0.05; done
  echo "version $1, $(stat -c %s "$2") bytes: answered after $((applied - begin)) ms, reported as enforced by all nodes after $(($(date +%s%3N) - begin)) ms"
}

# print_memory prints the resident memory of each node's process.
print_memory() {
  local pid
  for pid in "${PIDS[@]:0:6}"; do
    awk -v p="$(tr '\0' '\n' <"/proc/$pid/cmdline" | grep -o '[ce][0-9]\.toml')" '/VmRSS/ {printf "%s %d kB  ", p, $2}' "/proc/$pid/status"
  done
  echo
}

start_cluster "$ROOT/large" 17500 examples/kestrel-fold.toml tay "tay-a tay-b tay-c" print-orders,proof-status
apply_timed 1 examples/kestrel-fold.toml
wait_ready
print_memory
for version in 2 3 4 5 6; do
  write_file $version
  apply_timed $version "$ROOT/$version.toml"
done
print_memory
