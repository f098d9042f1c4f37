// Package sampler stores what a node knows about the load of each instance: the
// newest load sample, the requests that the node sent to it since, and the
// latency and failure rate of the node's requests.
//
// # Usage
//
//	pool := sampler.New(sampler.Config{})
//	pool.Sent(id)                                      // before a request is sent
//	pool.Observe(id, incarnation, load, time.Now())    // with each load header or probe response
//	pool.Finished(id, sampler.Result{Latency: d})      // after the response
//	reading := pool.Read(id, maxAge, time.Now())       // when choosing an instance
//	outliers := pool.Outliers(query)                   // slow and failing instances
//
// A sample holds what the serving node counted, never what an upstream's own
// load endpoint claims. The node's own measurements (latency, failures, requests
// in flight) are lower bounds: a reading never shows less load, a lower latency or
// fewer failures.
//
// Reads take no lock. Writes for one instance are serialized.
package sampler

import (
	"sync"
	"time"
)

// defaultMaxRequestsPerSample is the default of Config.MaxRequestsPerSample.
const defaultMaxRequestsPerSample = 1

// Config lists the settings of a Pool.
type Config struct {
	// MaxRequestsPerSample is the number of requests that this node may send to an
	// instance before its sample counts as stale; 0 means the default.
	MaxRequestsPerSample int
}

// Result is the outcome of one request sent to an instance.
type Result struct {
	// Latency is the time from sending the request until its response begins.
	Latency time.Duration
	// Failed means that the instance or its upstream failed the request.
	Failed bool
	// Refused means that the instance refused the request without running it. A
	// refusal counts neither as a failure nor as a latency.
	Refused bool
}

// Pool holds an entry for each instance that was sampled or sent a request.
type Pool struct {
	maxRequestsPerSample int64
	entries              sync.Map // Instance id to *entry.
	outlierCaches        sync.Map // Service name to *outlierCache.
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.MaxRequestsPerSample <= 0 {
		cfg.MaxRequestsPerSample = defaultMaxRequestsPerSample
	}
	return &Pool{maxRequestsPerSample: int64(cfg.MaxRequestsPerSample)}
}

// Finished records the end of a request that was recorded by Sent.
func (p *Pool) Finished(instanceID string, result Result) {
	e, ok := p.entries.Load(instanceID)
	if !ok {
		return
	}
	e.(*entry).recordResult(result, time.Now())
}

// Observe records a sample that was taken at the given incarnation of an
// instance and received at now. It drops a sample of an earlier incarnation and
// one older than the sample held. The first sample of a new incarnation discards
// the statistics of the previous one.
func (p *Pool) Observe(instanceID string, incarnation uint64, l Load, now time.Time) {
	p.entry(instanceID).observe(sample{incarnation: incarnation, load: l, receivedAt: now})
}

// Read returns what is known about an instance. A sample older than maxAge does
// not count as fresh.
func (p *Pool) Read(instanceID string, maxAge time.Duration, now time.Time) Reading {
	e, ok := p.entries.Load(instanceID)
	if !ok {
		return Reading{}
	}
	return e.(*entry).read(p.maxRequestsPerSample, maxAge, now)
}

// RateWait returns how long an incarnation of an instance refuses requests because of the
// rate limit that its upstream advertises, as far as the newest sample tells.
func (p *Pool) RateWait(instanceID string, incarnation uint64, now time.Time) time.Duration {
	e, ok := p.entries.Load(instanceID)
	if !ok {
		return 0
	}
	s := e.(*entry).sample.Load()
	if s == nil || s.incarnation != incarnation {
		return 0
	}
	return max(s.load.spec.Rate.Wait-now.Sub(s.receivedAt), 0)
}

// Retain removes every instance for which keep returns false, unless requests of
// this node to it are in flight.
func (p *Pool) Retain(keep func(instanceID string) bool) {
	p.entries.Range(func(id, e any) bool {
		if !keep(id.(string)) && e.(*entry).outstanding.Load() <= 0 {
			p.entries.Delete(id)
		}
		return true
	})
}

// Sent records that a request is sent to an instance. The caller must call Finished
// when the request ends.
func (p *Pool) Sent(instanceID string) {
	e := p.entry(instanceID)
	e.lastSentAt.Store(time.Now().UnixNano())
	e.outstanding.Add(1)
	e.sentSinceSample.Add(1)
}

// SentSince returns the ids of the instances to which this node sent a request at
// or after t.
func (p *Pool) SentSince(t time.Time) []string {
	var ids []string
	p.entries.Range(func(id, e any) bool {
		if e.(*entry).lastSentAt.Load() >= t.UnixNano() {
			ids = append(ids, id.(string))
		}
		return true
	})
	return ids
}

// entry returns the entry of an instance. It adds an empty one if there is none.
func (p *Pool) entry(instanceID string) *entry {
	if e, ok := p.entries.Load(instanceID); ok {
		return e.(*entry)
	}
	e, _ := p.entries.LoadOrStore(instanceID, &entry{})
	return e.(*entry)
}
