package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const host = "shop.example"

// summary lists the routes of a configuration, as it was sent or read.
func summary(cfg map[string]any) string {
	var lines []string
	hosts, _ := cfg["VirtualHosts"].([]any)
	for _, h := range hosts {
		switch paths := h.(map[string]any)["Paths"].(type) {
		case []route:
			for _, r := range paths {
				lines = append(lines, fmt.Sprintf("%s->%s %gs", r.PathPrefix, r.Service, r.TimeoutS))
			}
		case []any:
			for _, p := range paths {
				r := p.(map[string]any)
				lines = append(lines, fmt.Sprintf("%s->%s %gs", r["PathPrefix"], r["Service"], r["TimeoutS"]))
			}
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, ", ")
}

func versionText(n int) string { return fmt.Sprintf("%08x", n) }

// numbered returns a configuration that differs from that of any other number.
func numbered(n int) map[string]any {
	routes := []route{
		{Name: "r-first", PathPrefix: "/first/", Kind: "safe", TimeoutS: 1 + float64(n)/100, LatencySloS: 0.5, Priority: 2, Service: "balance", MaxAttempts: 2},
		{Name: fmt.Sprintf("r-%d", n), PathPrefix: fmt.Sprintf("/n%d/", n), Kind: "non_idempotent", TimeoutS: 1.5, LatencySloS: 0.6, Priority: 1, Service: "payment", MaxAttempts: 2},
	}
	return config(versionText(n), []string{"balance", "payment"}, host, routes)
}

// sendPair sends version a on the newest one and version b on a, and returns the versions that were
// acknowledged. With trouble both are in progress at once.
func (f *fleet) sendPair(at string, newest, a, b int) map[int]bool {
	acked := map[int]bool{}
	var mu sync.Mutex
	send := func(n, base int) {
		for range 5 {
			status, text, err := order(at, "/-/Config.Replace", versionText(base), numbered(n), time.Second)
			f.rec.logf("operator: version %s on %s: %d %s %v", versionText(n), versionText(base), status, text, err)
			if err == nil && status < 500 { // Other failures get no clear answer: the order is sent again.
				mu.Lock()
				acked[n] = status == 200
				mu.Unlock()
				return
			}
		}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); send(a, newest) }()
	if f.trouble {
		time.Sleep(time.Millisecond)
	} else {
		wg.Wait() // The next change follows the acknowledgement.
	}
	send(b, a)
	wg.Wait()
	return acked
}

// readBack reads the configuration at all control instances and returns how often version n was read
// with another content than was sent.
func (f *fleet) readBack(n int) int {
	wrong := 0
	for _, c := range f.controls {
		_, read, err := readConfig(c.address)
		if err != nil || read == nil {
			f.rec.logf("operator: read at %s failed: %v", c.name, err)
			continue
		}
		f.rec.logf("operator: read at %s: version %v: %s", c.name, read["Version"], summary(read))
		if read["Version"] == versionText(n) && summary(read) != summary(numbered(n)) {
			wrong++
		}
	}
	return wrong
}

// pipelinedConfig sends changes on top of each other, two in progress at once, and reads back.
func pipelinedConfig(f *fleet) error {
	if err := f.startControl(); err != nil {
		return err
	}
	if err := f.firstConfig(numbered(1)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	newest, pairs := 1, 0
	for round := range 12 {
		a, b := newest+2, newest+4
		acked := f.sendPair(f.controls[round%3].address, newest, a, b)
		if acked[a] {
			newest = a
		}
		if acked[b] {
			newest = b
			pairs++
		}
		time.Sleep(200 * time.Millisecond)
		if f.readBack(newest) > 0 {
			break
		}
	}
	f.rec.logf("%d pairs of changes were acknowledged; the day ends with version %s", pairs, versionText(newest))
	f.rec.logf("sent as version %s: %s", versionText(newest), summary(numbered(newest)))
	wrong := 0
	for range 4 { // For ContactS.
		time.Sleep(time.Second)
		wrong += f.readBack(newest)
	}
	if pairs == 0 {
		return fmt.Errorf("%w: no pair was acknowledged", errSetup)
	}
	if wrong > 0 {
		f.rec.logf("BROKEN: %d reads gave version %s, acknowledged with 200, with another content than was sent", wrong, versionText(newest))
		return errBroken
	}
	return nil
}
