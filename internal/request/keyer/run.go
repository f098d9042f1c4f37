package keyer

// maxAnswerSize bounds the body of a stored answer, in bytes.
const maxAnswerSize = 4 << 10

// Run is the first run of a key. One of its methods must be called at its end.
type Run struct {
	keyer  *Keyer
	record *Record
}

// Done tells that the run was answered. A large or missing answer is not kept.
func (r *Run) Done(answer *Answer) {
	r.keyer.mu.Lock()
	defer r.keyer.mu.Unlock()
	r.record.State = StateDone
	if answer != nil && len(answer.Body) <= maxAnswerSize {
		r.keyer.store.keepAnswer(r.record, answer)
	}
}

// NotRun tells that the request is proved not to have run: the key is free again.
func (r *Run) NotRun() { r.forget() }

// Unknown tells that it is not known whether the request ran. The key never
// runs again while it is remembered.
func (r *Run) Unknown() {
	r.keyer.mu.Lock()
	defer r.keyer.mu.Unlock()
	r.record.State = StateUnknown
}

func (r *Run) forget() {
	r.keyer.mu.Lock()
	defer r.keyer.mu.Unlock()
	r.keyer.store.remove(r.record.Key)
}
