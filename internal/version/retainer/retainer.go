// Package retainer bounds, in bytes, what a process keeps and sends for processes that are
// behind. What does not fit is dropped, oldest first: whoever needs it gets a snapshot.
//
// A bound follows from the memory of the process, whatever the number and the size of the
// changes are and however many processes are behind.
//
// # Usage
//
//	limit := retainer.BytesFor(settings.MemoryMB())
//	deltas := retainer.NewList[*controlwire.Delta](256, limit)
//	deltas = deltas.With(delta, retainer.ChangesSize(delta.GetChanges()))
//	for i, delta := range deltas.All() {
//		...
//	}
//
//	gate := retainer.NewGate(limit)
//	if !gate.Enter(ctx, proto.Size(resp)) { // Until ctx is done.
//		return errBusy
//	}
package retainer

import (
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// memoryDivisor is the part of the memory of a process that one bound takes. A process
	// has four of them at most.
	memoryDivisor = 32
	// DefaultBytes is the bound of a process whose memory is unknown.
	DefaultBytes = 4 << 20
	// maxBytes is the largest bound: receivers read no longer messages than MaxMessageBytes.
	maxBytes = 16 << 20
	// MaxMessageBytes is the size up to which processes read messages of one another. It is above
	// that of the largest state of the voters.
	MaxMessageBytes = 20 << 20
	// entryChangeBytes is the memory that a change of an entry takes besides its texts: the
	// two messages, the pointers to them and the rounding of what is allocated for the texts.
	entryChangeBytes = 192
)

// BytesFor returns the bound in bytes for a process that may use the given memory in MB, 0 if
// that is unknown.
func BytesFor(memoryMB int) int {
	if memoryMB == 0 {
		return DefaultBytes
	}
	return min(memoryMB<<20/memoryDivisor, maxBytes)
}

// ChangesSize returns about how many bytes of memory the changes take.
func ChangesSize(changes []*controlwire.EntryChange) int {
	size := 0
	for _, change := range changes {
		e := change.GetEntry()
		size += entryChangeBytes + len(e.GetLayer()) + len(e.GetSection()) + len(e.GetKey()) + len(e.GetValue())
	}
	return size
}
