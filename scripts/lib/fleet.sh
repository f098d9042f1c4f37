# Functions to run a fleet on loopback addresses. Sourced by other scripts,
# which set dir (a folder for settings and logs) before calling any.
#
# Ports: control instance i has peer port base+i; the n-th node has HTTP port
# base+100+n, peer port base+300+n and its stand-in port base+500+n.

bin=bin/banyanscale
base=${base:-18000}
fleet_pids=()
node_count=0

fleet_start() { # name, then the command
	"$bin" "${@:2}" >"$dir/$1.log" 2>&1 &
	fleet_pids+=("$!")
	printf '%s\n' "$!" >"$dir/$1.pid"
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
	printf '127.0.0.1:%d%s127.0.0.1:%d%s127.0.0.1:%d' $((base + 1)) "$1" $((base + 2)) "$1" $((base + 3))
}

fleet_control() {
	local i
	for i in 1 2 3; do
		cat >"$dir/control-$i.ini" <<-EOF
			[control]
			instance = control-$i
			site = $site
			region = $region
			failure-domain = domain-$i
			peer-address = 127.0.0.1:$((base + i))
			data-folder = $PWD/$dir/control-$i
			voters = $(control_list ', ')
			seeds = $(control_list ', ')
		EOF
		fleet_start "control-$i" control --settings "$dir/control-$i.ini"
	done
	fleet_wait 20 "a majority of voters" "$bin" config history --control "$(control_list ,)"
}

# fleet_node starts one stand-in with its node. Further arguments go to the stand-in.
fleet_node() { # instance, service, owner, failure domain, slots, connections
	node_count=$((node_count + 1))
	local n=$node_count
	cat >"$dir/$1.ini" <<-EOF
		[node]
		instance = $1
		service = $2
		owner = $3
		site = $site
		region = $region
		failure-domain = $4
		http-address = 127.0.0.1:$((base + 100 + n))
		peer-address = 127.0.0.1:$((base + 300 + n))
		upstream-address = 127.0.0.1:$((base + 500 + n))
		slots = $5
		connections = $6
		seeds = $(control_list ', ')
		control-addresses = $(control_list ', ')
		policy = ${policy:-least-expected-latency}
	EOF
	fleet_start "standin-$1" standin --id "$1" --address "127.0.0.1:$((base + 500 + n))" \
		--slots "$5" --connections "$6" --seed "$n" "${@:7}"
	fleet_start "node-$1" node --settings "$dir/$1.ini"
}

fleet_submit() { # replaces, then the files
	"$bin" config submit --control "$(control_list ,)" --replaces "$1" --operator fleet --message fleet "${@:2}"
}

fleet_served() { # host
	curl -sSf --max-time 2 -o /dev/null -H "Host: $1" "http://127.0.0.1:$((base + 101))/"
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
