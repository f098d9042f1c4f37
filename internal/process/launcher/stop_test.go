package launcher

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// sendWaiting sends a request that waits for the only slot of almacen, stops the entry node, and returns
// the response and the number of times that the request has run.
func sendWaiting(t *testing.T, entryLines ...string) (resp *http.Response, runs int) {
	t.Helper()
	own, _ := startTimedUpstream(t)
	other, begun := startTimedUpstream(t)
	serving := newTestNode(t, "almacen-1", "almacen", other)
	serving.admitter.Update(1, 1024, 16, 0)
	entry := newTestNode(t, "vitrina-1", "vitrina", own, append(entryLines, "seeds = "+serving.settings.PeerAddress().String())...)
	runNode(t, serving)
	stop, ended := runNode(t, entry)
	awaitServed(t, entry, "vitrina.oax", "almacen.oax")
	busy := openCallerConnection(t, serving.settings.HTTPAddress())
	go busy.send("almacen.oax", "/busy?8s", 10*time.Second) //nolint:errcheck // Occupies the slot.
	time.Sleep(100 * time.Millisecond)
	conn := openCallerConnection(t, entry.settings.HTTPAddress())
	type answer struct {
		resp *http.Response
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		resp, _, err := conn.send("almacen.oax", "/waiting?10ms", 10*time.Second)
		answers <- answer{resp, err}
	}()
	time.Sleep(100 * time.Millisecond)
	stop()
	select {
	case a := <-answers:
		assert.NilError(t, a.err)
		resp = a.resp
	case <-ended:
		t.Fatal("the node ended before the request had a response")
	}
	return resp, begun("/waiting")
}

// TestEndOfStopRefusesRequestsThatWaitElsewhere guards against requests that a node passed on, that wait for a slot of another instance and that the end of the process cuts off.
func TestEndOfStopRefusesRequestsThatWaitElsewhere(t *testing.T) {
	resp, runs := sendWaiting(t, "stop-grace = 4s")
	assert.Equal(t, resp.Header.Get(classifier.HeaderReason), string(classifier.ReasonLeaving))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, runs, 0)
}

// TestBusyStopHandsOverKeys guards against idempotency keys that are lost when the own upstream is at work until the stop grace ends.
func TestBusyStopHandsOverKeys(t *testing.T) {
	upstream, begun := startTimedUpstream(t)
	other := newTestNode(t, "almacen-2", "almacen", upstream)
	leaving := newTestNode(t, "almacen-1", "almacen", upstream, "stop-grace = 4s", "seeds = "+other.settings.PeerAddress().String())
	var log bytes.Buffer
	leaving.log = zerolog.New(zerolog.SyncWriter(&log))
	runNode(t, other)
	stop, ended := runNode(t, leaving)
	awaitServed(t, leaving, "almacen.oax")
	conn := openCallerConnection(t, leaving.settings.HTTPAddress())
	_, err := fmt.Fprintf(conn, "POST /busy?8s HTTP/1.1\r\nHost: almacen.oax\r\n%s: 1\r\n%s: almacen\r\n%s: 10000\r\nContent-Length: 0\r\n\r\n",
		classifier.HeaderHop, classifier.HeaderService, classifier.HeaderTimeout)
	assert.NilError(t, err)
	for begun("/busy") == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	<-ended
	assert.Assert(t, strings.Contains(log.String(), "Requests are still in flight"), log.String())
	assert.Assert(t, !strings.Contains(log.String(), "Failed to hand over"), log.String())
}

// startPunctualUpstream runs an upstream that works for 8 s on each path but "/" and "/warm", and that
// responds with a status of its own when the time that it got is over.
func startPunctualUpstream(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" || r.URL.Path == "/warm" {
			return
		}
		left, err := strconv.Atoi(r.Header.Get(classifier.HeaderTimeout))
		assert.Check(t, err)
		time.Sleep(min(time.Duration(left)*time.Millisecond, 8*time.Second))
		w.WriteHeader(http.StatusGatewayTimeout)
		_, _ = io.WriteString(w, "time is over")
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { assert.Check(t, srv.Close()) })
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestUpstreamsRespondBeforeAStoppingNodeEnds guards against requests accepted during a stop that are still at work when the node ends.
func TestUpstreamsRespondBeforeAStoppingNodeEnds(t *testing.T) {
	serving := newTestNode(t, "almacen-1", "almacen", startPunctualUpstream(t))
	entry := newTestNode(t, "vitrina-1", "vitrina", startPunctualUpstream(t), "stop-grace = 4s", "seeds = "+serving.settings.PeerAddress().String())
	runNode(t, serving)
	stop, _ := runNode(t, entry)
	awaitServed(t, entry, "vitrina.oax", "almacen.oax")
	var calls sync.WaitGroup
	for _, host := range []string{"vitrina.oax", "almacen.oax"} {
		conn := openCallerConnection(t, entry.settings.HTTPAddress())
		calls.Go(func() {
			time.Sleep(time.Second)
			resp, body, err := conn.send(host, "/long", 10*time.Second)
			assert.Check(t, err, host)
			assert.Check(t, body == "time is over", "%s: %q, %v", host, body, resp)
		})
	}
	stop()
	calls.Wait()
}
