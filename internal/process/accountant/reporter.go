package accountant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"github.com/banyanscale/banyanscale/internal/process/logger"
	"github.com/banyanscale/banyanscale/internal/process/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
)

const (
	// ReportInterval is the time between reports. A node that crashes loses at
	// most the usage of one interval.
	ReportInterval = 30 * time.Second
	// firstReport bounds the random time until the first report, so that
	// control soon knows which version a new instance follows.
	firstReport = 5 * time.Second
	// inForceReport bounds the random time until a change of the version in
	// force is reported.
	inForceReport = 2 * time.Second
	// meterInterval is the time between ticks of the meter.
	meterInterval = time.Second
	// reportTimeout bounds one call.
	reportTimeout = 3 * time.Second
	// finalReports is how many control instances get the last report.
	finalReports = 2
)

// Sender sends a report to a control instance.
type Sender interface {
	ReportUsage(ctx context.Context, to netip.AddrPort, req *controlwire.ReportUsageRequest) error
}

// httpSender is the Sender over HTTP.
type httpSender struct{ client connect.HTTPClient }

// NewSender returns a Sender that uses the given HTTP client.
func NewSender(client connect.HTTPClient) Sender { return &httpSender{client: client} }

// ReportUsage implements Sender.
func (s *httpSender) ReportUsage(ctx context.Context, to netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	control := controlwireconnect.NewControlClient(s.client, "http://"+to.String())
	if _, err := control.ReportUsage(ctx, connect.NewRequest(req)); err != nil {
		return fmt.Errorf("report usage: %w", err)
	}
	return nil
}

// ReporterConfig lists what a Reporter depends on.
type ReporterConfig struct {
	Meter *Meter
	// Self returns the instance as it is announced now.
	Self func() *registrar.Instance
	// InForce returns the version that the node follows, or nil.
	InForce func() *controlwire.VersionDigest
	// Control returns the peer addresses of control instances.
	Control func() []netip.AddrPort
	Sender  Sender
	Logger  zerolog.Logger
	Scope   tally.Scope
	Random  *rand.Rand
}

// Reporter drives a meter and sends its counters to control.
type Reporter struct {
	cfg    ReporterConfig
	log    zerolog.Logger
	sent   tally.Counter
	failed tally.Counter
	tomb   tomb.Tomb
}

// NewReporter returns a reporter.
func NewReporter(cfg ReporterConfig) *Reporter {
	return &Reporter{
		cfg:    cfg,
		log:    logger.Part(cfg.Logger, "accountant"),
		sent:   cfg.Scope.Counter("usage_reports"),
		failed: cfg.Scope.Counter("usage_report_failures"),
	}
}

// Start begins to meter and to report.
func (r *Reporter) Start() { r.tomb.Go(r.run) }

// Stop sends the last report and ends. It must follow Start.
func (r *Reporter) Stop() error {
	r.tomb.Kill(nil)
	if err := r.tomb.Wait(); err != nil {
		return fmt.Errorf("stop reporter: %w", err)
	}
	return nil
}

func (r *Reporter) run() error {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	next := time.Now().Add(r.random(firstReport))
	reported := r.cfg.InForce().GetNumber()
	for {
		select {
		case <-r.tomb.Dying():
			r.report(finalReports)
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		r.cfg.Meter.Tick(now)
		r.cfg.Meter.SetInstance(now, r.cfg.Self())
		if number := r.cfg.InForce().GetNumber(); number != reported {
			reported = number
			if soon := now.Add(r.random(inForceReport)); soon.Before(next) {
				next = soon
			}
		}
		if now.Before(next) {
			continue
		}
		r.report(1)
		next = time.Now().Add(ReportInterval - meterInterval/2)
	}
}

func (r *Reporter) random(bound time.Duration) time.Duration {
	return time.Duration(r.cfg.Random.Int64N(int64(bound)))
}

// report sends the counters to the given number of control instances, and
// asks the others if some do not answer.
func (r *Reporter) report(copies int) {
	counters := r.cfg.Meter.Counters(time.Now())
	self := r.cfg.Self()
	req := &controlwire.ReportUsageRequest{
		Counters: counters,
		InForce: &controlwire.InForce{
			Instance:    self.ID(),
			Incarnation: self.Incarnation(),
			Site:        self.Site(),
			Version:     r.cfg.InForce(),
		},
	}
	control := r.cfg.Control()
	for _, i := range r.cfg.Random.Perm(len(control)) {
		if err := r.send(control[i], req); err != nil {
			r.failed.Inc(1)
			r.log.Debug().Err(err).Stringer("control", control[i]).Msg("A report was not taken.")
			continue
		}
		r.sent.Inc(1)
		r.cfg.Meter.Reported(counters)
		if copies--; copies == 0 {
			return
		}
	}
}

func (r *Reporter) send(to netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return r.cfg.Sender.ReportUsage(ctx, to, req)
}
