package cmd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// errPage reports that a process did not show the page that was asked for.
var errPage = errors.New("the process refused")

// get reads a page that a process shows at its peer address.
func get(env *environment, url string, timeout time.Duration) ([]byte, error) {
	req, err := http.NewRequestWithContext(env.ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make a request: %w", err)
	}
	resp, err := (&http.Client{Timeout: timeout}).Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask the process: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errPage, strings.TrimSpace(string(body)))
	}
	return body, nil
}
