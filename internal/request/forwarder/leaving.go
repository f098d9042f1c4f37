package forwarder

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// ServeUntil makes the forwarder refuse all further requests whose deadline is later than
// end, at which the node stops.
func (f *Forwarder) ServeUntil(end time.Time) { f.servesUntil.Store(&end) }

// leavingRefusal returns the refusal of a request that may last longer than the node, or nil.
func (c *call) leavingRefusal() *refuser.Refusal {
	end := c.forwarder.servesUntil.Load()
	deadline, _ := c.ctx.Deadline()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	return refuser.New(classifier.NotRun, classifier.ReasonLeaving)
}
