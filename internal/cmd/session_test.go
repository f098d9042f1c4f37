package cmd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

const (
	// sessionAddresses is the number of addresses for each script. They are in
	// $ADDR0 and so on, and the same ones in $VOTER0 and so on.
	sessionAddresses = 10
	// awaitTimeout bounds how long a script waits for a condition, and each call.
	awaitTimeout  = 60 * time.Second
	awaitInterval = 50 * time.Millisecond
)

// runCalls sends the requests in a file, one per line, and prints a line for each
// response (see call). A line has the method, the address, the host, the path and
// headers as NAME=VALUE.
func runCalls(ts *testscript.TestScript, _ bool, args []string) {
	for _, line := range strings.Split(strings.TrimSpace(ts.ReadFile(args[0])), "\n") {
		text, err := call(strings.Fields(line))
		if err != nil {
			text = "broken connection"
		}
		fmt.Fprintln(ts.Stdout(), text)
	}
}

// runBehave sets the behavior of the stand-in at an address.
func runBehave(ts *testscript.TestScript, _ bool, args []string) {
	text, err := call([]string{http.MethodPost, args[0], "standin", "/-/standin/behavior?kind=" + args[1]})
	ts.Check(err)
	if !strings.HasPrefix(text, "204") {
		ts.Fatalf("behavior %s: %s", args[1], text)
	}
}

// runAwait repeats a call until its output has the given prefix.
//
//	await PREFIX METHOD ADDRESS HOST PATH
func runAwait(ts *testscript.TestScript, _ bool, args []string) {
	last := ""
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		text, err := call(args[1:])
		if err == nil && strings.HasPrefix(text, args[0]) {
			return
		}
		last = fmt.Sprint(text, err)
	}
	ts.Fatalf("no response started with %q; the last one was %s", args[0], last)
}

// call sends a request and returns a summary of the response: the status, the
// outcome and the reason, "retry-after" if that header is set, the id of the
// request for which the upstream made the response if the request has an id, and
// the size of the body if it has an ETag. For a stand-in's own endpoints it
// returns the status and the body.
func call(args []string) (string, error) {
	req, err := http.NewRequest(args[0], "http://"+args[1]+args[3], http.NoBody)
	if err != nil {
		return "", err
	}
	req.Host = args[2]
	for _, header := range args[4:] {
		name, value, _ := strings.Cut(header, "=")
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: awaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if strings.HasPrefix(args[3], "/-/standin/") {
		return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))), nil
	}
	text := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get(classifier.HeaderOutcome))
	if reason := resp.Header.Get(classifier.HeaderReason); reason != "" {
		text += " " + reason
	}
	if resp.Header.Get(classifier.HeaderRetryAfter) != "" {
		text += " retry-after"
	}
	if id := req.Header.Get(classifier.HeaderRequestID); id != "" && resp.Header.Get("Standin-Request") != "" {
		text += " for " + resp.Header.Get("Standin-Request")
	}
	if resp.Header.Get("Etag") != "" {
		text += fmt.Sprintf(" %d bytes", len(body))
	}
	return text, nil
}
