package cmd

import (
	"fmt"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/testbed/injector"
)

// proxyCmd adds the command that injects network faults for soak tests.
func proxyCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("proxy", "Run a TCP proxy that injects network faults, for soak tests.")
	address := c.Flag("address", "IP address and port to listen on.").Required().String()
	var spec injector.Spec
	c.Flag("target", "IP address and port to forward connections to.").Required().StringVar(&spec.Target)
	c.Flag("seed", "Seed of the faults and their durations.").Default("1").Uint64Var(&spec.Seed)
	c.Flag("calm", "Share of the time without faults, in percent.").Default("60").IntVar(&spec.PassPercent)
	return c.FullCommand(), func() error {
		l, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", *address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return injector.New(spec).Serve(env.ctx, l)
	}
}
