package quarantiner

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

const (
	// apartAfter is the number of crashes in a row after which a request runs only if no other
	// such request runs at the same upstream.
	apartAfter = 2
	// trialAfter is the number of crashes in a row after which a request runs at one instance
	// of its service only, and not at all once it has crashed an upstream while it ran apart.
	trialAfter = 3
	// trialPeriod is how long one instance runs a request on trial.
	trialPeriod = 5 * time.Second
	// sameMoment is the time within which crashes count as one.
	sameMoment = 20 * time.Millisecond
	// firstHold is how long a request is in quarantine before it runs once on trial. If that
	// crashes an upstream, it is held until its crashes no longer count.
	firstHold = time.Minute
	// evidencePeriod is how long a crash counts.
	evidencePeriod = 2 * time.Hour
	// MaxCrashes bounds the crashes that are kept of one request.
	MaxCrashes = 32
)

// Flags of a Crash.
const (
	flagApart byte = 1 << iota
	flagSurvived
)

// Crash is the end of an upstream while a request ran there. Its time is on the clock of this
// process.
type Crash struct {
	crashwatcher.Crash
	// Apart reports whether the request ran apart from others that were suspected.
	Apart bool
	// Survived reports whether the request has run to its end since, at any upstream whose node
	// knew of the crash.
	Survived bool
}

// Flags returns what is known of the crash as bits.
func (c Crash) Flags() byte {
	flags := byte(0)
	if c.Apart {
		flags |= flagApart
	}
	if c.Survived {
		flags |= flagSurvived
	}
	return flags
}

// SetFlags sets what Flags has returned.
func (c *Crash) SetFlags(flags byte) {
	c.Apart = flags&flagApart != 0
	c.Survived = flags&flagSurvived != 0
}

// Evidence is what is known of one request that was in flight in crashes.
type Evidence struct {
	Fingerprint fingerprinter.Fingerprint
	// Crashes lists the latest crashes, the newest one first.
	Crashes []Crash
	// OtherCause reports whether upstreams also crashed without the request between the first
	// and the last crash in a row, as far as this process knows.
	OtherCause bool
}

// Streak returns the number of crashes since the request last ran to its end.
func (e *Evidence) Streak() int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Survived {
			n++
		}
	}
	return n
}

// moments describes the crashes since the request last ran to its end, with those of the same moment
// as one: such upstreams may have another cause in common, such as power.
type moments struct {
	total int
	// apart counts the moments at which the request ran apart.
	apart int
	// shared reports whether several upstreams ended at one of the moments, and otherCause
	// whether upstreams also ended without the request.
	shared, otherCause bool
}

func (e *Evidence) moments() moments {
	m := moments{otherCause: e.OtherCause}
	var last time.Time
	lastApart := false
	for _, c := range e.Crashes {
		if c.Survived {
			continue
		}
		if m.total > 0 && last.Sub(c.At) < sameMoment {
			m.shared = true
		} else {
			m.total++
			last, lastApart = c.At, false
		}
		if c.Apart && !lastApart {
			m.apart++
			lastApart = true
		}
	}
	return m
}

// surplus returns the number of moments beyond those that put the request in quarantine; it is
// negative if there are too few. A crash may be by chance while upstreams crash for another cause, or
// during the first run after all upstreams of a service ended, since none could respond meanwhile.
func (m moments) surplus() int {
	apartNeeded := 1
	if m.shared || m.otherCause {
		apartNeeded = 2
	}
	return min(m.total-trialAfter, m.apart-apartNeeded)
}

// Newest returns the time of the last crash, or the zero time if there is none.
func (e *Evidence) Newest() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[0].At
}

// HeldUntil returns when the quarantine ends, or the zero time if there is none.
func (e *Evidence) HeldUntil() time.Time {
	switch surplus := e.moments().surplus(); {
	case surplus < 0:
		return time.Time{}
	case surplus == 0:
		return e.Newest().Add(firstHold)
	default:
		return e.Newest().Add(evidencePeriod)
	}
}

// Standing returns how the request is treated now.
func (e *Evidence) Standing(now time.Time) Standing {
	switch streak := e.Streak(); {
	case streak < apartAfter:
		return Clear
	case now.Before(e.HeldUntil()):
		return Quarantined
	case streak < trialAfter:
		return Suspected
	default:
		return OnTrial
	}
}

// trial returns what decides which instance runs the request on trial now. Another one does after
// trialPeriod, since the upstream of the first may be gone. The crashes play no part: nodes may keep
// different ones of many.
func (e *Evidence) trial(now time.Time) Trial {
	return Trial{Fingerprint: e.Fingerprint, Period: uint64(now.Sub(e.Newest()) / trialPeriod)}
}

// oldestInStreak returns the time of the first crash since the request last ran to its end.
func (e *Evidence) oldestInStreak() time.Time {
	var oldest time.Time
	for _, c := range e.Crashes {
		if !c.Survived {
			oldest = c.At
		}
	}
	return oldest
}

// includes reports whether the request was in flight in the crash with the given id.
func (e *Evidence) includes(id crashwatcher.CrashID) bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.ID == id })
}

// merge adds a crash, or what it says of a known one. It reports whether that is new.
func (e *Evidence) merge(c Crash) bool {
	for i := range e.Crashes {
		known := &e.Crashes[i]
		if known.ID != c.ID {
			continue
		}
		changed := c.Survived && !known.Survived || c.Apart && !known.Apart
		known.Survived = known.Survived || c.Survived
		known.Apart = known.Apart || c.Apart
		if c.At.Before(known.At) {
			known.At = c.At // The age of a crash grows by the delay of each message.
			e.sort()
		}
		return changed
	}
	e.Crashes = append(e.Crashes, c)
	e.sort()
	if len(e.Crashes) <= MaxCrashes {
		return true
	}
	oldest := e.Crashes[MaxCrashes]
	e.Crashes = e.Crashes[:MaxCrashes]
	return oldest.ID != c.ID
}

// sort orders the crashes, the newest one first. Those of one time are in the order of their ids, so that
// nodes keep the same ones of many.
func (e *Evidence) sort() {
	slices.SortFunc(e.Crashes, func(a, b Crash) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.ID, b.ID))
	})
}

// survive records that the request has run to its end. It reports whether that is new.
func (e *Evidence) survive() bool {
	changed := false
	for i := range e.Crashes {
		changed = changed || !e.Crashes[i].Survived
		e.Crashes[i].Survived = true
	}
	return changed
}

// expire removes the crashes that no longer count.
func (e *Evidence) expire(now time.Time) {
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) >= evidencePeriod })
}

// digest returns a digest of the evidence without the times.
func (e *Evidence) digest() uint64 {
	sum := uint64(0)
	for _, c := range e.Crashes {
		h := fnv.New64a()
		h.Write(e.Fingerprint[:]) // Never fails.
		id := binary.BigEndian.AppendUint64(nil, uint64(c.ID))
		h.Write(append(id, c.Flags()))
		sum ^= h.Sum64()
	}
	return sum
}

// clone returns a copy that shares nothing.
func (e *Evidence) clone() Evidence {
	return Evidence{Fingerprint: e.Fingerprint, Crashes: slices.Clone(e.Crashes), OtherCause: e.OtherCause}
}
