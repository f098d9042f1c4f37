package distributor

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
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
	errUnusableDelta  = errors.New("delta cannot be used")
)

// fetchNewer fetches from a holder and returns an error if the held version is not
// newer afterwards. It sets waiting while the holder is to respond.
func (d *Distributor) fetchNewer(source netip.AddrPort, waiting *atomic.Bool) error {
	before := d.store.number()
	if err := recoverer.Call(func() error { return d.fetch(source, waiting) }); err != nil {
		return fmt.Errorf("fetch from %s: %w", source, err)
	}
	if d.store.number() <= before {
		return errNoNewerVersion
	}
	return nil
}

// fetch fetches a delta or a snapshot from a holder and adopts the resulting version. If
// the delta cannot be used, it fetches again: from the version that is held by then, or, if
// that is the same, the snapshot.
func (d *Distributor) fetch(source netip.AddrPort, waiting *atomic.Bool) error {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	d.metrics.fetches.Inc(1)
	o := origin{holder: source, started: time.Now(), waiting: waiting}
	have := d.store.digest()
	err := d.fetchFrom(ctx, &o, have)
	if !errors.Is(err, errUnusableDelta) {
		return err
	}
	next := d.store.digest()
	if sameVersion(next, have) {
		next = nil
	}
	d.metrics.unusableDeltas.Inc(1)
	d.log.Info().Err(err).Stringer("holder", source).
		Uint64("base", have.GetNumber()).
		Uint64("held", next.GetNumber()).
		Int("bytes", o.bytes).
		Msg("Failed to use a delta, fetching again.")
	return d.fetchFrom(ctx, &o, next)
}

// fetchFrom calls Fetch at the holder that o names and adopts the version in its response.
func (d *Distributor) fetchFrom(ctx context.Context, o *origin, have *controlwire.VersionDigest) error {
	before := d.store.number()
	o.waiting.Store(true)
	resp, err := d.cfg.Client.Fetch(ctx, o.holder, have)
	o.waiting.Store(false)
	if err != nil {
		return fmt.Errorf("call holder: %w", err)
	}
	o.fetched = time.Now()
	o.resp = resp
	o.bytes += proto.Size(resp)
	d.metrics.fetchedBytes.Inc(int64(proto.Size(resp)))
	return d.adoptResponse(*o, before)
}

// adoptResponse adopts the version in a holder's response. It does not read the response if
// this process, which held the version before when it asked, has got the wanted one meanwhile.
func (d *Distributor) adoptResponse(o origin, before uint64) error {
	d.adopting <- struct{}{}
	defer func() { <-d.adopting }()
	if held := d.store.number(); held > before && held >= d.wantedNumber() {
		d.metrics.superseded.Inc(1)
		return nil
	}
	plain, err := packer.Unpack(o.resp)
	if err != nil {
		return fmt.Errorf("unpack the holder's response: %w", err)
	}
	switch {
	case plain.GetDelta() != nil:
		o.form = formDelta
		return d.adoptDelta(plain.GetDelta(), o)
	case plain.GetSnapshot() != nil:
		o.form = formSnapshot
		return d.adoptNext(plain.GetSnapshot(), o)
	default:
		return errNoNewerVersion
	}
}

// adoptDelta applies a delta to the held version and adopts the result. The caller holds adopting.
func (d *Distributor) adoptDelta(delta *controlwire.Delta, o origin) error {
	held := d.store.version()
	if held == nil || !sameVersion(held.GetDigest(), delta.GetBase()) {
		return fmt.Errorf("%w: %w", errUnusableDelta, errBaseMismatch)
	}
	doc, err := d.cfg.Apply(held.GetDocument(), delta.GetChanges())
	if err != nil {
		return fmt.Errorf("%w: apply delta: %w", errUnusableDelta, err)
	}
	d.metrics.deltas.Inc(1)
	o.delta = delta
	err = d.adoptNext(&controlwire.Version{Digest: delta.GetTarget(), Document: doc}, o)
	if errors.Is(err, errDigestMismatch) {
		return fmt.Errorf("%w: %w", errUnusableDelta, err)
	}
	return err
}

// adopt checks, compiles and publishes a version, stores it and then announces it. It
// ignores a version that is not newer than the held one. One that makes this process panic is
// rejected like one that does not compile, since it would do so after each restart.
func (d *Distributor) adopt(version *controlwire.Version, o origin) error {
	d.adopting <- struct{}{}
	defer func() { <-d.adopting }()
	return d.adoptNext(version, o)
}

// adoptNext does the work of adopt. The caller holds adopting.
func (d *Distributor) adoptNext(version *controlwire.Version, o origin) error {
	number := version.GetDigest().GetNumber()
	if err := d.checkAdoptable(version); err != nil {
		return err
	}
	if number <= d.store.number() {
		return nil
	}
	if !bytes.Equal(d.cfg.Digest(version.GetDocument()), version.GetDigest().GetDigest()) {
		return errDigestMismatch
	}
	if err := recoverer.Call(func() error { return d.publish(version) }); err != nil {
		d.reject(number)
		d.log.Error().Err(err).Uint64("version", number).Msg("Failed to put a version in force.")
		return err
	}
	d.store.put(version, o)
	d.metrics.version.Update(float64(number))
	d.recordAdoption(number, o)
	if d.cfg.Announce != nil {
		d.cfg.Announce(version.GetDigest())
	}
	return nil
}

// checkAdoptable returns an error if the version must not be adopted, whatever its document is.
func (d *Distributor) checkAdoptable(version *controlwire.Version) error {
	d.mu.Lock()
	defer d.mu.Unlock()
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
	default:
		return nil
	}
}

// reject records that a version failed to compile, and is not to be fetched again.
func (d *Distributor) reject(number uint64) {
	d.metrics.rejected.Inc(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejected = max(d.rejected, number)
}

func (d *Distributor) wantedNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wanted.GetNumber()
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
