package distributor

import (
	"context"
	"net/netip"
	"time"
)

const (
	// settleWait is how long control is asked before others are believed. It
	// exceeds the time in which a version reaches all processes.
	settleWait = 15 * time.Second
	// settlePeers is how many others must have told their version by then.
	settlePeers = 3
	// minSettleInterval and maxSettleInterval bound the average time between
	// reads at control, which doubles with each.
	minSettleInterval = 100 * time.Millisecond
	maxSettleInterval = 500 * time.Millisecond
	// currentTimeout bounds one read at control.
	currentTimeout = 700 * time.Millisecond
)

// settle waits until this process knows a version no older than any that it
// may have served before. It reports false if the process ends first.
func (d *Distributor) settle() bool {
	started := time.Now()
	interval := minSettleInterval
	for {
		if d.readControl() {
			return true
		}
		if time.Since(started) >= settleWait && d.believePeers() {
			return true
		}
		if !d.sleep(interval/2 + d.random(interval)) {
			return false
		}
		interval = min(2*interval, maxSettleInterval)
	}
}

// readControl asks one control instance for the newest accepted version.
func (d *Distributor) readControl() bool {
	addresses := d.cfg.Control()
	if len(addresses) == 0 {
		return false
	}
	to := addresses[int(d.random(time.Duration(len(addresses))))]
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), currentTimeout)
	defer cancel()
	version, err := d.cfg.Client.Current(ctx, to)
	if err != nil {
		d.log.Debug().Err(err).Stringer("control", to).Msg("Reading the newest version failed.")
		return false
	}
	d.finishSettling(version.GetDigest().GetNumber())
	d.metrics.settledByControl.Inc(1)
	if version.GetDigest().GetNumber() == 0 {
		return true
	}
	if err := d.adopt(version); err != nil {
		d.log.Error().Err(err).Msg("The newest version could not be taken from control.")
	}
	return true
}

// believePeers takes the newest version that enough others told.
func (d *Distributor) believePeers() bool {
	d.mu.Lock()
	peers := len(d.heard)
	newest := d.wanted
	d.mu.Unlock()
	if peers < settlePeers {
		return false
	}
	d.log.Warn().Int("peers", peers).Uint64("version", newest.GetNumber()).
		Msg("Control does not answer; the newest version that others hold is taken.")
	d.finishSettling(newest.GetNumber())
	d.metrics.settledByPeers.Inc(1)
	return true
}

func (d *Distributor) finishSettling(floor uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.floor = floor
	d.settled = true
	d.heard = make(map[netip.AddrPort]bool)
}
