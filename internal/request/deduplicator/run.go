package deduplicator

// Maximum sizes of a stored response, in bytes.
const (
	maxStoredBody   = 4 << 10
	maxStoredHeader = 4 << 10
)

// Run is the first run of a key. Exactly one of Done, NotRun and Unknown must be
// called when it ends.
type Run struct {
	deduplicator *Deduplicator
	record       *Record
}

// Done records that the upstream responded. The response is not stored if it is nil,
// larger than the maximum sizes, or would exceed Config.MaxBytes.
func (r *Run) Done(resp *Response) {
	r.deduplicator.mu.Lock()
	defer r.deduplicator.mu.Unlock()
	r.record.State = StateDone
	if resp != nil && len(resp.Body) <= maxStoredBody && resp.headerSize() <= maxStoredHeader {
		r.deduplicator.store.keepResponse(r.record, resp)
	}
}

// NotRun records that the request provably did not run, so that the key can run
// again.
func (r *Run) NotRun() { r.release() }

// Unknown records that the request may have run. The key cannot run again until
// its record expires.
func (r *Run) Unknown() {
	r.deduplicator.mu.Lock()
	defer r.deduplicator.mu.Unlock()
	r.record.State = StateUnknown
}

// release removes the record of the key.
func (r *Run) release() {
	r.deduplicator.mu.Lock()
	defer r.deduplicator.mu.Unlock()
	r.deduplicator.store.remove(r.record.Key)
}
