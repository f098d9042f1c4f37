package cmd

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/testbed/emulator"
)

// standInHeaderTimeout bounds how long a stand-in waits for a request's headers.
const standInHeaderTimeout = 10 * time.Second

// standInCmd adds the command that runs one stand-in upstream.
func standInCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("standin", "Run a stand-in upstream for measurements.")
	address := c.Flag("address", "IP address and port to listen on.").Required().String()
	var spec emulator.Spec
	c.Flag("id", "Name echoed in each response.").Required().StringVar(&spec.ID)
	c.Flag("slots", "Number of requests executed concurrently.").Default("6").IntVar(&spec.Slots)
	c.Flag("connections", "Maximum number of open connections.").Default("240").IntVar(&spec.Connections)
	c.Flag("connect-time", "Time that accepting a connection takes.").Default("1ms").DurationVar(&spec.ConnectTime)
	c.Flag("service-time", "Mean service time of a request.").Default("2ms").DurationVar(&spec.ServiceTime)
	c.Flag("cold-start", "Time after the start until the service time is normal.").Default("0s").DurationVar(&spec.ColdStart)
	c.Flag("cold-factor", "Factor of the service time at the start.").Default("5").Float64Var(&spec.ColdFactor)
	c.Flag("cold-rate", "Requests a second above which it crashes during that time; 0 for none.").Default("0").Float64Var(&spec.ColdRate)
	c.Flag("noise-period", "Mean time between slowdowns; 0s for none.").Default("0s").DurationVar(&spec.NoisePeriod)
	c.Flag("noise-length", "Duration of a slowdown.").Default("20ms").DurationVar(&spec.NoiseLength)
	c.Flag("noise-factor", "Factor of the service time during a slowdown.").Default("8").Float64Var(&spec.NoiseFactor)
	c.Flag("endpoint-lag", "Age of the values that the load and health endpoints report.").Default("500ms").DurationVar(&spec.EndpointLag)
	c.Flag("crash-path", "Start of the paths of requests that crash the stand-in.").StringVar(&spec.CrashPath)
	restartAfter := c.Flag("restart-after", "Time until it is back after a crash.").Default("3s").Duration()
	c.Flag("seed", "Seed of service times and slowdowns.").Default("1").Uint64Var(&spec.Seed)
	return c.FullCommand(), func() error { return runStandIn(env, *address, *restartAfter, spec) }
}

// runStandIn runs a stand-in until the context ends. After a crash it is back at its address, with
// the counts of before.
func runStandIn(env *environment, address string, restartAfter time.Duration, spec emulator.Spec) error {
	e := emulator.New(spec)
	for {
		crashed, err := serveStandIn(env, address, e)
		if err != nil || !crashed {
			return err
		}
		select {
		case <-time.After(restartAfter):
		case <-env.ctx.Done():
			return nil
		}
		e.Restart()
	}
}

// serveStandIn serves until the context ends, or a request crashes the stand-in. It breaks all
// connections then.
func serveStandIn(env *environment, address string, e *emulator.Emulator) (crashed bool, err error) {
	listener, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", address)
	if err != nil {
		return false, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: standInHeaderTimeout}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		select {
		case <-env.ctx.Done():
		case <-e.Crashed():
			crashed = true
		}
		_ = srv.Close() // A stand-in may end abruptly; callers see broken connections.
	}()
	if err := srv.Serve(e.Listener(listener)); err != http.ErrServerClosed {
		return false, fmt.Errorf("serve: %w", err)
	}
	<-stop
	return crashed, nil
}
