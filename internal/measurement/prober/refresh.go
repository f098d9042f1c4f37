package prober

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Refresh probes as many of the instances as the budgets allow, and waits until all
// of these have responded, but no longer than timeout. The responses are recorded in
// the pool.
func (p *Prober) Refresh(spec *compiler.ServiceSpec, instances []*registrar.Instance, timeout time.Duration) {
	responded := make(chan struct{}, len(instances))
	sent := 0
	for _, in := range instances {
		if p.sendProbe(spec, in, responded) {
			sent++
		}
	}
	if sent == 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range sent {
		select {
		case <-responded:
		case <-timer.C:
			return
		}
	}
}

// sendProbe sends a probe to an instance if the budgets allow it, and reports
// whether they do.
func (p *Prober) sendProbe(spec *compiler.ServiceSpec, in *registrar.Instance, responded chan struct{}) bool {
	now := time.Now()
	to := unmapped(in.Peer())
	p.mu.Lock()
	s := p.service(spec)
	if !s.budget.allows(now, maxExchangeCost) || !p.nodeBudget.take(now, maxExchangeCost) {
		p.mu.Unlock()
		p.metrics.probesDeferred.Inc(1)
		return false
	}
	s.budget.take(now, maxExchangeCost)
	msg := probe{nonce: p.unusedNonce(), instanceHash: hashID(in.ID())}
	p.pending[msg.nonce] = pendingProbe{instanceID: in.ID(), to: to, sentAt: now, service: s, responded: responded}
	p.mu.Unlock()
	p.send(to, msg.encode())
	return true
}
