package configurer

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// What quotas allow if the settings say nothing, and the most that they may say. A shorter window
// than the least one would leave no time for messages between processes.
const (
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20.0
	minQuotaWindow      = time.Second
	maxQuotaWindow      = 30 * time.Second
	maxQuotaOverage     = 1
	maxQuotaSlack       = 1_000_000
)

// Control holds the settings of a control instance. It is immutable.
type Control struct {
	instance, site, region, failureDomain string
	peerAddress                           netip.AddrPort
	dataFolder                            string
	voters, seeds                         []netip.AddrPort
	toleratedLosses                       int
	quotaWindow                           time.Duration
	quotaOverage, quotaSlack              float64
	memoryMB, maxDescriptors              int
	logLevel                              zerolog.Level
}

// LoadControl reads the settings of a control instance from the file at path. For invalid
// settings, the error wraps parser.Errors, which lists every error found.
func LoadControl(path string) (*Control, error) {
	r, err := load(path, "control")
	if err != nil {
		return nil, err
	}
	c := readControl(r)
	if err := check(r); err != nil {
		return nil, err
	}
	return c, nil
}

func readControl(r *parser.Reader) *Control {
	c := &Control{
		instance:        parser.Required(r, keyInstance, parser.Name),
		site:            parser.Required(r, keySite, parser.Name),
		region:          parser.Required(r, keyRegion, parser.Name),
		failureDomain:   parser.Required(r, keyFailureDomain, parser.Name),
		peerAddress:     parser.Required(r, keyPeerAddress, parser.Address),
		dataFolder:      parser.Required(r, "data-folder", parseAbsolutePath),
		voters:          parser.Optional(r, "voters", nil, parser.Addresses),
		seeds:           parser.Optional(r, keySeeds, nil, parser.Addresses),
		toleratedLosses: parser.Optional(r, "tolerated-losses", 0, func(value string) (int, error) { return parser.Int(value, 0, compiler.MaxVoters/2) }),
		quotaWindow:     parser.Optional(r, "quota-window", defaultQuotaWindow, parseQuotaWindow),
		quotaOverage:    parser.Optional(r, "quota-overage", defaultQuotaOverage, numberUpTo(maxQuotaOverage)),
		quotaSlack:      parser.Optional(r, "quota-slack", defaultQuotaSlack, numberUpTo(maxQuotaSlack)),
		memoryMB:        parser.Optional(r, keyMemoryMB, 0, intUpTo(maxMemoryMB)),
		maxDescriptors:  parser.Optional(r, keyMaxDescriptors, 0, intUpTo(maxDescriptorsLimit)),
		logLevel:        parser.Optional(r, keyLogLevel, zerolog.InfoLevel, parseLogLevel),
	}
	if len(c.voters) == 0 && len(c.seeds) == 0 {
		r.AddKeyError("voters", "neither voters nor seeds are set, so the instance could not join")
	}
	if len(c.voters) > compiler.MaxVoters {
		r.AddKeyError("voters", fmt.Sprintf("%d voters are more than %d", len(c.voters), compiler.MaxVoters))
	}
	return c
}

// Instance returns the instance's name, unique in the fleet.
func (c *Control) Instance() string { return c.instance }

// Site returns the name of the site.
func (c *Control) Site() string { return c.site }

// Region returns the name of the region.
func (c *Control) Region() string { return c.region }

// FailureDomain returns the name of the failure domain.
func (c *Control) FailureDomain() string { return c.failureDomain }

// PeerAddress returns the address for gossip and calls between processes.
func (c *Control) PeerAddress() netip.AddrPort { return c.peerAddress }

// DataFolder returns the absolute path of the folder for all durable files.
func (c *Control) DataFolder() string { return c.dataFolder }

// Voters returns the peer addresses of the initial voters, for bootstrapping.
func (c *Control) Voters() []netip.AddrPort { return c.voters }

// Seeds returns peer addresses of members through which the instance joins.
func (c *Control) Seeds() []netip.AddrPort { return c.seeds }

// ToleratedLosses returns how many control instances may fail at the same time, or 0 to
// leave the voters as the settings and the configuration name them.
func (c *Control) ToleratedLosses() int { return c.toleratedLosses }

// QuotaWindow returns the time over which the requests of an organisation are counted.
func (c *Control) QuotaWindow() time.Duration { return c.quotaWindow }

// QuotaOverage returns the part of what a quota allows in a window by which it may be exceeded.
func (c *Control) QuotaOverage() float64 { return c.quotaOverage }

// QuotaSlack returns the number of requests by which a quota may be exceeded in a window besides.
func (c *Control) QuotaSlack() float64 { return c.quotaSlack }

// MemoryMB returns the memory that the instance may use in MB, or 0 if it is not set.
func (c *Control) MemoryMB() int { return c.memoryMB }

// MaxDescriptors returns how many descriptors the instance may open, or 0 if it is not set.
func (c *Control) MaxDescriptors() int { return c.maxDescriptors }

// LogLevel returns the lowest level that is logged.
func (c *Control) LogLevel() zerolog.Level { return c.logLevel }

func parseQuotaWindow(value string) (time.Duration, error) {
	return parser.Duration(value, minQuotaWindow, maxQuotaWindow)
}

// numberUpTo returns a parser of numbers from 0 to limit.
func numberUpTo(limit float64) func(string) (float64, error) {
	return func(value string) (float64, error) {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= limit) {
			return 0, errors.Errorf("%q is not a number from 0 to %g", value, limit)
		}
		return n, nil
	}
}
