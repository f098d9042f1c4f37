#!/usr/bin/env bash
# Runs the case "late-accept". Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/review/target/harness" ] || [ ! -x "$root/target/banyanscale-platform" ]; then
	echo "build first: the deploy file's build command, then review/build.sh" >&2
	exit 2
fi
exec "$root/review/target/harness" late-accept "$root" "$here/record.txt"
