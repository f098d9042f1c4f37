package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// errStandInStatus reports that a stand-in responded with an unexpected status.
var errStandInStatus = errors.New("unexpected status from the stand-in")

// auditor compares the outcomes that callers received with the executions that
// the stand-ins counted.
type auditor struct {
	standIns      []string
	client        *http.Client
	mu            sync.Mutex
	nonRepeatable []string // Ids of requests that must not be executed twice.
	notRun        []string // Ids of requests with the outcome "not-run".
}

func newAuditor(standIns []string, client *http.Client) *auditor {
	return &auditor{standIns: standIns, client: client}
}

func (a *auditor) add(j job, v classifier.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.mix.Method == http.MethodPost {
		a.nonRepeatable = append(a.nonRepeatable, j.id)
	}
	if v.Outcome() == classifier.NotRun {
		a.notRun = append(a.notRun, j.id)
	}
}

// check sets the counts of executions and of violated guarantees in r.
func (a *auditor) check(ctx context.Context, r *Result) error {
	nonRepeatableRuns, err := a.executionsOf(ctx, a.nonRepeatable)
	if err != nil {
		return fmt.Errorf("count executions of non-repeatable requests: %w", err)
	}
	for _, n := range nonRepeatableRuns {
		if n > 1 {
			r.RanMoreThanOnce++
		}
	}
	notRunRuns, err := a.executionsOf(ctx, a.notRun)
	if err != nil {
		return fmt.Errorf("count executions of not-run requests: %w", err)
	}
	r.FalseNotRun = len(notRunRuns)
	r.NotRun = len(a.notRun)
	if err := a.addTotals(ctx, r); err != nil {
		return fmt.Errorf("count all executions: %w", err)
	}
	return nil
}

// executionsOf returns the number of executions of each id, summed over all
// stand-ins. Ids that were never executed are left out.
func (a *auditor) executionsOf(ctx context.Context, ids []string) (map[string]int, error) {
	sum := make(map[string]int)
	for _, url := range a.standIns {
		runs := make(map[string]int)
		body := strings.NewReader(strings.Join(ids, "\n"))
		if err := a.call(ctx, http.MethodPost, url+"/-/standin/executions", body, &runs); err != nil {
			return nil, fmt.Errorf("%s: %w", url, err)
		}
		for id, n := range runs {
			sum[id] += n
		}
	}
	return sum, nil
}

// addTotals adds the totals of all stand-ins to r.
func (a *auditor) addTotals(ctx context.Context, r *Result) error {
	for _, url := range a.standIns {
		var report struct {
			Total     int `json:"total"`
			OverLimit int `json:"over-limit"`
			OverCold  int `json:"over-cold"`
		}
		if err := a.call(ctx, http.MethodGet, url+"/-/standin/executions", http.NoBody, &report); err != nil {
			return fmt.Errorf("%s: %w", url, err)
		}
		r.Executions += report.Total
		r.OverLimit += report.OverLimit
		r.OverCold += report.OverCold
	}
	return nil
}

// call sends a request to a stand-in and decodes the JSON response.
func (a *auditor) call(ctx context.Context, method, url string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("call the stand-in: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrap(errStandInStatus, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func setBehavior(ctx context.Context, client *http.Client, b Behavior) error {
	url := b.StandIn + "/-/standin/behavior"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(b.Form))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("set behavior: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Wrapf(errStandInStatus, "behavior %q: %s", b.Form, resp.Status)
	}
	return nil
}

func wrapReadError(err error) error {
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}
