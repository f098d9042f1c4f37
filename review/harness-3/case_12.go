package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["12"] = uploadsToDrainedTarget }

const (
	recordingHost = "ljud.example"
	recordings    = 12
	// bodyDelay is the time from the head of a recording to the first part of its body.
	bodyDelay = 2800 * time.Millisecond
	// partDelay is the time from one part to the next.
	recordingParts = 12
	partDelay      = 100 * time.Millisecond
	// drainDelay is the time from the head to the heartbeat that says that a target is draining, and
	// drainStay how long the target stays after the acknowledgement: drainTime and a little longer.
	drainDelay = 300 * time.Millisecond
	drainStay  = drainTime + 1100*time.Millisecond
)

// uploadsToDrainedTarget sends uploads whose bodies begin some time after their heads. In between one
// of the targets says that it is draining. Without the trouble none does.
func uploadsToDrainedTarget(f *fleet, trouble bool) ([]string, error) {
	const service, other = "ljudarkiv", "agentvy"
	if err := f.start(service, service, service, other); err != nil {
		return nil, err
	}
	var first *target
	for i, m := range f.nodes() {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = t
		}
	}
	route := newRoute("r-upload", "/ljud/", "upload", service)
	route.TimeoutS, route.LatencySloS = 8, 1.2
	status, err := f.order("/-/Config.Replace", "00000000", newConfig("00000001", recordingHost, []string{service, other}, route))
	if err != nil || status != 200 {
		return nil, fmt.Errorf("configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * contactTime)
	entry := f.nodes()[len(f.nodes())-1]
	answered := make(chan string)
	for range recordings {
		go func() { answered <- entry.sendRecording() }()
	}
	var ackedAt time.Time
	if trouble {
		time.Sleep(drainDelay)
		if ackedAt, err = first.drain(); err != nil {
			return nil, err
		}
	}
	complete := make(map[string]bool)
	for range recordings {
		complete[<-answered] = true
	}
	delete(complete, "")
	if !trouble {
		f.rec.notef("%d of %d recordings are answered by a target", len(complete), recordings)
		return nil, nil
	}
	var breaks []string
	lost := 0
	for _, head := range first.takenHeads() {
		late := head.reached.Sub(ackedAt)
		if late <= drainTime {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("DRAIN: %s reaches %s %.2f s after it was acknowledged that it is draining", head.id, first.id, late.Seconds()))
		if !complete[head.id] {
			lost++
		}
	}
	f.rec.notef("%d of %d recordings reach the target too late, %d of these are lost as it ends", len(breaks), recordings, lost)
	return breaks, nil
}

// takenHeads returns the requests whose heads have reached the target.
func (t *target) takenHeads() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.heads...)
}

// drain says that the target is draining until that is acknowledged, and returns when it was. The
// target deregisters and ends after drainStay.
func (t *target) drain() (time.Time, error) {
	t.draining.Store(true)
	for range 20 {
		if t.heartbeat() {
			acked := time.Now()
			t.fleet.rec.notef("%s is draining, which is acknowledged", t.id)
			time.AfterFunc(drainStay, func() {
				t.deregister()
				t.crash()
			})
			return acked, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, errTimeout
}

// sendRecording sends an upload in chunks, the first of them bodyDelay after the head. It returns the id
// of the request if a target answered it with success, or an empty one.
func (m *machine) sendRecording() string {
	id := newID()
	conn, err := m.dial()
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(9 * time.Second))
	m.fleet.rec.notef("%s: the head is sent to %s", id, m.name)
	fmt.Fprintf(conn, "POST /ljud/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", id, recordingHost, id)
	time.Sleep(bodyDelay)
	part := strings.Repeat("r", 8000)
	for range recordingParts {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(partDelay)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		m.fleet.rec.notef("%s has no answer: %v", id, err)
		return ""
	}
	defer resp.Body.Close()
	m.fleet.rec.notef("%s answered: %d, signature %q", id, resp.StatusCode, resp.Header.Get("Server-Signature"))
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Server-Signature") == "" {
		return ""
	}
	return id
}
