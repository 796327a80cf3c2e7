#!/usr/bin/env bash
# Runs the standard days of a site on the users' simulator (fleetbench) and prints, for
# each day, the score, the penalties and the results of each request class: the table of
# docs/design/worst-load.md.
#
#   scripts/worst-load.sh BENCH SITE [DAY...]
#
# BENCH is the path of fleetbench, SITE a site file; without DAY, all days of the site.
# Output of each day stays in $OUT (default: a new folder under /tmp).
set -euo pipefail
bench=$1 site=$2
shift 2
out=${OUT:-$(mktemp -d)}
days=("$@")
if [ ${#days[@]} -eq 0 ]; then
  mapfile -t days < <(awk '/^\[\[day\]\]/ {d=1} d && /^name = / {gsub(/"/, "", $3); print $3; d=0}' "$site")
fi
for day in "${days[@]}"; do
  "$bench" run "$site" "$day" --log all --why "table of the worst load: $day" >"$out/$day.log" 2>&1 &
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
done
wait
for day in "${days[@]}"; do
  echo "## $day"
  # Log lines of processes begin with the simulated time; the rest is the simulator's report.
  grep -vE '^ *-?[0-9.]+ (core|front)-' "$out/$day.log" >"$out/$day.txt" || true
  awk -v day="$day" '$1 == day' "$out/$day.txt"
  sed -n '/^worth /,/^class /p' "$out/$day.txt" | awk '/^  -0\.00[0-9]*[1-9]|^  -0\.0[1-9]/ {print} /^worth/ {print}'
  sed -n '/^class /,/^$/p' "$out/$day.txt"
  grep -E 'BROKEN|rules broken' "$out/$day.txt" || true
done
echo "Logs and figures: $out"
