package cmd

import (
	"fmt"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/disturber"
)

// proxyCmd adds the command that spoils connections for a soak.
func proxyCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("proxy", "Run a proxy that spoils connections, for a soak.")
	address := c.Flag("address", "IP number and port to listen on.").Required().String()
	var spec disturber.Spec
	c.Flag("target", "IP number and port to hand connections on to.").Required().StringVar(&spec.Target)
	c.Flag("seed", "Seed of what it does to connections, and for how long.").Default("1").Uint64Var(&spec.Seed)
	c.Flag("calm", "Share of the time in which it does nothing, in percent.").Default("60").IntVar(&spec.PassPercent)
	return c.FullCommand(), func() error {
		l, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", *address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return disturber.New(spec).Serve(env.ctx, l)
	}
}
