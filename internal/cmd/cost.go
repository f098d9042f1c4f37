package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/accounting/accountant"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// costTimeout bounds the call to the control instance.
	costTimeout   = 10 * time.Second
	secondsPerDay = 24 * 60 * 60
	// millisecondsPerSecond converts slot-milliseconds to slot-seconds.
	millisecondsPerSecond = 1000
)

// costCmd adds the command that prints who pays for idle capacity.
func costCmd(app *kingpin.Application, env *environment) (string, action) {
	cmd := app.Command("cost", "Print who pays for idle capacity, in slot-seconds.")
	control := cmd.Flag("control", "Peer address of a control instance.").Required().String()
	period := cmd.Flag("period", "How far to look back; covers full days in UTC.").Default("24h").Duration()
	return cmd.FullCommand(), func() error {
		to, err := netip.ParseAddrPort(*control)
		if err != nil {
			return fmt.Errorf("parse control address: %w", err)
		}
		return printCost(env.ctx, env.stdout, accountant.NewReader(http.DefaultClient), to, *period)
	}
}

func printCost(ctx context.Context, w io.Writer, reader accountant.Reader, control netip.AddrPort, period time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, costTimeout)
	defer cancel()
	now := time.Now()
	resp, err := reader.Usage(ctx, control, &controlwire.UsageRequest{
		FromDay: uint32(now.Add(-period).Unix() / secondsPerDay),
		ToDay:   uint32(now.Unix() / secondsPerDay),
	})
	if err != nil {
		return fmt.Errorf("read ledger: %w", err)
	}
	return writeBill(w, accountant.NewBill(resp.GetCounters(), now))
}

// writeBill prints one line for each owner and service, in slot-seconds.
func writeBill(w io.Writer, bill *accountant.Bill) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "owner\tservice\tbusy\tidle\twarming\tleaving\tunreachable\tcredit\tshared\tpays\t")
	for _, l := range bill.Lines() {
		fmt.Fprintf(table, "%s\t%s\t", l.Owner(), l.Service())
		for _, v := range []uint64{l.Busy(), l.Idle(), l.Warming(), l.Leaving(), l.Unreachable(), l.Credit(), l.Shared(), l.Charged()} {
			fmt.Fprintf(table, "%d.%03d\t", v/millisecondsPerSecond, v%millisecondsPerSecond)
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print cost: %w", err)
	}
	return nil
}
