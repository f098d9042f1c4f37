package forwarder

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"unsafe"

	"gotest.tools/v3/assert"
)

// TestTraceDoesNotKeepLongFirstLine guards against long paths and queries that are kept until thousands of requests have followed.
func TestTraceDoesNotKeepLongFirstLine(t *testing.T) {
	long := strings.Repeat("x", 15<<10)
	for name, tc := range map[string]struct {
		line, method, path string
		own                bool // Whether the strings have memory of their own.
	}{
		"short":  {"GET /guides/a?b=c", "GET", "/guides/a", false},
		"path":   {"GET /" + long, "GET", "/" + long[1:maxTracedPath], true},
		"query":  {"GET /guides/a?b=" + long, "GET", "/guides/a", true},
		"method": {long + " /guides/a", long[:maxTracedMethod], "/guides/a", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(tc.line + " HTTP/1.1\r\nHost: a\r\n\r\n")))
			assert.NilError(t, err)
			method, path := tracedTarget(r)
			assert.Equal(t, method, tc.method)
			assert.Equal(t, path, tc.path)
			assert.Equal(t, unsafe.StringData(method) != unsafe.StringData(r.Method), tc.own)
			assert.Equal(t, unsafe.StringData(path) != unsafe.StringData(r.URL.Path), tc.own)
		})
	}
}
