package forwarder

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/tracker"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// ServeUntil makes the forwarder refuse all further requests whose deadline is later than
// end, at which the node stops.
func (f *Forwarder) ServeUntil(end time.Time) { f.servesUntil.Store(&end) }

// OpenRequests returns the number of requests that have not ended.
func (f *Forwarder) OpenRequests() int { return f.open.Len() }

// ReportCut logs and counts the requests that have not ended. The node must be about to cut them.
func (f *Forwarder) ReportCut() {
	f.open.Log(f.cfg.Log, "Request is open at the end of the stop.", func(stage tracker.Stage) {
		f.cuts.Inc(classifier.Reason(stage))
	})
}

// leavingRefusal returns the refusal of a request that may last longer than the node, or nil.
func (c *call) leavingRefusal() *refuser.Refusal {
	end := c.forwarder.servesUntil.Load()
	deadline, _ := c.ctx.Deadline()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	return refuser.New(classifier.NotRun, classifier.ReasonLeaving)
}
