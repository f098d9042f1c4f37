package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	ID, Method, Host, Path string
	DeadlineMs             int
	Body                   string
	// chunked sends the body in chunks, after a pause.
	chunked bool
	pause   time.Duration
}

// answer is what the client got.
type answer struct {
	id        string
	status    int
	signature string
	echo      string
	body      string
	reason    string
	err       error
	elapsed   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("id=%s status=%d signature=%q request-id=%q body=%q reason=%q err=%v after=%.3fs",
		a.id, a.status, a.signature, a.echo, short(a.body), a.reason, a.err, a.elapsed.Seconds())
}

func short(s string) string {
	if len(s) > 80 {
		return fmt.Sprintf("%s... (%d bytes)", s[:60], len(s))
	}
	return s
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request on a connection of its own.
func (r request) send(addr string) answer {
	if r.ID == "" {
		r.ID = newID()
	}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{id: r.ID, err: err}
	}
	defer c.Close()
	return r.sendOn(c, bufio.NewReader(c))
}

// sendOn sends the request on an open connection and reads its answer.
func (r request) sendOn(c net.Conn, br *bufio.Reader) answer {
	if r.ID == "" {
		r.ID = newID()
	}
	start := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", r.Method, r.Path, r.Host, r.ID)
	if r.DeadlineMs > 0 {
		fmt.Fprintf(&b, "Deadline-Ms: %d\r\n", r.DeadlineMs)
	}
	rest := r.Body
	switch {
	case r.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		rest = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.Body), r.Body)
	case r.Body != "" || r.Method == "POST":
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	a := answer{id: r.ID}
	_ = c.SetDeadline(start.Add(time.Duration(max(r.DeadlineMs, 3000))*time.Millisecond + time.Second))
	if r.pause > 0 {
		if _, a.err = io.WriteString(c, b.String()); a.err != nil {
			return a
		}
		b.Reset()
		time.Sleep(r.pause)
	}
	if _, a.err = io.WriteString(c, b.String()+rest); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: r.Method})
	if err != nil {
		a.err, a.elapsed = err, time.Since(start)
		return a
	}
	a.status = resp.StatusCode
	a.signature = resp.Header.Get("Server-Signature")
	a.echo = resp.Header.Get("Request-Id")
	a.reason = resp.Header.Get("Banyanscale-Reason")
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.elapsed = string(body), err, time.Since(start)
	return a
}
