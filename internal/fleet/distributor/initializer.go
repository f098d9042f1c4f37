package distributor

import (
	"context"
	"net/netip"
	"time"
)

const (
	// peerFallbackDelay is how long to try control instances before using the version
	// that peers report. It exceeds the time in which a version reaches all processes.
	peerFallbackDelay = 15 * time.Second
	// minFallbackPeers is how many peers must have reported their version by then.
	minFallbackPeers = 3
	// minReadInterval and maxReadInterval bound the average interval between reads from
	// control instances, which doubles with each read.
	minReadInterval = 100 * time.Millisecond
	maxReadInterval = 500 * time.Millisecond
	// controlReadTimeout bounds one read from a control instance.
	controlReadTimeout = 700 * time.Millisecond
)

// initialize waits until this process knows a version that is no older than any it may
// have had in force before a restart. It reports false if the distributor stops first.
func (d *Distributor) initialize() bool {
	started := time.Now()
	interval := minReadInterval
	for {
		if d.initializeFromControl() {
			return true
		}
		if time.Since(started) >= peerFallbackDelay && d.initializeFromPeers() {
			return true
		}
		if !d.sleep(interval/2 + d.random(interval)) {
			return false
		}
		interval = min(2*interval, maxReadInterval)
	}
}

// initializeFromControl reads the newest accepted version from a random control instance
// and adopts it. It reports whether the read succeeded.
func (d *Distributor) initializeFromControl() bool {
	addresses := d.cfg.ControlAddresses()
	if len(addresses) == 0 {
		return false
	}
	to := addresses[int(d.random(time.Duration(len(addresses))))]
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), controlReadTimeout)
	defer cancel()
	o := origin{form: formCurrent, holder: to, started: time.Now()}
	version, err := d.cfg.Client.Current(ctx, to)
	if err != nil {
		d.log.Debug().Err(err).Stringer("control", to).Msg("Failed to read the newest version.")
		return false
	}
	d.finishInitialization(version.GetDigest().GetNumber())
	d.metrics.initializedByControl.Inc(1)
	if version.GetDigest().GetNumber() == 0 {
		return true
	}
	o.fetched = time.Now()
	if err := d.adopt(version, o); err != nil {
		d.log.Error().Err(err).Msg("Failed to adopt the newest version from a control instance.")
	}
	return true
}

// initializeFromPeers sets the newest version that peers reported as the oldest to
// publish, if at least minFallbackPeers of them reported one. The version itself is
// fetched later.
func (d *Distributor) initializeFromPeers() bool {
	d.mu.Lock()
	peers := len(d.reporters)
	newest := d.wanted
	d.mu.Unlock()
	if peers < minFallbackPeers {
		return false
	}
	d.log.Warn().Int("peers", peers).Uint64("version", newest.GetNumber()).
		Msg("No control instance responds; using the newest version that peers hold.")
	d.finishInitialization(newest.GetNumber())
	d.metrics.initializedByPeers.Inc(1)
	return true
}

// finishInitialization allows versions from minVersion on to be published.
func (d *Distributor) finishInitialization(minVersion uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.minVersion = minVersion
	d.initialized = true
	d.reporters = make(map[netip.AddrPort]bool)
}
