package cmd

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/emulator"
)

// standInHeaderTimeout bounds how long a stand-in waits for a request's head.
const standInHeaderTimeout = 10 * time.Second

// standInCmd adds the command that runs one stand-in upstream.
func standInCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("standin", "Run a stand-in upstream for measurements.")
	address := c.Flag("address", "IP number and port to listen on.").Required().String()
	var spec emulator.Spec
	c.Flag("id", "Name echoed in each answer.").Required().StringVar(&spec.ID)
	c.Flag("slots", "Requests worked on at once.").Default("6").IntVar(&spec.Slots)
	c.Flag("connections", "Connections accepted at once.").Default("240").IntVar(&spec.Connections)
	c.Flag("connect-time", "Time that accepting a connection takes.").Default("1ms").DurationVar(&spec.ConnectTime)
	c.Flag("service-time", "Mean time of one request.").Default("2ms").DurationVar(&spec.ServiceTime)
	c.Flag("cold-start", "Time until the service time is normal.").Default("0s").DurationVar(&spec.ColdStart)
	c.Flag("cold-factor", "How many times longer work takes at the start.").Default("5").Float64Var(&spec.ColdFactor)
	c.Flag("noise-period", "Mean time between slow spells; 0s for none.").Default("0s").DurationVar(&spec.NoisePeriod)
	c.Flag("noise-length", "Length of a slow spell.").Default("20ms").DurationVar(&spec.NoiseLength)
	c.Flag("noise-factor", "How many times longer work takes in a slow spell.").Default("8").Float64Var(&spec.NoiseFactor)
	c.Flag("endpoint-lag", "Age of what the load and health endpoints show.").Default("500ms").DurationVar(&spec.EndpointLag)
	c.Flag("seed", "Seed of service times and slow spells.").Default("1").Uint64Var(&spec.Seed)
	return c.FullCommand(), func() error { return runStandIn(env, *address, spec) }
}

func runStandIn(env *environment, address string, spec emulator.Spec) error {
	listener, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e := emulator.New(spec)
	srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: standInHeaderTimeout}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		<-env.ctx.Done()
		_ = srv.Close() // A stand-in may end at any time; callers see broken connections.
	}()
	if err := srv.Serve(e.Listener(listener)); err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	<-stop
	return nil
}
