package launcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

var errNodeEnded = errors.New("the node ended before it answered")

// startTimedUpstream runs an upstream that works as long as the query of a request says. It
// returns the number of requests that it has begun with the given path.
func startTimedUpstream(t *testing.T) (address netip.AddrPort, begun func(path string) int) {
	t.Helper()
	var mu sync.Mutex
	runs := make(map[string]int)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.URL.Path]++
		mu.Unlock()
		work, _ := time.ParseDuration(r.URL.RawQuery)
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { assert.Check(t, srv.Close()) })
	return netip.MustParseAddrPort(l.Addr().String()), func(path string) int {
		mu.Lock()
		defer mu.Unlock()
		return runs[path]
	}
}

// callerConnection is a connection that a caller keeps open.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

func openCallerConnection(t *testing.T, address netip.AddrPort) *callerConnection {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &callerConnection{conn, bufio.NewReader(conn)}
}

// send sends a request with a timeout and returns the response and its body.
func (c *callerConnection) send(host, path string, timeout time.Duration) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+host+path, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	if err := req.Write(c); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// runNode runs a node until stop is called. It closes ended when the process would exit.
func runNode(t *testing.T, n *Node) (stop func(), ended <-chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		assert.Check(t, n.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-exited
	})
	return cancel, exited
}

// awaitServed waits until the node serves requests to all hosts.
func awaitServed(t *testing.T, n *Node, hosts ...string) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for _, host := range hosts {
		for {
			conn, err := net.Dial("tcp", n.settings.HTTPAddress().String())
			if err == nil {
				resp, _, err := (&callerConnection{conn, bufio.NewReader(conn)}).send(host, "/", time.Second)
				conn.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					break
				}
			}
			assert.Assert(t, time.Now().Before(end), "%s is not served", host)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestLateRequestsOfStopAreAnswered guards against requests that a node accepts late in a planned stop with a grace, passes on and cuts off without an answer.
func TestLateRequestsOfStopAreAnswered(t *testing.T) {
	own, _ := startTimedUpstream(t)
	other, begun := startTimedUpstream(t)
	serving := newTestNode(t, "almacen-1", "almacen", other)
	entry := newTestNode(t, "vitrina-1", "vitrina", own, "stop-grace = 4s", "seeds = "+serving.settings.PeerAddress().String())
	runNode(t, serving)
	stop, ended := runNode(t, entry)
	awaitServed(t, entry, "vitrina.oax", "almacen.oax")
	var warm, calls sync.WaitGroup
	var begin time.Time
	began := make(chan struct{})
	// at calls the entry node on a kept connection, the given time after the stop began.
	at := func(after time.Duration, host, path string, check func(resp *http.Response, body string, err error)) {
		warm.Add(1)
		calls.Go(func() {
			conn := openCallerConnection(t, entry.settings.HTTPAddress())
			resp, _, err := conn.send(host, "/warm", 10*time.Second)
			assert.Check(t, err)
			assert.Check(t, resp != nil && resp.StatusCode == http.StatusOK)
			warm.Done()
			<-began
			time.Sleep(time.Until(begin.Add(after)))
			check(conn.send(host, path, 2*time.Second))
		})
	}
	// The own upstream is at work for most of the stop.
	at(2*time.Second, "vitrina.oax", "/own?1150ms", func(resp *http.Response, _ string, err error) {
		assert.Check(t, err)
		assert.Check(t, resp != nil && resp.StatusCode == http.StatusOK)
	})
	for i := range 4 {
		path := "/late-" + strconv.Itoa(i)
		at(2800*time.Millisecond+time.Duration(i)*50*time.Millisecond, "almacen.oax", path+"?1500ms", func(_ *http.Response, body string, err error) {
			select {
			case <-ended:
				err = errNodeEnded // The end of the process would have closed the connection.
			default:
			}
			assert.Check(t, begun(path) == 0 || err == nil && body == "done", "%s was passed on and got no answer: %v", path, err)
		})
	}
	warm.Wait()
	stop()
	for !entry.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	begin = time.Now()
	close(began)
	calls.Wait()
}
