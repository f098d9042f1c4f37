package responder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMalformedFieldEndsTheConnection guards against a request whose framing is hidden in a field with a blank in its
// name, so that its body is read as the next request.
func TestMalformedFieldEndsTheConnection(t *testing.T) {
	for name, field := range map[string]string{
		"hidden encoding": "Transfer-Encoding : chunked",
		"hidden length":   "Content-Length : 43",
		"blank":           "X Odd: 1",
		"value":           "X-Odd: 1\x012",
	} {
		t.Run(name, func(t *testing.T) {
			var paths []string
			handle := func(_ http.ResponseWriter, r *http.Request) { paths = append(paths, r.URL.Path) }
			withConnection(t, handle, func(t *testing.T, _ *testServer, c net.Conn, r *bufio.Reader) {
				sendRequest(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
				_, _ = receiveResponse(t, r, http.MethodGet)
				sendRequest(c, "POST /second HTTP/1.1\r\nHost: x\r\n"+field+"\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n")
				_, err := r.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
				assert.DeepEqual(t, paths, []string{"/first"})
			})
		})
	}
}
