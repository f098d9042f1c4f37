# Functions to run a service of one site's size under open-loop load, with a noisy
# neighbor on every instance. Sourced after fleet.sh by scripts that measure the choice
# of a target.

# choice_site sets the name and size of a site: its failure domains, one service and
# the number and size of its targets.
choice_site() { # oaxaca or rwanda
	case $1 in
	oaxaca) site=oaxaca region=sur domains=(oax-centro oax-istmo oax-costa) service=vitrina target_count=6 slots=6 connections=240 ;;
	rwanda) site=rwanda region=rw-kigali domains=(kgl-a kgl-b kgl-c) service=umunyamuryango target_count=4 slots=9 connections=220 ;;
	*) echo "unknown site $1" >&2; return 2 ;;
	esac
}

# choice_base prints a base file. The arguments are additional settings of the service,
# such as "hedge-after = 20ms".
choice_base() {
	cat <<-EOB
		[owner o]
		idle-rate = 0.1
		currency = MXN

		[service $service]
		owner = o
		hosts = $service.example
		slots = $slots
		connections = $connections
		cold-start = 1s
		timeout = 1s
	EOB
	[ $# -eq 0 ] || printf '%s\n' "$@"
}

choice_overlay() {
	printf '[site]\nname = %s\nregion = %s\nfailure-domains = %s, %s, %s\n' "$site" "$region" "${domains[@]}"
}

# choice_fleet starts the control instances and the targets, and submits base.ini and
# overlay.ini in $dir. The target with the number cold_target, if set, starts cold.
choice_fleet() {
	local i cold
	fleet_start_control
	for ((i = 1; i <= target_count; i++)); do
		cold=()
		[ "$i" -ne "${cold_target:-0}" ] || cold=(--cold-start 15s --cold-factor 6)
		fleet_start_node "$service-$i" "$service" o "${domains[$(((i - 1) % 3))]}" "$slots" "$connections" \
			--service-time "${SERVICE_TIME:-5ms}" --noise-period 300ms --noise-length 15ms --noise-factor 8 "${cold[@]}"
	done
	fleet_submit 0 "$dir/base.ini" "$dir/overlay.ini" >/dev/null
	fleet_wait 20 "the service" fleet_serves "$service.example"
	sleep 4
}

# choice_behavior prints the section of a fault of one target's stand-in.
choice_behavior() { # kind, target, start, duration, then additional lines
	printf '[behavior %s-%s]\nat = %s\nstand-in = 127.0.0.1:%d\nkind = %s\nfor = %s\n' \
		"$1" "$3" "$3" $((base + 500 + $2)) "$1" "$4"
	shift 4
	printf '%s\n' "$@" ""
}

# choice_experiment prints an experiment of GET and POST requests.
choice_experiment() { # seed, warmup, duration, rate
	local targets="" standins="" i
	for ((i = 1; i <= target_count; i++)); do
		targets+="127.0.0.1:$((base + 100 + i)), "
		standins+="127.0.0.1:$((base + 500 + i)), "
	done
	cat <<-EOB
		[experiment]
		name = $site
		targets = ${targets%, }
		stand-ins = ${standins%, }
		warmup = $2
		seed = $1

		[phase steady]
		rate = $4
		duration = $3

		[mix get]
		weight = 9
		host = $service.example
		path = /colores
		timeout = 1s

		[mix post]
		weight = 1
		method = POST
		host = $service.example
		path = /pedidos
		body-bytes = 200
		timeout = 1s

	EOB
}
