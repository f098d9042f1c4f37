package requester_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// maxHeadBytes bounds what a server can send that is not the body of a response.
	maxHeadBytes = 8 << 20
	// endTimeout ends a test in which a response without end is not ended.
	endTimeout = 20 * time.Second
)

// writeEndlessly writes start once and repeat until the connection is closed. It returns
// the number of bytes written.
func writeEndlessly(w net.Conn, start, repeat string) int64 {
	n, _ := io.WriteString(w, start)
	written := int64(n)
	block := strings.Repeat(repeat, 1+4096/len(repeat))
	for {
		n, err := io.WriteString(w, block)
		written += int64(n)
		if err != nil {
			return written
		}
	}
}

// TestResponseWithoutEndIsEnded sends bytes without end in place of a response, or in
// parts of one that are not its body. Each exchange must fail after a bounded number of
// bytes, without waiting for its deadline, and the next one must succeed.
func TestResponseWithoutEndIsEnded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Echo: own\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct{ start, repeat string }{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"no response":             {"", "x"},
		"one header":              {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"responses of others":     {"", "HTTP/1.1 200 OK\r\nX-Echo: other\r\nContent-Length: 1\r\n\r\nx"},
		"body of another":         {"HTTP/1.1 200 OK\r\nX-Echo: other\r\n\r\n", "x"},
		"chunk size":              {chunked, "0"},
		"chunk extension":         {chunked + "1;a=", "x"},
		"trailers":                {chunked + "0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int64, 1)
			addr, _ := startRawServer(t, func(w net.Conn, r *http.Request) {
				if r.Header.Get("X-Sound") != "" {
					writeResponse(w, r.Header.Get(echoHeader), "ok")
					return
				}
				written <- writeEndlessly(w, tc.start, tc.repeat)
			})
			p := newEchoPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
			defer cancel()
			_, err := getBodyWithin(ctx, t, p, addr, "own")
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			var failure *requester.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Outcome(), classifier.Unknown)
			n := <-written
			assert.Assert(t, n < maxHeadBytes, "%d bytes", n)
			body, err := getBodyWithin(ctx, t, p, addr, "own", "X-Sound")
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
		})
	}
}

// TestBodyWithoutEndEndsWithItsReader sends a body without end. The server's writes must
// fail once the reader has had enough, and what was read must not look complete.
func TestBodyWithoutEndEndsWithItsReader(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int64, 1)
			block := strings.Repeat("x", 4096)
			if name == "chunked" {
				block = fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
			}
			addr, _ := startRawServer(t, func(w net.Conn, _ *http.Request) { written <- writeEndlessly(w, head, block) })
			p := newEchoPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", http.NoBody)
			assert.NilError(t, err)
			resp, err := p.Do(ctx, addr, req)
			assert.NilError(t, err)
			_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
			assert.NilError(t, err)
			resp.Body.Close()
			<-written
			assert.NilError(t, ctx.Err())
		})
	}
}
