package main

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["15"] = silentTargetDuringStop }

const (
	guideHost = "guias.example"
	// guideBytes is the size of a guide, and guidePart what its target sends before it is silent.
	guideBytes = 300_000
	guidePart  = 120_000
	// guideSilence is how long a target prepares the rest. The whole answer takes less than the
	// client's deadline and the route's timeout.
	guideSilence  = 1300 * time.Millisecond
	guideDeadline = 3 * time.Second
	guideClients  = 4
)

// silentTargetDuringStop downloads guides from targets that are silent for a while within an answer,
// and sends SIGTERM to the machine that has taken the requests from the clients. The answers name an
// entity tag. Without the trouble there is no SIGTERM.
func silentTargetDuringStop(f *fleet, trouble bool) ([]string, error) {
	const service = "biblioteca"
	if err := f.start(service, service, service); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		t.handle = t.sendGuide
	}
	route := newRoute("r-guides", "/guias/", "download", service)
	route.TimeoutS, route.LatencySloS = guideDeadline.Seconds(), 0.3
	status, err := f.order("/-/Config.Replace", "00000000", newConfig("00000001", guideHost, []string{service}, route))
	if err != nil || status != 200 {
		return nil, fmt.Errorf("configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * contactTime) // Planned work of the configuration is over, all machines are in touch.
	entry := f.nodes()[0]
	results := make(chan result, guideClients)
	for range guideClients {
		go func() {
			results <- entry.send(request{method: "GET", host: guideHost, uri: "/guias/colores", deadline: guideDeadline})
		}()
	}
	time.Sleep(200 * time.Millisecond)
	terminated := false
	if trouble {
		entry.signal(syscall.SIGTERM)
		terminated = true
	}
	var breaks []string
	for range guideClients {
		res := <-results
		took := time.Since(res.sentAt)
		switch {
		case res.status == 200 && len(res.body) == guideBytes:
		case !terminated:
			f.rec.notef("%s ends early, which counts only around planned work", res.id)
		case len(f.runs()[res.id]) == 0:
			f.rec.notef("%s wasn't passed on to a target", res.id)
		case took >= guideDeadline-50*time.Millisecond:
			f.rec.notef("%s ends at the deadline", res.id)
		default:
			breaks = append(breaks, fmt.Sprintf(
				"LOST: %s was passed on to a target, and its connection ends without a complete answer %.1f s after it was sent: %d of %d bytes",
				res.id, took.Seconds(), len(res.body), guideBytes))
		}
	}
	return breaks, nil
}

// sendGuide answers with a guide. The target offers no parts of it, as it need not (RFC 9110, section
// 14.2), and goes on with its answer after the silence.
func (t *target) sendGuide(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Length", strconv.Itoa(guideBytes))
	h.Set("Content-Type", "application/pdf")
	h.Set("Etag", `"guide-7"`)
	guide := make([]byte, guideBytes)
	if _, err := w.Write(guide[:guidePart]); err != nil {
		return
	}
	w.(http.Flusher).Flush()
	time.Sleep(guideSilence)
	id := r.Header.Get("Request-Id")
	if _, err := w.Write(guide[guidePart:]); err != nil {
		t.fleet.rec.notef("%s can't send the rest of %s: the caller has closed the connection", t.id, id)
		return
	}
	w.(http.Flusher).Flush()
	t.fleet.rec.notef("%s has sent all of %s", t.id, id)
}
