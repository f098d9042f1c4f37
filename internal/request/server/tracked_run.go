package server

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// trackedRun is one run of a request at the upstream, as the crash watcher and the quarantine
// follow it.
type trackedRun struct {
	server  *Server
	id      string
	request *fingerprinter.Request
	run     *crashwatcher.Run // Nil if the run has not started or is not watched.
	release func()            // Nil if the run has not started or there is no quarantine.
	once    sync.Once
}

// newTrackedRun returns a run that has not started, or a refusal if the request must not run
// now. It may replace the body of req by one that reads the same.
func (s *Server) newTrackedRun(ctx context.Context, req *http.Request) (*trackedRun, *refuser.Refusal) {
	r := &trackedRun{server: s, id: req.Header.Get(classifier.HeaderRequestID)}
	if s.cfg.CrashWatcher == nil {
		return r, nil
	}
	r.request = fingerprinter.New(req)
	if s.cfg.Quarantine == nil {
		return r, nil
	}
	if err := s.cfg.Quarantine.Check(ctx, r.request); err != nil {
		return nil, quarantineRefusal(err)
	}
	return r, nil
}

// start starts the run. It returns a refusal if the request must not run now.
func (r *trackedRun) start() *refuser.Refusal {
	cfg := &r.server.cfg
	if cfg.CrashWatcher == nil {
		return nil
	}
	if cfg.Quarantine != nil {
		release, err := cfg.Quarantine.Start(r.request)
		if err != nil {
			return quarantineRefusal(err)
		}
		r.release = release
	}
	r.run = cfg.CrashWatcher.Start(r.id, r.request)
	return nil
}

// end records how the run ended. Only the first call counts.
func (r *trackedRun) end(ending crashwatcher.Ending) {
	r.once.Do(func() {
		if r.run != nil {
			r.run.End(ending)
		}
		switch {
		case r.release == nil:
		case ending == crashwatcher.Abandoned: // It may still run at the upstream.
			time.AfterFunc(crashwatcher.LingerPeriod, r.release)
		default:
			r.release()
		}
	})
}

// quarantineRefusal converts an error of the quarantine. Nothing has been sent yet; the body cannot
// be read if its sender is gone.
func quarantineRefusal(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(classifier.NotRun, classifier.ReasonCanceled)
}

// failureEnding returns how a run ended that has no complete response.
func failureEnding(refusal *refuser.Refusal) crashwatcher.Ending {
	notRun := refusal.Outcome() == classifier.NotRun
	switch refusal.Reason() {
	case classifier.ReasonReset, classifier.ReasonTruncated, classifier.ReasonSend:
		if !notRun {
			return crashwatcher.Broken
		}
	case classifier.ReasonConnect:
		return crashwatcher.Unreachable
	}
	if notRun {
		return crashwatcher.NotRun
	}
	return crashwatcher.Abandoned
}

// bodyEnding returns how a run ended whose response body ended with err.
func bodyEnding(err error) crashwatcher.Ending {
	if errors.Is(err, io.EOF) {
		return crashwatcher.Responded
	}
	return failureEnding(refuser.FromError(err))
}
