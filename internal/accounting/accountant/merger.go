package accountant

import (
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// counterKey identifies a counter.
type counterKey struct {
	day         uint32
	instance    string
	incarnation uint64
}

func keyOf(c *controlwire.UsageCounter) counterKey {
	return counterKey{day: c.GetDay(), instance: c.GetInstance(), incarnation: c.GetIncarnation()}
}

// merge sets each field of dst to the larger of dst and src, but the start to the earlier
// one, and reports whether dst changed. It is commutative, associative and idempotent.
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
		changed = setMax(f.dst, f.src) || changed
	}
	changed = setMax(&dst.Slots, src.GetSlots()) || changed
	changed = setMax(&dst.UntilUnixMs, src.GetUntilUnixMs()) || changed
	changed = setMax(&dst.Service, src.GetService()) || changed
	changed = setMax(&dst.Owner, src.GetOwner()) || changed
	changed = setMax(&dst.Site, src.GetSite()) || changed
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

// setMax sets *dst to src if src is larger, and reports whether it did.
func setMax[T uint64 | uint32 | int64 | string](dst *T, src T) bool {
	if src <= *dst {
		return false
	}
	*dst = src
	return true
}
