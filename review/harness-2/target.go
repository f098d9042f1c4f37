package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	targetSlots = 9
	targetQueue = 36
	targetWork  = 40 * time.Millisecond
	beatPeriod  = 1500 * time.Millisecond
)

// run is one run of a request at a target.
type run struct {
	at                        time.Duration
	id, service, caller, path string
}

// target is a sound target on a sidecar machine, as the protocol page describes it.
type target struct {
	fleet    *fleet
	machine  *machine
	id       string
	born     int64
	seq      atomic.Int64
	slots    chan struct{}
	waiting  atomic.Int64
	stopping chan struct{}

	mu   sync.Mutex
	runs []run
}

func newTarget(f *fleet, m *machine) (*target, error) {
	t := &target{
		fleet: f, machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, targetSlots), stopping: make(chan struct{}),
	}
	l, err := net.Listen("tcp", m.address(f.ports.app))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, t) }()
	go t.beat()
	return t, nil
}

// beat sends a heartbeat to the node beside the target every beatPeriod, and sooner until the
// first one is acknowledged.
func (t *target) beat() {
	client := &http.Client{Timeout: time.Second}
	url := "http://" + t.machine.address(t.fleet.ports.control) + "/-/Instances.Heartbeat/" + t.id
	for {
		body, _ := json.Marshal(map[string]any{
			"Service": t.machine.service, "Address": t.machine.address(t.fleet.ports.app), "Zone": t.machine.zone, "Version": "v1",
			"Slots": targetSlots, "State": "ready", "ColdRemainingS": 0, "Seq": t.seq.Add(1), "born": t.born,
		})
		pause := beatPeriod
		resp, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		select {
		case <-t.stopping:
			return
		case <-time.After(pause):
		}
	}
}

// ServeHTTP serves a request of the system.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(t.slots), t.waiting.Load(), targetSlots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", t.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		h.Set("Instance-Id", t.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.waiting.Add(1) > targetQueue {
		t.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slots <- struct{}{}:
		t.waiting.Add(-1)
	case <-r.Context().Done():
		t.waiting.Add(-1)
		return
	}
	defer func() { <-t.slots }()
	t.record(r)
	timeLeft := time.Duration(1<<62 - 1)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		timeLeft = time.Duration(ms * float64(time.Millisecond))
	}
	if timeLeft < targetWork {
		time.Sleep(timeLeft)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	select {
	case <-time.After(targetWork):
	case <-r.Context().Done():
		return
	}
	answer := answerBody(id, t.machine.service, body)
	h.Set("Server-Signature", signature(t.id, answer))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (t *target) record(r *http.Request) {
	run := run{
		at: t.fleet.rec.now(), id: r.Header.Get("Request-Id"), service: t.machine.service,
		caller: r.Header.Get("Caller-Service"), path: r.URL.RequestURI(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.fleet.rec.add("target %s of %s runs request %s (%s)", t.id, run.service, run.id, run.path)
}

func answerBody(id, service string, body []byte) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%s %s %d\n", id, service, len(body)), 10))
}

func signature(target string, body []byte) string {
	return fmt.Sprintf("%s.%d.%x", target, len(body), sha256.Sum256(body))
}

// validSignature reports whether a signature belongs to a body.
func validSignature(value string, body []byte) bool {
	target, _, _ := strings.Cut(value, ".")
	return value == signature(target, body)
}
