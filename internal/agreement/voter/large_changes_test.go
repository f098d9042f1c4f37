package voter_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/retainer"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// changedEntries is the number of entries that a large change changes.
	changedEntries = 2000
	// entryBytes is the size of the value of such an entry.
	entryBytes = 64
)

// largeChange returns a submission that changes many entries.
func largeChange(id string, replaces uint64) *controlwire.SubmitRequest {
	doc := &controlwire.Document{}
	for i := range changedEntries {
		value := fmt.Sprintf("%0*d", entryBytes, replaces)
		doc.Entries = append(doc.Entries, &controlwire.Entry{Section: "service x", Key: fmt.Sprintf("k-%06d", i), Value: value})
	}
	return &controlwire.SubmitRequest{ChangeId: id, Replaces: replaces, Document: doc}
}

// TestVoterBehindByManyLargeChangesCatchesUp checks that an instance catches up in time, in
// transfers of bounded size, where the transitions that others keep do not reach back.
func TestVoterBehindByManyLargeChangesCatchesUp(t *testing.T) {
	simulate(t, 1, 3, func(t *testing.T, c *cluster) {
		var largest atomic.Int64
		c.setFilter(func(_ string, req proto.Message) error {
			largest.Store(max(largest.Load(), int64(proto.Size(req))))
			return nil
		})
		c.crash("v2")
		const changes = 40
		for n := range uint64(changes) {
			assertAccepted(t, c.voter("v0"), largeChange(fmt.Sprint(n), n), n+1)
		}
		c.start("v2")
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.voter("v2").Local().Version().GetDigest().GetNumber(), uint64(changes))
		assertAccepted(t, c.voter("v2"), largeChange("next", changes), changes+1)
		assert.Assert(t, largest.Load() < retainer.DefaultBytes, "a request of %d bytes", largest.Load())
	})
}
