package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/process/launcher"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// errStatusUsage reports that neither or both of --control and --node were given.
var errStatusUsage = errors.New("give either --control or --node")

// statusCmd adds the command that shows the state of voters and the versions in
// force.
func statusCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("status", "Show the state of the voters and the version in force on each instance.")
	var flags controlFlags
	flags.add(c, false)
	node := c.Flag("node", "Peer address of a node whose view to show instead.").PlaceHolder("ADDR").String()
	return c.FullCommand(), func() error {
		if (*node == "") == (flags.addresses == "") {
			return errStatusUsage
		}
		if *node != "" {
			return runNodeStatus(env, *node, flags.timeout)
		}
		return runStatus(env, &flags)
	}
}

// runNodeStatus prints the status of one node and the instances that it knows.
func runNodeStatus(env *environment, node string, timeout time.Duration) error {
	body, err := fetchPage(env, "http://"+node+"/status", timeout)
	if err != nil {
		return err
	}
	var s launcher.NodeStatus
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("decode the node's response: %w", err)
	}
	fmt.Fprintf(env.stdout, "%s at %s: %s, version %d, %d in flight, %s\n", s.Instance, s.Site, s.State, s.Version, s.InFlight, s.Load)
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(env.stdout, "evacuated: %s\n", strings.Join(s.Evacuated, ", "))
	}
	if s.Cold != "" {
		fmt.Fprintf(env.stdout, "upstream counts as cold: %s\n", s.Cold)
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tSERVICE\tFAILURE DOMAIN\tSTATE")
	for _, in := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", in.ID, in.Service, in.FailureDomain, in.State)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// runStatus queries every control instance, since during a partition each knows
// only its own side.
func runStatus(env *environment, flags *controlFlags) error {
	addresses, err := flags.parseAddresses()
	if err != nil {
		return err
	}
	merged := make(map[string]*controlwire.InForce)
	var evacuation *controlwire.Evacuation
	responded := 0
	for _, address := range addresses {
		client := newFailoverClient([]netip.AddrPort{address}, flags.timeout)
		resp, err := client.Status(env.ctx)
		if err != nil {
			fmt.Fprintf(env.stdout, "%s: no response: %v\n", address, err)
			continue
		}
		responded++
		printVoter(env.stdout, address, resp)
		mergeInForce(merged, resp.GetInForce())
		if resp.GetEvacuation().GetRevision() > evacuation.GetRevision() {
			evacuation = resp.GetEvacuation()
		}
	}
	if responded == 0 {
		return errNoEffect
	}
	if evacuation != nil {
		printEvacuation(env.stdout, evacuation)
	}
	return printInForce(env.stdout, merged, time.Now())
}

func printVoter(w io.Writer, address netip.AddrPort, s *controlwire.StatusResponse) {
	role := "not voting"
	if s.GetVoting() {
		role = "voting"
	}
	freshness := "reaches a majority"
	if s.GetStale() {
		freshness = fmt.Sprintf("STALE for %s", time.Duration(s.GetStaleForMs())*time.Millisecond)
	}
	fmt.Fprintf(w, "%s: %s, %s, version %d\n", address, role, freshness, s.GetVersion())
}

// mergeInForce adds reports to a map by instance, keeping the newest of each.
func mergeInForce(into map[string]*controlwire.InForce, reports []*controlwire.InForce) {
	for _, r := range reports {
		if known, ok := into[r.GetInstance()]; !ok || known.GetReportedUnixMs() < r.GetReportedUnixMs() {
			into[r.GetInstance()] = r
		}
	}
}

func printInForce(w io.Writer, reports map[string]*controlwire.InForce, now time.Time) error {
	names := make([]string, 0, len(reports))
	for name := range reports {
		names = append(names, name)
	}
	sort.Strings(names)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tSITE\tVERSION IN FORCE\tREPORTED")
	for _, name := range names {
		r := reports[name]
		age := now.Sub(time.UnixMilli(r.GetReportedUnixMs())).Round(time.Second)
		fmt.Fprintf(t, "%s\t%s\t%d\t%s ago\n", name, r.GetSite(), r.GetVersion().GetNumber(), age)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
