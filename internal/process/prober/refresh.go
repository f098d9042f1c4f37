package prober

import (
	"time"

	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

// Refresh asks the instances for their load and waits until all have answered,
// but no longer than timeout. It asks as many as the budgets allow. What the
// answers say is in the pool then.
func (p *Prober) Refresh(spec *compiler.ServiceSpec, instances []*registrar.Instance, timeout time.Duration) {
	answered := make(chan struct{}, len(instances))
	sent := 0
	for _, in := range instances {
		if p.ask(spec, in, answered) {
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
		case <-answered:
		case <-timer.C:
			return
		}
	}
}

// ask sends a probe to one instance, and reports whether it did.
func (p *Prober) ask(spec *compiler.ServiceSpec, in *registrar.Instance, answered chan struct{}) bool {
	now := time.Now()
	to := unmapped(in.Peer())
	p.mu.Lock()
	t := p.target(spec)
	if !t.budget.allows(now, exchangeCost) || !p.node.take(now, exchangeCost) {
		p.mu.Unlock()
		p.metrics.deferred.Inc(1)
		return false
	}
	t.budget.take(now, exchangeCost)
	q := probe{nonce: p.nonce(), instance: hashID(in.ID())}
	p.pending[q.nonce] = pending{instanceID: in.ID(), to: to, sent: now, answered: answered}
	p.mu.Unlock()
	p.send(to, q.encode())
	return true
}
