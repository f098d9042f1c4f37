// Package counter counts events by reason, one metric for each reason.
//
// # Usage
//
//	refusals := counter.New(scope, "refusals")
//	refusals.Inc(classifier.ReasonQueueFull)
//
// The metric of a reason is created at its first event. After that, counting takes no lock
// and allocates nothing.
package counter

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// reasonTag is the metric tag that holds the reason.
const reasonTag = "reason"

// Counter counts events of one name by reason.
type Counter struct {
	scope    tally.Scope
	name     string
	byReason sync.Map // classifier.Reason to tally.Counter
}

// New returns a counter whose metrics have the given name below scope.
func New(scope tally.Scope, name string) *Counter {
	return &Counter{scope: scope, name: name}
}

// Inc counts one event with the given reason.
func (c *Counter) Inc(reason classifier.Reason) {
	if m, ok := c.byReason.Load(reason); ok {
		m.(tally.Counter).Inc(1)
		return
	}
	metric := c.scope.Tagged(map[string]string{reasonTag: string(reason)}).Counter(c.name)
	m, _ := c.byReason.LoadOrStore(reason, metric)
	m.(tally.Counter).Inc(1)
}
