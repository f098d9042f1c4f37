package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a target ran.
type arrival struct {
	reached, at              time.Time // When its head came, and when all of it had.
	id, method, uri, service string
	target                   string
	header                   http.Header
	body                     []byte
}

// target is a stand-in for an application target, which behaves as the pages say.
type target struct {
	fleet   *fleet
	machine *machine
	id      string
	service string
	slots   int
	work    time.Duration
	born    int64
	// handle answers requests that are run; nil for a plain answer.
	handle func(w http.ResponseWriter, r *http.Request)

	running  atomic.Int64
	draining atomic.Bool
	seq      atomic.Int64
	server   *http.Server
	quit     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	heads    []arrival // Requests whose heads came, without their bodies.
	arrivals []arrival
}

// startTarget starts a target beside a node, and its heartbeats.
func (f *fleet) startTarget(m *machine, id string) (*target, error) {
	t := &target{
		fleet: f, machine: m, id: id, service: m.service, slots: 9, work: 20 * time.Millisecond,
		born: time.Now().UnixMilli(), quit: make(chan struct{}),
	}
	return t, t.start()
}

func (t *target) start() error {
	listener, err := net.Listen("tcp", t.machine.address(portTarget))
	if err != nil {
		return fmt.Errorf("listen for target: %w", err)
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	go t.beat()
	t.fleet.mu.Lock()
	t.fleet.targets = append(t.fleet.targets, t)
	t.fleet.mu.Unlock()
	t.fleet.rec.notef("target %s of %s started beside %s", t.id, t.service, t.machine.name)
	return nil
}

// crash ends the target without a word.
func (t *target) crash() {
	t.once.Do(func() {
		close(t.quit)
		_ = t.server.Close()
	})
}

// beat sends a heartbeat at once and then each heartbeatInterval.
func (t *target) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		for !t.heartbeat() {
			select {
			case <-t.quit:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		select {
		case <-t.quit:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (t *target) heartbeat() bool {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.machine.address(portTarget), "Zone": t.machine.zone, "Version": "v1",
		"Slots": t.slots, "State": state, "ColdRemainingS": 0, "Seq": t.seq.Add(1), "born": t.born,
	})
	return t.say("Heartbeat", body)
}

// deregister says that the target is about to end, and reports whether that was acknowledged.
func (t *target) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": t.born})
	return t.say("Deregister", body)
}

// say sends a call about the target to the node beside it.
func (t *target) say(call string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+t.machine.address(portControl)+"/-/Instances."+call+"/"+t.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

func (t *target) load() string {
	return fmt.Sprintf("%d,0,%d,100", t.running.Load(), t.slots)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	w.Header().Set("Server-Load", t.load())
	if r.URL.Path == "/health" && r.Header.Get("Request-Id") == "" {
		w.Header().Set("Instance-Id", t.id)
		if t.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.addHead(arrival{reached: reached, id: r.Header.Get("Request-Id"), target: t.id})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request never came whole, and isn't run.
	}
	t.running.Add(1)
	defer t.running.Add(-1)
	t.add(arrival{
		reached: reached, at: time.Now(), id: r.Header.Get("Request-Id"), method: r.Method, uri: r.RequestURI, service: t.service,
		target: t.id, header: r.Header.Clone(), body: body,
	})
	w.Header().Set("Server-Signature", t.id)
	if t.handle != nil {
		t.handle(w, r)
		return
	}
	time.Sleep(t.work)
	fmt.Fprintf(w, "answer of %s of %s\n", t.id, t.service)
}

func (t *target) addHead(a arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heads = append(t.heads, a)
}

func (t *target) add(a arrival) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
	t.mu.Unlock()
	t.fleet.rec.notef("%s of %s runs %s: %s %s, Deadline-Ms %s", t.id, t.service, a.id, a.method, a.uri, a.header.Get("Deadline-Ms"))
}

// runs returns the requests that all targets ran, by their ids.
func (f *fleet) runs() map[string][]arrival {
	f.mu.Lock()
	targets := f.targets
	f.mu.Unlock()
	all := make(map[string][]arrival)
	for _, t := range targets {
		t.mu.Lock()
		for _, a := range t.arrivals {
			all[a.id] = append(all[a.id], a)
		}
		t.mu.Unlock()
	}
	return all
}
