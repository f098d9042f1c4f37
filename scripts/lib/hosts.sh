# Functions that simulate hosts by network namespaces. Scripts that source this file
# set hosts_prefix, the prefix of the namespaces' names. Needs root and iproute2.
#
# One namespace is the switch: it has a bridge for each failure domain, connected to a
# core bridge by an uplink. Each host has one port on one of the bridges. No namespace
# has a route to the outside.
#
# Partitions are silent: a port that is removed from its bridge drops all frames, while
# the interface in the host stays up. MAC addresses are static and known to all hosts,
# so that address resolution does not fail either. A wrong address blocks one direction.

hosts_switch=${hosts_prefix:?}switch
hosts_network=10.99.0
hosts_unused_mac=02:ff:ff:ff:ff:ff
declare -A host_number=()
declare -A host_bridge=()
host_count=0
hosts_created=no

# hosts_remove deletes the namespaces that these functions created, by name.
hosts_remove() {
	local host
	for host in "${!host_number[@]}"; do ip netns del "$hosts_prefix$host" 2>/dev/null || true; done
	if [ "$hosts_created" = yes ]; then ip netns del "$hosts_switch" 2>/dev/null || true; fi
}

# hosts_create creates the switch with a bridge for each failure domain.
hosts_create() { # failure domains
	local domain
	if [ -n "$(ip netns list | sed -n "/^$hosts_prefix/p")" ]; then
		echo "namespaces named $hosts_prefix* exist: another run is active, or one was killed" >&2
		return 1
	fi
	hosts_created=yes
	ip netns add "$hosts_switch"
	hosts_add_bridge core
	for domain in "$@"; do
		hosts_add_bridge "$domain"
		ip -n "$hosts_switch" link add "up-$domain" type veth peer name "down-$domain"
		switch_link "up-$domain" master core up
		switch_link "down-$domain" master "$domain" up
	done
}

switch_link() { ip -n "$hosts_switch" link set dev "$@"; }

hosts_add_bridge() { # name
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

# host_set_neighbor sets the MAC address to which a host sends frames for another host.
host_set_neighbor() { # host, other host, MAC address
	ip -n "$hosts_prefix$1" neigh replace "$(host_ip "$2")" lladdr "$3" nud permanent dev eth0
}

# hosts_add_neighbors adds the MAC addresses of all hosts to each other's neighbor tables.
hosts_add_neighbors() {
	local host other
	for host in "${!host_number[@]}"; do
		for other in "${!host_number[@]}"; do
			[ "$host" = "$other" ] || host_set_neighbor "$host" "$other" "$(host_mac "$other")"
		done
	done
}

# Partitions and their ends: a host is isolated from all others, a failure domain from
# the other domains.
isolate_host() { switch_link "port-${host_number[$1]}" nomaster; }
heal_host() { switch_link "port-${host_number[$1]}" master "${host_bridge[$1]}"; }
isolate_domain() { switch_link "up-$1" nomaster; }
heal_domain() { switch_link "up-$1" master core; }

# Partitions in one direction: all frames to a host, or all frames from it, are lost.
block_inbound() { host_set_paths "$1" '' "$hosts_unused_mac"; }
block_outbound() { host_set_paths "$1" "$hosts_unused_mac" ''; }
unblock_host() { host_set_paths "$1" '' ''; }

# host_set_paths sets the MAC addresses that a host and all others use for each other;
# an empty argument is the correct address.
host_set_paths() { # host, destination of its frames, destination of frames to it
	local other
	for other in "${!host_number[@]}"; do
		[ "$other" = "$1" ] && continue
		host_set_neighbor "$1" "$other" "${2:-$(host_mac "$other")}"
		host_set_neighbor "$other" "$1" "${3:-$(host_mac "$1")}"
	done
}
