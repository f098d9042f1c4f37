package launcher

import (
	"net/http"
	"testing"
	"time"

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
