#!/bin/bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentiankeeld ] && [ -x target/stand2 ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
timeout -k 2 118 target/stand2 turns review/8/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
