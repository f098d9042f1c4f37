package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/pacer"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// uploadBase is a configuration with a route of uploads.
const uploadBase = `[owner talleres]
idle-rate = 0
currency = MXN
[service almacen]
owner = talleres
hosts = none
[route planos]
host = almacen.example
services = almacen
kind = upload
`

const (
	uploadSize = 360_000
	// linkBytesPerSecond is a link of 6.3 Mbit/s.
	linkBytesPerSecond = 787_500
)

// newUploadFleet returns a fleet with uploadBase. Its upstreams return how many bytes they have read.
func newUploadFleet(t *testing.T) *fleet {
	t.Helper()
	doc, err := compiler.Parse([]compiler.Source{{Name: "base.ini", Data: []byte(uploadBase)}})
	assert.NilError(t, err)
	f := newFleet()
	f.configuration, err = compiler.Compile(doc, "oaxaca", 2)
	assert.NilError(t, err)
	return f
}

// upload returns an upload with the given body, of known length or not.
func upload(body io.Reader, length int64) *http.Request {
	req, _ := http.NewRequest(http.MethodPost, "http://almacen.example/planos", io.NopCloser(body))
	req.ContentLength = length
	req.Header.Set(classifier.HeaderTimeout, strconv.FormatInt(deadline.Milliseconds(), 10))
	return req
}

func uploadBody(size int) io.Reader { return strings.NewReader(strings.Repeat("x", size)) }

// TestRefusedUploadIsTriedElsewhere guards against an upload that is lost since the node that refuses it has taken its body, or that runs twice.
func TestRefusedUploadIsTriedElsewhere(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"queue full":                   func(f *fleet) { f.admissionErr = refusalError(classifier.ReasonQueueFull) },
		"upstream down":                func(f *fleet) { f.network.fault = fault{firstUpstreamAddress, connect, refuse} },
		"node down":                    func(f *fleet) { f.network.fault = fault{firstNodeAddress, connect, refuse} },
		"node ends as it is asked":     func(f *fleet) { f.network.fault = fault{firstNodeAddress, sendHead, reset} },
		"node ends before it responds": func(f *fleet) { f.network.fault = fault{firstNodeAddress, wait, reset} },
	} {
		for _, length := range []int64{-1, 20_000, uploadSize} {
			t.Run(name+" "+strconv.FormatInt(length, 10), func(t *testing.T) {
				f := newUploadFleet(t)
				prepare(f)
				f.run(t, func(t *testing.T) {
					for i := range 3 { // The second and third on connections that a Responder serves, if they are kept.
						resp, body, err := f.call(t.Context(), upload(uploadBody(max(int(length), 20_000)), length))
						assert.NilError(t, err)
						assertResponse(t, resp, body, err)
						assert.Equal(t, f.runs.Load(), int64(i+1))
						_, _, err = f.call(t.Context(), request(http.MethodPost))
						assert.NilError(t, err)
						f.runs.Add(-1)
					}
				})
			})
		}
	}
}

// TestUploadThatMayHaveRunIsNotRepeated guards against an upload that runs twice, or is said not to have run, after a part of it was sent.
func TestUploadThatMayHaveRunIsNotRepeated(t *testing.T) {
	for name, where := range map[string]fault{
		"node ends midway":               {firstNodeAddress, sendBody, reset},
		"node ends before the response":  {firstNodeAddress, receiveBody, reset},
		"upstream ends midway":           {firstUpstreamAddress, sendBody, reset},
		"upstream ends without response": {firstUpstreamAddress, wait, reset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUploadFleet(t)
			f.network.fault = where
			f.run(t, func(t *testing.T) {
				resp, _, err := f.call(t.Context(), upload(uploadBody(uploadSize), uploadSize))
				if err == nil {
					assert.Equal(t, classifier.FromResponse(resp, nil).Outcome(), classifier.Unknown)
				}
				time.Sleep(time.Second)
				assert.Assert(t, f.runs.Load() <= 1)
			})
		})
	}
}

// TestResponseBeforeTheBodyIsRead guards against a response that is lost since its upstream does not read the upload, and against a later request on the same connection that gets the wrong bytes.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	f := newUploadFleet(t)
	f.unreadBody = true
	f.run(t, func(t *testing.T) {
		for range 3 {
			resp, body, err := f.call(t.Context(), upload(uploadBody(uploadSize), uploadSize))
			assertResponse(t, resp, body, err)
			resp, body, err = f.call(t.Context(), request(http.MethodPost))
			assertResponse(t, resp, body, err)
		}
	})
}

// TestStalledUploadEnds guards against a caller that stalls in its upload and so holds a slot of the upstream for ever.
func TestStalledUploadEnds(t *testing.T) {
	for name, sent := range map[string]string{"before the first byte": "", "midway": strings.Repeat("x", 20_000)} {
		t.Run(name, func(t *testing.T) {
			f := newUploadFleet(t)
			f.run(t, func(t *testing.T) {
				src, sender := io.Pipe()
				defer sender.Close()            //nolint:errcheck // Never fails.
				go io.WriteString(sender, sent) //nolint:errcheck // Fails at the end of the test.
				began := time.Now()
				resp, _, err := f.call(t.Context(), upload(src, uploadSize))
				if err == nil {
					outcome := classifier.FromResponse(resp, nil).Outcome()
					assert.Assert(t, outcome == classifier.Unknown || sent == "" && outcome == classifier.NotRun, "%v", outcome)
				}
				assert.Assert(t, time.Since(began) <= deadline+time.Second, "%v", time.Since(began))
				time.Sleep(time.Second)
				for _, s := range f.servers {
					assert.Equal(t, s.InFlight(), 0)
				}
				assert.Assert(t, f.runs.Load() <= 1)
			})
		})
	}
}

// TestUploadWhoseSenderLeavesEnds guards against an upload that goes on, or holds its slot, after its caller or the entry node has ended midway.
func TestUploadWhoseSenderLeavesEnds(t *testing.T) {
	f := newUploadFleet(t)
	f.run(t, func(t *testing.T) {
		src, sender := io.Pipe()
		defer sender.Close() //nolint:errcheck // Never fails.
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		go io.WriteString(sender, strings.Repeat("x", 20_000)) //nolint:errcheck // Fails at the end of the test.
		_, _, err := f.call(ctx, upload(src, uploadSize))
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		for _, s := range f.servers {
			assert.Equal(t, s.InFlight(), 0)
		}
		assert.Equal(t, f.runs.Load(), int64(1))
	})
}

// TestUploadsAreSentAtTheRateOfTheLink guards against short requests that wait on the link behind a whole upload.
func TestUploadsAreSentAtTheRateOfTheLink(t *testing.T) {
	f := newUploadFleet(t)
	f.link = pacer.New(linkBytesPerSecond)
	f.run(t, func(t *testing.T) {
		began := time.Now()
		resp, body, err := f.call(t.Context(), upload(uploadBody(uploadSize), uploadSize))
		assertResponse(t, resp, body, err)
		took := time.Since(began)
		assert.Assert(t, took > 400*time.Millisecond && took < 700*time.Millisecond, "%v", took)
		began = time.Now()
		resp, body, err = f.call(t.Context(), request(http.MethodPost))
		assertResponse(t, resp, body, err)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
	})
}
