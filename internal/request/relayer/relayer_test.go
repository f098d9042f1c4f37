package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/relayer"
)

// TestAbort checks that a truncated response doesn't look complete. It uses TCP sockets,
// as a net.Pipe can't be reset.
func TestAbort(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "half of a response")
		w.(http.Flusher).Flush()
		relayer.Abort(w, r)
	}))
	defer s.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(proto+" caller detects the truncated response", func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "GET / %s\r\nHost: almacen.example\r\n\r\n", proto)
			response, err := io.ReadAll(conn)
			if proto == "HTTP/1.0" {
				assert.ErrorContains(t, err, "reset")
				return
			}
			assert.NilError(t, err)
			// A complete response ends with the chunk of length 0.
			assert.Assert(t, len(response) < 5 || string(response[len(response)-5:]) != "0\r\n\r\n", "%s", response)
		})
	}
}

func TestCopyRequestHeader(t *testing.T) {
	got := relayer.CopyRequestHeader(http.Header{
		"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"},
		"Accept": {"*/*"}, "Banyanscale-Depth": {"1"},
	})
	assert.DeepEqual(t, got, http.Header{"Accept": {"*/*"}, "Banyanscale-Depth": {"1"}})
}
