#!/usr/bin/env bash
# Runs a site's standard days, the days of deploy/days and a hunt over random days on the
# users' simulator (fleetbench), and prints the failures. Exit code 1 if there are any.
#
#   scripts/hunt.sh BENCH SITE [DAYS]
#
# BENCH is the path of fleetbench, SITE a site file, DAYS the number of days of the hunt
# (default: 40). Output stays in $OUT (default: a new folder under /tmp).
set -uo pipefail
bench=$1 site=$2 days=${3:-40}
out=${OUT:-$(mktemp -d)}
name=$(basename "$site" .toml)
"$bench" score "$site" --why "standard days of $name before a landing" >"$out/score.txt" 2>&1
"$bench" hunt "$site" --days "$days" --why "hunt of $days days on $name before a landing" >"$out/hunt.txt" 2>&1
failed=0
for day in deploy/days/*.toml; do
  log="$out/$(basename "$day" .toml).log"
  "$bench" run "$site" "$day" --log all --why "own day on $name" >"$log" 2>&1 &
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
done
wait
grep -E 'score on|^GATE' "$out/score.txt"
grep -E 'with a rule broken' "$out/hunt.txt"
if ! grep -q '^GATE passed' "$out/score.txt"; then failed=1; fi
if ! grep -q ', 0 with a rule broken' "$out/hunt.txt"; then failed=1; fi
if grep -lE 'BROKEN|FAULT' "$out"/*.log; then failed=1; fi
grep -hE 'BROKEN' "$out"/*.txt "$out"/*.log
[ "$failed" -eq 0 ] && echo "no failures; output: $out" || echo "failures; seeds and logs: $out"
exit "$failed"
