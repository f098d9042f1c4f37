package cmd

import (
	"fmt"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// explainTimeout bounds the call to the node.
const explainTimeout = 5 * time.Second

// explainCmd adds the command that explains how a request was routed.
func explainCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("explain", "Explain how a request was routed.")
	node := c.Flag("node", "Peer address of the entry node that received the request.").Required().String()
	id := c.Arg("request-id", "Id of the request, as in the header Banyanscale-Request-Id.").Required().String()
	return c.FullCommand(), func() error { return runExplain(env, *node, *id) }
}

func runExplain(env *environment, node, id string) error {
	body, err := fetchPage(env, "http://"+node+"/explain/"+url.PathEscape(id), explainTimeout)
	if err != nil {
		return fmt.Errorf("explain %s: %w", id, err)
	}
	if _, err := env.stdout.Write(body); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
