// Package distributor fetches the newest accepted configuration for a process and serves
// it to other processes.
//
// # Usage
//
//	d := distributor.New(distributor.Config{
//		ControlAddresses: func() []netip.AddrPort { return controls },
//		Client:           distributor.NewClient(http.DefaultClient, g.ObserveEvacuation),
//		Compile:          compileForSite, // compiler.Compile for the site of this process
//		Digest:           compiler.Digest,
//		Diff:             compiler.Diff,
//		Apply:            compiler.ApplyJoined,
//		Publish:          publisher.SetConfiguration,
//		Announce:         gossiper.SetVersion,
//		...
//	})
//	mux.Handle(d.Handler())
//	d.Start()
//
// The gossiper calls ObserveVersion for each newer version that another process holds. The
// distributor fetches it from one of its holders, as a delta if possible, verifies the
// digest, compiles and publishes the version, and only then announces this process as a
// holder. A version is only replaced by one with a greater number.
//
// # Restart
//
// A node stores no version on disk. To publish none that is older than one it may have
// had in force before a restart, it first reads the newest accepted version from a
// control instance. If none responds within peerFallbackDelay, it uses the newest
// version that its peers reported, once minFallbackPeers of them did. See
// docs/design/distribution.md.
package distributor

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// maxSources bounds the number of known holders of the wanted version.
	maxSources = 8
	// maxFetchDelay bounds the random wait before the first fetch.
	maxFetchDelay = 20 * time.Millisecond
	// maxRetryDelay bounds the random wait after a failed fetch.
	maxRetryDelay = 200 * time.Millisecond
	// fetchTimeout bounds one fetch from a holder.
	fetchTimeout = 3 * time.Second
	// hedgeDelay is how long to wait for one holder before fetching from another in
	// parallel: a version must be in force everywhere within two seconds.
	hedgeDelay = 300 * time.Millisecond
	// maxControlFetches is how many fetches from control instances may fail in a row before a
	// reported version counts as one that nobody holds.
	maxControlFetches = 50
	// maxNumber is the greatest number that a version may have.
	maxNumber = 1 << 53
)

// Config lists what a Distributor depends on.
type Config struct {
	// ControlAddresses returns the peer addresses of the control instances. If it is
	// nil, the process receives versions through Offer and needs no initialization.
	ControlAddresses func() []netip.AddrPort
	// Client calls other processes.
	Client Client
	// Compile compiles a document for the site of this process. If it is nil,
	// versions are served to others but neither compiled nor published.
	Compile func(doc *controlwire.Document, number uint64) (*compiler.Configuration, error)
	// Digest returns the digest of a document.
	Digest func(doc *controlwire.Document) []byte
	// Diff returns the changes from one document to another.
	Diff func(old, next *controlwire.Document) []*controlwire.EntryChange
	// Apply returns a document with changes applied, which JoinChanges may have combined.
	Apply func(doc *controlwire.Document, changes []*controlwire.EntryChange) (*controlwire.Document, error)
	// Publish puts a configuration in force, and reports whether it did.
	Publish func(*compiler.Configuration) bool
	// Announce advertises to other processes that this one holds a version.
	Announce func(*controlwire.VersionDigest)
	// CatchUpBytes bounds the deltas kept for other processes, the compressed responses to
	// them, and what is sent to them at the same time, each. If it is 0, retainer.DefaultBytes
	// is used.
	CatchUpBytes int
	Logger       zerolog.Logger
	Scope        tally.Scope
	Random       *rand.Rand
}

// Distributor holds and updates the configuration version of one process.
type Distributor struct {
	cfg       Config
	log       zerolog.Logger
	metrics   metrics
	store     *store
	responses *retainer.Gate // Of the responses to other processes.
	tomb      tomb.Tomb
	wake      chan struct{} // Signals run that a newer version was reported.

	// adopting has an element while a version is adopted, so that each starts from the one before.
	adopting chan struct{}

	mu          sync.Mutex                 // Guards the fields below. Held for short times only.
	initialized bool                       // minVersion is known.
	minVersion  uint64                     // Oldest version that may be published.
	wanted      *controlwire.VersionDigest // Newest reported version.
	sources     []netip.AddrPort           // Holders of the wanted version.
	heardAt     time.Time                  // When the wanted version was first reported.
	fetchCount  int                        // Number of fetches since then.
	reporters   map[netip.AddrPort]bool    // Peers that reported a version before initialization.
	rejected    uint64                     // Newest version that failed to compile.
}

// New returns a distributor that holds no version.
func New(cfg Config) *Distributor {
	cfg.CatchUpBytes = cmp.Or(cfg.CatchUpBytes, retainer.DefaultBytes)
	return &Distributor{
		cfg:         cfg,
		log:         logger.Part(cfg.Logger, "distributor"),
		metrics:     newMetrics(cfg.Scope),
		store:       newStore(cfg.Diff, cfg.CatchUpBytes),
		responses:   retainer.NewGate(cfg.CatchUpBytes),
		wake:        make(chan struct{}, 1),
		adopting:    make(chan struct{}, 1),
		initialized: cfg.ControlAddresses == nil,
		reporters:   make(map[netip.AddrPort]bool),
	}
}

// Start starts fetching versions.
func (d *Distributor) Start() { d.tomb.Go(d.run) }

// Stop stops fetching and waits for running fetches. It must be called after Start.
func (d *Distributor) Stop() error {
	d.tomb.Kill(nil)
	if err := d.tomb.Wait(); err != nil {
		return fmt.Errorf("stop distributor: %w", err)
	}
	return nil
}

// ObserveVersion records that another process holds a version, and wakes the fetching
// goroutine if the version is newer than the held one. It blocks neither during a fetch nor while a
// version is adopted.
func (d *Distributor) ObserveVersion(from netip.AddrPort, version *controlwire.VersionDigest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.initialized {
		d.reporters[from] = true
	}
	number := version.GetNumber()
	if number > maxNumber {
		d.metrics.rejected.Inc(1)
		d.log.Debug().Uint64("version", number).Stringer("from", from).Msg("Report of an impossible version ignored.")
		return
	}
	if number <= d.store.number() || number <= d.rejected || number < d.wanted.GetNumber() {
		return
	}
	if number > d.wanted.GetNumber() {
		d.wanted = version
		d.sources = d.sources[:0]
		d.heardAt = time.Now()
		d.fetchCount = 0
	}
	d.addSource(from)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// addSource adds a holder of the wanted version.
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

// Offer adopts a version that the voters accepted, which a control instance learns from
// its own voter. It ignores a version that is not newer than the held one.
func (d *Distributor) Offer(version *controlwire.Version) error {
	return d.adopt(version, origin{form: formOffer})
}

// InForce returns the digest of the held version, or nil. The version is in force unless
// Config.Compile is nil.
func (d *Distributor) InForce() *controlwire.VersionDigest { return d.store.digest() }

// Initialized reports whether this process knows the oldest version that it may publish
// after a restart.
func (d *Distributor) Initialized() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.initialized
}

// run determines the oldest version to publish and then fetches newer versions until the
// process stops.
func (d *Distributor) run() error {
	if !d.Initialized() && !d.initialize() {
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

// catchUp fetches until the wanted version is held, there is no process left to fetch from, or
// control instances do not have it either. The gossiper reports holders again as long as this
// process is behind.
func (d *Distributor) catchUp() {
	wait := d.random(maxFetchDelay)
	controlFetches := 0
	for d.sleep(wait) {
		source, ok := d.pickSource()
		if !ok {
			return
		}
		if !d.isSource(source) {
			if controlFetches++; controlFetches > maxControlFetches {
				d.forgetWanted()
				return
			}
		}
		if err := d.tryFetch(source); err != nil {
			d.metrics.fetchFailures.Inc(1)
			d.log.Debug().Err(err).Stringer("holder", source).Msg("Failed to fetch a version.")
			d.removeSource(source)
			wait = d.random(maxRetryDelay)
			continue
		}
		wait, controlFetches = 0, 0
	}
}

// isSource reports whether a process has reported the wanted version.
func (d *Distributor) isSource(a netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.sources, a)
}

// forgetWanted forgets a reported version that nobody holds, so that reports of others count again.
func (d *Distributor) forgetWanted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.sources) > 0 {
		return // Reported again meanwhile, which has woken this process.
	}
	d.log.Info().Uint64("version", d.wanted.GetNumber()).Msg("Nobody holds a reported version.")
	d.wanted = nil
}

// tryFetch fetches from a holder and waits up to hedgeDelay for each response, and then until
// the version is adopted. A fetch whose holder is slower continues in the background, and its
// version is still adopted.
func (d *Distributor) tryFetch(source netip.AddrPort) error {
	done := make(chan error, 1)
	var waiting atomic.Bool
	d.tomb.Go(func() error {
		done <- d.fetchNewer(source, &waiting)
		return nil
	})
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			if waiting.Load() {
				return errNoResponse
			}
			timer.Reset(hedgeDelay)
		case <-d.tomb.Dying():
			return errNoResponse
		}
	}
}

// random returns a random duration below bound.
func (d *Distributor) random(bound time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.cfg.Random.Int64N(int64(bound)))
}

// sleep waits, and reports false if the distributor stops first.
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

// pickSource returns a random holder of the wanted version, or a control instance if none
// is known. It reports false if the wanted version is already held or was rejected, or
// if there is no process to fetch from.
func (d *Distributor) pickSource() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted.GetNumber() <= max(d.store.number(), d.rejected) {
		return netip.AddrPort{}, false
	}
	d.fetchCount++
	if len(d.sources) == 0 {
		return d.pickControlSource()
	}
	return d.sources[d.cfg.Random.IntN(len(d.sources))], true
}

// pickControlSource returns a random control instance, which soon holds every accepted
// version. It reports false if none is known or if this process is one itself.
func (d *Distributor) pickControlSource() (netip.AddrPort, bool) {
	if d.cfg.ControlAddresses == nil {
		return netip.AddrPort{}, false
	}
	addresses := d.cfg.ControlAddresses()
	if len(addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return addresses[d.cfg.Random.IntN(len(addresses))], true
}

// removeSource removes a holder of the wanted version after a failed fetch.
func (d *Distributor) removeSource(source netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, known := range d.sources {
		if known == source {
			d.sources = append(d.sources[:i], d.sources[i+1:]...)
			return
		}
	}
}
