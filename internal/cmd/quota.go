package cmd

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// quotaTimeout bounds the call to the process.
const quotaTimeout = 5 * time.Second

// quotaCmd adds the command that shows the quotas of organisations.
func quotaCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("quota", "Show the quotas of organisations with recent requests.")
	node := c.Flag("node", "Peer address of any node or control instance.").Required().String()
	return c.FullCommand(), func() error { return runQuota(env, *node) }
}

func runQuota(env *environment, node string) error {
	body, err := fetchPage(env, "http://"+node+launcher.QuotaPath, quotaTimeout)
	if err != nil {
		return fmt.Errorf("show the quotas: %w", err)
	}
	var status launcher.QuotaStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return fmt.Errorf("decode the response: %w", err)
	}
	fmt.Fprintln(env.stdout, quotaSummary(status))
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ORGANISATION\tLIMIT\tDEMAND\tLEASE\tTOKENS\tSERVED\tREFUSED")
	for _, o := range status.Organisations {
		fmt.Fprintf(t, "%s\t%g/s\t%.1f/s\t%.1f/s\t%.0f\t%d\t%d\n",
			o.Organisation, o.Limit, o.Demand, o.Lease, o.Tokens, o.Served, o.Refused)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// quotaSummary returns a line about who grants.
func quotaSummary(s launcher.QuotaStatus) string {
	left := time.Duration(s.LeaseLeftMS) * time.Millisecond
	switch {
	case s.Grants && s.LeasesKnown:
		return fmt.Sprintf("this instance grants, to %d nodes", s.Nodes)
	case s.Grants:
		return fmt.Sprintf("this instance grants, to %d nodes, and does not know all leases yet", s.Nodes)
	case s.Answered && s.Grantor != "":
		return s.Grantor + " grants"
	case s.LeaseLeftMS > 0:
		return fmt.Sprintf("no control instance answers; the leases end in %s", left.Round(100*time.Millisecond))
	case s.Grantor != "":
		return s.Grantor + " grants"
	}
	return "it is not known which control instance grants"
}
