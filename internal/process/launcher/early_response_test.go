package launcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// earlyUploadBytes is the size of a request body that is still being sent when its response comes.
	earlyUploadBytes = 300 << 10
	pieceBytes       = 1 << 10
	earlyTries       = 15
)

// startEarlyUpstream runs an upstream that answers a long request with a part of a response without a length before
// it has read the body, and resets the connection. It answers requests without a body.
func startEarlyUpstream(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func answerEarly(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.Body == http.NoBody {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.CopyN(io.Discard, req.Body, 16<<10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("part", 1000))
		time.Sleep(time.Millisecond) // So that the part arrives before the reset drops it.
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
}

// TestPartOfEarlyResponseIsNotTheWhole guards against a part of a response that passes as the whole, since the
// connection to the upstream was reset while the request was being sent.
func TestPartOfEarlyResponseIsNotTheWhole(t *testing.T) {
	dialect := Dialect{UnframedResponses: true}
	own := startEarlyUpstream(t)
	serving := newTestNodeWithDialect(t, "almacen-1", "almacen", startEarlyUpstream(t), dialect)
	entry := newTestNodeWithDialect(t, "vitrina-1", "vitrina", own, dialect, "seeds = "+serving.settings.PeerAddress().String())
	runNode(t, serving)
	runNode(t, entry)
	awaitServed(t, entry, "vitrina.oax", "almacen.oax")
	for name, length := range map[string]int64{"length": earlyUploadBytes, "chunks": -1} {
		for _, host := range []string{"vitrina.oax", "almacen.oax"} {
			for _, method := range []string{http.MethodPost, http.MethodPut} {
				t.Run(strings.Join([]string{name, host, method}, " "), func(t *testing.T) {
					for range earlyTries {
						assertNoWholeResponse(t, entry, method, host, length)
					}
				})
			}
		}
	}
}

// piecemealBody is a request body that comes in small pieces, so that a write is often in progress.
type piecemealBody struct{ left int }

func (b *piecemealBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Microsecond)
	n := min(b.left, len(p), pieceBytes)
	b.left -= n
	return n, nil
}

// assertNoWholeResponse sends a request and checks that its response is no complete success.
func assertNoWholeResponse(t *testing.T, entry *Node, method, host string, length int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.settings.HTTPAddress().String()+"/", &piecemealBody{left: earlyUploadBytes})
	assert.NilError(t, err)
	req.Host, req.ContentLength = host, length
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil || resp.StatusCode != http.StatusOK, "a part of %d bytes passed as the response", len(content))
}
