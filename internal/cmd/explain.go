package cmd

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// explainTimeout bounds the question to the node.
const explainTimeout = 5 * time.Second

// explainCmd adds the command that tells why a request went where it went.
func explainCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("explain", "Tell why a request went where it went.")
	node := c.Flag("node", "Peer address of the entry node that took the request.").Required().String()
	id := c.Arg("request-id", "Id of the request, as in the header Banyanscale-Request-Id.").Required().String()
	return c.FullCommand(), func() error { return runExplain(env, *node, *id) }
}

func runExplain(env *environment, node, id string) error {
	req, err := http.NewRequestWithContext(env.ctx, http.MethodGet, "http://"+node+"/explain/"+url.PathEscape(id), http.NoBody)
	if err != nil {
		return fmt.Errorf("address %s: %w", node, err)
	}
	resp, err := (&http.Client{Timeout: explainTimeout}).Do(req)
	if err != nil {
		return fmt.Errorf("ask the node: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", id, body)
	}
	if _, err := env.stdout.Write(body); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
