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

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/telemetry/logger"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire/controlwireconnect"
)

const (
	// ReportInterval is the interval between reports. A crash loses at most the usage
	// of one interval.
	ReportInterval = 30 * time.Second
	// maxFirstReportDelay limits the random delay of the first report. It is short so
	// that control soon knows which version a new instance has in force.
	maxFirstReportDelay = 5 * time.Second
	// maxVersionReportDelay limits the random delay after which a change of the version
	// in force is reported.
	maxVersionReportDelay = 2 * time.Second
	// tickInterval is the interval between ticks of the meter.
	tickInterval = time.Second
	// reportTimeout limits one call.
	reportTimeout = 3 * time.Second
	// finalReportCopies is the number of control instances that the final report is sent to.
	finalReportCopies = 2
)

// Sender sends a report to a control instance.
type Sender interface {
	ReportUsage(ctx context.Context, to netip.AddrPort, req *controlwire.ReportUsageRequest) error
}

// httpSender sends reports over HTTP.
type httpSender struct{ client connect.HTTPClient }

// NewSender returns a Sender that uses the given HTTP client.
func NewSender(client connect.HTTPClient) Sender { return &httpSender{client: client} }

// maxUsageBytes is the size up to which the usage of all instances and days is read.
const maxUsageBytes = 128 << 20

// newControlClient returns a client of a control instance, which reads bounded responses.
func newControlClient(client connect.HTTPClient, to netip.AddrPort) controlwireconnect.ControlClient {
	return controlwireconnect.NewControlClient(client, "http://"+to.String(), connect.WithReadMaxBytes(maxUsageBytes))
}

// ReportUsage implements Sender.
func (s *httpSender) ReportUsage(ctx context.Context, to netip.AddrPort, req *controlwire.ReportUsageRequest) error {
	control := newControlClient(s.client, to)
	if _, err := control.ReportUsage(ctx, connect.NewRequest(req)); err != nil {
		return fmt.Errorf("report usage: %w", err)
	}
	return nil
}

// ReporterConfig holds the dependencies of a Reporter.
type ReporterConfig struct {
	Meter *Meter
	// Self returns the instance as currently announced.
	Self func() *registrar.Instance
	// InForce returns the version that the node has in force, or nil.
	InForce func() *controlwire.VersionDigest
	// ControlAddresses returns the peer addresses of the control instances.
	ControlAddresses func() []netip.AddrPort
	Sender           Sender
	Logger           zerolog.Logger
	Scope            tally.Scope
	Random           *rand.Rand
}

// Reporter updates a meter at each tick, and reports its counters and the version in force
// to control.
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

// Start starts metering and reporting.
func (r *Reporter) Start() { r.tomb.Go(r.run) }

// Stop sends the final report and stops. It must be called after Start.
func (r *Reporter) Stop() error {
	r.tomb.Kill(nil)
	if err := r.tomb.Wait(); err != nil {
		return fmt.Errorf("stop reporter: %w", err)
	}
	return nil
}

func (r *Reporter) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextReport := time.Now().Add(r.randomDelay(maxFirstReportDelay))
	reportedVersion := r.cfg.InForce().GetNumber()
	for {
		select {
		case <-r.tomb.Dying():
			r.report(finalReportCopies)
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		r.cfg.Meter.Tick(now)
		r.cfg.Meter.SetInstance(now, r.cfg.Self())
		if version := r.cfg.InForce().GetNumber(); version != reportedVersion {
			reportedVersion = version
			if earlier := now.Add(r.randomDelay(maxVersionReportDelay)); earlier.Before(nextReport) {
				nextReport = earlier
			}
		}
		if now.Before(nextReport) {
			continue
		}
		r.report(1)
		nextReport = time.Now().Add(ReportInterval - tickInterval/2)
	}
}

func (r *Reporter) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(r.cfg.Random.Int64N(int64(limit)))
}

// report sends the counters to the given number of control instances, in random order,
// trying further ones after failures.
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
	addresses := r.cfg.ControlAddresses()
	for _, i := range r.cfg.Random.Perm(len(addresses)) {
		if err := r.send(addresses[i], req); err != nil {
			r.failed.Inc(1)
			r.log.Debug().Err(err).Stringer("control", addresses[i]).Msg("Failed to report usage to a control instance.")
			continue
		}
		r.sent.Inc(1)
		r.cfg.Meter.MarkReported(counters)
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
