// Package sampler holds what a node knows about the load of other instances:
// the newest sample of each, its own requests sent since, and what became of
// the requests that it sent.
//
// # Usage
//
//	pool := sampler.New(sampler.Config{})
//	pool.Sent(id)                                      // before a request goes out
//	pool.Observe(id, incarnation, load, time.Now())    // with each load header or probe answer
//	pool.Finished(id, sampler.Result{Latency: d})      // after the answer
//	reading := pool.Read(id, maxAge, time.Now())       // on the path of a choice
//	outliers := pool.Outliers(query)                   // stragglers and fast failers
//
// A sample is what the serving node counted, never what an upstream's own
// load endpoint claims. What the path of requests saw (latency, failures, own
// requests in flight) stands beside it and bounds it from below: a reading is
// never better than that.
//
// Reads take no lock. Writes for one instance are serialized among themselves.
package sampler

import (
	"sync"
	"time"
)

// defaultMaxRequestsPerSample is how many own requests one sample may serve.
const defaultMaxRequestsPerSample = 1

// Config lists the settings of a Pool.
type Config struct {
	// UseLimit is how many own requests may be sent on one sample before it
	// counts as stale; 0 for the default.
	UseLimit int
}

// Result tells what became of one request sent to an instance.
type Result struct {
	// Latency is the time from sending the request to the head of its answer.
	Latency time.Duration
	// Failed means that the instance or its upstream failed the request.
	Failed bool
	// Refused means that the instance refused it as not run. A refusal counts
	// neither as a failure nor as a latency.
	Refused bool
}

// Pool holds one entry for each instance that was observed or sent to.
type Pool struct {
	maxRequestsPerSample int64
	entries              sync.Map // Instance id to *entry.
	outlierCaches        sync.Map // Service name to *evaluation.
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.UseLimit <= 0 {
		cfg.UseLimit = defaultMaxRequestsPerSample
	}
	return &Pool{maxRequestsPerSample: int64(cfg.UseLimit)}
}

// Finished records the end of a request that Sent announced.
func (p *Pool) Finished(instanceID string, result Result) {
	e, ok := p.entries.Load(instanceID)
	if !ok {
		return
	}
	e.(*entry).recordResult(result, time.Now())
}

// Observe records a sample that was taken at the given incarnation of an
// instance and arrived now. A sample of an older incarnation, or older than
// the one held, is dropped. The first sample of a new incarnation clears what
// was known of the one before.
func (p *Pool) Observe(instanceID string, incarnation uint64, l Load, now time.Time) {
	p.entry(instanceID).observe(sample{incarnation: incarnation, load: l, receivedAt: now})
}

// Read returns what is known about an instance now. A sample older than
// maxAge does not count as fresh.
func (p *Pool) Read(instanceID string, maxAge time.Duration, now time.Time) Reading {
	e, ok := p.entries.Load(instanceID)
	if !ok {
		return Reading{}
	}
	return e.(*entry).read(p.maxRequestsPerSample, maxAge, now)
}

// Retain forgets every instance for which keep returns false, unless own
// requests to it are still in flight.
func (p *Pool) Retain(keep func(instanceID string) bool) {
	p.entries.Range(func(id, e any) bool {
		if !keep(id.(string)) && e.(*entry).outstanding.Load() <= 0 {
			p.entries.Delete(id)
		}
		return true
	})
}

// Sent records that a request goes out to an instance. Finished must follow.
func (p *Pool) Sent(instanceID string) {
	e := p.entry(instanceID)
	e.lastSent.Store(time.Now().UnixNano())
	e.outstanding.Add(1)
	e.sentSinceSample.Add(1)
}

// SentSince returns the ids of the instances to which requests were sent at or
// after t.
func (p *Pool) SentSince(t time.Time) []string {
	var ids []string
	p.entries.Range(func(id, e any) bool {
		if e.(*entry).lastSent.Load() >= t.UnixNano() {
			ids = append(ids, id.(string))
		}
		return true
	})
	return ids
}

func (p *Pool) entry(instanceID string) *entry {
	if e, ok := p.entries.Load(instanceID); ok {
		return e.(*entry)
	}
	e, _ := p.entries.LoadOrStore(instanceID, &entry{})
	return e.(*entry)
}
