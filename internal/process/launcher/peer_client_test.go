package launcher

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndlessHeadOfAPeerIsNotRead guards against a process in place of another one whose head without end fills the memory.
func TestEndlessHeadOfAPeerIsNotRead(t *testing.T) {
	const maxWritten = 8 << 20
	for name, repeat := range map[string]string{"one field": "x", "fields": "X-Odd: 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			written := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				n, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-First: ")
				block := strings.Repeat(repeat, 1<<10)
				for n < 4*maxWritten {
					more, err := io.WriteString(conn, block)
					n += more
					if err != nil {
						break
					}
				}
				conn.Close()
				written <- n
			}()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", http.NoBody)
			assert.NilError(t, err)
			resp, err := newPeerClient().Do(req)
			if err == nil {
				resp.Body.Close()
			}
			assert.Assert(t, err != nil)
			n := <-written
			assert.Assert(t, n < maxWritten, "%d bytes", n)
		})
	}
}
