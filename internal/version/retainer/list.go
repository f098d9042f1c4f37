package retainer

import (
	"iter"
	"slices"
)

// List holds the newest of the items that were added to it. It is immutable.
type List[T any] struct {
	entries            []entry[T]
	bytes              int
	maxItems, maxBytes int
}

type entry[T any] struct {
	item  T
	bytes int
}

// NewList returns a list of at most maxItems items, which take at most maxBytes bytes together.
func NewList[T any](maxItems, maxBytes int) List[T] {
	return List[T]{maxItems: maxItems, maxBytes: maxBytes}
}

// With returns the list with an item of the given size in bytes added. The list is empty if that
// item alone is above the bound: older items lead nowhere without it.
func (l List[T]) With(item T, bytes int) List[T] {
	l.entries = append(slices.Clip(l.entries), entry[T]{item: item, bytes: bytes})
	l.bytes += bytes
	return l.trimmed()
}

// Bounded returns the list with another bound, in bytes.
func (l List[T]) Bounded(maxBytes int) List[T] {
	l.maxBytes = maxBytes
	return l.trimmed()
}

// trimmed returns the list without the oldest items that are above the bounds.
func (l List[T]) trimmed() List[T] {
	drop := max(0, len(l.entries)-l.maxItems)
	for _, e := range l.entries[:drop] {
		l.bytes -= e.bytes
	}
	for ; l.bytes > l.maxBytes; drop++ {
		l.bytes -= l.entries[drop].bytes
	}
	if drop > 0 {
		l.entries = slices.Clone(l.entries[drop:]) // So that the dropped items are freed.
	}
	return l
}

// Bytes returns the size of all items together.
func (l List[T]) Bytes() int { return l.bytes }

// All returns the items with their positions, oldest first.
func (l List[T]) All() iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		for i, e := range l.entries {
			if !yield(i, e.item) {
				return
			}
		}
	}
}

// From returns the items from a position on, oldest first.
func (l List[T]) From(position int) []T {
	var items []T
	for _, e := range l.entries[position:] {
		items = append(items, e.item)
	}
	return items
}
