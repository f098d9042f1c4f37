package cmd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// errPageStatus reports that a process responded with an error status.
var errPageStatus = errors.New("the process returned an error")

// maxPageBytes is the size up to which a page is read.
const maxPageBytes = 32 << 20

// fetchPage returns the body of a page that a process serves at its peer address.
func fetchPage(env *environment, url string, timeout time.Duration) ([]byte, error) {
	return callPage(env, http.MethodGet, url, timeout)
}

// callPage is like fetchPage, with any method.
func callPage(env *environment, method, url string, timeout time.Duration) ([]byte, error) {
	req, err := http.NewRequestWithContext(env.ctx, method, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	resp, err := (&http.Client{Timeout: timeout}).Do(req)
	if err != nil {
		return nil, fmt.Errorf("call the process: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errPageStatus, strings.TrimSpace(string(body)))
	}
	return body, nil
}
