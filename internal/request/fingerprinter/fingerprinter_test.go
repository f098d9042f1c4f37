package fingerprinter_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// order returns a request with a body in memory.
func order(body string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://almacen.example/pedidos?page=1", nil)
	r.Body = requester.NewBytesBody([]byte(body))
	r.ContentLength = int64(len(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func fingerprint(t *testing.T, r *http.Request) fingerprinter.Fingerprint {
	t.Helper()
	f, ok := fingerprinter.New(r).Fingerprint()
	assert.Assert(t, ok)
	return f
}

func TestEqualRequestsHaveTheSameFingerprint(t *testing.T) {
	first := order("twelve", "Authorization", "Bearer a", "Banyanscale-Request-Id", "1", "Banyanscale-Timeout-Ms", "900")
	again := order("twelve", "Authorization", "Bearer a", "Banyanscale-Request-Id", "2", "Banyanscale-Hop", "2", "Range", "bytes=4-", "Traceparent", "00-1")
	assert.Equal(t, fingerprint(t, first), fingerprint(t, again))
}

func TestOtherRequestsHaveOtherFingerprints(t *testing.T) {
	base := fingerprint(t, order("twelve", "Authorization", "Bearer a"))
	method := order("twelve", "Authorization", "Bearer a")
	method.Method = http.MethodPut
	host := order("twelve", "Authorization", "Bearer a")
	host.Host = "vitrina.example"
	path := order("twelve", "Authorization", "Bearer a")
	path.URL.Path = "/pedido"
	query := order("twelve", "Authorization", "Bearer a")
	query.URL.RawQuery = "page=2"
	for name, other := range map[string]*http.Request{
		"method": method, "host": host, "path": path, "query": query,
		"credentials":        order("twelve", "Authorization", "Bearer b"),
		"no credentials":     order("twelve"),
		"cookie":             order("twelve", "Authorization", "Bearer a", "Cookie", "session=1"),
		"body":               order("twelwe", "Authorization", "Bearer a"),
		"body of same start": order("twelve ", "Authorization", "Bearer a"),
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, fingerprint(t, other) != base) })
	}
}

// upload returns a request with a streamed body.
func upload(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://almacen.example/guias", nil)
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = -1
	return r
}

func TestStreamedBody(t *testing.T) {
	long := strings.Repeat("x", 3*fingerprinter.StartSize)
	for name, body := range map[string]string{"short": "twelve", "long": long, "empty": ""} {
		t.Run(name, func(t *testing.T) {
			req := upload(body)
			before := fingerprinter.New(req)
			_, known := before.Fingerprint()
			assert.Assert(t, !known)
			assert.NilError(t, before.ReadStart())
			got, err := io.ReadAll(req.Body)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, []byte(body)), "%d bytes", len(got))

			sent := upload(body)
			after := fingerprinter.New(sent)
			_, err = io.Copy(io.Discard, sent.Body)
			assert.NilError(t, err)
			beforeSending, _ := before.Fingerprint()
			afterSending, known := after.Fingerprint()
			assert.Assert(t, known)
			assert.Equal(t, beforeSending, afterSending)
		})
	}
}

func TestParse(t *testing.T) {
	f := fingerprint(t, order("twelve"))
	parsed, err := fingerprinter.Parse(f.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, f)
	for _, text := range []string{"", "12", f.String() + "00", strings.Repeat("z", 32)} {
		_, err := fingerprinter.Parse(text)
		assert.ErrorIs(t, err, fingerprinter.ErrMalformed)
	}
}
