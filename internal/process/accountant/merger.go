package accountant

import (
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// key names a counter.
type key struct {
	day         uint32
	instance    string
	incarnation uint64
}

func keyOf(c *controlwire.UsageCounter) key {
	return key{day: c.GetDay(), instance: c.GetInstance(), incarnation: c.GetIncarnation()}
}

// merge raises dst to the larger of each field of dst and src, and reports
// whether dst changed. It is commutative, associative and idempotent.
func merge(dst, src *controlwire.UsageCounter) bool {
	changed := false
	for _, f := range []struct {
		dst *uint64
		src uint64
	}{
		{&dst.BusySlotMs, src.GetBusySlotMs()},
		{&dst.IdleSlotMs, src.GetIdleSlotMs()},
		{&dst.WarmingSlotMs, src.GetWarmingSlotMs()},
		{&dst.LeavingSlotMs, src.GetLeavingSlotMs()},
		{&dst.UnreachableSlotMs, src.GetUnreachableSlotMs()},
		{&dst.RefusedWhileIdle, src.GetRefusedWhileIdle()},
		{&dst.Requests, src.GetRequests()},
	} {
		changed = raise(f.dst, f.src) || changed
	}
	changed = raise(&dst.Slots, src.GetSlots()) || changed
	changed = raise(&dst.UntilUnixMs, src.GetUntilUnixMs()) || changed
	changed = raise(&dst.Service, src.GetService()) || changed
	changed = raise(&dst.Owner, src.GetOwner()) || changed
	changed = raise(&dst.Site, src.GetSite()) || changed
	if src.GetSinceUnixMs() < dst.GetSinceUnixMs() {
		dst.SinceUnixMs = src.GetSinceUnixMs()
		changed = true
	}
	if src.GetEnded() && !dst.GetEnded() {
		dst.Ended = true
		changed = true
	}
	return changed
}

func raise[T uint64 | uint32 | int64 | string](dst *T, src T) bool {
	if src <= *dst {
		return false
	}
	*dst = src
	return true
}
