package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"
)

// continueValue is the value of Expect of an upload. It is shared by all requests and must not be
// modified.
var continueValue = []string{"100-continue"}

// uploads reports whether the request has a large body that its route expects.
func (c *call) uploads() bool {
	return c.route.largeRequest && (c.stream != nil || c.held != nil)
}

// bodySize returns the number of bytes of the body, or 0 if that is unknown.
func (c *call) bodySize() int {
	if c.held != nil {
		return len(c.held)
	}
	return int(max(c.r.ContentLength, 0))
}

// sendTime returns the estimated time until a large body has been sent to another node.
func (c *call) sendTime() time.Duration {
	if c.forwarder.cfg.Link == nil || !c.uploads() {
		return 0
	}
	return c.forwarder.cfg.Link.EstimatedTime(c.bodySize())
}

// prepareUpload lets the serving node of an upload ask for the body once it has admitted the request,
// and sends the body at the rate of the link. Until it asks, the body can be sent elsewhere.
func (c *call) prepareUpload(ctx context.Context, req *http.Request) {
	req.Header["Expect"] = continueValue
	if link := c.forwarder.cfg.Link; link != nil {
		req.Body = &linkBody{ReadCloser: req.Body, ctx: ctx, link: link, size: c.bodySize()}
	}
}

// linkBody is a request body that is scheduled on the link from its first read on. Short messages do
// not wait behind it.
type linkBody struct {
	io.ReadCloser
	ctx   context.Context
	link  Link
	size  int
	begun bool
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.ReadCloser = b.link.Begin(b.ctx, b.size, b.ReadCloser)
	}
	return b.ReadCloser.Read(p)
}
