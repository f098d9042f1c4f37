package launcher

import (
	"encoding/json"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
)

// QuarantinePath is the path of the page that lists the requests that were in flight in crashes.
// DELETE of the path of a fingerprint below it lets that request run again.
const QuarantinePath = "/quarantine"

// QuarantineEntry is the JSON form of the evidence against one request.
type QuarantineEntry struct {
	Fingerprint string `json:"fingerprint"`
	Standing    string `json:"standing"`
	// Crashes counts the crashes since the request last ran to its end.
	Crashes int `json:"crashes"`
	// LastCrashMS is the time since the last crash, and HeldForMS the time for which the request
	// does not run yet, in milliseconds.
	LastCrashMS int64 `json:"last-crash-ms"`
	HeldForMS   int64 `json:"held-for-ms"`
}

// mountQuarantine adds the pages of the quarantine to the handler for operators.
func (q *fleetQuarantine) mountQuarantine(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(QuarantinePath), q.serveQuarantine)
	mux.HandleFunc(pat.Delete(QuarantinePath+"/:fingerprint"), q.serveLift)
}

func (q *fleetQuarantine) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	entries := []QuarantineEntry{}
	for _, e := range q.quarantiner.Evidence() {
		entries = append(entries, newQuarantineEntry(e, now))
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(entries) // Fails only if the client disconnected.
}

func newQuarantineEntry(e quarantiner.Evidence, now time.Time) QuarantineEntry {
	return QuarantineEntry{
		Fingerprint: e.Fingerprint.String(),
		Standing:    e.Standing(now).String(),
		Crashes:     e.Streak(),
		LastCrashMS: now.Sub(e.Newest()).Milliseconds(),
		HeldForMS:   max(e.HeldUntil().Sub(now), 0).Milliseconds(),
	}
}

func (q *fleetQuarantine) serveLift(w http.ResponseWriter, r *http.Request) {
	f, err := fingerprinter.Parse(pat.Param(r, "fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !q.quarantiner.Lift(f) {
		http.Error(w, "no crash counts against this request", http.StatusNotFound)
	}
}
