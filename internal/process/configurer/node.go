package configurer

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// Policy names how a node chooses an instance.
type Policy string

const (
	// PolicyLeastExpectedLatency chooses by sampled load, latency and distance.
	PolicyLeastExpectedLatency Policy = "least-expected-latency"
	// PolicyLeastExpectedFinish asks a few instances at the moment of the choice.
	PolicyLeastExpectedFinish Policy = "least-expected-finish"
	// PolicyRandom chooses at random, weighted by slots.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOwn chooses the instance with the fewest requests of this node.
	PolicyLeastOwn Policy = "least-own"
)

// minStopGrace is the shortest grace in which a node can tell the others that
// it leaves.
const minStopGrace = time.Second

// maxRetryAllowance bounds the retries that all nodes together may save up.
const maxRetryAllowance = 1_000_000

// maxLinkMegabits bounds what the link of an instance carries, in Mbit/s.
const maxLinkMegabits = 1_000_000

var policyNames = []string{
	string(PolicyLeastExpectedLatency), string(PolicyLeastExpectedFinish), string(PolicyRandom), string(PolicyRoundRobin), string(PolicyLeastOwn),
}

// Node is the settings of a node daemon. It is immutable.
type Node struct {
	instance, service, owner    string
	site, region, failureDomain string
	http, peer, upstream        netip.AddrPort
	slots, connections          int
	seeds, controls             []netip.AddrPort
	policy                      Policy
	upstreamHeartbeats          bool
	stopGrace                   time.Duration
	retryAllowance              int
	linkMegabits                float64
	logLevel                    zerolog.Level
}

// LoadNode reads the settings of a node from the file at path. On faults the
// error wraps parser.Errors with all of them.
func LoadNode(path string) (*Node, error) {
	r, err := load(path, "node")
	if err != nil {
		return nil, err
	}
	n := readNode(r)
	if err := check(r); err != nil {
		return nil, err
	}
	return n, nil
}

func readNode(r *parser.Reader) *Node {
	n := &Node{
		instance:           parser.Required(r, keyInstance, parser.Name),
		service:            parser.Required(r, "service", parser.Name),
		owner:              parser.Required(r, "owner", parser.Name),
		site:               parser.Required(r, keySite, parser.Name),
		region:             parser.Required(r, keyRegion, parser.Name),
		failureDomain:      parser.Required(r, keyFailureDomain, parser.Name),
		http:               parser.Required(r, "http-address", parser.Address),
		peer:               parser.Required(r, keyPeerAddress, parser.Address),
		upstream:           parser.Required(r, "upstream-address", parser.Address),
		slots:              parser.Optional(r, "slots", 0, bounded(compiler.MaxSlots)),
		connections:        parser.Optional(r, "connections", 0, bounded(compiler.MaxConnections)),
		seeds:              parser.Optional(r, keySeeds, nil, parser.Addresses),
		controls:           parser.Optional(r, "control-addresses", nil, parser.Addresses),
		policy:             parser.Optional(r, "policy", PolicyLeastExpectedLatency, parsePolicy),
		stopGrace:          parser.Optional(r, "stop-grace", 0, parseGrace),
		retryAllowance:     parser.Optional(r, "retry-allowance", 0, parseAllowance),
		linkMegabits:       parser.Optional(r, "link-mbps", 0, parseLink),
		upstreamHeartbeats: parser.Optional(r, "upstream-heartbeats", false, parser.YesNo),
		logLevel:           parser.Optional(r, keyLogLevel, zerolog.InfoLevel, parseLogLevel),
	}
	n.check(r)
	return n
}

func (n *Node) check(r *parser.Reader) {
	if len(n.seeds) == 0 && len(n.controls) == 0 {
		r.FailKey(keySeeds, "neither seeds nor control-addresses are set, so the node could not join")
	}
	if n.http.IsValid() && n.http == n.peer {
		r.FailKey(keyPeerAddress, "the address is the http-address already")
	}
	if n.http.IsValid() && n.http == n.upstream {
		r.FailKey("upstream-address", "the address is the http-address already")
	}
}

func bounded(high int) func(string) (int, error) {
	return func(value string) (int, error) { return parser.Int(value, 1, high) }
}

// parseAllowance reads a number of retries, of which a fraction does not count.
func parseAllowance(value string) (int, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 1 || n > maxRetryAllowance {
		return 0, errors.Errorf("%q is not a number from 1 to %d", value, maxRetryAllowance)
	}
	return int(n), nil
}

// parseLink reads how many megabits a second a link carries.
func parseLink(value string) (float64, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0 && n <= maxLinkMegabits) {
		return 0, errors.Errorf("%q is not a number above 0 and up to %d", value, maxLinkMegabits)
	}
	return n, nil
}

func parseGrace(value string) (time.Duration, error) {
	return parser.Duration(value, minStopGrace, time.Hour)
}

func parsePolicy(value string) (Policy, error) {
	name, err := parser.OneOf(value, policyNames)
	return Policy(name), err
}

// Instance returns the instance's name, unique in the fleet.
func (n *Node) Instance() string { return n.instance }

// Service returns the name of the service that the upstream answers for.
func (n *Node) Service() string { return n.service }

// Owner returns the name of the upstream's owner.
func (n *Node) Owner() string { return n.owner }

// Site returns the name of the site, which selects the overlay.
func (n *Node) Site() string { return n.site }

// Region returns the name of the region.
func (n *Node) Region() string { return n.region }

// FailureDomain returns the name of the failure domain.
func (n *Node) FailureDomain() string { return n.failureDomain }

// HTTPAddress returns the address at which the node takes requests.
func (n *Node) HTTPAddress() netip.AddrPort { return n.http }

// PeerAddress returns the address for gossip, probes and calls between processes.
func (n *Node) PeerAddress() netip.AddrPort { return n.peer }

// UpstreamAddress returns the address of the node's own upstream.
func (n *Node) UpstreamAddress() netip.AddrPort { return n.upstream }

// Slots returns how many requests the upstream works on at once, or 0 to leave
// it to the service's configuration.
func (n *Node) Slots() int { return n.slots }

// Connections returns how many connections the upstream accepts, or 0 to
// leave it to the service's configuration.
func (n *Node) Connections() int { return n.connections }

// Seeds returns peer addresses of members to join by.
func (n *Node) Seeds() []netip.AddrPort { return n.seeds }

// ControlAddresses returns peer addresses of control instances.
func (n *Node) ControlAddresses() []netip.AddrPort { return n.controls }

// Policy returns how the node chooses an instance.
func (n *Node) Policy() Policy { return n.policy }

// UpstreamHeartbeats tells that the upstream announces itself by heartbeats.
// Otherwise it is watched.
func (n *Node) UpstreamHeartbeats() bool { return n.upstreamHeartbeats }

// StopGrace returns how long a planned stop may take, or 0 for no bound.
func (n *Node) StopGrace() time.Duration { return n.stopGrace }

// LinkBytesPerSecond returns how many bytes a second the link of the instance
// carries, or 0 if that is not set.
func (n *Node) LinkBytesPerSecond() float64 {
	const bitsPerByte, mega = 8, 1e6
	return n.linkMegabits * mega / bitsPerByte
}

// RetryAllowance returns how many retries of a service all nodes together may
// make at once beside their share of fresh requests, or 0 to leave each node
// its own default.
func (n *Node) RetryAllowance() int { return n.retryAllowance }

// LogLevel returns the least level of lines that are logged.
func (n *Node) LogLevel() zerolog.Level { return n.logLevel }
