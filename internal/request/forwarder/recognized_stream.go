package forwarder

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/request/relayer"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// recognizeStream reads a streamed body into memory if a request that differs at most by its body
// has crashed upstreams. It returns a refusal if that fails. Nothing has been sent yet.
func (c *call) recognizeStream() *refuser.Refusal {
	quarantine := c.forwarder.cfg.Quarantine
	if quarantine == nil || quarantine.Empty() {
		return nil
	}
	req := relayer.NewRequest(c.r, maps.Clone(c.header))
	f := fingerprinter.New(req)
	if !quarantine.MayHold(f) {
		return nil
	}
	if err := quarantine.Buffer(c.ctx, f); err != nil {
		return c.unrecognizedRefusal(err)
	}
	c.fingerprint = f
	if body, ok := f.Held(); ok {
		c.held, c.stream = body, nil
		return nil
	}
	c.stream.src = req.Body
	return nil
}

// unrecognizedRefusal returns the refusal of a request whose body could not be read into memory.
func (c *call) unrecognizedRefusal(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if c.ctx.Err() != nil {
		return refuser.New(classifier.NotRun, classifier.ReasonDeadline)
	}
	return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
}
