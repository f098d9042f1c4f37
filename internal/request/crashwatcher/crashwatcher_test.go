package crashwatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
)

// recorder is an observer that records what it is told.
type recorder struct {
	mu       sync.Mutex
	inFlight map[crashwatcher.CrashID][]fingerprinter.Fingerprint
	survived []fingerprinter.Fingerprint
}

// Crashed implements crashwatcher.Observer.
func (r *recorder) Crashed(c crashwatcher.Crash, f fingerprinter.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[c.ID] = append(r.inFlight[c.ID], f)
}

// Survived implements crashwatcher.Observer.
func (r *recorder) Survived(request *fingerprinter.Request) {
	f, _ := request.Fingerprint()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.survived = append(r.survived, f)
}

// watched is a watcher of an upstream that a test ends.
type watched struct {
	*crashwatcher.Watcher
	*recorder
	ended  atomic.Bool
	checks atomic.Int64
}

// run runs a test in fake time.
func run(t *testing.T, test func(t *testing.T, w *watched)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &watched{recorder: &recorder{inFlight: make(map[crashwatcher.CrashID][]fingerprinter.Fingerprint)}}
		w.Watcher = crashwatcher.New(crashwatcher.Config{
			UpstreamEnded: func() bool {
				w.checks.Add(1)
				return w.ended.Load()
			},
			Observer: w.recorder, Scope: tally.NoopScope, Log: zerolog.Nop(),
		})
		test(t, w)
	})
}

func request(path string) *fingerprinter.Request {
	return fingerprinter.New(httptest.NewRequest(http.MethodGet, "http://vitrina.example"+path, nil))
}

func fingerprint(t *testing.T, path string) fingerprinter.Fingerprint {
	t.Helper()
	f, ok := request(path).Fingerprint()
	assert.Assert(t, ok)
	return f
}

// assertCrashes asserts which requests were in flight in crashes, each given as the number of
// the crashes that have them.
func (w *watched) assertCrashes(t *testing.T, crashes int, inFlight map[string]int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.inFlight), crashes)
	for path, want := range inFlight {
		got := 0
		for _, list := range w.inFlight {
			if slices.Contains(list, fingerprint(t, path)) {
				got++
			}
		}
		assert.Equal(t, got, want, path)
	}
}

func TestCrashIsReportedForAllRequestsInFlight(t *testing.T) {
	run(t, func(t *testing.T, w *watched) {
		var runs []*crashwatcher.Run
		for i := range 6 {
			runs = append(runs, w.Start("", request(fmt.Sprint("/", i))))
		}
		time.Sleep(time.Second)
		runs[0].End(crashwatcher.Responded)
		w.ended.Store(true)
		var wg sync.WaitGroup
		for _, r := range runs[1:] {
			wg.Go(func() { r.End(crashwatcher.Broken) })
		}
		wg.Wait()
		w.assertCrashes(t, 1, map[string]int{"/0": 0, "/1": 1, "/5": 1})
		assert.Equal(t, w.checks.Load(), int64(1))
		assert.DeepEqual(t, w.survived, []fingerprinter.Fingerprint{fingerprint(t, "/0")})
	})
}

func TestEachProcessThatEndsIsOneCrash(t *testing.T) {
	run(t, func(t *testing.T, w *watched) {
		for range 3 {
			r := w.Start("", request("/a"))
			time.Sleep(10 * time.Millisecond)
			w.ended.Store(true)
			r.End(crashwatcher.Broken)
			time.Sleep(time.Second)
			w.ended.Store(false)
		}
		w.assertCrashes(t, 3, map[string]int{"/a": 3})
	})
}

// TestRestOfBodyIsReadAfterCrash guards against a request that nobody recognizes since it crashes its upstream before that has read the body, and against other runs that wait for that body.
func TestRestOfBodyIsReadAfterCrash(t *testing.T) {
	run(t, func(t *testing.T, w *watched) {
		src, sender := io.Pipe()
		req := httptest.NewRequest(http.MethodPost, "http://vitrina.example/", src)
		crashing := w.Start("", fingerprinter.New(req))
		go func() {
			_, err := io.WriteString(sender, "first ")
			assert.Check(t, err)
			time.Sleep(time.Second)
			_, err = io.WriteString(sender, "second")
			assert.Check(t, err)
			assert.Check(t, sender.Close())
		}()
		_, err := io.ReadFull(req.Body, make([]byte, 6))
		assert.NilError(t, err)
		w.ended.Store(true)
		var wg sync.WaitGroup
		wg.Go(func() { crashing.End(crashwatcher.Broken) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		w.Start("", request("/a")).End(crashwatcher.Broken)
		assert.Equal(t, time.Since(began), time.Duration(0))
		wg.Wait()
		whole := httptest.NewRequest(http.MethodPost, "http://vitrina.example/", nil)
		whole.Body = requester.NewBytesBody([]byte("first second"))
		whole.ContentLength = -1
		want, _ := fingerprinter.New(whole).Fingerprint()
		w.mu.Lock()
		defer w.mu.Unlock()
		recognized := 0
		for _, list := range w.inFlight {
			if slices.Contains(list, want) {
				recognized++
			}
		}
		assert.Equal(t, recognized, 1)
	})
}

// TestBrokenConnectionIsNoCrash guards against suspects where an upstream only closes connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	run(t, func(t *testing.T, w *watched) {
		w.Start("", request("/a")).End(crashwatcher.Broken)
		w.assertCrashes(t, 0, nil)
	})
}

func TestRequestsThatEndedJustBeforeCountAsInFlight(t *testing.T) {
	for name, tc := range map[string]struct {
		ending   crashwatcher.Ending
		age      time.Duration
		inFlight int
	}{
		"abandoned": {crashwatcher.Abandoned, 500 * time.Millisecond, 1},
		"responded": {crashwatcher.Responded, 500 * time.Millisecond, 0},
		"not run":   {crashwatcher.NotRun, 500 * time.Millisecond, 0},
	} {
		for how, last := range map[string]crashwatcher.Ending{"broken": crashwatcher.Broken, "unreachable": crashwatcher.Unreachable} {
			t.Run(name+", then "+how, func(t *testing.T) {
				run(t, func(t *testing.T, w *watched) {
					w.Start("", request("/a")).End(tc.ending)
					time.Sleep(tc.age)
					w.ended.Store(true)
					w.Start("", request("/b")).End(last)
					crashes := 0
					if tc.inFlight > 0 || last == crashwatcher.Broken {
						crashes = 1
					}
					w.assertCrashes(t, crashes, map[string]int{"/a": tc.inFlight})
				})
			})
		}
	}
}

// TestRequestThatIsAbandonedAfterCrashCountsAsInFlight guards against a crashing request whose caller leaves before its node has seen the connection break.
func TestRequestThatIsAbandonedAfterCrashCountsAsInFlight(t *testing.T) {
	run(t, func(t *testing.T, w *watched) {
		first, second := w.Start("", request("/a")), w.Start("", request("/b"))
		time.Sleep(time.Second)
		w.ended.Store(true)
		first.End(crashwatcher.Broken)
		time.Sleep(time.Millisecond)
		second.End(crashwatcher.Abandoned)
		w.assertCrashes(t, 1, map[string]int{"/a": 1, "/b": 1})
	})
}

// TestRequestsBeforeLongSilenceCountAsInFlight guards against a request that hangs an upstream, which is ended much later, and is not recognized.
func TestRequestsBeforeLongSilenceCountAsInFlight(t *testing.T) {
	for name, tc := range map[string]struct {
		responds bool
		inFlight int
	}{"silent": {false, 1}, "responds": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, w *watched) {
				w.Start("", request("/a")).End(crashwatcher.Abandoned)
				time.Sleep(time.Second)
				if tc.responds {
					w.Start("", request("/b")).End(crashwatcher.Responded)
				}
				time.Sleep(20 * time.Second)
				w.ended.Store(true)
				time.Sleep(6 * time.Second)
				w.assertCrashes(t, tc.inFlight, map[string]int{"/a": tc.inFlight})
				checks := w.checks.Load()
				time.Sleep(time.Hour)
				assert.Equal(t, w.checks.Load(), checks)
			})
		})
	}
}
