package journaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
)

// changeSize is the size of the record of a typical configuration change, in bytes.
const changeSize = 500

// BenchmarkAppend measures appending and syncing one record on the real disk.
func BenchmarkAppend(b *testing.B) {
	store, err := journaler.Open(journaler.OS{}, b.TempDir())
	assert.NilError(b, err)
	j, err := store.OpenJournal("voter")
	assert.NilError(b, err)
	assert.NilError(b, j.Rewrite(nil))
	for b.Loop() {
		assert.NilError(b, j.Append(make([]byte, changeSize)))
	}
	assert.NilError(b, store.Close())
}

// BenchmarkOpenJournal measures reading and verifying journals by number of records, as
// they grow without being rewritten.
func BenchmarkOpenJournal(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			store, err := journaler.Open(journaler.OS{}, b.TempDir())
			assert.NilError(b, err)
			j, err := store.OpenJournal("voter")
			assert.NilError(b, err)
			records := make([][]byte, n)
			for i := range records {
				records[i] = make([]byte, changeSize)
			}
			assert.NilError(b, j.Rewrite(records))
			for b.Loop() {
				_, err := store.OpenJournal("voter")
				assert.NilError(b, err)
			}
			assert.NilError(b, store.Close())
		})
	}
}
