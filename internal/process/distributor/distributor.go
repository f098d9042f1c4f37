// Package distributor brings the newest accepted configuration to a process
// and hands it on to others.
//
// # Usage
//
//	d := distributor.New(distributor.Config{
//		Control:  func() []netip.AddrPort { return controlAddresses },
//		Client:   distributor.NewClient(http.DefaultClient),
//		Compile:  compileForSite, // of package compiler, with the site bound
//		Digest:   compiler.Digest,
//		Diff:     compiler.Diff,
//		Apply:    compiler.Apply,
//		Publish:  publisher.SetConfiguration,
//		Announce: gossiper.SetVersion,
//		...
//	})
//	mux.Handle(d.Handler())
//	d.Start()
//
// The gossiper calls Learn for each newer version that another process holds.
// The distributor fetches it from one of its holders, as a delta if possible,
// checks the digest, compiles it, publishes it, and only then announces itself
// as a holder. A version is only ever replaced by one with a greater number.
//
// # Restart
//
// A node keeps nothing on disk. Before it publishes anything it must know a
// version that is no older than any it may have served before: it reads the
// newest accepted version at control, or, if no control instance answers for
// settleWait, takes the newest that it hears from others in that time. See
// docs/design/distribution.md.
package distributor

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxSources bounds the remembered holders of the wanted version.
	maxSources = 8
	// fetchJitter bounds the random wait before a fetch.
	fetchJitter = 20 * time.Millisecond
	// fetchRetry is the average wait after a fetch failed.
	fetchRetry = 200 * time.Millisecond
	// fetchTimeout bounds one call.
	fetchTimeout = 3 * time.Second
	// fetchPatience is how long one holder is waited for before another one is
	// asked beside it: a version must be in force everywhere within two seconds.
	fetchPatience = 300 * time.Millisecond
)

// Config lists what a Distributor depends on.
type Config struct {
	// Control returns the peer addresses of control instances. A nil function
	// makes a process that takes versions by Offer and needs not settle.
	Control func() []netip.AddrPort
	// Client calls other processes.
	Client Client
	// Compile compiles a document for the site of this process. If it is nil,
	// versions are held for others but not compiled.
	Compile func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error)
	// Digest returns the digest of a document.
	Digest func(doc *controlwire.Document) []byte
	// Diff returns the changes that lead from one document to another.
	Diff func(old, next *controlwire.Document) []*controlwire.EntryChange
	// Apply returns a document with changes applied.
	Apply func(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error)
	// Publish puts a configuration in force, and reports whether it did.
	Publish func(*compiler.Configuration) bool
	// Announce tells others that this process holds a version.
	Announce func(*controlwire.VersionDigest)
	Logger   zerolog.Logger
	Scope    tally.Scope
	Random   *rand.Rand
}

// Distributor holds the newest version of one process.
type Distributor struct {
	cfg     Config
	log     zerolog.Logger
	metrics metrics
	holder  *holder
	tomb    tomb.Tomb
	wake    chan struct{}

	mu      sync.Mutex // Guards all below.
	settled bool
	floor   uint64 // No version below it is published.
	wanted  *controlwire.VersionDigest
	sources []netip.AddrPort        // Holders of the wanted version.
	heard   map[netip.AddrPort]bool // Who told a version before this process settled.
	refused uint64                  // The newest version that could not be compiled.
}

// New returns a distributor that holds no version.
func New(cfg Config) *Distributor {
	return &Distributor{
		cfg:     cfg,
		log:     logger.Part(cfg.Logger, "distributor"),
		metrics: newMetrics(cfg.Scope),
		holder:  newHolder(cfg.Diff),
		wake:    make(chan struct{}, 1),
		settled: cfg.Control == nil,
		heard:   make(map[netip.AddrPort]bool),
	}
}

// Start begins to fetch versions.
func (d *Distributor) Start() { d.tomb.Go(d.run) }

// Stop ends all fetching. It must follow Start.
func (d *Distributor) Stop() error {
	d.tomb.Kill(nil)
	if err := d.tomb.Wait(); err != nil {
		return fmt.Errorf("stop distributor: %w", err)
	}
	return nil
}

// Learn tells that another process holds a version. It does not block.
func (d *Distributor) Learn(from netip.AddrPort, version *controlwire.VersionDigest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.settled {
		d.heard[from] = true
	}
	number := version.GetNumber()
	if number <= d.holder.number() || number <= d.refused || number < d.wanted.GetNumber() {
		return
	}
	if number > d.wanted.GetNumber() {
		d.wanted = version
		d.sources = d.sources[:0]
	}
	d.addSource(from)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// addSource remembers a holder of the wanted version.
func (d *Distributor) addSource(from netip.AddrPort) {
	for _, known := range d.sources {
		if known == from {
			return
		}
	}
	if len(d.sources) < maxSources {
		d.sources = append(d.sources, from)
	}
}

// Offer makes this process a holder of an accepted version, as a control
// instance that learned it by agreement. An older version is ignored.
func (d *Distributor) Offer(version *controlwire.Version) error {
	return d.adopt(version)
}

// InForce returns the version that this process holds and follows, or nil.
func (d *Distributor) InForce() *controlwire.VersionDigest { return d.holder.digest() }

// Settled reports whether this process knows a version no older than any that
// it may have served before.
func (d *Distributor) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled
}

func (d *Distributor) run() error {
	if !d.Settled() && !d.settle() {
		return nil
	}
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.wake:
			d.catchUp()
		}
	}
}

// catchUp fetches until the wanted version is held or no holder is left. The
// gossiper names holders again as long as this process is behind.
func (d *Distributor) catchUp() {
	wait := d.random(fetchJitter)
	for d.sleep(wait) {
		source, ok := d.source()
		if !ok {
			return
		}
		if err := d.fetchInTime(source); err != nil {
			d.metrics.fetchFailures.Inc(1)
			d.log.Debug().Err(err).Stringer("holder", source).Msg("Fetching a version failed.")
			d.dropSource(source)
			wait = d.random(fetchRetry)
			continue
		}
		wait = 0
	}
}

// fetchInTime fetches from a holder. It gives up waiting for one that is silent,
// which may still answer.
func (d *Distributor) fetchInTime(source netip.AddrPort) error {
	done := make(chan error, 1)
	d.tomb.Go(func() error {
		done <- d.fetchNewer(source)
		return nil
	})
	timer := time.NewTimer(fetchPatience)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errSilent
	case <-d.tomb.Dying():
		return errSilent
	}
}

func (d *Distributor) random(bound time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.cfg.Random.Int64N(int64(bound)))
}

// sleep waits, and reports false if the process ends.
func (d *Distributor) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.tomb.Dying():
		return false
	case <-timer.C:
		return true
	}
}

// source returns a random holder of the wanted version.
func (d *Distributor) source() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted.GetNumber() <= max(d.holder.number(), d.refused) {
		return netip.AddrPort{}, false
	}
	if len(d.sources) == 0 {
		return d.controlSource()
	}
	return d.sources[d.cfg.Random.IntN(len(d.sources))], true
}

// controlSource returns a random control instance, which holds every version
// soon, for a process that knows of no other holder. It reports false if there
// is none, and for a control instance.
func (d *Distributor) controlSource() (netip.AddrPort, bool) {
	if d.cfg.Control == nil {
		return netip.AddrPort{}, false
	}
	addresses := d.cfg.Control()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[d.cfg.Random.IntN(len(addresses))], true
}

func (d *Distributor) dropSource(source netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, known := range d.sources {
		if known == source {
			d.sources = append(d.sources[:i], d.sources[i+1:]...)
			return
		}
	}
}
