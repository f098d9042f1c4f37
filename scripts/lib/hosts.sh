# Functions for test hosts in network namespaces. Sourced by scripts that set
# hosts_prefix, the prefix of all names. Needs root, iproute2 and nothing else.
#
# One namespace is the switch: a bridge for each failure domain, joined to a
# core bridge by an uplink. Each host has one port at one of the bridges. No
# namespace has a way out.
#
# Cuts are silent: a port that is taken out of its bridge drops all frames, and
# no host learns of it, since its own interface stays up. Hardware addresses are fixed and known to all hosts, so that no address
# resolution fails either; a wrong one makes a cut in one direction.

hosts_switch=${hosts_prefix:?}switch
hosts_network=10.99.0
hosts_nowhere=02:ff:ff:ff:ff:ff
declare -A host_number=()
declare -A host_bridge=()
host_count=0
hosts_begun=no

# hosts_remove removes what the functions made, by name.
hosts_remove() {
	local host
	for host in "${!host_number[@]}"; do ip netns del "$hosts_prefix$host" 2>/dev/null || true; done
	if [ "$hosts_begun" = yes ]; then ip netns del "$hosts_switch" 2>/dev/null || true; fi
}

hosts_begin() { # failure domains
	local domain
	if [ -n "$(ip netns list | sed -n "/^$hosts_prefix/p")" ]; then
		echo "namespaces named $hosts_prefix* exist: another run, or one that was killed" >&2
		return 1
	fi
	hosts_begun=yes
	ip netns add "$hosts_switch"
	hosts_bridge core
	for domain in "$@"; do
		hosts_bridge "$domain"
		ip -n "$hosts_switch" link add "up-$domain" type veth peer name "down-$domain"
		switch_link "up-$domain" master core up
		switch_link "down-$domain" master "$domain" up
	done
}

switch_link() { ip -n "$hosts_switch" link set dev "$@"; }

hosts_bridge() { # name
	ip -n "$hosts_switch" link add "$1" type bridge
	switch_link "$1" up
}

host_mac() { printf '02:00:00:00:00:%02x' "${host_number[$1]}"; }
host_ip() { printf '%s.%d' "$hosts_network" "${host_number[$1]}"; }

host_add() { # name, bridge
	host_count=$((host_count + 1))
	host_number[$1]=$host_count
	host_bridge[$1]=$2
	ip netns add "$hosts_prefix$1"
	ip -n "$hosts_switch" link add "port-$host_count" type veth peer name eth0 netns "$hosts_prefix$1"
	switch_link "port-$host_count" master "$2" up
	ip -n "$hosts_prefix$1" link set eth0 address "$(host_mac "$1")"
	ip -n "$hosts_prefix$1" addr add "$(host_ip "$1")/24" dev eth0
	ip -n "$hosts_prefix$1" link set eth0 up
	ip -n "$hosts_prefix$1" link set lo up
}

# host_sends_to sets the hardware address to which a host sends what is for another.
host_sends_to() { # host, other host, hardware address
	ip -n "$hosts_prefix$1" neigh replace "$(host_ip "$2")" lladdr "$3" nud permanent dev eth0
}

# hosts_meet makes all hosts know each other's hardware addresses.
hosts_meet() {
	local host other
	for host in "${!host_number[@]}"; do
		for other in "${!host_number[@]}"; do
			[ "$host" = "$other" ] || host_sends_to "$host" "$other" "$(host_mac "$other")"
		done
	done
}

# Cuts and their ends. A host is cut off from all, a failure domain from the rest.
cut_host() { switch_link "port-${host_number[$1]}" nomaster; }
heal_host() { switch_link "port-${host_number[$1]}" master "${host_bridge[$1]}"; }
cut_domain() { switch_link "up-$1" nomaster; }
heal_domain() { switch_link "up-$1" master core; }

# What others send to a deaf host is lost; what a mute one sends is.
deafen_host() { host_each_way "$1" '' "$hosts_nowhere"; }
mute_host() { host_each_way "$1" "$hosts_nowhere" ''; }
heal_ways() { host_each_way "$1" '' ''; }

host_each_way() { # host, address for what it sends, address for what it is sent; empty for the right ones
	local other
	for other in "${!host_number[@]}"; do
		[ "$other" = "$1" ] && continue
		host_sends_to "$1" "$other" "${2:-$(host_mac "$other")}"
		host_sends_to "$other" "$1" "${3:-$(host_mac "$1")}"
	done
}
