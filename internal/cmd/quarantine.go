package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// quarantineTimeout bounds the call to the node.
const quarantineTimeout = 5 * time.Second

// quarantineCmd adds the command that shows and lifts the quarantine of requests that crash
// upstreams.
func quarantineCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("quarantine", "Show the requests that crash upstreams, or let one run again.")
	node := c.Flag("node", "Peer address of any node or control instance.").Required().String()
	lift := c.Flag("lift", "Fingerprint of a request to let run again, at all nodes.").PlaceHolder("FINGERPRINT").String()
	return c.FullCommand(), func() error {
		if *lift != "" {
			return runQuarantineLift(env, *node, *lift)
		}
		return runQuarantine(env, *node)
	}
}

func runQuarantine(env *environment, node string) error {
	body, err := fetchPage(env, "http://"+node+launcher.QuarantinePath, quarantineTimeout)
	if err != nil {
		return fmt.Errorf("show the quarantine: %w", err)
	}
	var entries []launcher.QuarantineEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return fmt.Errorf("decode the node's response: %w", err)
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FINGERPRINT\tSTANDING\tCRASHES IN A ROW\tLAST CRASH\tHELD FOR")
	for _, e := range entries {
		last := time.Duration(e.LastCrashMS) * time.Millisecond
		held := time.Duration(e.HeldForMS) * time.Millisecond
		fmt.Fprintf(t, "%s\t%s\t%d\t%s ago\t%s\n", e.Fingerprint, e.Standing, e.Crashes, last.Round(time.Second), held.Round(time.Second))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

func runQuarantineLift(env *environment, node, fingerprint string) error {
	target := "http://" + node + launcher.QuarantinePath + "/" + url.PathEscape(fingerprint)
	if _, err := callPage(env, http.MethodDelete, target, quarantineTimeout); err != nil {
		return fmt.Errorf("lift the quarantine of %s: %w", fingerprint, err)
	}
	fmt.Fprintf(env.stdout, "%s may run again\n", fingerprint)
	return nil
}
