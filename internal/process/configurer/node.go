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
	// PolicyLeastExpectedFinish chooses by the load that it requests from a few instances
	// for each choice.
	PolicyLeastExpectedFinish Policy = "least-expected-finish"
	// PolicyRandom chooses at random, weighted by slots.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses the instances in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOwn chooses the instance with the fewest requests in flight from this node.
	PolicyLeastOwn Policy = "least-own"
)

// minStopGrace is the shortest stop grace in which a node can announce that it is leaving.
const minStopGrace = time.Second

// maxRetryAllowance bounds the retries that all nodes together may save up.
const maxRetryAllowance = 1_000_000

// maxMemoryMB bounds the memory that a process may use, in MB.
const maxMemoryMB = 1 << 20

// maxDescriptorsLimit bounds the descriptors that a process may open.
const maxDescriptorsLimit = 1 << 30

// maxLinkMegabits bounds the bandwidth of an instance's link, in Mbit/s.
const maxLinkMegabits = 1_000_000

var policyNames = []string{
	string(PolicyLeastExpectedLatency), string(PolicyLeastExpectedFinish), string(PolicyRandom), string(PolicyRoundRobin), string(PolicyLeastOwn),
}

// Node holds the settings of a node. It is immutable.
type Node struct {
	instance, service, owner                  string
	site, region, failureDomain               string
	httpAddress, peerAddress, upstreamAddress netip.AddrPort
	slots, connections                        int
	seeds, controlAddresses                   []netip.AddrPort
	policy                                    Policy
	upstreamHeartbeats                        bool
	stopGrace                                 time.Duration
	retryAllowance                            int
	linkMegabits                              float64
	memoryMB, maxDescriptors                  int
	logLevel                                  zerolog.Level
}

// LoadNode reads the settings of a node from the file at path. For invalid settings, the
// error wraps parser.Errors, which lists every error found.
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
		httpAddress:        parser.Required(r, "http-address", parser.Address),
		peerAddress:        parser.Required(r, keyPeerAddress, parser.Address),
		upstreamAddress:    parser.Required(r, "upstream-address", parser.Address),
		slots:              parser.Optional(r, "slots", 0, intUpTo(compiler.MaxSlots)),
		connections:        parser.Optional(r, "connections", 0, intUpTo(compiler.MaxConnections)),
		seeds:              parser.Optional(r, keySeeds, nil, parser.Addresses),
		controlAddresses:   parser.Optional(r, "control-addresses", nil, parser.Addresses),
		policy:             parser.Optional(r, "policy", PolicyLeastExpectedLatency, parsePolicy),
		stopGrace:          parser.Optional(r, "stop-grace", 0, parseStopGrace),
		retryAllowance:     parser.Optional(r, "retry-allowance", 0, parseRetryAllowance),
		linkMegabits:       parser.Optional(r, "link-mbps", 0, parseLinkMegabits),
		memoryMB:           parser.Optional(r, keyMemoryMB, 0, intUpTo(maxMemoryMB)),
		maxDescriptors:     parser.Optional(r, keyMaxDescriptors, 0, intUpTo(maxDescriptorsLimit)),
		upstreamHeartbeats: parser.Optional(r, "upstream-heartbeats", false, parser.YesNo),
		logLevel:           parser.Optional(r, keyLogLevel, zerolog.InfoLevel, parseLogLevel),
	}
	n.check(r)
	return n
}

// check reports errors between keys, such as an address that is used twice.
func (n *Node) check(r *parser.Reader) {
	if len(n.seeds) == 0 && len(n.controlAddresses) == 0 {
		r.AddKeyError(keySeeds, "neither seeds nor control-addresses are set, so the node could not join")
	}
	if n.httpAddress.IsValid() && n.httpAddress == n.peerAddress {
		r.AddKeyError(keyPeerAddress, "the address is already used as http-address")
	}
	if n.httpAddress.IsValid() && n.httpAddress == n.upstreamAddress {
		r.AddKeyError("upstream-address", "the address is already used as http-address")
	}
}

// intUpTo returns a parser of numbers from 1 to limit.
func intUpTo(limit int) func(string) (int, error) {
	return func(value string) (int, error) { return parser.Int(value, 1, limit) }
}

// parseRetryAllowance parses a number of retries and rounds it down.
func parseRetryAllowance(value string) (int, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 1 || n > maxRetryAllowance {
		return 0, errors.Errorf("%q is not a number from 1 to %d", value, maxRetryAllowance)
	}
	return int(n), nil
}

// parseLinkMegabits parses the bandwidth of a link, in Mbit/s.
func parseLinkMegabits(value string) (float64, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0 && n <= maxLinkMegabits) {
		return 0, errors.Errorf("%q is not a number above 0 and up to %d", value, maxLinkMegabits)
	}
	return n, nil
}

func parseStopGrace(value string) (time.Duration, error) {
	return parser.Duration(value, minStopGrace, time.Hour)
}

func parsePolicy(value string) (Policy, error) {
	name, err := parser.OneOf(value, policyNames)
	return Policy(name), err
}

// Instance returns the instance's name, unique in the fleet.
func (n *Node) Instance() string { return n.instance }

// Service returns the name of the service that the upstream serves.
func (n *Node) Service() string { return n.service }

// Owner returns the name of the upstream's owner.
func (n *Node) Owner() string { return n.owner }

// Site returns the name of the site, which selects the overlay.
func (n *Node) Site() string { return n.site }

// Region returns the name of the region.
func (n *Node) Region() string { return n.region }

// FailureDomain returns the name of the failure domain.
func (n *Node) FailureDomain() string { return n.failureDomain }

// HTTPAddress returns the address at which the node accepts requests.
func (n *Node) HTTPAddress() netip.AddrPort { return n.httpAddress }

// PeerAddress returns the address for gossip, probes and calls between processes.
func (n *Node) PeerAddress() netip.AddrPort { return n.peerAddress }

// UpstreamAddress returns the address of the node's own upstream.
func (n *Node) UpstreamAddress() netip.AddrPort { return n.upstreamAddress }

// Slots returns how many requests the upstream runs concurrently, or 0 to use the
// service's configuration.
func (n *Node) Slots() int { return n.slots }

// Connections returns how many connections the upstream accepts, or 0 to use the service's
// configuration.
func (n *Node) Connections() int { return n.connections }

// Seeds returns peer addresses of members through which the node joins.
func (n *Node) Seeds() []netip.AddrPort { return n.seeds }

// ControlAddresses returns peer addresses of control instances.
func (n *Node) ControlAddresses() []netip.AddrPort { return n.controlAddresses }

// Policy returns how the node chooses an instance.
func (n *Node) Policy() Policy { return n.policy }

// UpstreamHeartbeats reports whether the upstream announces itself by heartbeats.
// Otherwise the node checks it by connections and its health endpoint.
func (n *Node) UpstreamHeartbeats() bool { return n.upstreamHeartbeats }

// StopGrace returns how long a planned stop may take, or 0 for no limit.
func (n *Node) StopGrace() time.Duration { return n.stopGrace }

// LinkBytesPerSecond returns the bandwidth of the instance's link in bytes per second, or
// 0 if it is not set.
func (n *Node) LinkBytesPerSecond() float64 {
	const bitsPerByte, mega = 8, 1e6
	return n.linkMegabits * mega / bitsPerByte
}

// MemoryMB returns the memory that the node may use in MB, or 0 if it is not set.
func (n *Node) MemoryMB() int { return n.memoryMB }

// MaxDescriptors returns how many descriptors the node may open, or 0 if it is not set.
func (n *Node) MaxDescriptors() int { return n.maxDescriptors }

// RetryAllowance returns how many retries of a service all nodes together may make at once
// in addition to their share of fresh requests, or 0 to use each node's default.
func (n *Node) RetryAllowance() int { return n.retryAllowance }

// LogLevel returns the lowest level that is logged.
func (n *Node) LogLevel() zerolog.Level { return n.logLevel }
