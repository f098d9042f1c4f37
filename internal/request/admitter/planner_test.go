package admitter

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// planCase is one waiting request of a plan. Its cost is its work unless it is set.
type planCase struct {
	name                 string
	work, goal, deadline time.Duration
	cost                 float64
	entering             bool
	delay                time.Duration
}

// planned plans requests of one class and returns their names by verdict, in order.
func planned(free []time.Duration, pace pace, requests []planCase) (inTime, late, hopeless string) {
	p := planner{}
	p.reset(free, len(free))
	class := make([]candidate, len(requests))
	costs := make(map[*candidate]float64)
	for i, r := range requests {
		class[i] = candidate{work: r.work, goal: r.goal, deadline: r.deadline, delay: r.delay, entering: r.entering, share: 1, excess: 1}
		if costs[&class[i]] = r.cost; r.cost == 0 {
			costs[&class[i]] = r.work.Seconds()
		}
	}
	p.cost = func(c *candidate) float64 { return costs[c] }
	p.plan(class, pace)
	names := make([][]string, verdictHopeless+1)
	for order := range class {
		for i := range class {
			if class[i].order == order {
				names[class[i].verdict] = append(names[class[i].verdict], requests[i].name)
			}
		}
	}
	return strings.Join(names[0], " "), strings.Join(names[1], " "), strings.Join(names[2], " ")
}

func TestPlan(t *testing.T) {
	full := pace{share: 1, lateShare: 1, turn: never}
	second := time.Second
	for name, tc := range map[string]struct {
		free                   []time.Duration
		pace                   pace
		requests               []planCase
		inTime, late, hopeless string
	}{
		"all in time, by goal": {
			[]time.Duration{0, 0}, full,
			[]planCase{{name: "a", work: 100 * ms, goal: 200 * ms, deadline: second}, {name: "b", work: 100 * ms, goal: 300 * ms, deadline: second}, {name: "c", work: 100 * ms, goal: 400 * ms, deadline: second}},
			"a b c", "", "",
		},
		"the longest is left out, and follows": {
			[]time.Duration{0}, full,
			[]planCase{{name: "long", work: 300 * ms, goal: 400 * ms, deadline: second}, {name: "b", work: 100 * ms, goal: 400 * ms, deadline: second}, {name: "c", work: 100 * ms, goal: 400 * ms, deadline: second}},
			"b c", "long", "",
		},
		"nothing is left out for a similar one": {
			[]time.Duration{0}, full,
			[]planCase{{name: "a", work: 300 * ms, goal: 400 * ms, deadline: second}, {name: "b", work: 200 * ms, goal: 400 * ms, deadline: second}},
			"a", "b", "",
		},
		"a new one that comes first does not put out a waiting one": {
			[]time.Duration{0}, full,
			[]planCase{{name: "new", work: 200 * ms, goal: 300 * ms, deadline: second, entering: true}, {name: "waiting", work: 200 * ms, goal: 350 * ms, deadline: second}},
			"waiting", "new", "",
		},
		"a call is left out for nothing": {
			[]time.Duration{0}, full,
			[]planCase{{name: "call", work: 300 * ms, goal: 350 * ms, deadline: second, cost: 0.001}, {name: "b", work: 100 * ms, goal: 360 * ms, deadline: second}},
			"call", "b", "",
		},
		"above its share": {
			[]time.Duration{0}, full,
			[]planCase{{name: "loud", work: 100 * ms, goal: 200 * ms, deadline: second, cost: 1}, {name: "quiet", work: 150 * ms, goal: 220 * ms, deadline: second}},
			"quiet", "loud", "",
		},
		"late ones by deadline, and one hopeless": {
			[]time.Duration{200 * ms}, full,
			[]planCase{{name: "a", work: 100 * ms, goal: 0, deadline: second}, {name: "b", work: 100 * ms, goal: 0, deadline: 500 * ms}, {name: "c", work: 100 * ms, goal: 0, deadline: 250 * ms}},
			"", "b a", "c",
		},
		"late ones count on the late share": {
			[]time.Duration{200 * ms}, pace{share: 1, lateShare: 0.1, turn: never},
			[]planCase{{name: "a", work: 100 * ms, goal: 0, deadline: second}},
			"", "", "a",
		},
		"higher classes take their share": {
			[]time.Duration{100 * ms}, pace{share: 0.25, lateShare: 0.25, turn: never},
			[]planCase{{name: "a", work: 100 * ms, goal: 450 * ms, deadline: second}},
			"", "a", "",
		},
		"but leave some turns": {
			[]time.Duration{100 * ms}, pace{share: 0.25, lateShare: 0.25, turn: 200 * ms},
			[]planCase{{name: "a", work: 100 * ms, goal: 450 * ms, deadline: second}},
			"a", "", "",
		},
		"a slowdown delays the start": {
			[]time.Duration{0}, full,
			[]planCase{{name: "a", work: 100 * ms, goal: 200 * ms, deadline: second, delay: 150 * ms}, {name: "b", work: 20 * ms, goal: 250 * ms, deadline: second}},
			"b", "a", "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			inTime, late, hopeless := planned(tc.free, tc.pace, tc.requests)
			assert.Equal(t, inTime, tc.inTime)
			assert.Equal(t, late, tc.late)
			assert.Equal(t, hopeless, tc.hopeless)
		})
	}
}

func TestPlanUsesSlotsInOrder(t *testing.T) {
	p := planner{cost: func(c *candidate) float64 { return c.work.Seconds() }}
	p.reset([]time.Duration{300 * ms, 100 * ms, 200 * ms, 50 * ms}, 3) // The limit has fallen by one.
	class := make([]candidate, 4)
	for i := range class {
		class[i] = candidate{work: 100 * ms, goal: never, deadline: never, share: 1, excess: 1}
	}
	room := p.plan(class, pace{share: 1, lateShare: 1, turn: never})
	for i, start := range []time.Duration{100 * ms, 200 * ms, 200 * ms, 300 * ms} {
		assert.Equal(t, class[i].start, start)
	}
	assert.Equal(t, room.inTime, 300*ms)
}
