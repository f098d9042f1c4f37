# Functions to run a fleet on loopback addresses. Sourced by other scripts,
# which set dir (a folder for settings and logs) before calling any.
#
# Ports: control instance i has peer port base+i; the n-th node has HTTP port
# base+100+n, peer port base+300+n and its stand-in port base+500+n.
#
# A script with hosts of its own defines fleet_ip and fleet_runner anew.

bin=${bin:-bin/banyanscale}
base=${base:-18000}
fleet_pids=()
node_count=0
declare -A node_number
control_domains=(domain-1 domain-2 domain-3)

fleet_ip() { printf 127.0.0.1; } # instance
# fleet_runner sets runner to the command that runs another one at an instance.
fleet_runner() { runner=(); }

control_address() { printf '%s:%d' "$(fleet_ip "control-$1")" $((base + $1)); }
http_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 100 + ${node_number[$1]})); }
peer_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 300 + ${node_number[$1]})); }
standin_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 500 + ${node_number[$1]})); }

# fleet_start starts a process at the instance in its name.
fleet_start() { # name, then the command
	local instance=${1#node-}
	fleet_start_at "${instance#standin-}" "$@"
}

fleet_start_at() { # instance, name, then the command
	local runner
	fleet_runner "$1"
	"${runner[@]}" "$bin" "${@:3}" >"$dir/$2.log" 2>&1 &
	fleet_pids+=("$!")
	# Until then it is a copy of this shell, which a signal would make run the traps
	# of the script, or which may lose the signal.
	while [ "/proc/$!/exe" -ef "/proc/$$/exe" ]; do sleep 0.002; done
	printf '%s\n' "$!" >"$dir/$2.pid"
}

# fleet_run runs a command at an instance, or at the operators' host.
fleet_run() { # instance, then the command
	local runner
	fleet_runner "$1"
	"${runner[@]}" "${@:2}"
}

# fleet_forget takes a process that has ended off the list of those to be
# stopped: its id may belong to another process by now.
fleet_forget() { # pid
	local pid kept=()
	for pid in "${fleet_pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
	fleet_pids=("${kept[@]}")
}

fleet_stop() {
	for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	fleet_pids=()
}

fleet_wait() { # seconds, what, then a command that succeeds when it is there
	local deadline=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= deadline)); then
			echo "gave up waiting for $what; see $dir/*.log" >&2
			return 1
		fi
		sleep 0.1
	done
}

control_list() { # separator
	printf '%s%s%s%s%s' "$(control_address 1)" "$1" "$(control_address 2)" "$1" "$(control_address 3)"
}

fleet_control() {
	local i
	for i in 1 2 3; do
		cat >"$dir/control-$i.ini" <<-EOF
			[control]
			instance = control-$i
			site = $site
			region = $region
			failure-domain = ${control_domains[i - 1]}
			peer-address = $(control_address "$i")
			data-folder = $PWD/$dir/control-$i
			voters = $(control_list ', ')
			seeds = $(control_list ', ')
		EOF
		fleet_start "control-$i" control --settings "$dir/control-$i.ini"
	done
	fleet_wait 20 "a majority of voters" fleet_run operator "$bin" config history --control "$(control_list ,)"
}

# fleet_node starts one stand-in with its node. Further arguments go to the stand-in.
fleet_node() { # instance, service, owner, failure domain, slots, connections
	node_count=$((node_count + 1))
	node_number[$1]=$node_count
	if ((node_count == 1)); then first_node=$1; fi
	cat >"$dir/$1.ini" <<-EOF
		[node]
		instance = $1
		service = $2
		owner = $3
		site = $site
		region = $region
		failure-domain = $4
		http-address = $(http_address "$1")
		peer-address = $(peer_address "$1")
		upstream-address = $(standin_address "$1")
		slots = $5
		connections = $6
		seeds = $(control_list ', ')
		control-addresses = $(control_list ', ')
		policy = ${policy:-least-expected-latency}
	EOF
	fleet_start "standin-$1" standin --id "$1" --address "$(standin_address "$1")" \
		--slots "$5" --connections "$6" --seed "$node_count" "${@:7}"
	fleet_start "node-$1" node --settings "$dir/$1.ini"
}

fleet_submit() { # replaces, then the files
	fleet_run operator "$bin" config submit --control "$(control_list ,)" --replaces "$1" --operator fleet --message fleet "${@:2}"
}

fleet_served() { # host
	fleet_run operator curl -sSf --max-time 2 -o /dev/null -H "Host: $1" "http://$(http_address "$first_node")/"
}

# fleet_cpu prints the processor time in ticks that the nodes have used, or only
# those of the given instances.
fleet_cpu() {
	local sum=0 file pid files=("$dir"/node-*.pid)
	if (($#)); then
		files=("${@/#/$dir/node-}")
		files=("${files[@]/%/.pid}")
	fi
	for file in "${files[@]}"; do
		pid=$(cat "$file")
		sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat" 2>/dev/null || echo 0)))
	done
	echo "$sum"
}

# fleet_metric prints the sum of a metric over the nodes. The name may have labels.
fleet_metric() { # name
	local n
	for ((n = 1; n <= node_count; n++)); do
		curl -sS --max-time 2 "http://127.0.0.1:$((base + 300 + n))/metrics"
	done | awk -v name="$1" 'index($1, name) == 1 { sum += $2 } END { printf "%d\n", sum }'
}
