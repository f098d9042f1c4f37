# Functions to run a fleet on loopback addresses. Scripts that source this file set
# dir, the folder for settings and logs, and the site's name and region in site and
# region before they call a function.
#
# Ports: control instance i has peer port base+i; the n-th node has HTTP port
# base+100+n, peer port base+300+n and its stand-in port base+500+n.
#
# A script that runs each instance in a network namespace redefines fleet_ip and
# fleet_runner.

bin=${bin:-bin/banyanscale}
base=${base:-18000}
fleet_pids=()
node_count=0
declare -A node_number
control_domains=(domain-1 domain-2 domain-3)

fleet_ip() { printf 127.0.0.1; } # instance
# fleet_runner sets runner to the prefix of a command that is run at an instance.
fleet_runner() { runner=(); }

control_address() { printf '%s:%d' "$(fleet_ip "control-$1")" $((base + $1)); }
http_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 100 + ${node_number[$1]})); }
peer_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 300 + ${node_number[$1]})); }
standin_address() { printf '%s:%d' "$(fleet_ip "$1")" $((base + 500 + ${node_number[$1]})); }

# fleet_start starts a process of banyanscale under a name, such as control-1,
# node-ID or standin-ID, at the instance that the name contains.
fleet_start() { # name, then the command
	local instance=${1#node-}
	fleet_start_at "${instance#standin-}" "$@"
}

fleet_start_at() { # instance, name, then the command
	local runner
	fleet_runner "$1"
	"${runner[@]}" "$bin" "${@:3}" >"$dir/$2.log" 2>&1 &
	fleet_pids+=("$!")
	# Until exec the child is a copy of this shell: a signal would run the script's
	# traps in it, or be lost.
	while [ "/proc/$!/exe" -ef "/proc/$$/exe" ]; do sleep 0.002; done
	printf '%s\n' "$!" >"$dir/$2.pid"
}

# fleet_run runs a command at an instance, or at the host named operator.
fleet_run() { # instance, then the command
	local runner
	fleet_runner "$1"
	"${runner[@]}" "${@:2}"
}

# fleet_untrack removes an ended process from the list of processes to stop, since its
# PID may be reused.
fleet_untrack() { # pid
	local pid kept=()
	for pid in "${fleet_pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
	fleet_pids=("${kept[@]}")
}

fleet_stop() {
	for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	fleet_pids=()
}

# fleet_wait polls a command until it succeeds.
fleet_wait() { # timeout in seconds, description, then the command
	local deadline=$((SECONDS + $1)) description=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= deadline)); then
			echo "timed out waiting for $description; see $dir/*.log" >&2
			return 1
		fi
		sleep 0.1
	done
}

control_list() { # separator
	printf '%s%s%s%s%s' "$(control_address 1)" "$1" "$(control_address 2)" "$1" "$(control_address 3)"
}

# fleet_start_control starts three control instances and waits for a majority of voters.
fleet_start_control() {
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

# fleet_start_node starts a stand-in and its node. The other arguments are flags of the
# stand-in.
fleet_start_node() { # instance, service, owner, failure domain, slots, connections
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

# fleet_serves sends a request for a host to the first node.
fleet_serves() { # host
	fleet_run operator curl -sSf --max-time 2 -o /dev/null -H "Host: $1" "http://$(http_address "$first_node")/"
}

# fleet_cpu_ticks prints the processor time, in clock ticks, used by all nodes or by
# those of the given instances.
fleet_cpu_ticks() {
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

# fleet_sum_metric prints the sum of a metric over the nodes. The name may include labels.
fleet_sum_metric() { # name
	local n
	for ((n = 1; n <= node_count; n++)); do
		curl -sS --max-time 2 "http://127.0.0.1:$((base + 300 + n))/metrics"
	done | awk -v name="$1" 'index($1, name) == 1 { sum += $2 } END { printf "%d\n", sum }'
}
