package forwarder

import (
	"net/http"

	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// identify returns the organisation whose API key a request has. It returns nil for a request
// without a key, such as a call of an upstream, and on a public route. A request with an unknown
// key is refused.
func (f *Forwarder) identify(
	r *http.Request, cfg *compiler.Configuration, matched *compiler.Route,
) (*compiler.Organisation, *refuser.Refusal) {
	if cfg.Organisations().Empty() || matched.Public() {
		return nil, nil
	}
	keys := r.Header.Values(f.apiKeyHeader())
	if len(keys) == 0 {
		return nil, nil
	}
	organisation := cfg.Organisations().ByAPIKey(keys[0])
	if organisation == nil || len(keys) > 1 {
		return nil, refuser.New(classifier.NotRun, classifier.ReasonUnknownKey)
	}
	return organisation, nil
}

// replaceOrganisationHeaders removes the headers by which a caller identifies its organisation,
// and sets that of the node.
func (f *Forwarder) replaceOrganisationHeaders(header http.Header, route *route) {
	if !route.organisationsKnown {
		return
	}
	header.Del(f.apiKeyHeader())
	if name := f.cfg.Headers.Organisation; name != "" {
		header.Del(name)
	}
	if route.organisation != nil {
		header[classifier.HeaderOrganisation] = []string{route.organisation.Name()}
	}
}

// takeQuota takes a request from the quota of its organisation.
func (c *call) takeQuota() *refuser.Refusal {
	if !c.hasQuota() {
		return nil
	}
	ticket, retryAfter := c.forwarder.cfg.Quota.Take(c.ctx, c.route.organisation)
	if !ticket.Taken() {
		return refuser.New(classifier.NotRun, classifier.ReasonQuota).WithRetryAfter(retryAfter)
	}
	c.quotaTicket = ticket
	return nil
}

// renewQuota takes the request again if its ticket has ended while the body was read. Requests whose
// bodies stalled and go on together would else all run in one window.
func (c *call) renewQuota() *refuser.Refusal {
	if !c.quotaTicket.Taken() || c.forwarder.cfg.Quota.Valid(c.quotaTicket) {
		return nil
	}
	return c.takeQuota()
}

// hasQuota reports whether the request counts against a quota.
func (c *call) hasQuota() bool {
	organisation := c.route.organisation
	return c.forwarder.cfg.Quota != nil && organisation != nil && organisation.Limited()
}

// takeFurtherQuota takes one more request for an attempt beside one that may run, or after it. It
// returns false if there is no room without waiting, and the attempt must not be sent.
func (c *call) takeFurtherQuota() bool {
	if !c.hasQuota() {
		return true
	}
	taken := c.forwarder.cfg.Quota.TakeNow(c.route.organisation).Taken()
	if !taken {
		c.forwarder.retryDenials.Inc(classifier.ReasonQuota)
	}
	return taken
}

// returnQuota gives back what takeQuota took for a request that has not run.
func (c *call) returnQuota(refusal *refuser.Refusal) {
	if c.quotaTicket.Taken() && refusal.Outcome() == classifier.NotRun {
		c.forwarder.cfg.Quota.Return(c.route.organisation, c.quotaTicket)
	}
}

func (f *Forwarder) apiKeyHeader() string {
	if f.cfg.Headers.APIKey == "" {
		return classifier.HeaderAPIKey
	}
	return f.cfg.Headers.APIKey
}
