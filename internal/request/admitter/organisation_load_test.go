package admitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

const (
	organisations = 86
	sizeSkew      = 1.2 // Of the Zipf distribution of their sizes.
	loudness      = 7.5 // How many times its usual the loud one sends.
	usualUntil    = 20 * time.Second
	loudUntil     = 35 * time.Second
)

// sizes returns the share of the load that each organisation usually sends.
func sizes() []float64 {
	shares, sum := make([]float64, organisations), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -sizeSkew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func organisationName(i int) string { return fmt.Sprintf("org-%02d", i) }

// competing returns a load of organisations that usually send the given share of what the slots
// bear. One of them sends loudness times as much from usualUntil on; none if loud is
// negative. Only callers from then on are counted.
func competing(usual float64, loud int, anonymous bool) load {
	shares := sizes()
	c := ordinary(usual)
	c.anonymous = anonymous
	usualRate := c.rate(0)
	extra := 0.0
	if loud >= 0 {
		extra = (loudness - 1) * shares[loud]
	}
	c.rate = func(at time.Duration) float64 {
		if at < usualUntil {
			return usualRate
		}
		return usualRate * (1 + extra)
	}
	c.organisation = func(r *rand.Rand, at time.Duration) string {
		x := r.Float64()
		if at >= usualUntil {
			x *= 1 + extra
		}
		for i, share := range shares {
			if x -= share; x < 0 {
				return organisationName(i)
			}
		}
		if loud < 0 {
			return organisationName(0)
		}
		return organisationName(loud)
	}
	return load{nodes: 4, slots: 9, length: loudUntil, callers: []callers{c}, countedFrom: usualUntil}
}

// servedShares returns the shares of the requests that were served at all: of all, of the loud
// organisation, of the others, and the least of one with enough requests to tell.
func (p *played) servedShares(loud int) (all, loudest, others, least float64) {
	const enough = 30
	var sum, rest answered
	least = 1
	for name, n := range p.byOrganisation {
		sum.sent += n.sent
		sum.inTime += n.inTime + n.late
		share := float64(n.inTime+n.late) / float64(n.sent)
		if n.sent >= enough {
			least = min(least, share)
		}
		if loud >= 0 && name == organisationName(loud) {
			loudest = share
			continue
		}
		rest.sent += n.sent
		rest.inTime += n.inTime + n.late
	}
	return float64(sum.inTime) / float64(sum.sent), loudest, float64(rest.inTime) / float64(rest.sent), least
}

// TestOrganisationsShareFairly plays the load of many organisations of uneven sizes beyond
// capacity, of which one sends many times its usual. Nobody may be served less than a quarter as
// often as all, the others must not pay for the loud one, and together callers must get no less
// than without shares.
func TestOrganisationsShareFairly(t *testing.T) {
	var fairCredit, anonymousCredit float64
	t.Logf("%-24s %7s %7s %7s %7s %7s", "load", "credit", "all", "loud", "others", "least")
	for _, tc := range []struct {
		usual float64
		loud  int
	}{{0.9, 0}, {0.9, 2}, {1.5, 2}, {1.8, -1}} {
		before := competing(tc.usual, tc.loud, true).play(t, compiler.OverloadLeastCost)
		after := competing(tc.usual, tc.loud, false).play(t, compiler.OverloadLeastCost)
		_, _, othersBefore, _ := before.logShares(t, fmt.Sprintf("%.1f, loud %d, without", tc.usual, tc.loud), tc.loud)
		all, loud, others, least := after.logShares(t, fmt.Sprintf("%.1f, loud %d, with", tc.usual, tc.loud), tc.loud)
		assert.Assert(t, 4*least >= all)
		if tc.loud >= 0 {
			assert.Assert(t, others >= othersBefore && loud <= others)
		}
		fairCredit += after.total().credit()
		anonymousCredit += before.total().credit()
	}
	assert.Assert(t, fairCredit >= noLess*anonymousCredit, "%v, %v", fairCredit, anonymousCredit)
}

// logShares logs and returns the result of servedShares.
func (p *played) logShares(t *testing.T, title string, loud int) (all, loudest, others, least float64) {
	t.Helper()
	all, loudest, others, least = p.servedShares(loud)
	t.Logf("%-24s %7.0f %7.2f %7.2f %7.2f %7.2f", title, p.total().credit(), all, loudest, others, least)
	return all, loudest, others, least
}
