package fingerprinter_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

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
	long := strings.Repeat("x", 3*fingerprinter.CountedSize)
	for name, body := range map[string]string{"short": "twelve", "360 KB": long[:360_000], "counted": long[:fingerprinter.CountedSize], "long": long, "empty": ""} {
		for _, length := range []int64{-1, int64(len(body))} {
			t.Run(fmt.Sprint(name, " ", length), func(t *testing.T) {
				req := upload(body)
				req.ContentLength = length
				before := fingerprinter.New(req)
				_, known := before.Fingerprint()
				assert.Equal(t, known, length == 0)
				taken := 0
				assert.NilError(t, before.Buffer(func(n int) bool { taken += n; return true }))
				assert.Assert(t, taken <= min(2*len(body)+16<<10, fingerprinter.CountedSize), "%d bytes taken", taken)
				held, whole := before.Held()
				assert.Equal(t, whole, len(body) < fingerprinter.CountedSize) // Of others it is not known that they have ended.
				assert.Assert(t, !whole || string(held) == body)
				got, err := io.ReadAll(req.Body)
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(got, []byte(body)), "%d bytes", len(got))

				sent := upload(body)
				sent.ContentLength = length
				after := fingerprinter.New(sent)
				_, err = io.Copy(io.Discard, sent.Body)
				assert.NilError(t, err)
				beforeSending, _ := before.Fingerprint()
				afterSending, known := after.Fingerprint()
				assert.Assert(t, known)
				assert.Equal(t, beforeSending, afterSending)
				inMemory := upload("")
				inMemory.ContentLength = length
				inMemory.Body = requester.NewBytesBody([]byte(body))
				assert.Equal(t, fingerprint(t, inMemory), afterSending)
			})
		}
	}
}

// TestBodiesThatDifferLate guards against harmless uploads that are taken for one that crashes upstreams since both begin alike.
func TestBodiesThatDifferLate(t *testing.T) {
	body := strings.Repeat("x", 360_000)
	fingerprints := make(map[fingerprinter.Fingerprint]bool)
	for _, b := range []string{body, body[1:] + "y", body[1:] + "z"} {
		r := upload(b)
		f := fingerprinter.New(r)
		_, err := io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		sum, ok := f.Fingerprint()
		assert.Assert(t, ok)
		fingerprints[sum] = true
	}
	assert.Equal(t, len(fingerprints), 3)
}

// TestBodyWithoutMemory guards against a body that is held although there is no memory for it.
func TestBodyWithoutMemory(t *testing.T) {
	f := fingerprinter.New(upload(strings.Repeat("x", 100_000)))
	left := 40_000
	err := f.Buffer(func(n int) bool { left -= n; return left >= 0 })
	assert.ErrorIs(t, err, fingerprinter.ErrNoMemory)
}

// TestReadOn guards against a request that is not recognized since it crashed an upstream before the upstream had read it, and against a sender that stalls.
func TestReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 100_000)
		whole := upload(body)
		f := fingerprinter.New(whole)
		_, err := io.CopyN(io.Discard, whole.Body, 5000)
		assert.NilError(t, err)
		f.ReadOn(time.Second)
		sum, ok := f.Fingerprint()
		assert.Assert(t, ok)
		again := upload("")
		again.Body = requester.NewBytesBody([]byte(body))
		assert.Equal(t, sum, fingerprint(t, again))

		stalled := upload("")
		src, sender := io.Pipe()
		stalled.Body = src
		f = fingerprinter.New(stalled)
		f.ReadOn(time.Second)
		_, ok = f.Fingerprint()
		assert.Assert(t, !ok)
		assert.NilError(t, sender.Close())
	})
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
