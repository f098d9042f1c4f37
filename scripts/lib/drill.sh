# Functions of the drills: checks with a verdict, and what the nodes follow.
# Sourced after fleet.sh.

failures=0

now_ms() {
	local us=${EPOCHREALTIME/[.,]/}
	printf '%s' "${us%???}"
}
drill_begin() { started=$(now_ms); }
say() { printf '%6.1fs  %s\n' "$(($(now_ms) - started))e-3" "$*"; }
pid() { cat "$dir/$1.pid"; }

check() { # what, then a command
	local what=$1
	shift
	if "$@"; then say "ok: $what"; else
		say "FAILED: $what"
		failures=$((failures + 1))
	fi
}

# crash kills processes and waits until their sockets are free again.
crash() {
	local name
	for name in "$@"; do
		kill -KILL "$(pid "$name")"
		wait "$(pid "$name")" 2>/dev/null || true
	done
}

version_at() { fleet_run "$1" curl -sS --max-time 2 "http://$(peer_address "$1")/status" | jq -r .version; }

all_follow() { # version, nodes
	local node
	for node in $2; do [ "$(version_at "$node")" = "$1" ] || return 1; done
}

print_result() { # file of the load tool
	jq -r '.mixes[] | [.name, .sent, .good.count, .good["p99-us"], .refused.count, .failed, ."foreign-answers", ."cut-answers", (.outcomes | tojson), (.reasons | tojson)] | @tsv' "$1" |
		column -t -s $'\t' -N mix,sent,good,p99-us,refused,failed,foreign,cut,outcomes,reasons
	jq -r '"executions \(.executions), ran more than once \(."ran-more-than-once"), told not-run \(."not-run"), of these false \(."false-not-run")"' "$1"
}
