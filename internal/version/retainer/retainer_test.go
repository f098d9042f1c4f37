package retainer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

func listOf(maxItems, maxBytes int, sizes ...int) List[int] {
	l := NewList[int](maxItems, maxBytes)
	for _, size := range sizes {
		l = l.With(size, size)
	}
	return l
}

func TestListKeepsTheNewestWithinItsBounds(t *testing.T) {
	for name, c := range map[string]struct {
		list List[int]
		want []int
	}{
		"all fit":                    {listOf(3, 60, 10, 20, 30), []int{10, 20, 30}},
		"too many items":             {listOf(2, 60, 10, 20, 30), []int{20, 30}},
		"too many bytes":             {listOf(3, 50, 10, 20, 30), []int{20, 30}},
		"one item above the bound":   {listOf(3, 50, 10, 60), nil},
		"an item after one above it": {listOf(3, 50, 10, 60, 20), []int{20}},
		"a bound that is lowered":    {listOf(3, 60, 10, 20, 30).Bounded(30), []int{30}},
		"a lower bound that all fit": {listOf(3, 90, 10, 20).Bounded(30), []int{10, 20}},
		"no items":                   {listOf(3, 60), nil},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, slices.Equal(c.list.From(0), c.want), "%v", c.list.From(0))
			sum := 0
			for i, item := range c.list.All() {
				assert.Equal(t, item, c.want[i])
				sum += item
			}
			assert.Equal(t, c.list.Bytes(), sum)
		})
	}
}

func TestListIsImmutable(t *testing.T) {
	first := listOf(3, 100, 10)
	second, third := first.With(20, 20), first.With(30, 30)
	assert.DeepEqual(t, first.From(0), []int{10})
	assert.DeepEqual(t, second.From(0), []int{10, 20})
	assert.DeepEqual(t, third.From(1), []int{30})
}

func TestBoundFollowsFromMemory(t *testing.T) {
	assert.Equal(t, BytesFor(0), DefaultBytes)
	assert.Equal(t, BytesFor(64), 2<<20)
	assert.Equal(t, BytesFor(1), 32<<10)
	assert.Equal(t, BytesFor(1<<20), maxBytes)
}

func TestSizeOfChanges(t *testing.T) {
	change := &controlwire.EntryChange{Entry: &controlwire.Entry{Layer: "1", Section: "22", Key: "333", Value: "4444"}}
	assert.Equal(t, ChangesSize([]*controlwire.EntryChange{change, change}), 2*(entryChangeBytes+10))
}

func TestGateCountsResponsesUntilTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(100)
		large, sent := context.WithCancel(t.Context())
		assert.Assert(t, g.Enter(large, 1000))
		assert.Assert(t, !g.Enter(t.Context(), 1))
		sent()
		synctest.Wait()
		assert.Assert(t, g.Enter(t.Context(), 60))
		assert.Assert(t, !g.Enter(t.Context(), 60))
		assert.Assert(t, g.Enter(t.Context(), 40))
	})
}
