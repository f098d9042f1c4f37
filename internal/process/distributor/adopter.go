package distributor

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Errors of versions that are not taken.
var (
	errDigest     = errors.New("document does not match its digest")
	errBase       = errors.New("delta does not start from the version that is held")
	errSilent     = errors.New("holder is silent")
	errEmpty      = errors.New("holder has nothing newer")
	errTooOld     = errors.New("version is older than one that may have been served")
	errRefused    = errors.New("version was refused before")
	errNoDocument = errors.New("version has no document")
)

// fetchNewer fetches from a holder, and fails if that brings nothing newer.
func (d *Distributor) fetchNewer(source netip.AddrPort) error {
	before := d.holder.number()
	if err := d.fetch(source); err != nil {
		return err
	}
	if d.holder.number() <= before {
		return errEmpty
	}
	return nil
}

// fetch takes what a holder has.
func (d *Distributor) fetch(source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	d.metrics.fetches.Inc(1)
	resp, err := d.ask(ctx, source, d.holder.digest())
	if err != nil {
		return fmt.Errorf("fetch what is newer: %w", err)
	}
	if resp.GetDelta() != nil {
		if err := d.adoptDelta(resp.GetDelta()); err != nil {
			d.log.Info().Err(err).Stringer("holder", source).Msg("A delta could not be used, the whole version is asked for.")
			return d.fetchSnapshot(ctx, source)
		}
		return nil
	}
	if resp.GetSnapshot() == nil {
		return errEmpty
	}
	return d.adopt(resp.GetSnapshot())
}

// fetchSnapshot asks for the whole version after a delta could not be used.
func (d *Distributor) fetchSnapshot(ctx context.Context, source netip.AddrPort) error {
	resp, err := d.ask(ctx, source, nil)
	if err != nil {
		return fmt.Errorf("fetch all: %w", err)
	}
	if resp.GetSnapshot() == nil {
		return errEmpty
	}
	return d.adopt(resp.GetSnapshot())
}

// ask returns what a holder has beyond have, in plain form.
func (d *Distributor) ask(ctx context.Context, source netip.AddrPort, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	resp, err := d.cfg.Client.Fetch(ctx, source, have)
	if err != nil {
		return nil, fmt.Errorf("ask holder: %w", err)
	}
	plain, err := packer.Unpack(resp)
	if err != nil {
		return nil, fmt.Errorf("read the holder's answer: %w", err)
	}
	return plain, nil
}

// adoptDelta applies a delta to the held version.
func (d *Distributor) adoptDelta(delta *controlwire.Delta) error {
	held := d.holder.version()
	if held == nil || !sameVersion(held.GetDigest(), delta.GetBase()) {
		return errBase
	}
	doc, err := d.cfg.Apply(held.GetDocument(), delta.GetChanges())
	if err != nil {
		return fmt.Errorf("apply delta: %w", err)
	}
	d.metrics.deltas.Inc(1)
	return d.adopt(&controlwire.Version{Digest: delta.GetTarget(), Document: doc})
}

// adopt checks, compiles and publishes a version, and then announces it. It
// does nothing for one that is not newer than the held one.
func (d *Distributor) adopt(version *controlwire.Version) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := version.GetDigest().GetNumber()
	if err := d.check(version); err != nil {
		return err
	}
	if number <= d.holder.number() {
		return nil
	}
	if err := d.publish(version); err != nil {
		d.refused = number
		d.metrics.refused.Inc(1)
		d.log.Error().Err(err).Uint64("version", number).Msg("A version could not be put in force.")
		return err
	}
	d.holder.put(version)
	d.metrics.version.Update(float64(number))
	d.log.Info().Uint64("version", number).Msg("A version is in force.")
	if d.cfg.Announce != nil {
		d.cfg.Announce(version.GetDigest())
	}
	return nil
}

func (d *Distributor) check(version *controlwire.Version) error {
	number := version.GetDigest().GetNumber()
	switch {
	case version.GetDocument() == nil || number == 0:
		return errNoDocument
	case number < d.floor:
		return errTooOld
	case number <= d.refused:
		return errRefused
	case !bytes.Equal(d.cfg.Digest(version.GetDocument()), version.GetDigest().GetDigest()):
		return errDigest
	default:
		return nil
	}
}

func (d *Distributor) publish(version *controlwire.Version) error {
	if d.cfg.Compile == nil {
		return nil
	}
	cfg, err := d.cfg.Compile(version.GetDocument(), version.GetDigest().GetNumber())
	if err != nil {
		return fmt.Errorf("compile version: %w", err)
	}
	d.cfg.Publish(cfg)
	return nil
}

func sameVersion(a, b *controlwire.VersionDigest) bool {
	return a.GetNumber() == b.GetNumber() && bytes.Equal(a.GetDigest(), b.GetDigest())
}
