package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// behavior answers a request that runs at a target. It returns false to close the connection.
type behavior func(t *target, c net.Conn, r *http.Request, body []byte) bool

// target is a stand-in target that follows the protocol page.
type target struct {
	rec                               *recorder
	id, service, zone, addr, beatAddr string
	born                              int64
	listener                          net.Listener
	run                               behavior

	seq     atomic.Int64
	running atomic.Int64
	// leaving is set once the target has said that it leaves.
	leaving atomic.Bool
	stopped chan struct{}
	stopOne sync.Once

	mu    sync.Mutex
	runs  []ranRequest
	conns map[net.Conn]bool
}

type ranRequest struct {
	id, path string
	at       time.Time
}

func newTarget(rec *recorder, id, service, zone, addr, beatAddr string, b behavior) (*target, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &target{
		rec: rec, id: id, service: service, zone: zone, addr: addr, beatAddr: beatAddr,
		born: time.Now().UnixMilli(), listener: l, run: b, stopped: make(chan struct{}),
		conns: make(map[net.Conn]bool),
	}
	go t.serve()
	return t, nil
}

// exit ends the target with all its connections.
func (t *target) exit() {
	t.stopOne.Do(func() {
		close(t.stopped)
		t.listener.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		for c := range t.conns {
			c.Close()
		}
	})
}

func (t *target) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(c)
	}
}

func (t *target) serveConn(c net.Conn) {
	defer c.Close()
	t.mu.Lock()
	t.conns[c] = true
	t.mu.Unlock()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.handle(c, r, body) {
			return
		}
	}
}

func (t *target) handle(c net.Conn, r *http.Request, body []byte) bool {
	if r.URL.Path == "/health" {
		status := 200
		if t.leaving.Load() {
			status = 503
		}
		return t.write(c, status, http.Header{"Instance-Id": {t.id}}, nil)
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return t.write(c, 400, http.Header{"Not-Executed": {"1"}}, nil)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.id {
		return t.write(c, 421, http.Header{"Request-Id": {id}, "Not-Executed": {"1"}}, nil)
	}
	t.mu.Lock()
	t.runs = append(t.runs, ranRequest{id, r.URL.Path, time.Now()})
	t.mu.Unlock()
	t.rec.logf("target %s (%s): runs %s %s id=%s caller-service=%s deadline-ms=%s",
		t.id, t.service, r.Method, r.RequestURI, id, r.Header.Get("Caller-Service"), r.Header.Get("Deadline-Ms"))
	t.running.Add(1)
	defer t.running.Add(-1)
	return t.run(t, c, r, body)
}

// signature is the signature of the answer to a request.
func (t *target) signature(id string) string { return t.id + "." + id }

// answer writes a whole answer to a request that has run.
func (t *target) answer(c net.Conn, r *http.Request, status int, body []byte) bool {
	id := r.Header.Get("Request-Id")
	return t.write(c, status, http.Header{"Request-Id": {id}, "Server-Signature": {t.signature(id)}}, body)
}

func (t *target) write(c net.Conn, status int, h http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	h.Set("Server-Load", strconv.Itoa(int(t.running.Load()))+",0,9")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// beat returns the body of a heartbeat.
func (t *target) beat(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.addr, "Zone": t.zone, "Version": "v1", "Slots": 9,
		"State": state, "ColdRemainingS": 0, "Seq": t.seq.Add(1), "born": t.born,
	})
	return data
}

// post sends a call of the target to its node.
func (t *target) post(path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+t.beatAddr+path, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	status, _, err := do(req)
	return status, err
}

// startBeats sends heartbeats until the target leaves.
func (t *target) startBeats() {
	go func() {
		for !t.leaving.Load() {
			pause := 1500 * time.Millisecond
			if status, err := t.post("/-/Instances.Heartbeat/"+t.id, t.beat("ready")); err != nil || status/100 != 2 {
				pause = 300 * time.Millisecond
			}
			select {
			case <-t.stopped:
				return
			case <-time.After(pause):
			}
		}
	}()
}

// work returns a behavior that works for d and answers with a short body.
func work(d time.Duration) behavior {
	return func(t *target, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(d)
		return t.answer(c, r, 200, []byte("answer to "+r.Header.Get("Request-Id")+" from "+t.id))
	}
}
