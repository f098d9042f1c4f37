package accountant

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// BenchmarkLedgerOneDay measures merging the counters of one day, and their stored size, by
// number of instances.
func BenchmarkLedgerOneDay(b *testing.B) {
	for _, n := range []int{350, 700, 1400, 2800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			now := time.Now()
			counters := make([]*controlwire.UsageCounter, n)
			for i := range counters {
				c := newCounter(newInstance(uint64(now.UnixMilli())), now)
				c.Instance = fmt.Sprintf("vitrina-%d", i)
				c.BusySlotMs, c.IdleSlotMs, c.Requests = 100_000_000, 400_000_000, 1_000_000
				counters[i] = c
			}
			store := newMemoryStore()
			l, err := NewLedger(store, zerolog.Nop(), tally.NoopScope)
			assert.NilError(b, err)
			for b.Loop() {
				for _, c := range counters {
					c.IdleSlotMs++
				}
				l.Merge(counters)
			}
			assert.NilError(b, l.Save())
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/merge")
			b.ReportMetric(float64(len(store.blobs[blobName(dayOf(now))])), "file-bytes")
			b.ReportMetric(float64(proto.Size(counters[0])), "counter-bytes")
		})
	}
}
