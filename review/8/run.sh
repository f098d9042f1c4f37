#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
# With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
exec target/review/harness-2 memory review/8/record.txt
