package distributor

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/telemetry/recoverer"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Reasons why a fetch yields no version or a version is not adopted.
var (
	errDigestMismatch = errors.New("document does not match its digest")
	errBaseMismatch   = errors.New("delta does not start from the held version")
	errNoResponse     = errors.New("holder did not respond in time")
	errNoNewerVersion = errors.New("holder has no newer version")
	errTooOld         = errors.New("version is older than one that may already have been in force")
	errRejected       = errors.New("version is not newer than one that failed to compile")
	errImpossible     = errors.New("version has an impossible number")
	errNoDocument     = errors.New("version has no document")
)

// fetchNewer fetches from a holder and returns an error if the held version is not
// newer afterwards.
func (d *Distributor) fetchNewer(source netip.AddrPort) error {
	before := d.store.number()
	if err := recoverer.Call(func() error { return d.fetch(source) }); err != nil {
		return fmt.Errorf("fetch from %s: %w", source, err)
	}
	if d.store.number() <= before {
		return errNoNewerVersion
	}
	return nil
}

// fetch fetches a delta or a snapshot from a holder and adopts the resulting version. If
// the delta cannot be used, it fetches the snapshot.
func (d *Distributor) fetch(source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	d.metrics.fetches.Inc(1)
	o := origin{form: formDelta, holder: source, started: time.Now()}
	resp, err := d.fetchUnpacked(ctx, &o, d.store.digest())
	if err != nil {
		return fmt.Errorf("fetch newer version: %w", err)
	}
	if resp.GetDelta() != nil {
		if err := d.adoptDelta(resp.GetDelta(), o); err != nil {
			d.metrics.unusableDeltas.Inc(1)
			d.log.Info().Err(err).Stringer("holder", source).
				Uint64("base", resp.GetDelta().GetBase().GetNumber()).
				Uint64("target", resp.GetDelta().GetTarget().GetNumber()).
				Uint64("held", d.store.number()).
				Int("bytes", o.bytes).
				Msg("Failed to use a delta, fetching the snapshot.")
			return d.fetchSnapshot(ctx, o)
		}
		return nil
	}
	if resp.GetSnapshot() == nil {
		return errNoNewerVersion
	}
	o.form = formSnapshot
	return d.adopt(resp.GetSnapshot(), o)
}

// fetchSnapshot fetches and adopts the full version, whatever version is held.
func (d *Distributor) fetchSnapshot(ctx context.Context, o origin) error {
	o.form = formSnapshot
	resp, err := d.fetchUnpacked(ctx, &o, nil)
	if err != nil {
		return fmt.Errorf("fetch snapshot: %w", err)
	}
	if resp.GetSnapshot() == nil {
		return errNoNewerVersion
	}
	return d.adopt(resp.GetSnapshot(), o)
}

// fetchUnpacked calls Fetch at the holder that o names, and returns the response decompressed.
// It records in o when the response arrived and adds its bytes.
func (d *Distributor) fetchUnpacked(ctx context.Context, o *origin, have *controlwire.VersionDigest) (*controlwire.FetchResponse, error) {
	resp, err := d.cfg.Client.Fetch(ctx, o.holder, have)
	if err != nil {
		return nil, fmt.Errorf("call holder: %w", err)
	}
	o.fetched = time.Now()
	o.bytes += proto.Size(resp)
	d.metrics.fetchedBytes.Inc(int64(proto.Size(resp)))
	plain, err := packer.Unpack(resp)
	if err != nil {
		return nil, fmt.Errorf("unpack the holder's response: %w", err)
	}
	return plain, nil
}

// adoptDelta applies a delta to the held version and adopts the result.
func (d *Distributor) adoptDelta(delta *controlwire.Delta, o origin) error {
	held := d.store.version()
	if held == nil || !sameVersion(held.GetDigest(), delta.GetBase()) {
		return errBaseMismatch
	}
	doc, err := d.cfg.Apply(held.GetDocument(), delta.GetChanges())
	if err != nil {
		return fmt.Errorf("apply delta: %w", err)
	}
	d.metrics.deltas.Inc(1)
	return d.adopt(&controlwire.Version{Digest: delta.GetTarget(), Document: doc}, o)
}

// adopt checks, compiles and publishes a version, stores it and then announces it. It
// ignores a version that is not newer than the held one. One that makes this process panic is
// rejected like one that does not compile, since it would do so after each restart.
func (d *Distributor) adopt(version *controlwire.Version, o origin) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := version.GetDigest().GetNumber()
	if err := d.checkAdoptable(version); err != nil {
		return err
	}
	if number <= d.store.number() {
		return nil
	}
	if err := recoverer.Call(func() error { return d.publish(version) }); err != nil {
		d.rejected = number
		d.metrics.rejected.Inc(1)
		d.log.Error().Err(err).Uint64("version", number).Msg("Failed to put a version in force.")
		return err
	}
	d.store.put(version)
	d.metrics.version.Update(float64(number))
	d.recordAdoption(number, o)
	if d.cfg.Announce != nil {
		d.cfg.Announce(version.GetDigest())
	}
	return nil
}

// checkAdoptable returns an error if the version must not be adopted.
func (d *Distributor) checkAdoptable(version *controlwire.Version) error {
	number := version.GetDigest().GetNumber()
	switch {
	case version.GetDocument() == nil || number == 0:
		return errNoDocument
	case number > maxNumber:
		return errImpossible
	case number < d.minVersion:
		return errTooOld
	case number <= d.rejected:
		return errRejected
	case !bytes.Equal(d.cfg.Digest(version.GetDocument()), version.GetDigest().GetDigest()):
		return errDigestMismatch
	default:
		return nil
	}
}

// publish compiles a version and puts it in force, unless this process only holds
// versions for others.
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
