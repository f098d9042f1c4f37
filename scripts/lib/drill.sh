# Functions for fault drills: checks, log lines with the elapsed time, and the versions
# in force at nodes. Sourced after fleet.sh.

failures=0

now_ms() {
	local us=${EPOCHREALTIME/[.,]/}
	printf '%s' "${us%???}"
}
drill_start() { started=$(now_ms); }
log() { printf '%6.1fs  %s\n' "$(($(now_ms) - started))e-3" "$*"; }
pid_of() { cat "$dir/$1.pid"; }

# check runs a command, logs whether it succeeded and counts failures.
check() { # description, then the command
	local description=$1
	shift
	if "$@"; then log "ok: $description"; else
		log "FAILED: $description"
		failures=$((failures + 1))
	fi
}

# crash kills processes and waits until they have ended, which frees their sockets.
crash() {
	local name
	for name in "$@"; do
		kill -KILL "$(pid_of "$name")"
		wait "$(pid_of "$name")" 2>/dev/null || true
	done
}

version_in_force() { fleet_run "$1" curl -sS --max-time 2 "http://$(peer_address "$1")/status" | jq -r .version; }

# all_in_force succeeds if a version is in force at each of the nodes.
all_in_force() { # version, nodes
	local node
	for node in $2; do [ "$(version_in_force "$node")" = "$1" ] || return 1; done
}

print_result() { # result file of the load tool
	jq -r '.mixes[] | [.name, .sent, .good.count, .good["p99-us"], .refused.count, .failed, ."foreign-answers", ."cut-answers", (.outcomes | tojson), (.reasons | tojson)] | @tsv' "$1" |
		column -t -s $'\t' -N mix,sent,good,p99-us,refused,failed,foreign,truncated,outcomes,reasons
	jq -r '"executions \(.executions), ran more than once \(."ran-more-than-once"), not-run \(."not-run"), of which false \(."false-not-run")"' "$1"
}
