package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRankOfConnections(t *testing.T) {
	const short, long = bodyPatience / 2, 2 * bodyPatience
	for name, tc := range map[string]struct {
		state             state
		since             time.Duration
		reading, hijacked bool
		want              rank
	}{
		"no head":               {pending, short, false, false, sentNoHead},
		"no next head of peer":  {pending, short, false, true, sentNoHead},
		"idle":                  {idle, short, false, false, isIdle},
		"idle of peer":          {idle, long, false, true, isIdleOfPeer},
		"request is complete":   {active, long, false, false, keeps},
		"body is awaited":       {active, short, true, false, keeps},
		"body is awaited long":  {active, long, true, false, sendsNoBody},
		"response is written":   {closing, short, false, false, isClosing},
		"has lost its place":    {displaced, long, false, false, keeps},
		"body of peer is short": {active, short, true, true, keeps},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, rankOf(tc.state, tc.since, tc.reading, tc.hijacked), tc.want)
		})
	}
}

func TestOlderHalfOfFirstRankLosesItsPlaces(t *testing.T) {
	ranks := func(ranks ...rank) []candidate {
		var list []candidate
		for i, r := range ranks {
			list = append(list, candidate{rank: r, since: int64(i)})
		}
		return list
	}
	assert.Equal(t, len(firstOut(nil, 4)), 0)
	assert.Equal(t, len(firstOut(ranks(isIdle), 4)), 1)
	assert.Equal(t, len(firstOut(ranks(sentNoHead, isIdle, isIdle, isIdle), 4)), 1)
	assert.Equal(t, len(firstOut(ranks(isIdle, isIdle, isIdle, isIdle, isIdle, isIdle), 4)), 3)
	assert.Equal(t, len(firstOut(ranks(isIdle, isIdle, isIdle, isIdle, isIdle, isIdle), 2)), 2)
}
