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

// errStandIn reports that a stand-in did not take a request of the tool itself.
var errStandIn = errors.New("stand-in refused")

// auditor compares what callers were told with what the stand-ins ran.
type auditor struct {
	standIns []string
	client   *http.Client
	mu       sync.Mutex
	once     []string // Ids of requests that may not be repeated.
	notRun   []string // Ids of requests that were told "not-run".
}

func newAuditor(standIns []string, client *http.Client) *auditor {
	return &auditor{standIns: standIns, client: client}
}

func (a *auditor) add(j job, v classifier.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.mix.Method == http.MethodPost {
		a.once = append(a.once, j.id)
	}
	if v.Outcome() == classifier.NotRun {
		a.notRun = append(a.notRun, j.id)
	}
}

// check fills in the counts of executions and broken promises.
func (a *auditor) check(ctx context.Context, r *Result) error {
	onceRuns, err := a.executionsOf(ctx, a.once)
	if err != nil {
		return fmt.Errorf("requests that may not be repeated: %w", err)
	}
	for _, n := range onceRuns {
		if n > 1 {
			r.RanTwice++
		}
	}
	notRunRuns, err := a.executionsOf(ctx, a.notRun)
	if err != nil {
		return fmt.Errorf("requests told not-run: %w", err)
	}
	r.FalseNotRun = len(notRunRuns)
	r.NotRun = len(a.notRun)
	r.Executions, err = a.total(ctx)
	if err != nil {
		return fmt.Errorf("executions in all: %w", err)
	}
	return nil
}

// executionsOf sums the executions of ids over all stand-ins.
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

func (a *auditor) total(ctx context.Context) (int, error) {
	total := 0
	for _, url := range a.standIns {
		var report struct {
			Total int `json:"total"`
		}
		if err := a.call(ctx, http.MethodGet, url+"/-/standin/executions", http.NoBody, &report); err != nil {
			return 0, fmt.Errorf("%s: %w", url, err)
		}
		total += report.Total
	}
	return total, nil
}

func (a *auditor) call(ctx context.Context, method, url string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("make a request: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("ask the stand-in: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrap(errStandIn, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	return nil
}

func setBehavior(ctx context.Context, client *http.Client, b Behavior) error {
	url := b.StandIn + "/-/standin/behavior"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(b.Query))
	if err != nil {
		return fmt.Errorf("make a request: %w", err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("set behavior: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Wrapf(errStandIn, "behavior %q: %s", b.Query, resp.Status)
	}
	return nil
}

func wrapRead(err error) error {
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	return nil
}
