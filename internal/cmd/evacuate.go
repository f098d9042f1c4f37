package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// percent is the number of hundredths in a whole.
const percent = 100

// evacuateCommand returns the parent of the evacuate commands.
func evacuateCommand(app *kingpin.Application) *kingpin.CmdClause {
	if parent := app.GetCommand("evacuate"); parent != nil {
		return parent
	}
	return app.Command("evacuate", "Keep all requests from the upstreams of a failure domain, or end that.")
}

// evacuationClient returns the client for the calls of the evacuate commands.
func (f *controlFlags) evacuationClient() (*failoverClient, error) {
	addresses, err := f.parseAddresses()
	if err != nil {
		return nil, err
	}
	return newFailoverClient(addresses, f.timeout), nil
}

// printEvacuation prints the evacuated failure domains.
func printEvacuation(w io.Writer, e *controlwire.Evacuation) {
	fmt.Fprintf(w, "evacuated: %s (revision %d)\n", evacuatedNames(e), e.GetRevision())
}

func evacuatedNames(e *controlwire.Evacuation) string {
	if len(e.GetFailureDomains()) == 0 {
		return "none"
	}
	return strings.Join(e.GetFailureDomains(), ", ")
}

// printCapacity prints the capacity that each service has left.
func printCapacity(w io.Writer, list []*controlwire.ServiceCapacity) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tINSTANCES LEFT\tSLOTS LEFT\tCAPACITY LEFT")
	for _, c := range list {
		fmt.Fprintf(t, "%s\t%d of %d\t%d of %d\t%d %%\n", c.GetService(), c.GetRemainingInstances(), c.GetInstances(),
			c.GetRemainingSlots(), c.GetSlots(), percent*c.GetRemainingSlots()/max(c.GetSlots(), 1))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
