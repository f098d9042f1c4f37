package distributor

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/packer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// documentOf returns a document with many routes, and those of the given names with a timeout.
func documentOf(timeouts map[string]string) *controlwire.Document {
	doc := &controlwire.Document{}
	for i := range 100 {
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: fmt.Sprintf("route r-%03d", i), Key: "services", Value: "vitrina"})
	}
	for name, timeout := range timeouts {
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: "route " + name, Key: "timeout", Value: timeout})
	}
	return canonical(doc)
}

func canonical(doc *controlwire.Document) *controlwire.Document {
	sorted, err := compiler.Apply(nil, compiler.Diff(nil, doc))
	if err != nil {
		panic(err)
	}
	return sorted
}

func numbered(number uint64, doc *controlwire.Document) *controlwire.Version {
	return &controlwire.Version{Digest: &controlwire.VersionDigest{Number: number, Digest: compiler.Digest(doc)}, Document: doc}
}

// newCompilerDistributor returns a distributor that merges documents as processes do.
func newCompilerDistributor(net Client) *Distributor {
	return New(Config{
		Client: net, Digest: compiler.Digest, Diff: compiler.Diff, Apply: compiler.ApplyJoined,
		Logger: zerolog.Nop(), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(3, 3)),
	})
}

// TestDeltaOverChangesOfOneEntryIsUsable guards against a snapshot for each process that is behind by two changes of one entry.
func TestDeltaOverChangesOfOneEntryIsUsable(t *testing.T) {
	for name, steps := range map[string][]map[string]string{
		"changed twice":            {{"a": "1s"}, {"a": "2s"}, {"a": "3s"}},
		"changed and changed back": {{"a": "1s"}, {"a": "2s"}, {"a": "1s", "b": "1s"}},
		"added and changed":        {{}, {"a": "1s"}, {"a": "2s"}},
		"added and removed":        {{}, {"a": "1s"}, {"b": "1s"}},
		"changed and removed":      {{"a": "1s"}, {"a": "2s"}, {}},
		"removed and added":        {{"a": "1s"}, {}, {"a": "2s"}},
	} {
		t.Run(name, func(t *testing.T) {
			net := &network{}
			holder, behind := newCompilerDistributor(net), newCompilerDistributor(net)
			net.holders = map[netip.AddrPort]*Distributor{peers[0]: holder}
			assert.NilError(t, behind.Offer(numbered(1, documentOf(steps[0]))))
			for i, step := range steps {
				assert.NilError(t, holder.Offer(numbered(uint64(i+1), documentOf(step))))
			}
			assert.NilError(t, behind.fetch(peers[0], new(atomic.Bool)))
			assert.Equal(t, behind.InForce().GetNumber(), uint64(3))
			assert.Equal(t, net.fetches.Load(), int64(1))
		})
	}
}

// TestDeltaIsAboutTheSizeOfTheChanges checks that many changes of one entry cost what the last one does.
func TestDeltaIsAboutTheSizeOfTheChanges(t *testing.T) {
	d := newCompilerDistributor(&network{})
	for i := range uint64(200) {
		assert.NilError(t, d.Offer(numbered(i+1, documentOf(map[string]string{"a": fmt.Sprintf("%ds", i+1)}))))
	}
	resp, ok := d.store.response(numbered(1, documentOf(map[string]string{"a": "1s"})).GetDigest(), time.Now())
	assert.Assert(t, ok)
	plain, err := packer.Unpack(resp)
	assert.NilError(t, err)
	assert.Equal(t, len(plain.GetDelta().GetChanges()), 1)
	assert.Assert(t, proto.Size(resp) < 300)
}
